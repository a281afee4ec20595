package harness

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Traffic is what one customer asks for: a Poisson stream at the rate of its use.
// The same site, seed and customer give the same requests in every rig.
type Traffic struct {
	site *Site
	who  *Customer
	rand *rand.Rand
	rate float64 // requests a second
}

// Traffic is the stream of the customer with a number.
func (s *Site) Traffic(seed uint64, number int) *Traffic {
	who := &s.Customers[number]
	units := 0.0
	for _, k := range s.Classes {
		units += k.Share * (k.MinUnits + k.MaxUnits) / 2
	}
	return &Traffic{
		s,
		who,
		rand.New(rand.NewPCG(seed, uint64(number))),
		who.Use * s.Plans[who.Plan].Rate / units,
	}
}

// Pause is how long after the last request the next one comes.
func (t *Traffic) Pause() time.Duration {
	return time.Duration(t.rand.ExpFloat64() / t.rate * float64(time.Second))
}

// Request is the next request, asked at a time, and what draws all that its client does.
func (t *Traffic) Request(now time.Duration) (Try, *rand.Rand) {
	s, r, class := t.site, t.rand, 0
	for x := r.Float64(); class < len(s.Classes)-1 && x >= s.Classes[class].Share; class++ {
		x -= s.Classes[class].Share
	}
	k := &s.Classes[class]
	first := Try{Customer: t.who.ID, Plan: t.who.Plan, Class: class,
		Units: k.MinUnits + float64(r.IntN(int(k.MaxUnits-k.MinUnits)+1)), RequestedAt: now}
	if k.Keyed {
		first.Key = Hex16(r.Uint64())
	}
	return first, rand.New(rand.NewPCG(r.Uint64(), 1))
}

// ClientTimeout is how long a client waits for a try of a class.
func (s *Site) ClientTimeout(class int, r *rand.Rand) time.Duration {
	return time.Duration(Between(r, 0.5, 1) * float64(s.Classes[class].GiveUp))
}

// AbandonDelay is how long after a try its client loses patience and closes the connection; 0: it
// waits for the answer.
func (s *Site) AbandonDelay(r *rand.Rand) time.Duration {
	if s.AbandonFraction == 0 || r.Float64() >= s.AbandonFraction {
		return 0
	}
	return time.Duration(Between(r, 5, 250) * float64(time.Millisecond))
}

// Backoff is how long a client waits after its nth try, from 0, in vain.
func Backoff(n int, advice time.Duration, r *rand.Rand) time.Duration {
	return max(time.Duration(Between(r, 50, 100)*float64(int(1)<<n))*time.Millisecond, advice)
}

// PickGateway deals a try out to a gateway of the customer's set: unevenly, and the
// busiest one changes now and then; a retry goes through another. Those not up
// are passed over while others are.
func (s *Site) PickGateway(
	who *Customer, last int, now time.Duration, up func(gateway int) bool, r *rand.Rand,
) int {
	set := make([]int, 0, who.Spread)
	for i := range who.Spread {
		if g := (who.First + i) % s.Gateways; g != last || who.Spread == 1 {
			set = append(set, g)
		}
	}
	alive := slices.DeleteFunc(slices.Clone(set), func(g int) bool { return !up(g) })
	if len(alive) == 0 {
		alive = set
	}
	favourite := int(now/s.Shift) + who.First
	if r.Float64() < 0.5 {
		return alive[favourite%len(alive)]
	}
	return alive[r.IntN(len(alive))]
}
