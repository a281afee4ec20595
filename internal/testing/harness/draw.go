package harness

import (
	"math/rand/v2"
	"time"
)

// Between draws a uniformly distributed number in [a, b).
func Between(r *rand.Rand, a, b float64) float64 { return a + (b-a)*r.Float64() }

// Draw has the seed and the size of a site to be drawn.
type Draw struct {
	Seed              uint64
	Gateways, Servers int
	// Load is the load inside quotas as a fraction of the servers' capacity.
	Load float64
	// PerSecond is the rate of requests inside quotas, to which the work of a request is scaled; 0
	// for no scaling.
	PerSecond float64
	// Customers is the approximate number of customers, to which the size of plans is scaled; 0 for
	// no scaling.
	Customers int
}

// NewSite draws a site without scaling its request rate or its plans.
func NewSite(seed uint64, gateways, servers int, load float64) *Site {
	return Draw{Seed: seed, Gateways: gateways, Servers: servers, Load: load}.Site()
}

// largestRequestUnits is the largest number of units of a request.
const largestRequestUnits = 4

// siteStream separates the random numbers of a site from others of the same seed. It selects the
// random stream: another value would change what every seed draws.
const siteStream = 0x51

// Site draws a site from the ranges that the operators have published. The order of the draws is
// part of what a seed means.
func (d Draw) Site() *Site {
	r := rand.New(rand.NewPCG(d.Seed, siteStream))
	s := &Site{
		Classes:              drawClasses(r),
		Plans:                drawPlans(r),
		Gateways:             d.Gateways,
		Servers:              d.Servers,
		SlowStartMinFraction: 0.15,
		SlowStartDuration:    16 * time.Second,
		OverloadMultiple:     4,
		OverloadWindow:       time.Second,
		DrainTimeout:         2 * time.Second,
		MessageLoss:          0.06,
		RegisterLag:          2 * time.Second,
		Retries:              3,
		Shift:                15 * time.Second,
		MaxAttempts:          3,
	}
	if d.Customers > 0 {
		s.scalePlans(d)
	}
	s.drawBursts(r)
	work, units, capacity := s.totals()
	s.PerSecond = d.Load * capacity / work
	if d.PerSecond > 0 {
		for i := range s.Classes {
			class := &s.Classes[i]
			class.Work = time.Duration(float64(class.Work) * s.PerSecond / d.PerSecond)
		}
		s.PerSecond = d.PerSecond
	}
	s.drawCustomers(r, units)
	return s
}

func drawClasses(r *rand.Rand) []Class {
	return []Class{
		{
			Name:          "cotacao",
			Share:         0.76,
			Work:          time.Duration(Between(r, 120, 210)) * time.Millisecond,
			LatencyTarget: time.Second,
			GiveUp:        3 * time.Second,
			Value:         1,
			MinUnits:      1,
			MaxUnits:      2,
			Command:       "API.READ",
		},
		{
			Name:                "alerta",
			Share:               0.24,
			Work:                time.Duration(Between(r, 260, 460)) * time.Millisecond,
			LatencyTarget:       4 * time.Second,
			GiveUp:              15 * time.Second,
			Value:               3,
			Keyed:               true,
			DeduplicationWindow: 30 * time.Second,
			MinUnits:            2,
			MaxUnits:            largestRequestUnits,
			Command:             "API.WRITE",
		},
	}
}

// drawPlans draws the plans without bursts and ceilings. The last one has a ceiling.
func drawPlans(r *rand.Rand) []Plan {
	return []Plan{
		{Name: "basico", Share: 0.36, Rate: Between(r, 0.96, 1.7), Price: 0.72},
		{Name: "profissional", Share: 0.41, Rate: Between(r, 2.9, 4.9), Price: 1.2},
		{
			Name:        "corporativo",
			Share:       0.23,
			Rate:        Between(r, 11, 20),
			Price:       1.8,
			BeyondEarns: 0.3,
		},
	}
}

// drawBursts draws the bursts of the plans, and the ceiling of the last one.
func (s *Site) drawBursts(r *rand.Rand) {
	for i, burst := range [][2]float64{{3.2, 5.8}, {3.5, 6}, {1.3, 2.8}} {
		p := &s.Plans[i]
		p.Burst = max(p.Rate*Between(r, burst[0], burst[1]), 2*largestRequestUnits)
	}
	corporate := &s.Plans[2]
	corporate.Burst = max(corporate.Burst, 4*largestRequestUnits)
	times := Between(r, 1.7, 2.6)
	corporate.CeilingRate = times * corporate.Rate
	corporate.CeilingBurst = times * corporate.Burst
	corporate.CeilingSlack = max(0.1*corporate.CeilingBurst, largestRequestUnits)
}

// drawCustomers draws customers until their use inside quotas adds up to the site's load. units is
// the mean number of units of a request.
func (s *Site) drawCustomers(r *rand.Rand, units float64) {
	for i, p := range s.Plans {
		for missing := p.Share * s.PerSecond * units; missing > 0; {
			use := drawUse(r)
			missing -= min(use, 1) * p.Rate
			s.Customers = append(s.Customers, Customer{
				Plan:   i,
				First:  r.IntN(s.Gateways),
				Spread: min(s.Gateways, 2+r.IntN(3)),
				Use:    use,
				ID:     Hex16(uint64(r.Uint32())),
			})
		}
	}
}

// drawUse draws a customer's use as a fraction of its rate.
func drawUse(r *rand.Rand) float64 {
	use := Between(r, 0.15, 0.7)
	x := r.Float64()
	switch {
	case x < 0.15:
		return Between(r, 0.85, 1) // nearly all
	case x < 0.25:
		return Between(r, 1.3, 3) // more than it has bought
	}
	return use
}

// scalePlans scales the plans so that about d.Customers customers, each using 0.47 of its rate,
// generate the load inside quotas.
func (s *Site) scalePlans(d Draw) {
	work, units, capacity := s.totals()
	perSecond := d.Load * capacity / work
	if d.PerSecond > 0 {
		perSecond = d.PerSecond
	}
	customers := 0.0
	for _, p := range s.Plans {
		customers += p.Share * perSecond * units / (0.55 * p.Rate)
	}
	for i := range s.Plans {
		s.Plans[i].Rate *= customers / float64(d.Customers)
	}
}
