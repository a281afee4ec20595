// Package metering counts the units that a gateway forwards, by tenant and period. A kill at any
// instruction loses at most the one request that was sent and not yet counted.
//
// The gateway's loop appends to a ring buffer in a memory-mapped file, which takes some tens of
// nanoseconds and never blocks. Another goroutine reads it and stores sums together with its read
// position, so that each record is counted in exactly one period. The next process counts what its
// predecessor left in the ring buffer.
package metering

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/failpoint"
	"mothcleat/internal/storage/store"
)

// drainInterval is how often the ring is read.
const drainInterval = 50 * time.Millisecond

// Counter counts the use of one process. Count may be called from one goroutine alone; the other
// methods may be called from any.
type Counter struct {
	id           string
	incarnation  uint64
	periodLength time.Duration
	log          *slog.Logger

	dir      string // of the store
	ring     *ring
	consumed atomic.Uint64 // records
	lost     atomic.Uint64 // records for which there was no room

	mu           sync.Mutex
	store        *store.Store
	current      openPeriod
	reportedLost uint64 // of lost
	failed       bool
}

// openPeriod is the open period: its sums and its begin.
type openPeriod struct {
	Number    uint64 `json:"number"`
	StartedAt int64  `json:"begun"` // microseconds since 1970
	// records of the ring in this period and those before
	Consumed uint64             `json:"taken"`
	Units    map[uint64]float64 `json:"units"`
}

// closedPeriod is a closed period, as it is stored until it was collected.
type closedPeriod struct {
	StartedAt int64              `json:"begun"`
	EndedAt   int64              `json:"ended"`
	Units     map[uint64]float64 `json:"units"`
	Last      bool               `json:"last,omitempty"`
}

// Keys of the store: the incarnation that ended last, the open period by incarnation, and closed
// periods by incarnation and number.
var keyEnded = []byte("ended")

func openKey(boot uint64) []byte { return binary.BigEndian.AppendUint64([]byte{'o'}, boot) }

func closedKey(boot, number uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64([]byte{'c'}, boot), number)
}

// Open opens the counts in a folder, creates it where there is none, and closes the period that the
// process before left open. A period lasts for length. Its errors wrap store.ErrLocked where
// another process counts there.
func Open(
	dir, id string, boot uint64, length time.Duration, log *slog.Logger,
) (_ *Counter, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	c := &Counter{
		id:           id,
		incarnation:  boot,
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
	var before, added uint64
	if c.ring, before, added, err = openRing(filepath.Join(dir, "ring")); err != nil {
		return nil, err
	}
	if err := c.closePredecessor(before, added); err != nil {
		return nil, err
	}
	c.ring.reset(boot)
	c.current = openPeriod{
		Number:    1,
		StartedAt: time.Now().UnixMicro(),
		Units:     map[uint64]float64{},
	}
	return c, nil
}

// closePredecessor closes the period that another incarnation left open, with what it left in the
// ring.
func (c *Counter) closePredecessor(boot, added uint64) error {
	left, err := c.load(boot)
	if err != nil || left.Number == 0 {
		return err
	}
	if added > left.Consumed+c.ring.size {
		return fmt.Errorf(
			"usecount: the ring of boot %x has %d records, %d of them counted: it does not belong to these counts",
			boot,
			added,
			left.Consumed,
		)
	}
	for n := left.Consumed; n < added; n++ {
		customer, units := c.ring.record(n)
		left.Units[customer] += units
	}
	if added > left.Consumed {
		c.log.Info("fleet: use of the process before",
			"boot", fmt.Sprintf("%x", boot), "records", added-left.Consumed)
	}
	return c.closePeriod(boot, &left, true, nil)
}

// load returns the period that an incarnation left open. Its number is 0 where that has ended, or
// there was none.
func (c *Counter) load(boot uint64) (p openPeriod, err error) {
	ended, err := c.store.Get(keyEnded)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return p, err
	}
	if boot == 0 || len(ended) == 8 && binary.BigEndian.Uint64(ended) == boot {
		return p, nil
	}
	switch raw, err := c.store.Get(openKey(boot)); {
	case errors.Is(err, store.ErrNotFound):
		p = openPeriod{Number: 1, StartedAt: time.Now().UnixMicro()}
	case err != nil:
		return p, err
	default:
		if err := json.Unmarshal(raw, &p); err != nil {
			return p, fmt.Errorf("usecount: period of boot %x: %w", boot, err)
		}
	}
	if p.Units == nil {
		p.Units = map[uint64]float64{}
	}
	return p, nil
}

// closePeriod closes a period and, unless it is the last of its incarnation, opens the next in the
// same batch.
func (c *Counter) closePeriod(boot uint64, p *openPeriod, last bool, next *openPeriod) error {
	var b store.Batch
	raw, err := json.Marshal(closedPeriod{p.StartedAt, time.Now().UnixMicro(), p.Units, last})
	if err != nil {
		return err
	}
	b.Put(closedKey(boot, p.Number), raw)
	b.Delete(openKey(boot))
	if last {
		b.Put(keyEnded, binary.BigEndian.AppendUint64(nil, boot))
	}
	if next != nil {
		if raw, err = json.Marshal(next); err != nil {
			return err
		}
		b.Put(openKey(boot), raw)
	}
	failpoint.At("use-before-close")
	if err := c.store.Commit(&b, store.Durable); err != nil {
		return err
	}
	failpoint.At("use-after-close")
	return nil
}

// Count adds units that were forwarded for a tenant. It never blocks, and may be called from one
// goroutine alone.
func (c *Counter) Count(customer uint64, units float64) {
	if !c.ring.add(customer, units, c.consumed.Load()) {
		c.lost.Add(1)
	}
}

// Run stores what the ring has and closes periods until the context ends.
func (c *Counter) Run(ctx context.Context) {
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.step(time.Now())
		}
	}
}

// step stores what the ring has, and closes the period when it is over.
func (c *Counter) step(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.store == nil {
		return
	}
	more := c.drainRing()
	over := now.UnixMicro()-c.current.StartedAt >= c.periodLength.Microseconds() &&
		len(c.current.Units) > 0
	var err error
	switch {
	case over:
		next := openPeriod{
			Number:    c.current.Number + 1,
			StartedAt: now.UnixMicro(),
			Consumed:  c.current.Consumed,
			Units:     map[uint64]float64{},
		}
		if err = c.closePeriod(c.incarnation, &c.current, false, &next); err == nil {
			c.current = next
			more = true
		}
	case more:
		var b store.Batch
		var raw []byte
		if raw, err = json.Marshal(&c.current); err == nil {
			b.Put(openKey(c.incarnation), raw)
			err = c.store.Commit(&b, store.Buffered)
		}
	}
	if err != nil {
		// The ring holds new records for as long as it has room.
		if !c.failed {
			c.log.Error("fleet: use can't be kept", "error", err)
		}
		c.failed = true
		c.reopen()
		return
	}
	if c.failed {
		c.log.Info("fleet: use is kept again")
		c.failed = false
	}
	if more {
		c.consumed.Store(c.current.Consumed)
	}
	if lost := c.lost.Load(); lost != c.reportedLost {
		c.log.Error("fleet: use was not counted: there was no room",
			"requests", lost-c.reportedLost)
		c.reportedLost = lost
	}
}

// reopen opens the store again after a failure and goes on from what it holds, as a new process
// would: a batch that failed may be stored or not.
func (c *Counter) reopen() {
	_ = c.store.Close() // its error is that of the failed batch
	s, err := store.Open(c.dir, store.Options{})
	if err != nil {
		return // the closed store goes on failing, and the next step tries again
	}
	c.store = s
	if p, err := c.load(c.incarnation); err == nil && p.Number != 0 {
		c.current = p
	}
}

// drainRing adds the records of the ring to the open period. They stay in the ring until the period
// is stored.
func (c *Counter) drainRing() (more bool) {
	for added := c.ring.added.Load(); c.current.Consumed < added; c.current.Consumed++ {
		customer, units := c.ring.record(c.current.Consumed)
		c.current.Units[customer] += units
		more = true
	}
	return more
}

// Close closes the last period and the store. Nothing may be counted after it.
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

// ClosedPeriods passes the closed periods that were not collected yet to give, in order of
// incarnation and number, and deletes those that were. The argument had is the last period
// collected, by incarnation.
func (c *Counter) ClosedPeriods(had map[uint64]uint64, give func(*controlpb.Part) error) error {
	c.mu.Lock()
	s := c.store
	c.mu.Unlock()
	if s == nil {
		return errors.New("usecount: closed")
	}
	view, err := s.Snapshot()
	if err != nil {
		return err
	}
	defer view.Close()
	var done store.Batch
	for item, err := range view.Range([]byte{'c'}, []byte{'d'}) {
		if err != nil {
			return err
		}
		boot, number := binary.BigEndian.Uint64(item.Key[1:]), binary.BigEndian.Uint64(item.Key[9:])
		if number <= had[boot] {
			done.Delete(item.Key)
			continue
		}
		var p closedPeriod
		if err := json.Unmarshal(item.Value, &p); err != nil {
			return fmt.Errorf("usecount: period %d of boot %x: %w", number, boot, err)
		}
		part := &controlpb.Part{
			Id:          c.id,
			Incarnation: boot,
			Period:      number,
			Begun:       p.StartedAt,
			Ended:       p.EndedAt,
			Last:        p.Last,
		}
		for _, customer := range slices.Sorted(maps.Keys(p.Units)) {
			part.Units = append(part.Units,
				&controlpb.Units{Customer: customer, Units: p.Units[customer]})
		}
		if err := give(part); err != nil {
			return err
		}
	}
	if done.Len() > 0 {
		return s.Commit(&done, store.Buffered)
	}
	return nil
}
