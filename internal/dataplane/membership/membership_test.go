package membership

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

const second = Time(1e6)

func settings() Settings {
	return Settings{EmptyListHold: 60 * second, ResetAfter: 3, MaxClockSkew: 5 * second}
}

func table(t testing.TB, set Settings) *Table {
	t.Helper()
	tab, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	return tab
}

func in(id int, change ...func(*Instance)) Instance {
	i := Instance{
		Node:     "n",
		ID:       fmt.Sprint("s", id),
		Address:  fmt.Sprintf("10.0.0.%d:1", id),
		Created:  uint64(id),
		Modified: uint64(id),
		Size:     1,
	}
	for _, f := range change {
		f(&i)
	}
	return i
}

func list(
	index uint64,
	instances ...Instance,
) List {
	return List{Index: index, Instances: instances}
}

// phases returns the phases of changed servers, as text.
func phases(servers []Server) (text string) {
	for _, s := range servers {
		text += fmt.Sprintf("%s=%d ", s.Name[2:], s.Phase)
	}
	return text
}

func want(t *testing.T, what string, got []Server, phase string) {
	t.Helper()
	if p := phases(got); p != phase {
		t.Errorf("%s: %q, want %q", what, p, phase)
	}
}

func TestStatesOfHealth(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(*Instance)
		warning bool
		phase   Phase
	}{
		{"passing", func(*Instance) {}, false, Ready}, {"critical", func(i *Instance) { i.Health = Critical }, true, Draining},
		{"maintenance", func(i *Instance) { i.Health = Maintenance }, true, Draining}, {"draining", func(i *Instance) { i.Draining = true }, true, Draining},
		{"warning", func(i *Instance) { i.Health = Warning }, false, Draining}, {"warning serves", func(i *Instance) { i.Health = Warning }, true, Ready},
	} {
		set := settings()
		set.WarningServes = c.warning
		tab := table(t, set)
		tab.Apply(second, list(1, in(1)))
		tab.Apply(2*second, list(2, in(1, c.change)))
		if got := tab.Servers()[0].Phase; got != c.phase {
			t.Errorf("%s: phase %d, want %d", c.name, got, c.phase)
		}
	}
}

// A list with an older index that arrives after a drain must not undo the drain. Only several older
// lists in a row show that the registry has restarted its index.
func TestOlderIndexUndoesNoDrain(t *testing.T) {
	tab := table(t, settings())
	tab.Apply(1, list(10, in(1), in(2)))
	drained := in(1, func(i *Instance) { i.Draining = true })
	want(t, "drain", tab.Apply(2, list(12, drained, in(2))), "s1=1 ")
	want(t, "older", tab.Apply(3, list(11, in(1), in(2))), "")
	want(t, "older again", tab.Apply(4, list(10, in(1), in(2))), "")
	want(t, "the same", tab.Apply(5, list(12, drained, in(2))), "")
	want(t, "older", tab.Apply(6, list(3, in(1), in(2))), "")
	want(t, "older", tab.Apply(7, list(3, in(1), in(2))), "")
	want(t, "index restarted", tab.Apply(8, list(4, in(1), in(2))), "s1=0 ")
}

// A server that disappears and reappears at the same address counts as a restarted process, unless
// the registry shows that it is the same process.
func TestReappearingServer(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(*Instance)
		after  func(*Instance)
		cold   bool
	}{
		{"registered anew", func(*Instance) {}, func(i *Instance) { i.Created = 99 }, true},
		{"the same registration", func(*Instance) {}, func(*Instance) {}, false},
		{"indexes are not known", func(i *Instance) { i.Created = 0 }, func(i *Instance) { i.Created = 0 }, true},
		{"the same start", func(i *Instance) { i.Started = second }, func(i *Instance) { i.Started, i.Created = second, 99 }, false},
		{"another start", func(i *Instance) { i.Started = second }, func(i *Instance) { i.Started = 118 * second }, true},
		{"another address", func(*Instance) {}, func(i *Instance) { i.Address = "10.0.0.9:1" }, true},
	} {
		tab := table(t, settings())
		tab.Apply(100*second, list(1, in(1, c.before), in(2)))
		want(t, c.name, tab.Apply(110*second, list(2, in(2))), "s1=2 ")
		got := tab.Apply(120*second, list(3, in(1, c.after), in(2)))
		if len(got) != 1 || got[0].Phase != Ready || (got[0].Started == 120*second) != c.cold {
			t.Errorf("%s: %+v, want cold %t", c.name, got, c.cold)
		}
	}
}

// A process that was critical may have crashed while its registration remained, so it counts as
// restarted when it recovers. A process in maintenance kept running.
func TestRecoveryFromCriticalCountsAsRestart(t *testing.T) {
	for _, c := range []struct {
		health Health
		cold   bool
	}{{Critical, true}, {Maintenance, false}, {Warning, false}} {
		tab := table(t, settings())
		tab.Apply(100*second, list(1, in(1)))
		tab.Apply(110*second, list(2, in(1, func(i *Instance) { i.Health = c.health })))
		tab.Apply(120*second, list(3, in(1)))
		if got := tab.Servers()[0]; got.Phase != Ready || (got.Started != 0) != c.cold {
			t.Errorf("after %d: %+v", c.health, got)
		}
	}
}

// An empty list that follows a list of several servers is held back. The removal of a single server
// is applied at once.
func TestEmptyList(t *testing.T) {
	tab := table(t, settings())
	tab.Apply(second, list(1, in(1), in(2)))
	want(t, "empty", tab.Apply(2*second, list(2)), "")
	if since, holds := tab.Holding(); !holds || since != 2*second {
		t.Errorf("holds %t since %d", holds, since)
	}
	want(t, "still", tab.Tick(61*second), "")
	want(t, "over", tab.Tick(63*second), "s1=2 s2=2 ")
	tab.Apply(64*second, list(3, in(1), in(2)))
	tab.Apply(65*second, list(4))
	want(t, "back in time", tab.Apply(66*second, list(5, in(1))), "s2=2 ")
	if _, holds := tab.Holding(); holds {
		t.Error("servers are still held after a list that is not empty")
	}
	want(t, "the only one", tab.Apply(67*second, list(6)), "s1=2 ")
}

// If a name is listed at two addresses, the registration that changed last counts. If two names are
// listed at one address, the older one drains.
func TestContradictions(t *testing.T) {
	tab := table(t, settings())
	moved := in(1, func(i *Instance) { i.Address, i.Modified = "10.0.0.9:1", 50 })
	tab.Apply(1, list(1, moved, in(1)))
	if got := tab.Servers(); len(got) != 1 || got[0].Address != "10.0.0.9:1" {
		t.Errorf("%+v", got)
	}
	same := in(2, func(i *Instance) { i.Address, i.Modified = "10.0.0.9:1", 60 })
	want(t, "two at one address", tab.Apply(2, list(2, moved, same)), "s1=1 s2=0 ")
	other := in(2, func(i *Instance) { i.Node = "m" })
	if got := tab.Apply(3, list(3, moved, same, other)); len(got) != 1 || got[0].Name != "m/s2" {
		t.Errorf("an id on two nodes: %+v", got)
	}
}

// The catalog removes servers that it no longer lists, unless it is older than the health view. It
// never adds servers.
func TestCatalog(t *testing.T) {
	tab := table(t, settings())
	tab.Apply(1, list(10, in(1), in(2)))
	cat := func(index uint64, is ...Instance) List { return List{View: CatalogView, Index: index, Instances: is} }
	want(t, "behind", tab.Apply(2, cat(9, in(1))), "")
	want(t, "ahead", tab.Apply(3, cat(11, in(1), in(3))), "s2=2 ")
	want(t, "health view older than the catalog", tab.Apply(4, list(11, in(1), in(2))), "")
	want(t, "health view newer again", tab.Apply(5, list(12, in(1), in(2))), "s2=0 ")
	want(t, "empty catalog", tab.Apply(6, cat(13)), "")
}

// A start time from another clock is corrected by the maximum clock skew.
func TestClockSkew(t *testing.T) {
	for stated, started := range map[Time]Time{130 * second: 120 * second, 118 * second: 120 * second, 50 * second: 55 * second} {
		tab := table(t, settings())
		tab.Apply(100*second, list(1, in(2)))
		tab.Apply(120*second, list(2, in(1, func(i *Instance) { i.Started = stated }), in(2)))
		if got := tab.Servers()[0].Started; got != started {
			t.Errorf("stated start %d: %d, want %d", stated, got, started)
		}
	}
}

// The package's guarantees hold at each step for random registries whose lists arrive out of order.
func TestInvariants(t *testing.T) {
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 3))
		set := settings()
		set.WarningServes = seed%2 == 0
		tab := table(t, set)
		truth := map[int]Instance{}
		index := uint64(10)
		var past []List
		newest := List{}
		reported := map[string]Server{}
		lastGone := map[string]Time{}
		now, older := 100*second, 0
		for range 120 {
			now += Time(r.Float64() * 2 * float64(second))
			index++
			switch id := r.IntN(5); r.IntN(6) {
			case 0:
				delete(truth, id)
			case 1:
				if i, there := truth[id]; there {
					i.Health, i.Modified = Health(r.IntN(4)), index
					truth[id] = i
				}
			case 2:
				if i, there := truth[id]; there {
					i.Draining, i.Modified = !i.Draining, index
					truth[id] = i
				}
			case 3:
				i := in(id, func(i *Instance) { i.Created, i.Modified = index, index })
				if r.IntN(4) == 0 {
					i.Address = "10.0.0.77:1"
				}
				truth[id] = i
			}
			l := list(index)
			for _, i := range truth {
				l.Instances = append(l.Instances, i)
			}
			if r.IntN(20) == 0 {
				l.Instances = nil
			}
			past = append(past, l)
			if r.IntN(3) == 0 { // a delayed answer
				l = past[r.IntN(len(past))]
			}
			before := tab.Servers()
			changes := tab.Apply(now, l)
			counts := l.Index >= newest.Index
			if older++; counts {
				older = 0
			}
			if older >= set.ResetAfter {
				break // the registry would seem to have restarted its index
			}
			if !counts && len(changes) > 0 {
				t.Fatalf("seed %d: an older list changed %+v", seed, changes)
			}
			_, holds := tab.Holding()
			if counts && !holds {
				newest = l
			}
			for _, c := range changes {
				was, there := reported[c.Name]
				if c.Phase == Gone {
					lastGone[c.Name] = now
				} else if there && was.Phase == Gone && c.Started < lastGone[c.Name] {
					for _, i := range l.Instances {
						if i.Name() == c.Name && i.Created != tab.records[c.Name].created {
							t.Fatalf("seed %d: %+v is back but does not count as restarted", seed, c)
						}
					}
				}
				reported[c.Name] = c
			}
			// The reported servers are those of the table.
			now2 := tab.Servers()
			for _, s := range now2 {
				if reported[s.Name] != s {
					t.Fatalf("seed %d: reported %+v, is %+v", seed, reported[s.Name], s)
				}
			}
			if len(changes) == 0 && !reflect.DeepEqual(before, now2) {
				t.Fatalf("seed %d: a change was not reported", seed)
			}
			at := map[string]bool{}
			for _, s := range now2 {
				if s.Phase != Ready {
					continue
				}
				if at[s.Address] {
					t.Fatalf("seed %d: two servers are ready at %s", seed, s.Address)
				}
				at[s.Address] = true
				good := holds
				for _, i := range newest.Instances {
					good = good ||
						i.Name() == s.Name && !i.Draining &&
							(i.Health == Passing || i.Health == Warning && set.WarningServes)
				}
				if !good {
					t.Fatalf("seed %d: %+v is ready, but not in the newest list", seed, s)
				}
			}
		}
	}
}

func TestBadSettings(t *testing.T) {
	for _, set := range []Settings{{EmptyListHold: -1, ResetAfter: 1}, {ResetAfter: 0}, {ResetAfter: 1, MaxClockSkew: -1}} {
		if _, err := New(set); err == nil {
			t.Errorf("%+v was accepted", set)
		}
	}
}

// BenchmarkOneChange measures applying a list of 5,000 instances with one change.
func BenchmarkOneChange(b *testing.B) {
	tab := table(b, settings())
	l := list(1)
	for id := range 5000 {
		l.Instances = append(l.Instances, in(id))
	}
	for i := 0; b.Loop(); i++ {
		l.Index++
		l.Instances[i%5000].Draining = !l.Instances[i%5000].Draining
		tab.Apply(Time(i), l)
	}
}
