package registry

import (
	"context"
	"testing"
)

// scripted is a source whose updates are sent by the test.
type scripted struct {
	updates chan Update
	moved   []string
}

func (s *scripted) Run(ctx context.Context, notify func(Update)) {
	for {
		select {
		case u := <-s.updates:
			notify(u)
		case <-ctx.Done():
			return
		}
	}
}
func (s *scripted) Follow()               {}
func (s *scripted) Move(to string)        { s.moved = append(s.moved, to) }
func at(id, address, phase string) Member { return Member{ID: id, HostPort: address, Phase: phase} }

// The primary takes precedence at each address. The secondary adds members that the primary does not
// list, and removes none of the primary's.
func TestMerge(t *testing.T) {
	primary, secondary := &scripted{updates: make(chan Update)}, &scripted{updates: make(chan Update)}
	m := Merge(primary, secondary)
	updates := follow(t, m)
	for i, c := range []struct {
		from   *scripted
		update Update
		want   []Member // nil: no update
	}{
		{secondary, Update{CompleteList, []Member{at("o1", "a:1", Ready), at("o2", "a:2", Ready)}}, []Member{at("o1", "a:1", Ready), at("o2", "a:2", Ready)}},
		{primary, Update{CompleteList, []Member{at("w1", "a:1", Terminating)}}, []Member{at("o1", "a:1", Gone), at("w1", "a:1", Terminating)}},
		{secondary, Update{Delta, []Member{at("o1", "a:1", Ready)}}, nil},
		{secondary, Update{Delta, []Member{at("o2", "a:2", Terminating)}}, []Member{at("o2", "a:2", Terminating)}},
		{primary, Update{Unavailable, nil}, nil},
		{primary, Update{Delta, []Member{at("w1", "a:1", Gone)}}, []Member{at("w1", "a:1", Gone), at("o1", "a:1", Ready)}},
		{secondary, Update{CompleteList, nil}, []Member{at("o1", "a:1", Gone), at("o2", "a:2", Gone)}},
		{primary, Update{Delta, []Member{at("w9", "a:9", Ready)}}, []Member{at("w9", "a:9", Ready)}},
	} {
		c.from.updates <- c.update
		if c.want == nil {
			continue // the next step would show any update
		}
		u := next(t, updates)
		if len(u.Members) != len(c.want) {
			t.Fatalf("step %d: %+v, want %+v", i, u, c.want)
		}
		for j := range c.want {
			if u.Members[j] != c.want[j] {
				t.Errorf("step %d: %+v, want %+v", i, u.Members[j], c.want[j])
			}
		}
	}
	m.Move("x")
	m.Move("other=y")
	if len(primary.moved) != 1 || len(secondary.moved) != 1 || secondary.moved[0] != "y" {
		t.Errorf("moved %v and %v", primary.moved, secondary.moved)
	}
}
