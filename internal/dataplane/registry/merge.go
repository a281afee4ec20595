package registry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
)

// merge follows two registers at once, for a migration from one to the other. What
// the winner says of an address counts; the other one adds the servers at addresses
// that the winner does not know.
type merge struct {
	winner, other Source
}

// Merge makes one source of two. A Move is for the winner, unless the address
// begins with "other=", which is for the other one.
func Merge(winner, other Source) Source {
	return &merge{winner: winner, other: other}
}

// Follow has both followed.
func (m *merge) Follow() {
	m.winner.Follow()
	m.other.Follow()
}

// Move moves one of the two.
func (m *merge) Move(address string) {
	if rest, ok := strings.CutPrefix(address, "other="); ok {
		m.other.Move(rest)
		return
	}
	m.winner.Move(address)
}

// Run brings the news of both, as one.
func (m *merge) Run(ctx context.Context, tell func(News)) {
	type from struct {
		source int
		news   News
	}
	news := make(chan from)
	ended := make(chan struct{}, 2)
	for i, s := range []Source{m.winner, m.other} {
		go func() {
			defer func() { ended <- struct{}{} }()
			s.Run(ctx, func(n News) {
				select {
				case news <- from{i, n}:
				case <-ctx.Done():
				}
			})
		}()
	}
	defer func() { <-ended; <-ended }()
	var has [2]map[string]Member // by id; nil: nothing was heard yet
	told := map[string]Member{}
	for {
		var n from
		select {
		case <-ctx.Done():
			return
		case n = <-news:
		}
		if n.news.Kind == Unheard {
			continue // the other one may be heard, and what was told holds
		}
		if n.news.Kind == Whole || has[n.source] == nil {
			has[n.source] = map[string]Member{}
		}
		for _, e := range n.news.Members {
			if has[n.source][e.ID] = e; e.Phase == Gone {
				delete(has[n.source], e.ID)
			}
		}
		now := union(has[0], has[1])
		if changed := difference(told, now); len(changed) > 0 || len(told) == 0 {
			kind := Changed
			if len(told) == 0 {
				kind = Whole
			}
			tell(News{kind, changed})
		}
		told = now
	}
}

// union is all that the winner has, and what the other one has elsewhere.
func union(winner, other map[string]Member) map[string]Member {
	all := map[string]Member{}
	taken := map[string]bool{}
	for id, e := range winner {
		all[id], taken[e.HostPort] = e, true
	}
	for id, e := range other {
		if _, there := all[id]; !there && !taken[e.HostPort] {
			all[id] = e
		}
	}
	return all
}

// difference is what is to be told so that one list becomes another, by id. What is
// gone comes first: an address may have passed from one id to another.
func difference(before, after map[string]Member) []Member {
	var list []Member
	for id, e := range before {
		if _, there := after[id]; !there {
			e.Phase = Gone
			list = append(list, e)
		}
	}
	for id, e := range maps.All(after) {
		if was, there := before[id]; !there || was != e {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(gone(b), gone(a)), cmp.Compare(a.ID, b.ID))
	})
	return list
}

func gone(m Member) int {
	if m.Phase == Gone {
		return 1
	}
	return 0
}
