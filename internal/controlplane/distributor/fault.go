package distributor

import (
	"fmt"
	"os"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/failpoint"
)

// Names of the failpoints that tests use; see package failpoint.
const (
	// faultSendDelta is reached before a delta is sent on a stream.
	faultSendDelta = "distribution-send-delta"
	// faultDamageDelta is denied to have deltas sent with other content than their digest says.
	faultDamageDelta = "distribution-damage-delta"
)

// sentBytes returns the bytes to be sent for a message: its encoding, unless a failpoint damages
// it.
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

// damagedBytes returns a delta that can be read but whose content does not match its digest.
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
