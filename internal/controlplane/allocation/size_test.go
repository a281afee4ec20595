package allocation

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// Gateways and customers in sets of two to four, under one owner, with traffic that shifts: what a second of the fleet costs its owner
// and all holders, and what goes over the wire and into the log.
func BenchmarkOwnerAtSize(b *testing.B) {
	for _, size := range []struct{ members, customers int }{{150, 10_000}, {300, 20_000}, {620, 60_000}} {
		b.Run(fmt.Sprintf("%dx%d", size.members, size.customers), func(b *testing.B) { benchmarkOwner(b, size.members, size.customers) })
	}
}

func benchmarkOwner(b *testing.B, members, customers int) {
	r := rand.New(rand.NewPCG(1, 2))
	now := time.Hour
	f := &terms{1, lease.Member{ID: "o", Incarnation: 1}}
	log := NewMachine(f)
	owner, err := NewLeader(now, DefaultConfig(), RoleOfShard(0), 1, &controlpb.Ledger{})
	if err != nil {
		b.Fatal(err)
	}
	var holders []*Holder
	for i := range members {
		holders = append(holders, NewHolder(DefaultConfig(), lease.Member{ID: fmt.Sprintf("n%d", i), Incarnation: 1}, 1))
	}
	type customer struct {
		whole         Share
		first, spread int
	}
	var all []customer
	for range customers {
		all = append(all, customer{Share{1 + 10*r.Float64(), 8 + 30*r.Float64()}, r.IntN(members), 2 + r.IntN(3)})
	}
	var asked, answered, entries, rounds, renewals, changes, parts int
	second := func() {
		for step := range 5 {
			// A tenth of the customers ask in a fifth of a second.
			for range customers / 10 {
				id := r.IntN(customers)
				c := &all[id]
				h := holders[(c.first+r.IntN(c.spread))%members]
				h.RecordDemand(now, uint64(id+1), c.whole, c.spread, 1)
				if l := h.Available(now, uint64(id+1)); l >= 1 {
					h.Consume(now, uint64(id+1), 1)
				}
			}
			for i, h := range holders {
				if i%5 == step {
					continue // it is another's turn
				}
				ask := h.RenewRequest(now, 0)
				answer := owner.Renew(now, ask)
				asked, answered, renewals = asked+proto.Size(ask), answered+proto.Size(answer), renewals+1
				h.HandleRenewal(now, now, 0, ask, answer)
			}
			if p := owner.Plan(now); p != nil {
				raw := marshal(p)
				entries, rounds = entries+len(raw), rounds+1
				for _, c := range p.Changes {
					changes++
					if len(c.Allocations) > 0 {
						parts++
					}
				}
				log.Apply(now, 0, f.who, raw)
				owner.Committed(now)
			}
			now += 200 * time.Millisecond
		}
	}
	for range 5 {
		second() // all have come up
	}
	asked, answered, entries, rounds, renewals, changes, parts = 0, 0, 0, 0, 0, 0, 0
	b.ResetTimer()
	for range b.N {
		second()
	}
	b.StopTimer()
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	n := float64(b.N)
	b.ReportMetric(float64(asked+answered)/n/float64(members), "wireB/s/gateway")
	b.ReportMetric(float64(entries)/n, "logB/s")
	b.ReportMetric(float64(rounds)/n, "rounds/s")
	b.ReportMetric(float64(changes)/n, "changes/s")
	b.ReportMetric(float64(parts)/n, "ofparts/s")
	b.ReportMetric(float64(renewals)/n, "renewals/s")
	b.ReportMetric(float64(m.HeapAlloc)/1e6, "MB")
	b.ReportMetric(float64(len(log.Snapshot()))/1e6, "snapshotMB")
	runtime.KeepAlive(owner)
}
