package allocation

import (
	"math"
	"math/rand/v2"
	"time"

	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// Scheme is a way to enforce a quota across many gateways.
type Scheme string

// The schemes that are compared. None of them ever exceeds the limit.
const (
	SharedBucket      Scheme = "one bank"        // the baseline: one bucket without delay
	Even              Scheme = "even parts"      // each gateway has a static, equal share
	SharesOnly        Scheme = "parts"           // shares by demand as in Rules, no units on demand
	SharesAndOnDemand Scheme = "parts and loans" // the same, with missing units granted on demand
	OnDemandOnly      Scheme = "loans"           // minimum shares, all else is granted on demand
	Direct            Scheme = "direct"          // even shares, missing units from the fullest
	Moved             Scheme = "moved"           // even shares, requests move to the fullest
)

// Schemes are all schemes.
var Schemes = []Scheme{SharedBucket, Even, SharesOnly, SharesAndOnDemand, OnDemandOnly, Direct,
	Moved}

// Price configures a comparison of schemes: customers like the operators', whose requests arrive at
// two to four gateways each.
type Price struct {
	Seed  uint64
	Trip  time.Duration // the round trip between a gateway and the leader
	For   time.Duration
	Rules allocation.Config
	Each  int // customers of each plan
}

// customer is one customer with its limit.
type customer struct {
	limit  allocation.Share
	spread int
	use    float64 // demand as a fraction of the rate
}

// draw draws customers as the lab's site does: their rates, their bursts and their demand as a
// fraction of the rate.
func (p *Price) draw() (all []customer) {
	r := rand.New(rand.NewPCG(p.Seed, 0x9e1ce))
	between := func(a, b float64) float64 { return a + (b-a)*r.Float64() }
	for range p.Each {
		for _, plan := range [][4]float64{
			{0.96, 1.7, 3.2, 5.8}, {2.9, 4.9, 3.5, 6}, {11, 20, 1.3, 2.8},
		} {
			rate := between(plan[0], plan[1])
			b := customer{
				limit: allocation.Share{
					Rate:  rate,
					Burst: math.Max(8, rate*between(plan[2], plan[3])),
				},
				spread: 2 + r.IntN(3),
				use:    between(0.15, 0.7),
			}
			if x := r.Float64(); x < 0.15 {
				b.use = between(0.85, 1)
			} else if x < 0.25 {
				b.use = between(1.3, 3)
			}
			all = append(all, b)
		}
	}
	return all
}

// Paid holds the units that a scheme serves, by the customers' demand.
type Paid struct {
	Served, Near, Beyond float64 // all; demand of 0.8 to 1 of the rate; demand above the rate
	Loans                int     // requests for units, or moved requests
}

// Play plays a scheme. The same seed gives all schemes the same requests.
func (p Price) Play(s Scheme) (paid Paid) {
	for i, b := range p.draw() {
		served, requests := p.playCustomer(s, b, rand.New(rand.NewPCG(p.Seed, uint64(i))))
		paid.Served += served
		switch {
		case b.use > 1:
			paid.Beyond += served
		case b.use > 0.8:
			paid.Near += served
		}
		paid.Loans += requests
	}
	return paid
}

// pending is a request that waits for units, or that moves to another gateway.
type pending struct {
	at     time.Duration
	member int
	units  float64 // of the request
	lacks  float64 // the units that its gateway lacks
}

// playCustomer plays a single customer: customers do not share budgets.
func (p Price) playCustomer(s Scheme, b customer, r *rand.Rand) (served float64, requests int) {
	const step = ms
	rules := p.Rules
	if s == SharesOnly {
		rules.PoolFraction = 0
	}
	if s == OnDemandOnly {
		rules.MinBurstRequests = math.Inf(1)
	}
	usesLeader := s == SharesOnly || s == SharesAndOnDemand || s == OnDemandOnly
	leader, err := allocation.NewLeader(0, rules, allocation.RoleOfShard(0), 1, &controlpb.Ledger{})
	if err != nil {
		panic(err)
	}
	var holders []*allocation.Holder
	buckets := make([]meter, b.spread)
	part := allocation.Share{
		Rate:  b.limit.Rate / float64(b.spread),
		Burst: b.limit.Burst / float64(b.spread),
	}
	if s == SharedBucket {
		buckets, part = buckets[:1], b.limit
	}
	for i := range b.spread {
		holders = append(
			holders,
			allocation.NewHolder(rules, lease.Member{ID: string(rune('a' + i)), Incarnation: 1}, 1),
		)
	}
	for i := range buckets {
		buckets[i].level = part.Burst
	}
	level := func(now time.Duration, i int) *meter {
		m := &buckets[i]
		m.level, m.at = math.Min(part.Burst, m.level+part.Rate*(now-m.at).Seconds()), now
		return m
	}
	warmUp := time.Duration(0)
	if usesLeader {
		warmUp = 15 * time.Second // until the pool is full
	}
	type sent struct {
		at, sent time.Duration
		member   int
		request  *controlpb.RenewRequest
	}
	var renewals []sent
	var waits []pending
	committed := time.Duration(-1)
	next := warmUp
	busiest := r.IntN(b.spread)
	for now := time.Duration(0); now < warmUp+p.For; now += step {
		if usesLeader {
			for i, h := range holders {
				if (now+time.Duration(i)*37*ms)%rules.RenewInterval == 0 {
					if now < warmUp {
						h.RecordDemand(now, 1, b.limit, b.spread, 0.001)
					}
					renewals = append(
						renewals,
						sent{now + p.Trip/2, now, i, h.RenewRequest(now, 0)},
					)
				}
			}
			kept := renewals[:0]
			for _, a := range renewals {
				if now < a.at {
					kept = append(kept, a)
					continue
				}
				holders[a.member].HandleRenewal(
					now,
					a.sent,
					0,
					a.request,
					leader.Renew(now, a.request),
				) // without the response's delay: requests hardly ever wait for it
			}
			renewals = kept
			if committed >= 0 && now >= committed {
				leader.Committed(now)
				committed = -1
			}
			if committed < 0 && leader.Plan(now) != nil {
				committed = now + p.Trip
			}
		}
		kept := waits[:0]
		for _, w := range waits {
			if now < w.at {
				kept = append(kept, w)
				continue
			}
			served += p.respond(s, leader, holders, level, w, b, now)
		}
		waits = kept
		for now >= next {
			// A request, which mostly arrives at the busiest gateway; that gateway changes.
			const mean = 1.98 // units of a request
			next += time.Duration(
				r.ExpFloat64() * mean / (b.use * b.limit.Rate) * float64(time.Second),
			)
			units := 1 + r.Float64()
			if r.Float64() < 0.24 {
				units = 2 + 2*r.Float64()
			}
			m := busiest
			if r.Float64() < 0.4 {
				m = r.IntN(b.spread)
			}
			if r.Float64() < 0.002*15 {
				busiest = r.IntN(b.spread)
			}
			switch {
			case usesLeader:
				h := holders[m]
				h.RecordDemand(now, 1, b.limit, b.spread, units)
				if lacks := units - h.Available(now, 1); lacks <= 0 {
					h.Consume(now, 1, units)
					served += units
				} else if s != SharesOnly {
					requests++
					if lacks < units {
						// No other request may take these units meanwhile.
						h.Consume(now, 1, units-lacks)
					}
					waits = append(waits, pending{now + p.Trip, m, units, math.Min(lacks, units)})
				}
			case s == SharedBucket:
				if l := level(now, 0); l.level >= units {
					l.level -= units
					served += units
				}
			default:
				if l := level(now, m); l.level >= units {
					l.level -= units
					served += units
				} else if s != Even {
					requests++
					waits = append(waits, pending{now + p.Trip, m, units, units - l.level})
				}
			}
		}
	}
	return served, requests
}

// respond plays the arrival of a response to a request for units, or of a moved request. It returns
// the units served.
func (p Price) respond(
	s Scheme,
	leader *allocation.Leader,
	holders []*allocation.Holder,
	level func(time.Duration, int) *meter,
	w pending,
	b customer,
	now time.Duration,
) float64 {
	switch s {
	case Direct, Moved:
		best, highest := -1, 0.0
		for i := range b.spread {
			if l := level(now, i).level; i != w.member && l > highest {
				best, highest = i, l
			}
		}
		own := level(now, w.member)
		switch {
		case best < 0:
		case s == Moved && highest >= w.units:
			level(now, best).level -= w.units
			return w.units
		case s == Direct && own.level+highest >= w.units && highest >= w.units-own.level:
			level(now, best).level -= w.units - math.Max(0, math.Min(own.level, w.units))
			own.level = math.Max(0, own.level-w.units)
			return w.units
		}
		return 0
	}
	h := holders[w.member]
	a := leader.GrantOnDemand(
		now,
		&controlpb.OnDemandRequest{
			Role:       allocation.RoleOfShard(0),
			Budget:     1,
			Units:      w.lacks,
			MaxMembers: uint32(b.spread),
			Limit:      &controlpb.Share{Rate: b.limit.Rate, Burst: b.limit.Burst},
		},
	)
	if a.Granted {
		return w.units
	}
	h.RecordRejected(now, 1, w.units)
	h.Consume(now, 1, w.lacks-w.units)
	return 0
}
