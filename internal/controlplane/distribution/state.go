package distribution

import (
	"bytes"
)

// State is a set of records by key, at a position. Clones share unmodified buckets.
type State struct {
	epoch, revision uint64
	// buckets has BucketCount elements.
	buckets []*bucket
	// total is the sum of all buckets' sums.
	total          Digest
	records, bytes int
}

// NewState returns a state without records and without an epoch.
func NewState() *State {
	s := &State{buckets: make([]*bucket, BucketCount)}
	for i := range s.buckets {
		s.buckets[i] = emptyBucket
	}
	return s
}

// Clone returns an independent copy of s. It copies one pointer for each bucket.
func (s *State) Clone() *State {
	c := *s
	c.buckets = append([]*bucket(nil), s.buckets...)
	return &c
}

// Position returns the state's position, including its digest.
func (s *State) Position() Position { return Position{s.epoch, s.revision, s.Digest()} }

// Digest returns the digest of the epoch, the revision and all records.
func (s *State) Digest() Digest { return stateDigest(s.epoch, s.revision, s.total) }

// Empty reports whether the state has no epoch, which means that nothing was ever applied to it.
func (s *State) Empty() bool { return s.epoch == 0 }

// Len returns the number of records.
func (s *State) Len() int { return s.records }

// Bytes returns the approximate size of the encoded records.
func (s *State) Bytes() int { return s.bytes }

// Get returns the value of a key.
func (s *State) Get(kind Kind, id string) (value []byte, ok bool) {
	b := s.buckets[bucketIndex(kind, id)]
	index, ok := b.find(&Record{Kind: kind, ID: id})
	if !ok {
		return nil, false
	}
	return b.records[index].Value, true
}

// Range calls yield for every record of a kind until it returns false, in an order that depends on
// the content alone.
func (s *State) Range(kind Kind, yield func(Record) bool) {
	for _, b := range s.buckets {
		for _, r := range b.records {
			if r.Kind == kind && !yield(r) {
				return
			}
		}
	}
}

// Apply applies a delta. It returns an error and leaves the state unchanged if the epoch differs
// (WrongEpochError), if the delta begins at another revision (WrongRevisionError), if a change is
// invalid (InvalidRecordError), or if the result has another digest (DigestMismatchError).
func (s *State) Apply(d *Delta) error {
	if d.Epoch != s.epoch {
		return &WrongEpochError{Have: s.epoch, Got: d.Epoch}
	}
	if d.From != s.revision || d.To <= d.From {
		return &WrongRevisionError{Have: s.revision, From: d.From, To: d.To}
	}
	for i := range d.Changes {
		if err := d.Changes[i].check(); err != nil {
			return err
		}
	}
	next := s.stage(d.Changes)
	if got := stateDigest(d.Epoch, d.To, next.total); got != d.Digest {
		return &DigestMismatchError{Position: d.Position(), Got: got}
	}
	s.commit(next, d.Epoch, d.To)
	return nil
}

// staged holds the result of changes that are not committed to a state yet.
type staged struct {
	buckets        map[uint32]*bucket
	total          Digest
	records, bytes int
}

// stage computes the result of changes without modifying the state.
func (s *State) stage(changes []Change) *staged {
	next := &staged{
		make(map[uint32]*bucket, min(len(changes), BucketCount)), s.total, s.records, s.bytes,
	}
	for i := range changes {
		c := &changes[i]
		index := bucketIndex(c.Kind, c.ID)
		b := next.buckets[index]
		if b == nil {
			b = s.buckets[index].clone()
			next.buckets[index] = b
		}
		before, sum, size := len(b.records), b.sum, b.bytes
		b.put(c)
		next.total = next.total.minus(sum).plus(b.sum)
		next.records += len(b.records) - before
		next.bytes += b.bytes - size
	}
	return next
}

// commit sets the staged buckets and totals, the epoch and the revision.
func (s *State) commit(next *staged, epoch, revision uint64) {
	for index, b := range next.buckets {
		s.buckets[index] = b
	}
	s.epoch, s.revision = epoch, revision
	s.total, s.records, s.bytes = next.total, next.records, next.bytes
}

// advance applies changes as the next revision of the state and returns the delta to it, or nil if
// the changes have no effect. The epoch is used only if the state has none; that first revision is
// made even without changes. The changes must have been checked and name each key at most once.
func (s *State) advance(epoch uint64, changes []Change) *Delta {
	effective := make([]Change, 0, len(changes))
	for _, c := range changes {
		value, found := s.Get(c.Kind, c.ID)
		if c.Deleted && found || !c.Deleted && !(found && bytes.Equal(value, c.Value)) {
			effective = append(effective, c)
		}
	}
	if !s.Empty() {
		if epoch = s.epoch; len(effective) == 0 {
			return nil
		}
	}
	sortChanges(effective)
	d := &Delta{Epoch: epoch, From: s.revision, To: s.revision + 1, Changes: effective}
	s.commit(s.stage(effective), d.Epoch, d.To)
	d.Digest = s.Digest()
	return d
}

// Difference returns the changes that lead from s to another state, one for each key that differs,
// sorted as in a Delta.
func (s *State) Difference(other *State) []Change {
	var changes []Change
	for i, before := range s.buckets {
		after := other.buckets[i]
		if before == after ||
			before.sum == after.sum && len(before.records) == len(after.records) {
			continue
		}
		for j := range before.records {
			if _, found := after.find(&before.records[j]); !found {
				r := before.records[j]
				changes = append(changes, Change{Record{Kind: r.Kind, ID: r.ID}, true})
			}
		}
		for _, r := range after.records {
			if j, found := before.find(&r); !found ||
				!bytes.Equal(before.records[j].Value, r.Value) {
				changes = append(changes, Change{r, false})
			}
		}
	}
	sortChanges(changes)
	return changes
}

// With returns a copy of the state with changes applied, at the same epoch and revision. The
// changes must name each key at most once. It returns an InvalidRecordError for an invalid change.
func (s *State) With(changes []Change) (*State, error) {
	for i := range changes {
		if err := changes[i].check(); err != nil {
			return nil, err
		}
	}
	next := s.Clone()
	next.commit(s.stage(changes), s.epoch, s.revision)
	return next, nil
}
