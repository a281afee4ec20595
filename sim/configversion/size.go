package configversion

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mothcleat/internal/controlplane/configversion"
)

// Size holds the durations and the traffic of rollouts in a fleet of one size.
type Size struct {
	ToAll        []time.Duration // from the proposal until all gateways have it in force
	ToNineTenths []time.Duration // from the proposal until 90% have it in force
	Messages     float64         // messages per second and gateway
	Bytes        float64         // bytes of lease responses per second and gateway
	Entries      float64         // log entries per second
	Unfinished   int             // versions that were not in force everywhere before the next one
}

// Measure plays a fleet without faults, in which a version for all is proposed every 10 seconds.
func Measure(seed uint64, gateways, rollOuts int) (s Size) {
	const each = 10 * time.Second
	r := rand.New(rand.NewPCG(seed, 0x517e))
	w := newWorld(r, configversion.DefaultConfig(), gateways)
	w.noFaults, w.noOperations = true, true
	for w.now < each { // until all gateways are enrolled
		w.step(0)
	}
	messages, bytes, entries, began := w.messages, w.bytes, w.index, w.now
	for k := range rollOuts {
		m := w.members[r.IntN(gateways)]
		op := configversion.Command{
			Kind:   configversion.KindPropose,
			Item:   names[0],
			Number: uint64(k + 1),
			Digest: fmt.Sprintf("%016x%048x", r.Uint64(), 1),
			Size:   1,
			Stage:  configversion.StageAll,
		}
		for k := range voters {
			w.members[k].content[op.Digest] = true
		}
		m.content[op.Digest] = true
		w.apply(m, op, nil)
		at, nineTenths, all := w.now, time.Duration(0), time.Duration(0)
		for w.now < at+each {
			w.step(0)
			has := 0
			for _, o := range w.members {
				if o.holder.InForce()[names[0]] >= uint64(k+2) {
					has++
				}
			}
			if nineTenths == 0 && has*10 >= gateways*9 {
				nineTenths = w.now - at
			}
			if all == 0 && has == gateways {
				all = w.now - at
			}
		}
		if all == 0 {
			s.Unfinished++
			continue
		}
		s.ToAll, s.ToNineTenths = append(s.ToAll, all), append(s.ToNineTenths, nineTenths)
	}
	per := (w.now - began).Seconds() * float64(gateways)
	s.Messages = float64(w.messages-messages) / per
	s.Bytes = float64(w.bytes-bytes) / per
	s.Entries = float64(w.index-entries) / (w.now - began).Seconds()
	return s
}
