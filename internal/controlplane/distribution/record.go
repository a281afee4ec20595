package distribution

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/distributionpb"
)

// Kind is the kind of a record.
type Kind = distributionpb.Kind

// The kinds of records. Records of a kind that this version does not know are stored and forwarded,
// but not decoded.
const (
	KindServer = distributionpb.Kind_KIND_SERVER
	KindPlan   = distributionpb.Kind_KIND_PLAN
	KindTenant = distributionpb.Kind_KIND_TENANT
)

// Bounds of a record, so that every message fits into one frame of a stream.
const (
	MaxIDBytes    = 512
	MaxValueBytes = 64 << 10
)

// Record is one keyed record. Its value must not be modified once it is part of a State.
type Record struct {
	Kind Kind
	ID   string
	// Value is the encoded ServerRecord, PlanRecord or TenantRecord.
	Value []byte
}

// size returns the number of bytes by which the record counts towards bounds.
func (r *Record) size() int { return len(r.ID) + len(r.Value) + recordOverheadBytes }

// recordOverheadBytes is the approximate size of an encoded record without its id and value.
const recordOverheadBytes = 8

// Change sets a record, or deletes the record with its key.
type Change struct {
	Record
	// Deleted is set for a deletion, which has no Value.
	Deleted bool
}

// Server decodes the value of a record of KindServer. It returns an InvalidRecordError if the value
// can't be decoded.
func (r *Record) Server() (*distributionpb.ServerRecord, error) {
	var server distributionpb.ServerRecord
	if err := proto.Unmarshal(r.Value, &server); err != nil {
		return nil, &InvalidRecordError{r.Kind, r.ID, err.Error()}
	}
	return &server, nil
}

// Urgent reports whether a change must be sent before others. Deletions and draining servers are
// urgent.
func (c *Change) Urgent() bool {
	if c.Deleted {
		return true
	}
	if c.Kind != KindServer {
		return false
	}
	server, err := c.Server()
	return err == nil && server.Phase == distributionpb.Phase_PHASE_DRAINING
}

// check returns an InvalidRecordError for a change that can't be decoded or stored. The replicated
// state machine rejects commands by this check, so every version of the program must apply the same
// rules and return the same texts.
func (c *Change) check() error {
	invalid := func(reason string) error { return &InvalidRecordError{c.Kind, c.ID, reason} }
	switch {
	case c.Kind <= distributionpb.Kind_KIND_UNSPECIFIED:
		return invalid("it has no kind")
	case c.ID == "":
		return invalid("it has no id")
	case len(c.ID) > MaxIDBytes:
		return invalid(fmt.Sprintf("its id has %d bytes, more than %d", len(c.ID), MaxIDBytes))
	case len(c.Value) > MaxValueBytes:
		return invalid(fmt.Sprintf("its value has %d bytes, more than %d",
			len(c.Value), MaxValueBytes))
	case c.Deleted && len(c.Value) > 0:
		return invalid("it is deleted and has a value")
	case c.Kind == KindServer && !c.Deleted:
		_, err := c.Server()
		return err
	}
	return nil
}

// compareKeys orders records by kind and id.
func compareKeys(a, b *Record) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
}

// sortChanges sorts deletions first, then draining servers, then the rest. Deletions come first
// because an address may have moved from one id to another.
func sortChanges(changes []Change) {
	type ranked struct {
		rank   int
		change Change
	}
	order := make([]ranked, len(changes))
	for i, c := range changes {
		order[i] = ranked{2, c}
		if c.Deleted {
			order[i].rank = 0
		} else if c.Urgent() {
			order[i].rank = 1
		}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), compareKeys(&a.change.Record, &b.change.Record))
	})
	for i := range order {
		changes[i] = order[i].change
	}
}
