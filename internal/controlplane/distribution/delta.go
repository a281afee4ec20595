package distribution

import (
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/distributionpb"
)

// Delta leads from one revision to a later one of the same epoch.
type Delta struct {
	Epoch    uint64
	From, To uint64
	Changes  []Change // one a key; deletions first, then draining servers
	Digest   Digest   // of the whole state at To
}

// Position is where the delta leads to.
func (d *Delta) Position() Position { return Position{d.Epoch, d.To, d.Digest} }

// Urgent tells whether one of its changes is.
func (d *Delta) Urgent() bool {
	for i := range d.Changes {
		if d.Changes[i].Urgent() {
			return true
		}
	}
	return false
}

// Proto gives the delta as a message. It shares the values' bytes.
func (d *Delta) Proto() *distributionpb.Delta {
	return &distributionpb.Delta{
		Epoch:   d.Epoch,
		From:    d.From,
		To:      d.To,
		Changes: ChangesProto(d.Changes),
		Digest:  d.Digest.Encode(),
	}
}

// DeltaFromProto reads a message and checks each change. It shares the values' bytes.
func DeltaFromProto(m *distributionpb.Delta) (*Delta, error) {
	digest, err := DecodeDigest(m.GetDigest())
	if err != nil {
		return nil, err
	}
	if m.Epoch == 0 || m.From >= m.To {
		return nil, &InvalidMessageError{"delta", "it leads nowhere"}
	}
	changes, err := ChangesFromProto(m.Changes)
	if err != nil {
		return nil, err
	}
	return &Delta{Epoch: m.Epoch, From: m.From, To: m.To, Changes: changes, Digest: digest}, nil
}

// Encode gives the delta's bytes.
func (d *Delta) Encode() []byte { return encode(d.Proto()) }

// DecodeDelta reads what Encode wrote.
func DecodeDelta(raw []byte) (*Delta, error) {
	var m distributionpb.Delta
	if err := proto.Unmarshal(raw, &m); err != nil {
		return nil, &InvalidMessageError{"delta", err.Error()}
	}
	return DeltaFromProto(&m)
}

// ChangesProto gives changes as messages.
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

// ChangesFromProto reads messages; an InvalidRecordError for the first that can't be read or kept.
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

// encode writes a message: the same bytes for the same content.
func encode(m proto.Message) []byte {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // a string that is not UTF-8 is refused on its way in
	}
	return raw
}
