package distribution

import (
	"cmp"
	"fmt"

	"mothcleat/internal/controlplane/distributionpb"
)

// Position is a point in the history of a state. Without an epoch it is the position of an empty
// state.
type Position struct {
	Epoch    uint64
	Revision uint64
	// Digest is the digest of the complete state at this revision.
	Digest Digest
}

// String returns epoch, revision and digest.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d (%s)", p.Epoch, p.Revision, p.Digest)
}

// Compare orders positions by epoch, then by revision. The result is negative if p is the earlier
// one. Digests are not compared.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, other.Epoch), cmp.Compare(p.Revision, other.Revision))
}

// Proto returns the position as a message.
func (p Position) Proto() *distributionpb.Position {
	return &distributionpb.Position{Epoch: p.Epoch, Revision: p.Revision, Digest: p.Digest.Encode()}
}

// PositionFromProto reads a message. A missing one, or one without epoch, is the position of an
// empty state. It returns an InvalidMessageError.
func PositionFromProto(m *distributionpb.Position) (Position, error) {
	if m.GetEpoch() == 0 {
		if m.GetRevision() != 0 {
			return Position{}, &InvalidMessageError{"position", "it has a revision and no epoch"}
		}
		return NewState().Position(), nil
	}
	digest, err := DecodeDigest(m.Digest)
	return Position{m.Epoch, m.Revision, digest}, err
}
