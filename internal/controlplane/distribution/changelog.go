package distribution

// LogBounds bound a ChangeLog.
type LogBounds struct {
	Entries int // deltas
	Bytes   int // of their changes, about
}

// DefaultLogBounds keep a release of 1,100 servers (three changes each) thirty times over.
func DefaultLogBounds() LogBounds { return LogBounds{Entries: 100_000, Bytes: 16 << 20} }

// ChangeLog is the newest deltas of one lineage, each beginning where the one before ends.
type ChangeLog struct {
	bounds  LogBounds
	base    Position // before the first entry
	entries []logEntry
	bytes   int
}

type logEntry struct {
	position Position
	changes  []Change
	bytes    int
}

// NewChangeLog is a log without entries behind a position.
func NewChangeLog(base Position, bounds LogBounds) *ChangeLog {
	return &ChangeLog{bounds: bounds, base: base}
}

// Base is the earliest position that Since answers for, Last the latest.
func (l *ChangeLog) Base() Position { return l.base }

// Last is the position of the newest entry.
func (l *ChangeLog) Last() Position {
	if len(l.entries) == 0 {
		return l.base
	}
	return l.entries[len(l.entries)-1].position
}

// Len is the number of entries.
func (l *ChangeLog) Len() int { return len(l.entries) }

// Bytes is about what their changes take.
func (l *ChangeLog) Bytes() int { return l.bytes }

// Append adds a delta, and drops the oldest where a bound is passed. A delta that does not begin at
// Last makes the log begin anew behind it.
func (l *ChangeLog) Append(d *Delta) {
	if last := l.Last(); d.Epoch != last.Epoch || d.From != last.Revision {
		*l = ChangeLog{bounds: l.bounds, base: d.Position()}
		return
	}
	entry := logEntry{position: d.Position(), changes: d.Changes}
	for i := range d.Changes {
		entry.bytes += d.Changes[i].size()
	}
	l.entries = append(l.entries, entry)
	l.bytes += entry.bytes
	for len(l.entries) > l.bounds.Entries || l.bytes > l.bounds.Bytes {
		l.dropFirst()
	}
}

// Compact drops the entries up to a revision.
func (l *ChangeLog) Compact(revision uint64) {
	for len(l.entries) > 0 && l.entries[0].position.Revision <= revision {
		l.dropFirst()
	}
}

func (l *ChangeLog) dropFirst() {
	l.base = l.entries[0].position
	l.bytes -= l.entries[0].bytes
	l.entries[0] = logEntry{} // its changes are free before the slice is
	l.entries = l.entries[1:]
}

// At gives the position at a revision; false where the log doesn't reach it.
func (l *ChangeLog) At(revision uint64) (Position, bool) {
	index, ok := l.index(revision)
	switch {
	case !ok:
		return Position{}, false
	case index == 0:
		return l.base, true
	}
	return l.entries[index-1].position, true
}

// index is how many entries lie at or before a revision.
func (l *ChangeLog) index(revision uint64) (int, bool) {
	if revision < l.base.Revision || revision > l.Last().Revision {
		return 0, false
	}
	return int(revision - l.base.Revision), true
}

// Since gives one delta from a revision to Last, the newest change a key. It gives false where the
// log was compacted past the revision, or doesn't reach it yet.
func (l *ChangeLog) Since(revision uint64) (*Delta, bool) {
	index, ok := l.index(revision)
	if !ok {
		return nil, false
	}
	last := l.Last()
	d := &Delta{Epoch: last.Epoch, From: revision, To: last.Revision, Digest: last.Digest}
	if rest := l.entries[index:]; len(rest) == 1 {
		d.Changes = rest[0].changes
	} else {
		d.Changes = merge(rest)
	}
	return d, true
}

// merge gives the newest change a key of entries, in the order of a delta.
func merge(entries []logEntry) []Change {
	type key struct {
		kind Kind
		id   string
	}
	seen := map[key]bool{}
	var changes []Change
	for e := len(entries) - 1; e >= 0; e-- {
		for _, c := range entries[e].changes {
			if k := (key{c.Kind, c.ID}); !seen[k] {
				seen[k] = true
				changes = append(changes, c)
			}
		}
	}
	sortChanges(changes)
	return changes
}
