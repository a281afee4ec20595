package distribution

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/distributionpb"
)

// The numbers of records expected in two years.
const (
	expectedServers = 7_300
	expectedTenants = 60_000
)

// expectedServer returns the change that sets the record of server n. Its start is given as an
// offset in ms.
func expectedServer(n int, phase distributionpb.Phase, started int64) Change {
	raw, err := proto.Marshal(&distributionpb.ServerRecord{
		Address:   fmt.Sprintf("10.%d.%d.%d:6379", n>>16, n>>8&255, n&255),
		Zone:      fmt.Sprintf("south-%d", n%4),
		Cell:      int32(n % 12),
		Phase:     phase,
		Size:      1 + float64(n%4)/2,
		StartedMs: 1_800_000_000_000 + started,
		Service:   fmt.Sprintf("service-%03d", n%480),
		Region:    "south",
	})
	if err != nil {
		panic(err)
	}
	return Change{Record: Record{KindServer, fmt.Sprintf("backend-%05d", n), raw}}
}

// expectedState returns a state with the given numbers of servers and tenants.
func expectedState(servers, tenants int) *State {
	changes := make([]Change, 0, servers+tenants)
	for n := range servers {
		changes = append(changes, expectedServer(n, distributionpb.Phase_PHASE_READY, int64(n)))
	}
	for n := range tenants {
		value := fmt.Appendf(nil, "plan-%03d rate=%d burst=%d", n%40, 100+n%900, 200+n%900)
		changes = append(changes,
			Change{Record: Record{KindTenant, fmt.Sprintf("tenant-%06d", n), value}})
	}
	s := NewState()
	s.advance(testEpoch, changes)
	return s
}

// drainOne returns the change that drains server n.
func drainOne(n int) []Change {
	return []Change{expectedServer(n, distributionpb.Phase_PHASE_DRAINING, int64(n))}
}

// BenchmarkOneChange measures a change of one server: making the revision in the machine, encoding
// the message, and applying it in a replica.
func BenchmarkOneChange(b *testing.B) {
	for _, tenants := range []int{0, expectedTenants} {
		name := fmt.Sprintf("servers=%d,tenants=%d", expectedServers, tenants)
		state := expectedState(expectedServers, tenants)
		b.Run("advance/"+name, func(b *testing.B) {
			s := state.Clone()
			n := 0
			for b.Loop() {
				n++
				s.advance(
					0,
					[]Change{
						expectedServer(n%expectedServers, distributionpb.Phase_PHASE_READY,
							int64(n+1_000_000)),
					},
				)
			}
		})
		d := state.Clone().advance(0, drainOne(17))
		b.Run("encode/"+name, func(b *testing.B) {
			for b.Loop() {
				deltaMessage(d)
			}
			b.ReportMetric(float64(len(deltaMessage(d).Bytes)), "bytes/delta")
		})
		raw := deltaMessage(d).Bytes
		b.Run("decode-and-apply/"+name, func(b *testing.B) {
			before := state.Clone()
			for b.Loop() {
				copied := *before // shares the buckets; the changed one is restored below
				var m distributionpb.WatchResponse
				if err := proto.Unmarshal(raw, &m); err != nil {
					b.Fatal(err)
				}
				got, err := DeltaFromProto(m.GetDelta())
				if err != nil {
					b.Fatal(err)
				}
				index := bucketIndex(KindServer, got.Changes[0].ID)
				old := before.buckets[index]
				if err := copied.Apply(got); err != nil {
					b.Fatal(err)
				}
				before.buckets[index] = old
			}
		})
		b.Run("clone/"+name, func(b *testing.B) {
			for b.Loop() {
				state.Clone()
			}
		})
	}
}

// BenchmarkSnapshot measures writing and reading a state file, whose records are those of the
// machine's snapshot.
func BenchmarkSnapshot(b *testing.B) {
	for _, tenants := range []int{0, expectedTenants} {
		state := expectedState(expectedServers, tenants)
		name := fmt.Sprintf("servers=%d,tenants=%d", expectedServers, tenants)
		b.Run("write/"+name, func(b *testing.B) {
			var raw []byte
			for b.Loop() {
				raw = EncodeStateFile(testFleet, state)
			}
			b.ReportMetric(float64(len(raw)), "bytes/file")
		})
		raw := EncodeStateFile(testFleet, state)
		b.Run("read/"+name, func(b *testing.B) {
			for b.Loop() {
				if _, err := DecodeStateFile(testFleet, raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkRepair measures a repair of a replica that lacks the given number of changes and can't
// resume. It reports the bytes of the digests and buckets.
func BenchmarkRepair(b *testing.B) {
	for _, lacks := range []int{1, 10, 100, 1_000} {
		b.Run(fmt.Sprintf("lacks=%d", lacks), func(b *testing.B) {
			behind := expectedState(expectedServers, expectedTenants)
			newest := behind.Clone()
			random := rand.New(rand.NewPCG(1, 1))
			for range lacks {
				newest.advance(0, drainOne(random.IntN(expectedServers)))
			}
			bytes := 0
			for b.Loop() {
				bytes = len(newest.Sums().Encode())
				repair := NewRepair(behind, newest.Position(), newest.Sums())
				for _, index := range repair.Missing() {
					m := bucketMessage(newest, index)
					bytes += proto.Size(m)
					if err := repair.Put(m); err != nil {
						b.Fatal(err)
					}
				}
				if _, err := repair.Finish(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes), "bytes/repair")
		})
	}
}

// BenchmarkPublish measures publishing one change on the given number of streams, each of which is
// writable immediately.
func BenchmarkPublish(b *testing.B) {
	for _, streams := range []int{124, 620} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			state := expectedState(expectedServers, 0)
			p := NewPublisher(DefaultPublisherSettings(testFleet), state.Clone(), testRandom())
			for id := range StreamID(streams) {
				if err := p.Open(0, id); err != nil {
					b.Fatal(err)
				}
				resume := &distributionpb.Resume{
					Fleet:    testFleet,
					Position: state.Position().Proto(),
				}
				if err := p.Received(0, id, resumeRequest(resume)); err != nil {
					b.Fatal(err)
				}
			}
			sendAll := func() {
				for {
					sends := p.Take(0)
					if len(sends) == 0 {
						return
					}
					for _, send := range sends {
						p.Sent(send.Stream)
					}
				}
			}
			sendAll()
			n := 0
			for b.Loop() {
				n++
				phase := distributionpb.Phase(1 + n%2)
				d := state.advance(
					0, []Change{expectedServer(n/2%expectedServers, phase, int64(n))},
				)
				p.Update(0, Update{State: state.Clone(), Delta: d, Term: 1})
				p.publish()
				sendAll()
			}
			b.ReportMetric(float64(p.Counts().DeltaBytes)/float64(p.Counts().Deltas), "bytes/delta")
		})
	}
}
