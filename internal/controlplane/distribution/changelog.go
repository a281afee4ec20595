package distribution

// LogBounds limits the size of a ChangeLog.
type LogBounds struct {
	// Entries is the maximum number of deltas.
	Entries int
	// Bytes is the approximate maximum size of the deltas' changes.
	Bytes int
}

// DefaultLogBounds returns bounds that hold thirty releases of 1,100 servers with three changes a
// server.
func DefaultLogBounds() LogBounds { return LogBounds{Entries: 100_000, Bytes: 16 << 20} }

// ChangeLog holds the newest deltas of one epoch. Each delta begins at the revision at which the
// one before it ends.
type ChangeLog struct {
	bounds LogBounds
	// base is the position before the first entry.
	base    Position
	entries []logEntry
	bytes   int
}

type logEntry struct {
	position Position
	changes  []Change
	bytes    int
}

// NewChangeLog returns an empty log that begins at the base position.
func NewChangeLog(base Position, bounds LogBounds) *ChangeLog {
	return &ChangeLog{bounds: bounds, base: base}
}

// Base returns the position before the first entry, whose revision is the earliest that Since
// accepts.
func (l *ChangeLog) Base() Position { return l.base }

// Last returns the position of the newest entry, or Base if the log is empty.
func (l *ChangeLog) Last() Position {
	if len(l.entries) == 0 {
		return l.base
	}
	return l.entries[len(l.entries)-1].position
}

// Len returns the number of entries.
func (l *ChangeLog) Len() int { return len(l.entries) }

// Bytes returns the approximate size of the entries' changes.
func (l *ChangeLog) Bytes() int { return l.bytes }

// Append adds a delta and drops the oldest entries that exceed the bounds. If the delta does not
// begin at Last, Append empties the log, which then begins at the delta's position.
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
	l.entries[0] = logEntry{} // frees the changes before the slice is freed
	l.entries = l.entries[1:]
}

// At returns the position at a revision, or false if the log does not contain it.
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

// index returns the number of entries up to and including a revision, or false if the log does not
// contain the revision.
func (l *ChangeLog) index(revision uint64) (int, bool) {
	if revision < l.base.Revision || revision > l.Last().Revision {
		return 0, false
	}
	return int(revision - l.base.Revision), true
}

// Since returns one delta that leads from a revision to Last, with only the newest change of each
// key. It returns false if the log was compacted past the revision or does not reach it yet.
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
		d.Changes = mergeEntries(rest)
	}
	return d, true
}

// mergeEntries returns the newest change of each key in the entries, sorted by sortChanges.
func mergeEntries(entries []logEntry) []Change {
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
