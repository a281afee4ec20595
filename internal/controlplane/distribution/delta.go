package distribution

import (
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/mustproto"
)

// Delta holds the changes that lead from one revision to a later one of the same epoch.
type Delta struct {
	Epoch    uint64
	From, To uint64
	// Changes has at most one change for each key, sorted: deletions, then draining servers, then
	// the others.
	Changes []Change
	// Digest is the digest of the complete state at To.
	Digest Digest
}

// Position returns the position that the delta leads to.
func (d *Delta) Position() Position { return Position{d.Epoch, d.To, d.Digest} }

// Urgent reports whether at least one of the changes is urgent.
func (d *Delta) Urgent() bool {
	for i := range d.Changes {
		if d.Changes[i].Urgent() {
			return true
		}
	}
	return false
}

// Proto returns the delta as a message. The message shares the bytes of the values.
func (d *Delta) Proto() *distributionpb.Delta {
	return &distributionpb.Delta{
		Epoch:   d.Epoch,
		From:    d.From,
		To:      d.To,
		Changes: ChangesProto(d.Changes),
		Digest:  d.Digest.Encode(),
	}
}

// DeltaFromProto reads a message and checks each change. The delta shares the bytes of the
// message's values. It returns an InvalidMessageError or an InvalidRecordError.
func DeltaFromProto(m *distributionpb.Delta) (*Delta, error) {
	digest, err := DecodeDigest(m.GetDigest())
	if err != nil {
		return nil, err
	}
	if m.Epoch == 0 || m.From >= m.To {
		return nil, &InvalidMessageError{
			"delta", "it has no epoch or does not lead to a later revision",
		}
	}
	changes, err := ChangesFromProto(m.Changes)
	if err != nil {
		return nil, err
	}
	return &Delta{Epoch: m.Epoch, From: m.From, To: m.To, Changes: changes, Digest: digest}, nil
}

// Encode returns the encoded delta.
func (d *Delta) Encode() []byte { return mustproto.Marshal(d.Proto()) }

// DecodeDelta decodes the result of Encode. It returns the errors of DeltaFromProto.
func DecodeDelta(raw []byte) (*Delta, error) {
	var m distributionpb.Delta
	if err := proto.Unmarshal(raw, &m); err != nil {
		return nil, &InvalidMessageError{"delta", err.Error()}
	}
	return DeltaFromProto(&m)
}

// ChangesProto returns changes as messages.
func ChangesProto(changes []Change) []*distributionpb.Change {
	messages := make([]*distributionpb.Change, len(changes))
	for i := range changes {
		c := &changes[i]
		messages[i] = &distributionpb.Change{
			Kind:    c.Kind,
			Id:      c.ID,
			Value:   c.Value,
			Deleted: c.Deleted,
		}
	}
	return messages
}

// ChangesFromProto reads messages and checks them. It returns an InvalidRecordError for the first
// invalid change.
func ChangesFromProto(messages []*distributionpb.Change) ([]Change, error) {
	changes := make([]Change, len(messages))
	for i, m := range messages {
		changes[i] = Change{Record{m.GetKind(), m.GetId(), m.GetValue()}, m.GetDeleted()}
		if err := changes[i].check(); err != nil {
			return nil, err
		}
	}
	return changes, nil
}
