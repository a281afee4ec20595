package registry

import (
	"context"
	"testing"
)

// scripted is a source whose news a test sends.
type scripted struct {
	news  chan News
	moved []string
}

func (s *scripted) Run(ctx context.Context, tell func(News)) {
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

// The winner's word on an address counts; the other one adds what the winner does
// not know, and takes nothing of it back.
func TestMerge(t *testing.T) {
	winner, other := &scripted{news: make(chan News)}, &scripted{news: make(chan News)}
	m := Merge(winner, other)
	told := follow(t, m)
	for i, c := range []struct {
		from *scripted
		news News
		want []Member // nil: nothing is told
	}{
		{other, News{Whole, []Member{at("o1", "a:1", Ready), at("o2", "a:2", Ready)}}, []Member{at("o1", "a:1", Ready), at("o2", "a:2", Ready)}},
		{winner, News{Whole, []Member{at("w1", "a:1", Terminating)}}, []Member{at("o1", "a:1", Gone), at("w1", "a:1", Terminating)}},
		{other, News{Changed, []Member{at("o1", "a:1", Ready)}}, nil},
		{other, News{Changed, []Member{at("o2", "a:2", Terminating)}}, []Member{at("o2", "a:2", Terminating)}},
		{winner, News{Unheard, nil}, nil},
		{winner, News{Changed, []Member{at("w1", "a:1", Gone)}}, []Member{at("w1", "a:1", Gone), at("o1", "a:1", Ready)}},
		{other, News{Whole, nil}, []Member{at("o1", "a:1", Gone), at("o2", "a:2", Gone)}},
		{winner, News{Changed, []Member{at("w9", "a:9", Ready)}}, []Member{at("w9", "a:9", Ready)}},
	} {
		c.from.news <- c.news
		if c.want == nil {
			continue // the next step would show what was told instead
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
