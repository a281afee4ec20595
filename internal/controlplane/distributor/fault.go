package distributor

import (
	"fmt"
	"os"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/failpoint"
)

// Names of the faults that rigs ask for; see package failpoint.
const (
	faultSendDelta   = "distribution-send-delta"   // a delta is about to be sent on a stream
	faultDamageDelta = "distribution-damage-delta" // denied: deltas come out as they were made
)

// sentBytes returns the bytes that go out for a message: its own, but for the faults of a rig.
func sentBytes(message *distribution.Message) []byte {
	delta := message.Response.GetDelta()
	if !failpoint.Built || delta == nil {
		return message.Bytes
	}
	failpoint.At(faultSendDelta)
	if !failpoint.Denied(faultDamageDelta) {
		return message.Bytes
	}
	fmt.Fprintln(os.Stderr, "fault: damaged delta")
	return damagedBytes(message.Response)
}

// damagedBytes returns the bytes of a delta whose content is other than its digest says, and which
// can still be read.
func damagedBytes(response *distributionpb.WatchResponse) []byte {
	copied := proto.CloneOf(response)
	for _, change := range copied.GetDelta().Changes {
		change.Id += "-damaged"
	}
	raw, err := proto.Marshal(copied)
	if err != nil {
		panic(err) // it was encoded before
	}
	return raw
}
