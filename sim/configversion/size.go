package configversion

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mothcleat/internal/controlplane/configversion"
)

// Size is what a roll-out costs a fleet of a size.
type Size struct {
	ToAll        []time.Duration // from the proposal until all have it in force
	ToNineTenths []time.Duration // and until all but one in ten
	Words        float64         // messages a second and gateway
	Bytes        float64         // told a second and gateway
	Agreed       float64         // entries a second
	Roundoff     int             // versions that were not in force everywhere before the next
}

// Measure plays a fleet in which nothing fails, with a version for all each ten seconds.
func Measure(seed uint64, gateways, rollOuts int) (s Size) {
	const each = 10 * time.Second
	r := rand.New(rand.NewPCG(seed, 0x517e))
	w := newWorld(r, configversion.DefaultConfig(), gateways)
	w.noFaults, w.noOperations = true, true
	for w.now < each { // all are enrolled
		w.step(0)
	}
	words, bytes, entries, began := w.words, w.bytes, w.index, w.now
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
		for k := range keepers {
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
			s.Roundoff++
			continue
		}
		s.ToAll, s.ToNineTenths = append(s.ToAll, all), append(s.ToNineTenths, nineTenths)
	}
	per := (w.now - began).Seconds() * float64(gateways)
	s.Words = float64(w.words-words) / per
	s.Bytes = float64(w.bytes-bytes) / per
	s.Agreed = float64(w.index-entries) / (w.now - began).Seconds()
	return s
}
