package registry

import (
	"cmp"
	"context"
	"slices"
	"strings"
)

// mergedSource follows two registries at the same time, for a migration from one to the other. The
// primary takes precedence; the secondary only adds servers at addresses that the primary does not
// list.
type mergedSource struct {
	primary, secondary Source
}

// secondaryPrefix marks the address of a Move that is meant for the secondary source.
const secondaryPrefix = "other="

// Merge returns a source that merges two sources. A Move applies to the primary, unless its address
// begins with "other=": then the rest of the address is for the secondary.
func Merge(primary, secondary Source) Source {
	return &mergedSource{primary: primary, secondary: secondary}
}

// Follow makes both sources follow their lists.
func (m *mergedSource) Follow() {
	m.primary.Follow()
	m.secondary.Follow()
}

// Move moves one of the two sources to another address; see Merge.
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

// Run passes the updates of both sources to notify as updates of one merged list.
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

// mergedLists holds the lists of both sources and the merged list that was announced last.
type mergedLists struct {
	lists     [2]map[string]Member // by ID; nil: no list has been received yet
	announced map[string]Member
}

// apply applies an update of one source. It returns the update of the merged list, and whether
// there is one. While a source is unavailable, its last list remains in use.
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

// union returns all members of the primary, and those members of the secondary that share neither
// an ID nor an address with them.
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

// difference returns the changes that turn before into after, sorted by ID. Members that are gone
// come first, because an address may have passed from one ID to another.
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

// goneFirst returns the rank of a member in a list of changes: members that are gone sort first.
func goneFirst(m Member) int {
	if m.Phase == Gone {
		return 0
	}
	return 1
}
