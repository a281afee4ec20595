package registry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
)

// mergedSource follows two registers at once, for a migration from one to the other. What
// the winner says of an address counts; the other one adds the servers at addresses
// that the winner does not know.
type mergedSource struct {
	primary, secondary Source
}

// Merge makes one source of two. A Move is for the winner, unless the address
// begins with "other=", which is for the other one.
func Merge(winner, other Source) Source {
	return &mergedSource{primary: winner, secondary: other}
}

// Follow has both followed.
func (m *mergedSource) Follow() {
	m.primary.Follow()
	m.secondary.Follow()
}

// Move moves one of the two.
func (m *mergedSource) Move(address string) {
	if rest, ok := strings.CutPrefix(address, "other="); ok {
		m.secondary.Move(rest)
		return
	}
	m.primary.Move(address)
}

// Run brings the news of both, as one.
func (m *mergedSource) Run(ctx context.Context, tell func(Update)) {
	type from struct {
		source int
		news   Update
	}
	news := make(chan from)
	ended := make(chan struct{}, 2)
	for i, s := range []Source{m.primary, m.secondary} {
		go func() {
			defer func() { ended <- struct{}{} }()
			s.Run(ctx, func(n Update) {
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
		if n.news.Kind == Unavailable {
			continue // the other one may be heard, and what was told holds
		}
		if n.news.Kind == CompleteList || has[n.source] == nil {
			has[n.source] = map[string]Member{}
		}
		for _, e := range n.news.Members {
			if has[n.source][e.ID] = e; e.Phase == Gone {
				delete(has[n.source], e.ID)
			}
		}
		now := union(has[0], has[1])
		if changed := difference(told, now); len(changed) > 0 || len(told) == 0 {
			kind := Delta
			if len(told) == 0 {
				kind = CompleteList
			}
			tell(Update{kind, changed})
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
		return cmp.Or(cmp.Compare(goneFirst(b), goneFirst(a)), cmp.Compare(a.ID, b.ID))
	})
	return list
}

func goneFirst(m Member) int {
	if m.Phase == Gone {
		return 1
	}
	return 0
}
