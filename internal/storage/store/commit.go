package store

import (
	"errors"
	"fmt"
	"runtime"
)

// Durability states what a commit waits for before it returns.
type Durability bool

const (
	// Buffered waits until the operating system has the data, which then survives a crash of the
	// process.
	Buffered Durability = false
	// Durable waits until the data is synced to disk, where it survives a power failure.
	Durable Durability = true
)

// commit is a batch that is being committed. If batch is nil, it stands for a goroutine that waits
// to become the writer for other work.
type commit struct {
	batch   *Batch
	durable bool
	err     error
	// done receives true when the batch was committed or has failed, and false when its goroutine
	// becomes the writer.
	done chan bool
}

// Commit commits a batch. Concurrent commits share one write and one sync (group commit). After an
// error the batch is not visible to this process. The error wraps ErrClosed or ErrReadOnly, is a
// TooLargeError, or reports a failed read or write.
func (s *Store) Commit(b *Batch, d Durability) error {
	if b.err != nil {
		return b.err
	}
	if b.count == 0 && d == Buffered {
		return nil
	}
	c := &commit{batch: b, durable: bool(d), done: make(chan bool, 1)}
	if s.enqueue(c) {
		return c.err
	}
	s.waitForFollowers()
	group := s.takeGroup(c)
	s.lastGroupSize = len(group)
	s.commitGroup(group)
	for _, other := range group[1:] {
		other.done <- true
	}
	if c.err == nil && b.count > 0 {
		bytes := 0
		for _, one := range group {
			bytes += one.batch.Bytes()
		}
		s.compactInBackground(s.options.CompactionStepBytes + 4*bytes)
	}
	s.handOverWriter()
	return c.err
}

// Sync makes all batches committed so far durable.
func (s *Store) Sync() error { return s.Commit(&Batch{}, Durable) }

// enqueue waits until another goroutine has processed the commit and returns true, or until this
// goroutine becomes the writer and returns false.
func (s *Store) enqueue(c *commit) bool {
	s.mu.Lock()
	if !s.writing {
		s.writing = true
		s.mu.Unlock()
		return false
	}
	s.queue = append(s.queue, c)
	s.mu.Unlock()
	return <-c.done
}

// becomeWriter waits until this goroutine is the only writer.
func (s *Store) becomeWriter() {
	s.enqueue(&commit{done: make(chan bool, 1)})
}

// handOverWriter makes the next goroutine in the queue the writer.
func (s *Store) handOverWriter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		s.writing = false
		return
	}
	next := s.queue[0]
	s.queue = s.queue[1:]
	next.done <- false
}

// waitForFollowers lets goroutines whose commits have just returned enqueue their next commits.
// Otherwise these goroutines and the ones that were waiting would form two groups that alternate,
// each with its own sync. It yields as long as the queue grows, and not at all after a group of
// one.
func (s *Store) waitForFollowers() {
	for before := -1; s.lastGroupSize > 1; {
		s.mu.Lock()
		n := len(s.queue)
		s.mu.Unlock()
		if n == before {
			return
		}
		before = n
		runtime.Gosched()
	}
}

// maxGroupBytes is the maximum total size of the batches in a group. The first batch may exceed it.
const maxGroupBytes = 4 << 20

// takeGroup returns the commits that share a write: the writer's own, and those at the front of the
// queue up to maxGroupBytes or the first entry without a batch.
func (s *Store) takeGroup(c *commit) []*commit {
	s.mu.Lock()
	defer s.mu.Unlock()
	group := []*commit{c}
	bytes := c.batch.Bytes()
	n := 0
	for _, w := range s.queue {
		if w.batch == nil || bytes+w.batch.Bytes() > maxGroupBytes {
			break
		}
		group = append(group, w)
		bytes += w.batch.Bytes()
		n++
	}
	s.queue = s.queue[n:]
	return group
}

// commitGroup commits a group and sets the error of each member.
func (s *Store) commitGroup(group []*commit) {
	err := s.writable()
	if err == nil {
		err = s.appendGroup(group)
	}
	for _, c := range group {
		c.err = err
	}
}

// writable returns nil if commits are possible, and otherwise the reason why they are not.
func (s *Store) writable() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	if s.failed != nil {
		return fmt.Errorf("%w: %w", ErrReadOnly, s.failed)
	}
	return nil
}

// failPermanently makes the store read-only because of err. It returns err wrapped with
// ErrReadOnly.
func (s *Store) failPermanently(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = err
	}
	return fmt.Errorf("%w: %w", ErrReadOnly, err)
}

// appendGroup writes a group of batches to the log, syncs it if a commit is durable, and applies
// it.
func (s *Store) appendGroup(group []*commit) error {
	change := s.newChange()
	buf := s.buf[:0]
	seq := s.seq
	durable := false
	for _, c := range group {
		durable = durable || c.durable
		if c.batch.count == 0 {
			continue
		}
		seq++
		body := s.end + int64(len(buf)) + batchHeaderBytes
		buf = append(buf, batchHeader(s.active.id, seq, c.batch.count, c.batch.body)...)
		buf = append(buf, c.batch.body...)
		err := c.batch.each(func(op byte, key []byte, at, size int64) error {
			return change.add(op, key, location{s.active.id, body + at, uint32(size)})
		})
		if err != nil {
			return err
		}
	}
	if cap(buf) <= maxGroupBytes {
		s.buf = buf
	}
	if len(buf) > 0 {
		if _, err := s.active.f.WriteAt(buf, s.end); err != nil {
			// A part of the group may have been written. Recovery must not find it.
			if undo := s.active.f.Truncate(s.end); undo != nil {
				return s.failPermanently(errors.Join(err, undo))
			}
			return fmt.Errorf("store: %w", err)
		}
	}
	end := s.end + int64(len(buf))
	synced := durable && end > s.synced
	if synced {
		if err := s.syncTo(end); err != nil {
			return err
		}
	}
	s.end = end
	s.stats.WrittenBytes += int64(len(buf))
	change.apply(seq)
	if synced {
		s.markErr = s.writeMark() // not fatal: the previous mark stays valid
	}
	return nil
}

// sync syncs the log and writes the sync mark, unless the log is already synced.
func (s *Store) sync() error {
	if s.synced == s.end {
		return nil
	}
	if err := s.syncTo(s.end); err != nil {
		return err
	}
	return s.writeMark()
}

// syncTo syncs the active segment, which is written up to end.
func (s *Store) syncTo(end int64) error {
	if err := s.active.f.Sync(); err != nil {
		return s.failPermanently(err)
	}
	s.synced = end
	s.stats.Syncs++
	return nil
}

// change is the effect of a group of batches on the in-memory state. The store does not change
// until apply is called.
type change struct {
	store       *Store
	overlay     *node
	epoch       uint32
	overlayKeys int
	keysDelta   int64
	// liveDelta is the change in live bytes per segment id.
	liveDelta map[uint64]int64
}

func (s *Store) newChange() *change {
	s.epoch++
	return &change{
		store:       s,
		overlay:     s.overlay,
		epoch:       s.epoch,
		overlayKeys: s.overlayKeys,
		liveDelta:   map[uint64]int64{},
	}
}

// add adds the operation on a key whose record is at a location.
func (c *change) add(op byte, key []byte, at location) error {
	to := at
	if op == opDelete {
		to = location{}
	}
	k := string(key)
	top, old, had := c.overlay.with(k, to, priority(k), c.epoch)
	if !had {
		var err error
		if old, _, err = find(nil, c.store.files, key, &c.store.block); err != nil {
			return err
		}
		c.overlayKeys++
	}
	c.overlay = top
	if !old.deleted() {
		c.liveDelta[old.segment] -= int64(old.size)
		c.keysDelta--
	}
	if !to.deleted() {
		c.liveDelta[to.segment] += int64(to.size)
		c.keysDelta++
	}
	return nil
}

// apply makes the change visible to readers. seq is the sequence number of its last batch.
func (c *change) apply(seq uint64) {
	for id, n := range c.liveDelta {
		if g := c.store.files.segment(id); g != nil {
			g.live += n
		}
	}
	c.store.overlayKeys = c.overlayKeys
	c.store.keys += uint64(c.keysDelta)
	c.store.mu.Lock()
	c.store.seq, c.store.overlay = seq, c.overlay
	c.store.mu.Unlock()
}
