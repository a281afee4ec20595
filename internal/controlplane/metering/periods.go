package metering

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/failpoint"
	"mothcleat/internal/storage/store"
)

// openPeriod is the stored form of the open period.
type openPeriod struct {
	Number uint64 `json:"number"`
	// StartedAt is in microseconds since 1970.
	StartedAt int64 `json:"begun"`
	// Consumed is the number of records of the ring in this period and those before it.
	Consumed uint64 `json:"taken"`
	// Units are the sums by customer.
	Units map[uint64]float64 `json:"units"`
}

// closedPeriod is the stored form of a closed period, which is kept until it has been collected.
// Times are in microseconds since 1970.
type closedPeriod struct {
	StartedAt int64              `json:"begun"`
	EndedAt   int64              `json:"ended"`
	Units     map[uint64]float64 `json:"units"`
	Last      bool               `json:"last,omitempty"`
}

// keyEnded is the key of the incarnation that ended last. The other keys, which openKey and
// closedKey return, are of the open period by incarnation, and of closed periods by incarnation and
// number.
var keyEnded = []byte("ended")

func openKey(incarnation uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{'o'}, incarnation)
}

func closedKey(incarnation, number uint64) []byte {
	key := binary.BigEndian.AppendUint64([]byte{'c'}, incarnation)
	return binary.BigEndian.AppendUint64(key, number)
}

// load returns the period that an incarnation left open. Its number is 0 if the incarnation has
// ended or never counted.
func (c *Counter) load(incarnation uint64) (p openPeriod, err error) {
	ended, err := c.store.Get(keyEnded)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return p, err
	}
	if incarnation == 0 || len(ended) == 8 && binary.BigEndian.Uint64(ended) == incarnation {
		return p, nil
	}
	raw, err := c.store.Get(openKey(incarnation))
	switch {
	case errors.Is(err, store.ErrNotFound):
		p = openPeriod{Number: 1, StartedAt: time.Now().UnixMicro()}
	case err != nil:
		return p, err
	default:
		if err := json.Unmarshal(raw, &p); err != nil {
			return p, fmt.Errorf("metering: period of incarnation %x: %w", incarnation, err)
		}
	}
	if p.Units == nil {
		p.Units = map[uint64]float64{}
	}
	return p, nil
}

// closePeriod closes a period and, unless it is the last of its incarnation, opens the next one in
// the same batch.
func (c *Counter) closePeriod(
	incarnation uint64, p *openPeriod, last bool, next *openPeriod,
) error {
	var b store.Batch
	raw, err := json.Marshal(closedPeriod{p.StartedAt, time.Now().UnixMicro(), p.Units, last})
	if err != nil {
		return err
	}
	b.Put(closedKey(incarnation, p.Number), raw)
	b.Delete(openKey(incarnation))
	if last {
		b.Put(keyEnded, binary.BigEndian.AppendUint64(nil, incarnation))
	}
	if next != nil {
		if raw, err = json.Marshal(next); err != nil {
			return err
		}
		b.Put(openKey(incarnation), raw)
	}
	failpoint.At("use-before-close")
	if err := c.store.Commit(&b, store.Durable); err != nil {
		return err
	}
	failpoint.At("use-after-close")
	return nil
}

// ErrClosed is returned by a Counter that was closed.
var ErrClosed = errors.New("metering: closed")

// ClosedPeriods calls collect for the closed periods that have not been collected, in order of
// incarnation and number, and deletes those that have. collected maps each incarnation to the
// number of its last collected period. ClosedPeriods returns ErrClosed after Close, or the error of
// collect.
func (c *Counter) ClosedPeriods(
	collected map[uint64]uint64,
	collect func(*controlpb.UsagePeriod) error,
) error {
	c.mu.Lock()
	s := c.store
	c.mu.Unlock()
	if s == nil {
		return ErrClosed
	}
	view, err := s.Snapshot()
	if err != nil {
		return err
	}
	defer view.Close()
	var deletions store.Batch
	for item, err := range view.Range([]byte{'c'}, []byte{'d'}) {
		if err != nil {
			return err
		}
		incarnation := binary.BigEndian.Uint64(item.Key[1:])
		number := binary.BigEndian.Uint64(item.Key[9:])
		if number <= collected[incarnation] {
			deletions.Delete(item.Key)
			continue
		}
		var p closedPeriod
		if err := json.Unmarshal(item.Value, &p); err != nil {
			return fmt.Errorf("metering: period %d of incarnation %x: %w", number, incarnation, err)
		}
		period := &controlpb.UsagePeriod{
			Id:          c.id,
			Incarnation: incarnation,
			Period:      number,
			StartedAt:   p.StartedAt,
			EndedAt:     p.EndedAt,
			Last:        p.Last,
		}
		for _, customer := range slices.Sorted(maps.Keys(p.Units)) {
			period.Units = append(period.Units,
				&controlpb.Units{Customer: customer, Units: p.Units[customer]})
		}
		if err := collect(period); err != nil {
			return err
		}
	}
	if deletions.Len() > 0 {
		return s.Commit(&deletions, store.Buffered)
	}
	return nil
}
