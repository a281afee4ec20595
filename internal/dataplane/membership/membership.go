// Package membership decides which servers there are, from what a register says
// late and in contradiction: which may be sent work, which drain, which are gone,
// and when each was started. It does no I/O; the times at which something was heard
// come from outside.
//
// Promises, for lists handed to Heard with times that never go back:
//
//   - A server is Ready only if the newest list that counts says so. A list with an
//     older index undoes nothing, least of all a drain; only several in a row show that
//     the register has begun to count anew.
//   - At most one server is Ready at an address, and at most one of a name.
//   - A server that was gone and is back counts as started when it was heard again, unless
//     the register shows that it is the same process.
//   - An empty list after one of several servers is an outage of the register, not the
//     death of all: the servers stay for a stated time.
//
// A Table is for one goroutine at a time.
package membership

import (
	"cmp"
	"errors"
	"slices"
)

// Time is a moment or a length of time in microseconds.
type Time = int64

// Health is the worst of an instance's checks.
type Health uint8

// The states of health. Maintenance is an operator's word, not a fault.
const (
	Passing Health = iota
	Warning
	Maintenance
	Critical
)

// Phase is what a gateway is to do with a server.
type Phase uint8

// The phases.
const (
	Ready Phase = iota
	Draining
	Gone
)

// Instance is an entry of a register's list.
type Instance struct {
	Node, ID          string // together they name it
	Address           string
	Health            Health
	Draining          bool   // by tag or metadata
	Started           Time   // as its metadata says; 0: it does not
	Created, Modified uint64 // the register's indexes of its registration
	Zone              string
	Cell              int
	Size              float64
}

// Name tells instances apart: ids are unique on their node only.
func (i *Instance) Name() string { return i.Node + "/" + i.ID }

// View is the part of a register that a list comes from.
type View uint8

// The views. Health has instances with their checks; Catalogue has none of those,
// but may be ahead or behind.
const (
	HealthView View = iota
	CatalogView
	views
)

// List is what a register said of a service.
type List struct {
	View      View
	Index     uint64
	Instances []Instance
}

// Server is what a gateway is told.
type Server struct {
	Name, Address string
	Phase         Phase
	Started       Time // 0: long ago
	Zone          string
	Cell          int
	Size          float64
}

// Settings say how lists are judged.
type Settings struct {
	WarningServes bool // an instance with a warning is sent work
	EmptyListHold Time // how long the servers stay when a list is empty all at once
	ResetAfter    int  // lists in a row with an older index that show a register counting anew
	MaxClockSkew  Time // by how much a server's clock may be behind this one's
}

// record is what is known of one name.
type record struct {
	Server
	created        uint64
	announcedStart Time // its start as its metadata said
	critical       bool // its last list called it critical
}

// Table is what is known of a service.
type Table struct {
	settings    Settings
	now         Time
	records     map[string]*record
	index       [views]uint64
	olderInRow  [views]int      // lists in a row with an older index
	missing     map[string]bool // names that the catalogue, as of its index, does not have
	initialized bool
	emptySince  Time // since when lists are empty; 0: they are not
}

// New makes a table that knows nothing.
func New(set Settings) (*Table, error) {
	if set.EmptyListHold < 0 || set.ResetAfter < 1 || set.MaxClockSkew < 0 {
		return nil, errors.New("membership: hold and skew of 0 and more, and a reset after 1 and more wanted")
	}
	return &Table{settings: set, records: map[string]*record{}, missing: map[string]bool{}}, nil
}

// Servers gives all servers but those that are gone, by name.
func (t *Table) Servers() []Server {
	var list []Server
	for _, r := range t.records {
		if r.Phase != Gone {
			list = append(list, r.Server)
		}
	}
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Holding tells whether the servers stay though the register's list is empty, and since when.
func (t *Table) Holding() (since Time, holds bool) { return t.emptySince, t.emptySince != 0 }

// Apply takes in a list and gives the servers that changed, by name. The list is not kept.
func (t *Table) Apply(now Time, l List) []Server {
	t.now = max(t.now, now)
	if l.View >= views || !t.acceptIndex(l.View, l.Index) {
		return nil
	}
	before := t.serversByName()
	switch {
	case l.View == CatalogView:
		t.applyCatalog(l.Instances)
	case len(l.Instances) == 0 && t.holdEmpty():
	default:
		t.emptySince = 0
		t.applyHealth(l.Instances)
	}
	return t.changes(before)
}

// Tick takes in that time has passed without a list.
func (t *Table) Tick(now Time) []Server {
	t.now = max(t.now, now)
	if t.emptySince == 0 || t.now-t.emptySince < t.settings.EmptyListHold {
		return nil
	}
	before := t.serversByName()
	t.emptySince = 0
	t.applyHealth(nil)
	return t.changes(before)
}

// acceptIndex tells whether a list counts: it is not older than one that did, or the
// register has begun to count anew.
func (t *Table) acceptIndex(v View, index uint64) bool {
	if index < t.index[v] {
		if t.olderInRow[v]++; t.olderInRow[v] < t.settings.ResetAfter {
			return false
		}
		t.index = [views]uint64{} // no index of before means anything now
		clear(t.missing)
	}
	t.olderInRow[v], t.index[v] = 0, index
	return true
}

// holdEmpty tells whether an empty list is not to be believed yet. One server that goes is
// that server's end; several at once are the register's.
func (t *Table) holdEmpty() bool {
	if t.emptySince == 0 {
		present := 0
		for _, r := range t.records {
			if r.Phase != Gone {
				present++
			}
		}
		if present < 2 || t.settings.EmptyListHold == 0 {
			return false
		}
		t.emptySince = max(1, t.now)
	}
	return t.now-t.emptySince < t.settings.EmptyListHold
}

// applyCatalog takes in which names the catalogue has. It can only take away: without
// health nobody is sent work.
func (t *Table) applyCatalog(list []Instance) {
	has := make(map[string]bool, len(list))
	for i := range list {
		has[list[i].Name()] = true
	}
	clear(t.missing)
	if len(list) == 0 {
		return // what the health view says of that decides, with its hold
	}
	for name, r := range t.records {
		// The newer of the two views knows better.
		if !has[name] && t.index[CatalogView] >= t.index[HealthView] {
			t.missing[name] = true
			r.Phase = Gone
		}
	}
}

// applyHealth takes in a list of instances with their checks.
func (t *Table) applyHealth(list []Instance) {
	byName := make(map[string]*Instance, len(list))
	for i := range list {
		// One name at two addresses: the registration changed last counts.
		in, other := &list[i], byName[list[i].Name()]
		if other == nil || moreRecent(in, other) {
			byName[in.Name()] = in
		}
	}
	newest := map[string]*Instance{} // at an address
	for _, in := range byName {
		if other := newest[in.Address]; other == nil || moreRecent(in, other) {
			newest[in.Address] = in
		}
	}
	for name, r := range t.records {
		if byName[name] == nil {
			r.Phase = Gone
		}
	}
	for name, in := range byName {
		phase := Ready
		switch {
		case t.missing[name] && t.index[CatalogView] >= t.index[HealthView]:
			phase = Gone
		case in.Draining, in.Health >= Maintenance, in.Health == Warning && !t.settings.WarningServes, newest[in.Address] != in:
			phase = Draining
		}
		t.updateRecord(name, in, phase)
	}
	t.initialized = true
}

// moreRecent tells which of two registrations counts.
func moreRecent(a, b *Instance) bool {
	return cmp.Or(cmp.Compare(a.Modified, b.Modified), cmp.Compare(a.Created, b.Created), cmp.Compare(a.Name(), b.Name()),
		cmp.Compare(a.Address, b.Address)) > 0
}

// updateRecord brings a record to what an instance says.
func (t *Table) updateRecord(name string, in *Instance, phase Phase) {
	r := t.records[name]
	isNew := r == nil
	if isNew {
		r = &record{}
		t.records[name] = r
	}
	switch {
	case isNew && !t.initialized && in.Started == 0:
		// It was there before this gateway listened: nothing says that it is cold.
	case isNew, r.Address != in.Address, t.restarted(r, in):
		r.Started = t.startTime(in)
	}
	r.Server = Server{Name: name, Address: in.Address, Phase: phase, Started: r.Started, Zone: in.Zone, Cell: in.Cell, Size: in.Size}
	r.created, r.announcedStart, r.critical = in.Created, in.Started, in.Health == Critical
}

// restarted tells whether a known name stands for another process now.
func (t *Table) restarted(r *record, in *Instance) bool {
	switch {
	case in.Started != r.announcedStart:
		return in.Started != 0
	case in.Started != 0:
		return false // it shows that it is the same
	case r.Phase == Gone || in.Created != r.created:
		return in.Created != r.created || in.Created == 0
	}
	return r.critical && in.Health != Critical // a process that crashed and came back looks like this
}

// startTime is when a process was started, with care: its clock may be behind, and the
// future is none.
func (t *Table) startTime(in *Instance) Time {
	if in.Started == 0 {
		return t.now
	}
	return min(t.now, in.Started+t.settings.MaxClockSkew)
}

// serversByName is the servers as they are, by name.
func (t *Table) serversByName() map[string]Server {
	m := make(map[string]Server, len(t.records))
	for name, r := range t.records {
		m[name] = r.Server
	}
	return m
}

// changes gives the servers that are not as they were.
func (t *Table) changes(before map[string]Server) []Server {
	var list []Server
	for name, r := range t.records {
		if was, there := before[name]; !there && r.Phase != Gone || there && was != r.Server {
			list = append(list, r.Server)
		}
	}
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
