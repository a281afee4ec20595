package distributionpb

import (
	"testing"

	"mothcleat/internal/testing/fixture"
)

// The numbers and kinds of all fields and the names of all calls are the wire format, which older builds speak too.
func TestWireFormat(t *testing.T) {
	fixture.Equal(t, "testdata/wire.txt", fixture.WireFormat(File_internal_controlplane_distributionpb_distribution_proto))
}
