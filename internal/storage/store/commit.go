package store

import (
	"errors"
	"fmt"
	"runtime"
)

// Durability is what a commit waits for.
type Durability bool

const (
	Buffered Durability = false // the system has it: it outlives the process
	Durable  Durability = true  // the disk has it: it outlives the power
)

// commit is a batch on its way, or a goroutine that wants to lead for a work of its own (batch
// nil).
type commit struct {
	batch   *Batch
	durable bool
	err     error
	done    chan bool // true: it is committed or failed; false: its goroutine leads now
}

// Commit makes a batch part of the store. Commits of several goroutines at a time share one write
// and one sync. After an error the batch is not in the store as this process sees it.
func (s *Store) Commit(b *Batch, d Durability) error {
	if b.err != nil {
		return b.err
	}
	if b.count == 0 && d == Buffered {
		return nil
	}
	c := &commit{batch: b, durable: bool(d), done: make(chan bool, 1)}
	if s.enter(c) {
		return c.err
	}
	s.gather()
	group := s.take(c)
	s.writers = len(group)
	s.write(group)
	for _, other := range group[1:] {
		other.done <- true
	}
	if c.err == nil && b.count > 0 {
		bytes := 0
		for _, one := range group {
			bytes += one.batch.Bytes()
		}
		s.step(s.opt.Step + 4*bytes)
	}
	s.follow()
	return c.err
}

// Sync has all that was committed on disk.
func (s *Store) Sync() error { return s.Commit(&Batch{}, Durable) }

// enter waits until a commit is done (true) or its goroutine leads (false).
func (s *Store) enter(c *commit) bool {
	s.mu.Lock()
	if !s.leading {
		s.leading = true
		s.mu.Unlock()
		return false
	}
	s.queue = append(s.queue, c)
	s.mu.Unlock()
	return <-c.done
}

// lead waits for the place of the one that writes.
func (s *Store) lead() {
	s.enter(&commit{done: make(chan bool, 1)})
}

// follow gives that place to the next in the queue.
func (s *Store) follow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		s.leading = false
		return
	}
	next := s.queue[0]
	s.queue = s.queue[1:]
	next.done <- false
}

// gather lets goroutines whose commits have just returned come with their next ones: without it
// they and those that waited meanwhile take turns, with a sync for each half. It yields as long as
// more come, and not at all where the last group was one.
func (s *Store) gather() {
	for before := -1; s.writers > 1; {
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

// mostGroup is how many bytes of batches share a write, beside the first.
const mostGroup = 4 << 20

// take gives the batches that are written together: the leader's and those that wait in line with
// no other work between.
func (s *Store) take(c *commit) []*commit {
	s.mu.Lock()
	defer s.mu.Unlock()
	group, bytes := []*commit{c}, c.batch.Bytes()
	n := 0
	for _, w := range s.queue {
		if w.batch == nil || bytes+w.batch.Bytes() > mostGroup {
			break
		}
		group = append(group, w)
		bytes += w.batch.Bytes()
		n++
	}
	s.queue = s.queue[n:]
	return group
}

// write commits a group. Each of it gets its error.
func (s *Store) write(group []*commit) {
	err := s.writable()
	if err == nil {
		err = s.append(group)
	}
	for _, c := range group {
		c.err = err
	}
}

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

// fail has the store take no commits any more.
func (s *Store) fail(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = err
	}
	return fmt.Errorf("%w: %w", ErrReadOnly, err)
}

// append writes a group to the log and takes it in.
func (s *Store) append(group []*commit) error {
	change, buf, seq, durable := s.change(), s.buf[:0], s.seq, false
	for _, c := range group {
		durable = durable || c.durable
		if c.batch.count == 0 {
			continue
		}
		seq++
		body := s.end + int64(len(buf)) + batchHead
		buf = append(append(buf, batchHeader(s.active.id, seq, c.batch.count, c.batch.body)...),
			c.batch.body...)
		err := c.batch.each(func(op byte, key []byte, at, size int64) error {
			return change.add(op, key, location{s.active.id, body + at, uint32(size)})
		})
		if err != nil {
			return err
		}
	}
	if cap(buf) <= mostGroup {
		s.buf = buf
	}
	if len(buf) > 0 {
		if _, err := s.active.f.WriteAt(buf, s.end); err != nil {
			// Part of it may stand in the file: it must not be found there.
			if undo := s.active.f.Truncate(s.end); undo != nil {
				return s.fail(errors.Join(err, undo))
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
	s.stats.Written += int64(len(buf))
	change.apply(seq)
	if synced {
		s.unmarked = s.writeMark() // it costs no data: the old mark holds
	}
	return nil
}

// sync has the log on disk.
func (s *Store) sync() error {
	if s.synced == s.end {
		return nil
	}
	if err := s.syncTo(s.end); err != nil {
		return err
	}
	return s.writeMark()
}

// syncTo has the active segment on disk up to an offset that was written.
func (s *Store) syncTo(end int64) error {
	if err := s.active.f.Sync(); err != nil {
		return s.fail(err)
	}
	s.synced = end
	s.stats.Syncs++
	return nil
}

// change is what a group of batches does to what is held in memory. Nothing is changed before
// apply.
type change struct {
	s     *Store
	top   *node
	epoch uint32
	count int
	keys  int64
	live  map[uint64]int64 // bytes by segment
}

func (s *Store) change() *change {
	s.epoch++
	return &change{s: s, top: s.top, epoch: s.epoch, count: s.count, live: map[uint64]int64{}}
}

// add takes in one operation whose record stands at a location.
func (c *change) add(op byte, key []byte, at location) error {
	to := at
	if op == opDelete {
		to = location{}
	}
	k := string(key)
	top, old, had := c.top.with(k, to, priority(k), c.epoch)
	if !had {
		var err error
		if old, _, err = find(nil, c.s.files, key, &c.s.block); err != nil {
			return err
		}
		c.count++
	}
	c.top = top
	if !old.deleted() {
		c.live[old.segment] -= int64(old.size)
		c.keys--
	}
	if !to.deleted() {
		c.live[to.segment] += int64(to.size)
		c.keys++
	}
	return nil
}

// apply shows the change to readers, as the store after a batch.
func (c *change) apply(seq uint64) {
	for id, n := range c.live {
		if g := c.s.files.segment(id); g != nil {
			g.live += n
		}
	}
	c.s.count = c.count
	c.s.keys += uint64(c.keys)
	c.s.mu.Lock()
	c.s.seq, c.s.top = seq, c.top
	c.s.mu.Unlock()
}
