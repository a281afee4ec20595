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
	"mothcleat/internal/mustproto"
)

// BenchmarkLeaderAtSize measures the cost of one second of a fleet for the leader and all holders,
// and the bytes sent and written to the log. Each tenant uses two to four gateways, and its traffic
// shifts between them.
func BenchmarkLeaderAtSize(b *testing.B) {
	sizes := []struct{ members, tenants int }{{150, 10_000}, {300, 20_000}, {620, 60_000}}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%dx%d", size.members, size.tenants), func(b *testing.B) {
			benchmarkLeader(b, size.members, size.tenants)
		})
	}
}

// benchmarkTenant is one tenant and the gateways that receive its requests.
type benchmarkTenant struct {
	limit      Share
	first      int // index of its first gateway
	maxMembers int // number of its gateways, whose indexes are consecutive
}

// benchmarkCounts counts the messages sent and the entries written to the log, and their bytes.
type benchmarkCounts struct {
	requestBytes, responseBytes, entryBytes int
	rounds, renewals, changes               int
	changesWithAllocations                  int
}

// benchmarkFleet is a leader with its holders.
type benchmarkFleet struct {
	random  *rand.Rand
	now     time.Duration
	fence   *singleLeaderFence
	machine *Machine
	leader  *Leader
	holders []*Holder
	tenants []benchmarkTenant
	counts  benchmarkCounts
}

func newBenchmarkFleet(b *testing.B, members, tenants int) *benchmarkFleet {
	f := &benchmarkFleet{
		random: rand.New(rand.NewPCG(1, 2)),
		now:    time.Hour,
		fence:  &singleLeaderFence{1, lease.Member{ID: "o", Incarnation: 1}},
	}
	f.machine = NewMachine(f.fence)
	var err error
	f.leader, err = NewLeader(f.now, DefaultConfig(), RoleOfShard(0), 1, &controlpb.Ledger{})
	if err != nil {
		b.Fatal(err)
	}
	for i := range members {
		member := lease.Member{ID: fmt.Sprintf("n%d", i), Incarnation: 1}
		f.holders = append(f.holders, NewHolder(DefaultConfig(), member, 1))
	}
	for range tenants {
		f.tenants = append(f.tenants, benchmarkTenant{
			limit:      Share{1 + 10*f.random.Float64(), 8 + 30*f.random.Float64()},
			first:      f.random.IntN(members),
			maxMembers: 2 + f.random.IntN(3),
		})
	}
	return f
}

// advanceOneSecond advances the time by one second, in five steps.
func (f *benchmarkFleet) advanceOneSecond() {
	for step := range 5 {
		f.sendRequests()
		for i, h := range f.holders {
			if i%5 != step { // each member skips one step in five
				f.renew(h)
			}
		}
		f.commitRound()
		f.now += 200 * time.Millisecond
	}
}

// sendRequests sends one request each for randomly chosen tenants, a tenth of their number.
func (f *benchmarkFleet) sendRequests() {
	for range len(f.tenants) / 10 {
		index := f.random.IntN(len(f.tenants))
		tenant := &f.tenants[index]
		h := f.holders[(tenant.first+f.random.IntN(tenant.maxMembers))%len(f.holders)]
		id := uint64(index + 1)
		h.RecordDemand(f.now, id, tenant.limit, tenant.maxMembers, 1)
		if h.Available(f.now, id) >= 1 {
			h.Consume(f.now, id, 1)
		}
	}
}

func (f *benchmarkFleet) renew(h *Holder) {
	request := h.RenewRequest(f.now, 0)
	response := f.leader.Renew(f.now, request)
	f.counts.requestBytes += proto.Size(request)
	f.counts.responseBytes += proto.Size(response)
	f.counts.renewals++
	h.HandleRenewal(f.now, f.now, 0, request, response)
}

func (f *benchmarkFleet) commitRound() {
	round := f.leader.Plan(f.now)
	if round == nil {
		return
	}
	raw := mustproto.Marshal(round)
	f.counts.entryBytes += len(raw)
	f.counts.rounds++
	for _, change := range round.Changes {
		f.counts.changes++
		if len(change.Allocations) > 0 {
			f.counts.changesWithAllocations++
		}
	}
	f.machine.Apply(f.now, 0, f.fence.leader, raw)
	f.leader.Committed(f.now)
}

func benchmarkLeader(b *testing.B, members, tenants int) {
	f := newBenchmarkFleet(b, members, tenants)
	for range 5 {
		f.advanceOneSecond() // until the leader knows most tenants
	}
	f.counts = benchmarkCounts{}
	b.ResetTimer()
	for range b.N {
		f.advanceOneSecond()
	}
	b.StopTimer()
	f.holders, f.tenants = nil, nil // reports only the memory of the leader and the state machine
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	seconds, c := float64(b.N), &f.counts
	wire := float64(c.requestBytes + c.responseBytes)
	b.ReportMetric(wire/seconds/float64(members), "wireB/s/gateway")
	b.ReportMetric(float64(c.entryBytes)/seconds, "logB/s")
	b.ReportMetric(float64(c.rounds)/seconds, "rounds/s")
	b.ReportMetric(float64(c.changes)/seconds, "changes/s")
	b.ReportMetric(float64(c.changesWithAllocations)/seconds, "ofparts/s")
	b.ReportMetric(float64(c.renewals)/seconds, "renewals/s")
	b.ReportMetric(float64(memory.HeapAlloc)/1e6, "MB")
	b.ReportMetric(float64(len(f.machine.Snapshot()))/1e6, "snapshotMB")
	runtime.KeepAlive(f.leader)
}
