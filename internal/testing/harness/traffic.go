package harness

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Traffic is the requests of one customer: a Poisson process at the rate of its use. The same site,
// seed and customer give the same requests in every rig.
type Traffic struct {
	site *Site
	who  *Customer
	rand *rand.Rand
	// rate is in requests a second.
	rate float64
}

// Traffic returns the traffic of the customer with that index in Customers.
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

// Pause returns the time between the last request and the next one.
func (t *Traffic) Pause() time.Duration {
	return time.Duration(t.rand.ExpFloat64() / t.rate * float64(time.Second))
}

// Request returns the next request, with now as its RequestedAt, and the random source for the
// decisions of its client.
func (t *Traffic) Request(now time.Duration) (Try, *rand.Rand) {
	number := t.site.drawClass(t.rand)
	class := &t.site.Classes[number]
	moreUnits := t.rand.IntN(int(class.MaxUnits-class.MinUnits) + 1)
	first := Try{
		Customer:    t.who.ID,
		Plan:        t.who.Plan,
		Class:       number,
		Units:       class.MinUnits + float64(moreUnits),
		RequestedAt: now,
	}
	if class.Keyed {
		first.Key = Hex16(t.rand.Uint64())
	}
	return first, rand.New(rand.NewPCG(t.rand.Uint64(), 1))
}

// drawClass draws the number of a class by the classes' shares.
func (s *Site) drawClass(r *rand.Rand) int {
	x := r.Float64()
	for number := range len(s.Classes) - 1 {
		if x < s.Classes[number].Share {
			return number
		}
		x -= s.Classes[number].Share
	}
	return len(s.Classes) - 1
}

// ClientTimeout returns how long a client waits for a try of a class.
func (s *Site) ClientTimeout(class int, r *rand.Rand) time.Duration {
	return time.Duration(Between(r, 0.5, 1) * float64(s.Classes[class].GiveUp))
}

// AbandonDelay returns how long after a try its client closes the connection; 0 if it waits for the
// answer.
func (s *Site) AbandonDelay(r *rand.Rand) time.Duration {
	if s.AbandonFraction == 0 || r.Float64() >= s.AbandonFraction {
		return 0
	}
	return time.Duration(Between(r, 5, 250) * float64(time.Millisecond))
}

// Backoff returns how long a client waits after its nth unserved try, counted from 0.
func Backoff(n int, advice time.Duration, r *rand.Rand) time.Duration {
	return max(time.Duration(Between(r, 50, 100)*float64(int(1)<<n))*time.Millisecond, advice)
}

// PickGateway picks a gateway of the customer's set for a try. The distribution is uneven, and the
// busiest gateway changes at intervals. A retry uses another gateway than last. Gateways that are
// not up are skipped unless all are down.
func (s *Site) PickGateway(
	who *Customer, last int, now time.Duration, up func(gateway int) bool, r *rand.Rand,
) int {
	set := make([]int, 0, who.Spread)
	for i := range who.Spread {
		if g := (who.First + i) % s.Gateways; g != last || who.Spread == 1 {
			set = append(set, g)
		}
	}
	available := slices.DeleteFunc(slices.Clone(set), func(g int) bool { return !up(g) })
	if len(available) == 0 {
		available = set
	}
	favourite := int(now/s.Shift) + who.First
	if r.Float64() < 0.5 {
		return available[favourite%len(available)]
	}
	return available[r.IntN(len(available))]
}
