package harness

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// ServerIdle is how long a connection may stand idle before a server closes it.
const ServerIdle = 10 * time.Second

// Class is a class of requests as the operators describe it.
type Class struct {
	Name                string
	Share               float64
	Work                time.Duration // mean, of one core at speed 1
	LatencyTarget       time.Duration // an answer by then has its full worth
	GiveUp              time.Duration
	Value               float64
	Keyed               bool          // else safe to repeat
	DeduplicationWindow time.Duration // in which every server drops a repeat
	Unsafe              bool          // must never run twice; no class of the site is, tests are
	MinUnits            float64       // units that a request takes, from
	MaxUnits            float64       // and to
	Command             string
}

// Plan is what a customer buys. Rates are units a second.
type Plan struct {
	Name         string
	Share        float64 // of the use inside the quotas
	Rate, Burst  float64
	Price        float64
	BeyondEarns  float64
	CeilingRate  float64 // 0: none
	CeilingBurst float64
	CeilingSlack float64
}

// Customer is one partner.
type Customer struct {
	ID            string
	Plan          int
	First, Spread int
	Use           float64 // asked on average, as a part of the rate
}

// Site is a draw of all that the operators' ranges leave open.
type Site struct {
	Classes   []Class
	Plans     []Plan
	Customers []Customer
	Servers   int
	Gateways  int
	PerSecond float64 // requests inside the quotas

	SlowStartMinFraction float64
	SlowStartDuration    time.Duration
	OverloadMultiple     float64
	OverloadWindow       time.Duration
	DrainTimeout         time.Duration
	MessageLoss          float64
	RegisterLag          time.Duration // the longest
	Retries              int
	Shift                time.Duration // how often the busiest gateway of a customer changes
	MaxAttempts          int
	Counter              bool // no notes: the gateways count at the counter

	// the part of the tries whose client leaves before an answer; 0 unless a rig sets it
	AbandonFraction float64

	keys keyRegistry
}

// keyRegistry is what all quote servers remember together of keys.
type keyRegistry struct {
	mu   sync.Mutex
	seen map[string]time.Duration
}

// Remember reports whether a key's effect happens now, and keeps it for the window.
func (s *Site) Remember(key string, now, window time.Duration) bool {
	k := &s.keys
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.seen == nil {
		k.seen = map[string]time.Duration{}
	}
	if at, ok := k.seen[key]; ok && now-at <= window {
		return false
	}
	k.seen[key] = now
	return true
}

// Between draws evenly from a span.
func Between(r *rand.Rand, a, b float64) float64 { return a + (b-a)*r.Float64() }

// Draw says what site is drawn.
type Draw struct {
	Seed              uint64
	Gateways, Servers int
	Load              float64 // the part of what the servers can do that is asked inside the quotas
	// requests inside the quotas: work is lighter or heavier for it; 0: as drawn
	PerSecond float64
	Customers int // plans are larger or smaller for it, about; 0: as drawn
}

// NewSite draws a site of the operators' own size.
func NewSite(seed uint64, gateways, servers int, load float64) *Site {
	return Draw{Seed: seed, Gateways: gateways, Servers: servers, Load: load}.Site()
}

// Site draws a site. The ranges are those that the operators have published.
func (d Draw) Site() *Site {
	seed, gateways, servers, load := d.Seed, d.Gateways, d.Servers, d.Load
	r := rand.New(rand.NewPCG(seed, 0x51))
	s := &Site{
		Classes: []Class{
			{Name: "cotacao", Share: 0.76, Work: time.Duration(Between(r, 120, 210)) *
				time.Millisecond, LatencyTarget: time.Second,
				GiveUp: 3 * time.Second, Value: 1, MinUnits: 1, MaxUnits: 2, Command: "API.READ"},
			{Name: "alerta",
				Share: 0.24,
				Work: time.Duration(Between(r, 260, 460)) *
					time.Millisecond,
				LatencyTarget:       4 * time.Second,
				GiveUp:              15 * time.Second,
				Value:               3,
				Keyed:               true,
				DeduplicationWindow: 30 * time.Second,
				MinUnits:            2,
				MaxUnits:            4,
				Command:             "API.WRITE"},
		},
		Plans: []Plan{
			{Name: "basico", Share: 0.36, Rate: Between(r, 0.96, 1.7), Price: 0.72},
			{Name: "profissional", Share: 0.41, Rate: Between(r, 2.9, 4.9), Price: 1.2},
			{
				Name:        "corporativo",
				Share:       0.23,
				Rate:        Between(r, 11, 20),
				Price:       1.8,
				BeyondEarns: 0.3,
			},
		},
		Gateways:             gateways,
		Servers:              servers,
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
	const most = 4 // units of the largest request
	for i, burst := range [][2]float64{{3.2, 5.8}, {3.5, 6}, {1.3, 2.8}} {
		p := &s.Plans[i]
		p.Burst = max(p.Rate*Between(r, burst[0], burst[1]), 2*most)
	}
	corporate := &s.Plans[2]
	corporate.Burst = max(corporate.Burst, 4*most)
	times := Between(r, 1.7, 2.6)
	corporate.CeilingRate, corporate.CeilingBurst = times*corporate.Rate, times*corporate.Burst
	corporate.CeilingSlack = max(0.1*corporate.CeilingBurst, most)

	work, units, capacity := s.totals()
	s.PerSecond = load * capacity / work
	if d.PerSecond > 0 {
		for i := range s.Classes {
			s.Classes[i].Work = time.Duration(
				float64(s.Classes[i].Work) * s.PerSecond / d.PerSecond,
			)
		}
		s.PerSecond = d.PerSecond
	}
	for i, p := range s.Plans {
		for want := p.Share * s.PerSecond * units; want > 0; {
			use := Between(r, 0.15, 0.7)
			if x := r.Float64(); x < 0.15 {
				use = Between(r, 0.85, 1) // uses nearly all
			} else if x < 0.25 {
				use = Between(r, 1.3, 3) // asks for more than it has
			}
			want -= min(use, 1) * p.Rate
			s.Customers = append(s.Customers, Customer{
				Plan: i, First: r.IntN(gateways), Spread: min(gateways, 2+r.IntN(3)), Use: use,
				ID: Hex16(uint64(r.Uint32())),
			})
		}
	}
	return s
}

// SpreadAll has every customer come through so many gateways; 0: as drawn.
func (s *Site) SpreadAll(gateways int) {
	for i := range s.Customers {
		if gateways > 0 {
			s.Customers[i].Spread = min(gateways, s.Gateways)
		}
	}
}

// totals are the mean work of a request in core seconds, the mean units that it takes,
// and what all servers can do, in cores of speed 1.
func (s *Site) totals() (work, units, capacity float64) {
	for _, c := range s.Classes {
		work += c.Share * c.Work.Seconds()
		units += c.Share * (c.MinUnits + c.MaxUnits) / 2
	}
	for i := range s.Servers {
		cores, speed := s.Machine(i)
		capacity += cores * speed
	}
	return work, units, capacity
}

// scalePlans makes the plans so large that about so many customers use what is asked
// inside the quotas: each uses some 0.47 of its rate.
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

// Machine is the size of a server: cores and their speed.
func (s *Site) Machine(i int) (cores, speed float64) {
	if i%2 == 0 {
		return 2, 1.3 + 0.4*float64(i%5)/4
	}
	return 2, 0.85 + 0.25*float64(i%5)/4
}

// Settings is the object that a gateway is told at its start, for one of them.
func (s *Site) Settings(self int) map[string]any {
	classes, plans := []any{}, []any{}
	for _, c := range s.Classes {
		repeat, window := "retryable", time.Duration(0)
		if c.Keyed {
			repeat, window = "dedup", c.DeduplicationWindow
		} else if c.Unsafe {
			repeat = "fragile"
		}
		classes = append(classes, map[string]any{
			"name":          c.Name,
			"promise-us":    c.LatencyTarget.Microseconds(),
			"hard-limit-us": c.GiveUp.Microseconds(),
			"repeat":        repeat,
			"group":         "all",
			"window-us":     window.Microseconds(),
			"worth":         c.Value,
		})
	}
	for _, p := range s.Plans {
		plan := map[string]any{
			"name": p.Name, "rate": p.Rate, "burst": p.Burst, "value-factor": p.Price,
			"beyond-earns": p.BeyondEarns, "beyond-costs": 1,
		}
		if p.CeilingRate > 0 {
			plan["never-over-rate"], plan["ceiling-burst"], plan["hard-slack"] = p.CeilingRate, p.CeilingBurst, p.CeilingSlack
		}
		plans = append(plans, plan)
	}
	return map[string]any{
		"self-index":     self,
		"balancers":      s.Gateways,
		"az":             0,
		"granularity-us": 4000,
		"localities":     []string{"sala-1"},
		"ceilings": map[string]any{
			"peers":              !s.Counter && s.Gateways > 1,
			"probes":             false,
			"second-copies":      true,
			"retry-after":        true,
			"max-attempts":       s.MaxAttempts,
			"max-retry-after-us": 1000000,
			"max-open":           20000,
			"dial-timeout-us":    250000,
			"idle-close-us":      ServerIdle.Microseconds(),
		},
		"family-info": map[string]any{
			"counter":            s.Counter,
			"settles":            false,
			"counter-timeout-us": 50000,
			"max-units":          4,
			"mail-per-s":         60,
		},
		"guarantees": map[string]any{
			"cold-from":      s.SlowStartMinFraction,
			"cold-us":        s.SlowStartDuration.Microseconds(),
			"tip-after-us":   s.OverloadWindow.Microseconds(),
			"drain-grace-us": s.DrainTimeout.Microseconds(),
		},
		"membership-mode": "pushed",
		"weights":         "silent",
		"report":          map[string]any{"names": []string{}, "via": "silent"},
		"request-classes": classes,
		"tariffs":         plans,
	}
}

// ValueOf is the value that a server makes for a request: it holds both names, so
// that the auditor can tell one made for another request or by nobody.
func ValueOf(id, server string) string { return "quote " + id + " by " + server }

// Hex16 is a number as 16 hex digits, as customers and requests are named.
func Hex16(n uint64) string { return fmt.Sprintf("%016x", n) }
