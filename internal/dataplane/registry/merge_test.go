package registry

import (
	"context"
	"testing"
)

// scripted is a source whose updates the test sends.
type scripted struct {
	news  chan Update
	moved []string
}

func (s *scripted) Run(ctx context.Context, tell func(Update)) {
	for {
		select {
		case n := <-s.news:
			tell(n)
		case <-ctx.Done():
			return
		}
	}
}
func (s *scripted) Follow()               {}
func (s *scripted) Move(to string)        { s.moved = append(s.moved, to) }
func at(id, address, phase string) Member { return Member{ID: id, HostPort: address, Phase: phase} }

// What the primary says of an address counts; the secondary adds what the primary does not have,
// and removes nothing of it.
func TestMerge(t *testing.T) {
	winner, other := &scripted{news: make(chan Update)}, &scripted{news: make(chan Update)}
	m := Merge(winner, other)
	told := follow(t, m)
	for i, c := range []struct {
		from *scripted
		news Update
		want []Member // nil: no update
	}{
		{other, Update{CompleteList, []Member{at("o1", "a:1", Ready), at("o2", "a:2", Ready)}}, []Member{at("o1", "a:1", Ready), at("o2", "a:2", Ready)}},
		{winner, Update{CompleteList, []Member{at("w1", "a:1", Terminating)}}, []Member{at("o1", "a:1", Gone), at("w1", "a:1", Terminating)}},
		{other, Update{Delta, []Member{at("o1", "a:1", Ready)}}, nil},
		{other, Update{Delta, []Member{at("o2", "a:2", Terminating)}}, []Member{at("o2", "a:2", Terminating)}},
		{winner, Update{Unavailable, nil}, nil},
		{winner, Update{Delta, []Member{at("w1", "a:1", Gone)}}, []Member{at("w1", "a:1", Gone), at("o1", "a:1", Ready)}},
		{other, Update{CompleteList, nil}, []Member{at("o1", "a:1", Gone), at("o2", "a:2", Gone)}},
		{winner, Update{Delta, []Member{at("w9", "a:9", Ready)}}, []Member{at("w9", "a:9", Ready)}},
	} {
		c.from.news <- c.news
		if c.want == nil {
			continue // the next step would show any update
		}
		n := next(t, told)
		if len(n.Members) != len(c.want) {
			t.Fatalf("step %d: %+v, want %+v", i, n, c.want)
		}
		for j := range c.want {
			if n.Members[j] != c.want[j] {
				t.Errorf("step %d: %+v, want %+v", i, n.Members[j], c.want[j])
			}
		}
	}
	m.Move("x")
	m.Move("other=y")
	if len(winner.moved) != 1 || len(other.moved) != 1 || other.moved[0] != "y" {
		t.Errorf("moved %v and %v", winner.moved, other.moved)
	}
}
