package distributor

import (
	"fmt"
	"os"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/failpoint"
)

// Failpoints that tests use; see package failpoint.
const (
	// faultSendDelta is reached before a delta is sent on a stream.
	faultSendDelta = "distribution-send-delta"
	// faultDamageDelta, while it is denied, makes streams send deltas whose content does not match
	// their digest.
	faultDamageDelta = "distribution-damage-delta"
)

// bytesToSend returns the encoding of a message, which a failpoint may damage.
func bytesToSend(message *distribution.Message) []byte {
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

// damagedBytes returns an encoded delta that can be decoded but whose content does not match its
// digest.
func damagedBytes(response *distributionpb.WatchResponse) []byte {
	copied := proto.CloneOf(response)
	for _, change := range copied.GetDelta().Changes {
		change.Id += "-damaged"
	}
	raw, err := proto.Marshal(copied)
	if err != nil {
		panic(err) // the undamaged delta was encoded without an error
	}
	return raw
}
