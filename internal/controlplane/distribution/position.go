package distribution

import (
	"cmp"
	"fmt"

	"mothcleat/internal/controlplane/distributionpb"
)

// Position is a point in the history of a state. An epoch of 0 denotes the position of an empty
// state.
type Position struct {
	Epoch    uint64
	Revision uint64
	// Digest is the digest of the complete state at this revision.
	Digest Digest
}

// String returns the epoch, the revision and the digest.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d (%s)", p.Epoch, p.Revision, p.Digest)
}

// Compare orders positions by epoch, then by revision. The result is negative if p is earlier than
// other. Digests are not compared.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, other.Epoch), cmp.Compare(p.Revision, other.Revision))
}

// Proto returns the position as a message.
func (p Position) Proto() *distributionpb.Position {
	return &distributionpb.Position{Epoch: p.Epoch, Revision: p.Revision, Digest: p.Digest.Encode()}
}

// PositionFromProto reads a message. A nil message, or one without an epoch, is the position of an
// empty state. It returns an InvalidMessageError if the digest has the wrong length, or if there is
// a revision and no epoch.
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
