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

// An old list that comes after a drain undoes nothing; several in a row show a registry that counts
// anew.
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
	want(t, "counts anew", tab.Apply(8, list(4, in(1), in(2))), "s1=0 ")
}

// A server that disappears and reappears at the same address is a restarted process, unless the
// registry shows that it is the same.
func TestReappearingServer(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(*Instance)
		after  func(*Instance)
		cold   bool
	}{
		{"registered anew", func(*Instance) {}, func(i *Instance) { i.Created = 99 }, true},
		{"the same registration", func(*Instance) {}, func(*Instance) {}, false},
		{"indexes are not told", func(i *Instance) { i.Created = 0 }, func(i *Instance) { i.Created = 0 }, true},
		{"the same start", func(i *Instance) { i.Started = second }, func(i *Instance) { i.Started, i.Created = second, 99 }, false},
		{"another start", func(i *Instance) { i.Started = second }, func(i *Instance) { i.Started = 118 * second }, true},
		{"another address", func(*Instance) {}, func(i *Instance) { i.Address = "10.0.0.9:1" }, true},
	} {
		tab := table(t, settings())
		tab.Apply(100*second, list(1, in(1, c.before), in(2)))
		want(t, c.name, tab.Apply(110*second, list(2, in(2))), "s1=2 ")
		got := tab.Apply(120*second, list(3, in(1, c.after), in(2)))
		if len(got) != 1 || got[0].Phase != Ready || (got[0].Started == 120*second) != c.cold {
			t.Errorf("%s: %+v, cold %t wanted", c.name, got, c.cold)
		}
	}
}

// A process that crashed while its registration stayed counts as restarted when it is back; one in
// maintenance kept running.
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

// An empty list after a full one is held back; if one server goes, that is believed.
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
		t.Error("holds on")
	}
	want(t, "the only one", tab.Apply(67*second, list(6)), "s1=2 ")
}

// Of one name at two addresses the last change counts; of two names at one address the newer one
// makes the older one drain.
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

// The catalog removes what it no longer has, if it is not behind, and adds nothing.
func TestCatalog(t *testing.T) {
	tab := table(t, settings())
	tab.Apply(1, list(10, in(1), in(2)))
	cat := func(index uint64, is ...Instance) List { return List{View: CatalogView, Index: index, Instances: is} }
	want(t, "behind", tab.Apply(2, cat(9, in(1))), "")
	want(t, "ahead", tab.Apply(3, cat(11, in(1), in(3))), "s2=2 ")
	want(t, "health that is behind it", tab.Apply(4, list(11, in(1), in(2))), "")
	want(t, "health that is ahead again", tab.Apply(5, list(12, in(1), in(2))), "s2=0 ")
	want(t, "nothing at all", tab.Apply(6, cat(13)), "")
}

// A start from another clock is corrected by the clock skew.
func TestClockSkew(t *testing.T) {
	for told, started := range map[Time]Time{130 * second: 120 * second, 118 * second: 120 * second, 50 * second: 55 * second} {
		tab := table(t, settings())
		tab.Apply(100*second, list(1, in(2)))
		tab.Apply(120*second, list(2, in(1, func(i *Instance) { i.Started = told }), in(2)))
		if got := tab.Servers()[0].Started; got != started {
			t.Errorf("told %d: %d, want %d", told, got, started)
		}
	}
}

// With random registries and answers out of order, the guarantees hold at each step.
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
		told := map[string]Server{}
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
				break // the registry would seem to count anew
			}
			if !counts && len(changes) > 0 {
				t.Fatalf("seed %d: an older list changed %+v", seed, changes)
			}
			_, holds := tab.Holding()
			if counts && !holds {
				newest = l
			}
			for _, c := range changes {
				was, there := told[c.Name]
				if c.Phase == Gone {
					lastGone[c.Name] = now
				} else if there && was.Phase == Gone && c.Started < lastGone[c.Name] {
					for _, i := range l.Instances {
						if i.Name() == c.Name && i.Created != tab.records[c.Name].created {
							t.Fatalf("seed %d: %+v is back and not cold", seed, c)
						}
					}
				}
				told[c.Name] = c
			}
			// The announced servers are those of the table.
			now2 := tab.Servers()
			for _, s := range now2 {
				if told[s.Name] != s {
					t.Fatalf("seed %d: told %+v, is %+v", seed, told[s.Name], s)
				}
			}
			if len(changes) == 0 && !reflect.DeepEqual(before, now2) {
				t.Fatalf("seed %d: a change was not told", seed)
			}
			at := map[string]bool{}
			for _, s := range now2 {
				if s.Phase != Ready {
					continue
				}
				if at[s.Address] {
					t.Fatalf("seed %d: two are ready at %s", seed, s.Address)
				}
				at[s.Address] = true
				good := holds
				for _, i := range newest.Instances {
					good = good ||
						i.Name() == s.Name && !i.Draining &&
							(i.Health == Passing || i.Health == Warning && set.WarningServes)
				}
				if !good {
					t.Fatalf("seed %d: %+v is ready, and the newest list says otherwise", seed, s)
				}
			}
		}
	}
}

func TestBadSettings(t *testing.T) {
	for _, set := range []Settings{{EmptyListHold: -1, ResetAfter: 1}, {ResetAfter: 0}, {ResetAfter: 1, MaxClockSkew: -1}} {
		if _, err := New(set); err == nil {
			t.Errorf("%+v was taken", set)
		}
	}
}

// BenchmarkOneChange measures one change in a list of 5,000.
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
