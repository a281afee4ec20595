// Package metering counts the units that a gateway forwards, by customer and period. If the process
// is killed at any instruction, at most one request that was sent and not yet counted is lost.
//
// The gateway's event loop appends records to a ring buffer in a memory-mapped file, which takes
// some tens of nanoseconds and never blocks. Another goroutine reads the records and stores sums
// together with its read position, so that each record is counted in exactly one period. The next
// process counts the records that its predecessor left in the ring buffer.
package metering

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"mothcleat/internal/storage/store"
)

// drainInterval is how often the records of the ring are stored.
const drainInterval = 50 * time.Millisecond

// Counter counts the units that one process forwards. Only one goroutine may call Count. The other
// methods are safe for concurrent use.
type Counter struct {
	id           string
	incarnation  uint64
	periodLength time.Duration
	log          *slog.Logger

	// dir is the directory of the store.
	dir  string
	ring *ring
	// consumed is the number of records that were stored and can therefore be overwritten.
	consumed atomic.Uint64
	// lost is the number of records for which the ring had no room.
	lost atomic.Uint64

	mu      sync.Mutex
	store   *store.Store
	current openPeriod
	// reportedLost is the part of lost that was logged.
	reportedLost uint64
	failed       bool // the last step could not store records
}

// Open opens the counts in a directory, which it creates if it does not exist, and closes the
// period that the last process left open. length is the length of a period. The error wraps
// store.ErrLocked if another process uses the directory.
func Open(
	dir, id string, incarnation uint64, length time.Duration, log *slog.Logger,
) (_ *Counter, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	c := &Counter{
		id:           id,
		incarnation:  incarnation,
		periodLength: length,
		log:          log,
		dir:          filepath.Join(dir, "counts"),
	}
	if c.store, err = store.Open(c.dir, store.Options{}); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, c.store.Close())
		}
	}()
	var predecessor, added uint64
	if c.ring, predecessor, added, err = openRing(filepath.Join(dir, "ring")); err != nil {
		return nil, err
	}
	if err := c.closePredecessor(predecessor, added); err != nil {
		return nil, err
	}
	c.ring.reset(incarnation)
	c.current = openPeriod{
		Number:    1,
		StartedAt: time.Now().UnixMicro(),
		Units:     map[uint64]float64{},
	}
	return c, nil
}

// closePredecessor closes the period that another incarnation left open, including the records that
// it left in the ring.
func (c *Counter) closePredecessor(incarnation, added uint64) error {
	unfinished, err := c.load(incarnation)
	if err != nil || unfinished.Number == 0 {
		return err
	}
	if added > unfinished.Consumed+c.ring.size {
		const format = "metering: the ring of incarnation %x has %d records, %d of them counted: " +
			"it does not belong to these counts"
		return fmt.Errorf(format, incarnation, added, unfinished.Consumed)
	}
	for n := unfinished.Consumed; n < added; n++ {
		customer, units := c.ring.record(n)
		unfinished.Units[customer] += units
	}
	if added > unfinished.Consumed {
		c.log.Info("fleet: counted the use that the previous process left in the ring",
			"boot", fmt.Sprintf("%x", incarnation), "records", added-unfinished.Consumed)
	}
	return c.closePeriod(incarnation, &unfinished, true, nil)
}

// Count adds units that were forwarded for a customer. It never blocks. Only one goroutine may call
// it.
func (c *Counter) Count(customer uint64, units float64) {
	if !c.ring.add(customer, units, c.consumed.Load()) {
		c.lost.Add(1)
	}
}

// Run stores records and closes periods until the context ends.
func (c *Counter) Run(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.step(time.Now())
		}
	}
}

// step stores the records of the ring, and closes the period if its length has passed.
func (c *Counter) step(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.store == nil {
		return
	}
	stored, err := c.storeRecords(now)
	if err != nil {
		// New records stay in the ring as long as it has room.
		if !c.failed {
			c.log.Error("fleet: use can't be kept", "error", err)
		}
		c.failed = true
		c.reopen()
		return
	}
	if c.failed {
		c.log.Info("fleet: use can be kept again")
		c.failed = false
	}
	if stored {
		c.consumed.Store(c.current.Consumed)
	}
	c.reportLost()
}

// storeRecords adds the records of the ring to the current period and stores it. It closes the
// period if its length has passed. It reports whether anything was stored.
func (c *Counter) storeRecords(now time.Time) (stored bool, err error) {
	drained := c.drainRing()
	age := now.UnixMicro() - c.current.StartedAt
	if age >= c.periodLength.Microseconds() && len(c.current.Units) > 0 {
		next := openPeriod{
			Number:    c.current.Number + 1,
			StartedAt: now.UnixMicro(),
			Consumed:  c.current.Consumed,
			Units:     map[uint64]float64{},
		}
		if err := c.closePeriod(c.incarnation, &c.current, false, &next); err != nil {
			return false, err
		}
		c.current = next
		return true, nil
	}
	if !drained {
		return false, nil
	}
	raw, err := json.Marshal(&c.current)
	if err != nil {
		return false, err
	}
	var b store.Batch
	b.Put(openKey(c.incarnation), raw)
	return true, c.store.Commit(&b, store.Buffered)
}

// reportLost logs records for which the ring had no room.
func (c *Counter) reportLost() {
	lost := c.lost.Load()
	if lost == c.reportedLost {
		return
	}
	c.log.Error("fleet: use was not counted: there was no room", "requests", lost-c.reportedLost)
	c.reportedLost = lost
}

// reopen opens the store again after a failure and continues from its content, as a new process
// would, because it is unknown whether the failed batch was stored.
func (c *Counter) reopen() {
	_ = c.store.Close() // its error is that of the failed batch
	s, err := store.Open(c.dir, store.Options{})
	if err != nil {
		return // the closed store still fails, and the next step tries again
	}
	c.store = s
	if p, err := c.load(c.incarnation); err == nil && p.Number != 0 {
		c.current = p
	}
}

// drainRing adds the records of the ring to the open period and reports whether there were any. The
// records stay in the ring until the period is stored.
func (c *Counter) drainRing() (drained bool) {
	for added := c.ring.added.Load(); c.current.Consumed < added; c.current.Consumed++ {
		customer, units := c.ring.record(c.current.Consumed)
		c.current.Units[customer] += units
		drained = true
	}
	return drained
}

// Close closes the last period and the store. Count must not be called after it.
func (c *Counter) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.store == nil {
		return nil
	}
	c.drainRing()
	err := c.closePeriod(c.incarnation, &c.current, true, nil)
	if err == nil {
		c.ring.reset(0)
	}
	err = errors.Join(err, c.store.Close(), c.ring.close())
	c.store = nil
	return err
}
