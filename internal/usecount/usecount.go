// Package usecount counts what a gateway sends on, by customer and period, so that a kill at any
// instruction takes nothing: at most the one request whose sending and counting it came between.
//
// The gateway's loop adds to a ring in mapped memory, which costs some ten nanoseconds and never waits. Another
// goroutine takes from it and keeps sums in a store, together with how far it has taken, so that each record is in one
// period once. The next process finishes what the last one left.
package usecount

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

	"mothcleat/internal/failpoint"
	"mothcleat/internal/fleetpb"
	"mothcleat/store"
)

const takeEvery = 50 * time.Millisecond

// Counter counts for one process.
type Counter struct {
	id     string
	boot   uint64
	period time.Duration
	log    *slog.Logger

	dir   string // of the store
	ring  *ring
	taken atomic.Uint64 // records
	lost  atomic.Uint64 // records for which there was no room

	mu     sync.Mutex
	store  *store.Store
	open   period
	told   uint64 // of lost
	failed bool
}

// period is the one that is open: its sums, and where it began.
type period struct {
	Number uint64             `json:"number"`
	Begun  int64              `json:"begun"` // microseconds since 1970
	Taken  uint64             `json:"taken"` // records of the ring in this period and those before
	Units  map[uint64]float64 `json:"units"`
}

// closed is a period as it is kept until it was collected.
type closed struct {
	Begun int64              `json:"begun"`
	Ended int64              `json:"ended"`
	Units map[uint64]float64 `json:"units"`
	Last  bool               `json:"last,omitempty"`
}

// Keys: the boot that ended last, an open period by boot, closed ones by boot and number.
var keyEnded = []byte("ended")

func openKey(boot uint64) []byte { return binary.BigEndian.AppendUint64([]byte{'o'}, boot) }

func closedKey(boot, number uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64([]byte{'c'}, boot), number)
}

// Open opens the counts in a folder, makes it where there is none, and closes what the process before left
// open. Its errors wrap store.ErrLocked where another process counts there.
func Open(dir, id string, boot uint64, length time.Duration, log *slog.Logger) (_ *Counter, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	c := &Counter{id: id, boot: boot, period: length, log: log, dir: filepath.Join(dir, "counts")}
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
	if err := c.finish(before, added); err != nil {
		return nil, err
	}
	c.ring.begin(boot)
	c.open = period{Number: 1, Begun: time.Now().UnixMicro(), Units: map[uint64]float64{}}
	return c, nil
}

// finish closes the period that another boot left open, with what still lies in the ring.
func (c *Counter) finish(boot, added uint64) error {
	left, err := c.load(boot)
	if err != nil || left.Number == 0 {
		return err
	}
	if added > left.Taken+c.ring.size {
		return fmt.Errorf("usecount: the ring of boot %x has %d records, %d of them counted: it does not belong to these counts", boot, added, left.Taken)
	}
	for n := left.Taken; n < added; n++ {
		customer, units := c.ring.record(n)
		left.Units[customer] += units
	}
	if added > left.Taken {
		c.log.Info("fleet: use of the process before", "boot", fmt.Sprintf("%x", boot), "records", added-left.Taken)
	}
	return c.put(boot, &left, true, nil)
}

// load gives the period that a boot left open; number 0: it has ended, or there was none.
func (c *Counter) load(boot uint64) (p period, err error) {
	ended, err := c.store.Get(keyEnded)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return p, err
	}
	if boot == 0 || len(ended) == 8 && binary.BigEndian.Uint64(ended) == boot {
		return p, nil
	}
	switch raw, err := c.store.Get(openKey(boot)); {
	case errors.Is(err, store.ErrNotFound):
		p = period{Number: 1, Begun: time.Now().UnixMicro()}
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

// put closes a period and, unless it is the boot's last, opens the next in the same batch.
func (c *Counter) put(boot uint64, p *period, last bool, next *period) error {
	var b store.Batch
	raw, err := json.Marshal(closed{p.Begun, time.Now().UnixMicro(), p.Units, last})
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

// Count adds units that were sent on for a customer. It is for one goroutine, and never waits.
func (c *Counter) Count(customer uint64, units float64) {
	if !c.ring.add(customer, units, c.taken.Load()) {
		c.lost.Add(1)
	}
}

// Run takes from the ring and closes periods until the context ends.
func (c *Counter) Run(ctx context.Context) {
	tick := time.NewTicker(takeEvery)
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

// step takes what is there, and closes the period when it is over.
func (c *Counter) step(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.store == nil {
		return
	}
	more := c.take()
	over := now.UnixMicro()-c.open.Begun >= c.period.Microseconds() && len(c.open.Units) > 0
	var err error
	switch {
	case over:
		next := period{Number: c.open.Number + 1, Begun: now.UnixMicro(), Taken: c.open.Taken, Units: map[uint64]float64{}}
		if err = c.put(c.boot, &c.open, false, &next); err == nil {
			c.open = next
			more = true
		}
	case more:
		var b store.Batch
		var raw []byte
		if raw, err = json.Marshal(&c.open); err == nil {
			b.Put(openKey(c.boot), raw)
			err = c.store.Commit(&b, store.Buffered)
		}
	}
	if err != nil {
		// The ring keeps what comes for as long as it has room.
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
		c.taken.Store(c.open.Taken)
	}
	if lost := c.lost.Load(); lost != c.told {
		c.log.Error("fleet: use was not counted: there was no room", "requests", lost-c.told)
		c.told = lost
	}
}

// reopen opens the store anew after a failure, and goes on from what it holds, as a new process would: a batch that failed may be
// there or not.
func (c *Counter) reopen() {
	_ = c.store.Close() // its error is the one that brought this here
	s, err := store.Open(c.dir, store.Options{})
	if err != nil {
		return // the closed one goes on failing, and this is tried again
	}
	c.store = s
	if p, err := c.load(c.boot); err == nil && p.Number != 0 {
		c.open = p
	}
}

// take adds the ring's records to the open period. What was added stays in the ring until it is kept.
func (c *Counter) take() (more bool) {
	for added := c.ring.added.Load(); c.open.Taken < added; c.open.Taken++ {
		customer, units := c.ring.record(c.open.Taken)
		c.open.Units[customer] += units
		more = true
	}
	return more
}

// Close closes the last period. Nothing may be counted any more.
func (c *Counter) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.store == nil {
		return nil
	}
	c.take()
	err := c.put(c.boot, &c.open, true, nil)
	if err == nil {
		c.ring.begin(0)
	}
	err = errors.Join(err, c.store.Close(), c.ring.close())
	c.store = nil
	return err
}

// Parts gives the closed periods that were not collected, in their order by boot, and drops those that were. had has for
// each boot the last period collected.
func (c *Counter) Parts(had map[uint64]uint64, give func(*fleetpb.Part) error) error {
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
		var p closed
		if err := json.Unmarshal(item.Value, &p); err != nil {
			return fmt.Errorf("usecount: period %d of boot %x: %w", number, boot, err)
		}
		part := &fleetpb.Part{Id: c.id, Boot: boot, Period: number, Begun: p.Begun, Ended: p.Ended, Last: p.Last}
		for _, customer := range slices.Sorted(maps.Keys(p.Units)) {
			part.Units = append(part.Units, &fleetpb.Units{Customer: customer, Units: p.Units[customer]})
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
