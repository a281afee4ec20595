package registry

import (
	"cmp"
	"context"
	"slices"
	"strings"
)

// mergedSource follows two registries at once, for a migration from one to the other. What the
// primary says of an address counts; the secondary adds servers at addresses that the primary does
// not have.
type mergedSource struct {
	primary, secondary Source
}

// secondaryPrefix begins the address of a Move that is for the secondary source.
const secondaryPrefix = "other="

// Merge makes one source of two. A Move is for the primary, unless the address begins with
// "other=", which is for the secondary.
func Merge(primary, secondary Source) Source {
	return &mergedSource{primary: primary, secondary: secondary}
}

// Follow has both registries followed.
func (m *mergedSource) Follow() {
	m.primary.Follow()
	m.secondary.Follow()
}

// Move moves one of the two.
func (m *mergedSource) Move(address string) {
	if rest, ok := strings.CutPrefix(address, secondaryPrefix); ok {
		m.secondary.Move(rest)
		return
	}
	m.primary.Move(address)
}

// sourceUpdate is an update of one of the two sources.
type sourceUpdate struct {
	source int // 0: the primary
	update Update
}

// Run announces the updates of both as those of one list.
func (m *mergedSource) Run(ctx context.Context, notify func(Update)) {
	updates := make(chan sourceUpdate)
	ended := make(chan struct{}, 2)
	for i, s := range []Source{m.primary, m.secondary} {
		go func() {
			defer func() { ended <- struct{}{} }()
			s.Run(ctx, func(u Update) {
				select {
				case updates <- sourceUpdate{i, u}:
				case <-ctx.Done():
				}
			})
		}()
	}
	defer func() {
		<-ended
		<-ended
	}()
	var lists mergedLists
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-updates:
			if merged, ok := lists.apply(u); ok {
				notify(merged)
			}
		}
	}
}

// mergedLists are the lists of both sources, and what was announced of them.
type mergedLists struct {
	lists     [2]map[string]Member // by id; nil: none has come yet
	announced map[string]Member
}

// apply applies an update of one source. It returns the update of the merged list, and whether
// there is one. While one source is unavailable, its last list holds.
func (m *mergedLists) apply(u sourceUpdate) (Update, bool) {
	if u.update.Kind == Unavailable {
		return Update{}, false
	}
	list := &m.lists[u.source]
	if u.update.Kind == CompleteList || *list == nil {
		*list = map[string]Member{}
	}
	for _, member := range u.update.Members {
		if member.Phase == Gone {
			delete(*list, member.ID)
		} else {
			(*list)[member.ID] = member
		}
	}
	merged := union(m.lists[0], m.lists[1])
	changed := difference(m.announced, merged)
	first := len(m.announced) == 0
	m.announced = merged
	switch {
	case first:
		return Update{CompleteList, changed}, true
	case len(changed) > 0:
		return Update{Delta, changed}, true
	}
	return Update{}, false
}

// union returns all of the primary's members, and the secondary's at other addresses.
func union(primary, secondary map[string]Member) map[string]Member {
	all := map[string]Member{}
	taken := map[string]bool{} // by address
	for id, member := range primary {
		all[id] = member
		taken[member.HostPort] = true
	}
	for id, member := range secondary {
		if _, known := all[id]; !known && !taken[member.HostPort] {
			all[id] = member
		}
	}
	return all
}

// difference returns the changes that make one list of the other, by id. Members that are gone come
// first, as an address may have passed from one id to another.
func difference(before, after map[string]Member) []Member {
	var list []Member
	for id, member := range before {
		if _, listed := after[id]; !listed {
			member.Phase = Gone
			list = append(list, member)
		}
	}
	for id, member := range after {
		if old, known := before[id]; !known || old != member {
			list = append(list, member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(goneFirst(a), goneFirst(b)), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// goneFirst is the rank of a member in a list of changes.
func goneFirst(m Member) int {
	if m.Phase == Gone {
		return 0
	}
	return 1
}
