package membership

import (
	"cmp"
	"errors"
	"slices"
)

// Time is a moment or a duration in microseconds.
type Time = int64

// Health is the worst of an instance's checks.
type Health uint8

// The states of health, from the best. Maintenance is set by an operator and no fault.
const (
	Passing Health = iota
	Warning
	Maintenance
	Critical
)

// Phase is what a gateway is to do with a server.
type Phase uint8

// The phases. A Draining server finishes its work and gets no new work.
const (
	Ready Phase = iota
	Draining
	Gone
)

// Instance is an entry of a registry's list.
type Instance struct {
	Node, ID          string // name it together
	Address           string // HOST:PORT
	Health            Health
	Draining          bool   // by tag or metadata
	Started           Time   // as its metadata says; 0: it does not
	Created, Modified uint64 // the registry's indexes of its registration; 0: not known
	Zone              string
	Cell              int
	Size              float64
}

// Name returns what tells instances apart: ids are unique on their node only.
func (i *Instance) Name() string { return i.Node + "/" + i.ID }

// View is the part of a registry that a list comes from.
type View uint8

// The views. The health view has instances with their checks; the catalog has no checks, and may
// be ahead of the health view or behind it.
const (
	HealthView View = iota
	CatalogView
	views
)

// List is a registry's list of a service's instances, as of an index.
type List struct {
	View      View
	Index     uint64
	Instances []Instance
}

// Server is what a gateway is told of an instance.
type Server struct {
	Name, Address string
	Phase         Phase
	Started       Time // 0: long ago
	Zone          string
	Cell          int
	Size          float64
}

// Settings are the rules by which lists are judged.
type Settings struct {
	WarningServes bool // an instance with a warning is sent work
	EmptyListHold Time // how long the servers stay when a list is empty all at once
	ResetAfter    int  // lists in a row with an older index that show a registry counting anew
	MaxClockSkew  Time // by how much a server's clock may be behind this one's
}

// ErrSettings is returned for settings out of range.
var ErrSettings = errors.New(
	"membership: hold and skew of 0 and more, and a reset after 1 and more wanted")

// record is what is known of one name.
type record struct {
	Server
	created        uint64
	announcedStart Time // its start as its metadata said
	critical       bool // by its last list
}

// Table is what is known of a service. It is not safe for concurrent use.
type Table struct {
	settings    Settings
	now         Time
	records     map[string]*record
	index       [views]uint64
	olderInRow  [views]int      // lists in a row with an older index
	missing     map[string]bool // names that the catalog, as of its index, does not have
	initialized bool            // a list of the health view was applied
	emptySince  Time            // since when lists are empty; 0: they are not
}

// New makes a table that knows no servers. It returns ErrSettings for settings out of range.
func New(settings Settings) (*Table, error) {
	if settings.EmptyListHold < 0 || settings.ResetAfter < 1 || settings.MaxClockSkew < 0 {
		return nil, ErrSettings
	}
	return &Table{
		settings: settings,
		records:  map[string]*record{},
		missing:  map[string]bool{},
	}, nil
}

// Servers returns all servers but those that are gone, by name.
func (t *Table) Servers() []Server {
	var list []Server
	for _, r := range t.records {
		if r.Phase != Gone {
			list = append(list, r.Server)
		}
	}
	sortByName(list)
	return list
}

func sortByName(list []Server) {
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
}

// Holding reports whether the servers stay although the registry's list is empty, and since when.
func (t *Table) Holding() (since Time, holds bool) { return t.emptySince, t.emptySince != 0 }

// Apply applies a list and returns the servers that changed, by name. The list is not retained.
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

// Tick records that time has passed without a list, and returns the servers that changed by it.
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

// acceptIndex reports whether a list counts: it is not older than an accepted one, or the registry
// has begun to count anew.
func (t *Table) acceptIndex(v View, index uint64) bool {
	if index < t.index[v] {
		t.olderInRow[v]++
		if t.olderInRow[v] < t.settings.ResetAfter {
			return false
		}
		t.index = [views]uint64{} // earlier indexes mean nothing now
		clear(t.missing)
	}
	t.olderInRow[v] = 0
	t.index[v] = index
	return true
}

// holdEmpty reports whether an empty list is not to be believed yet. If one server goes, that is
// the server's end; if several go at once, the registry has failed.
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

// catalogDecides reports whether the catalog is at least as new as the health view.
func (t *Table) catalogDecides() bool { return t.index[CatalogView] >= t.index[HealthView] }

// applyCatalog records which names the catalog has. It can only remove servers: without a health
// check none is sent work.
func (t *Table) applyCatalog(list []Instance) {
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].Name()] = true
	}
	clear(t.missing)
	if len(list) == 0 {
		return // the health view decides, with its hold
	}
	for name, r := range t.records {
		if !listed[name] && t.catalogDecides() {
			t.missing[name] = true
			r.Phase = Gone
		}
	}
}

// applyHealth applies a list of instances with their checks.
func (t *Table) applyHealth(list []Instance) {
	byName := make(map[string]*Instance, len(list))
	for i := range list {
		// Of one name at two addresses the registration changed last counts.
		in := &list[i]
		other := byName[in.Name()]
		if other == nil || moreRecent(in, other) {
			byName[in.Name()] = in
		}
	}
	newestAt := map[string]*Instance{} // by address
	for _, in := range byName {
		if other := newestAt[in.Address]; other == nil || moreRecent(in, other) {
			newestAt[in.Address] = in
		}
	}
	for name, r := range t.records {
		if byName[name] == nil {
			r.Phase = Gone
		}
	}
	for name, in := range byName {
		t.updateRecord(name, in, t.phaseOf(name, in, newestAt[in.Address]))
	}
	t.initialized = true
}

// phaseOf returns the phase of a listed instance, given the newest one at its address.
func (t *Table) phaseOf(name string, in, newest *Instance) Phase {
	if t.missing[name] && t.catalogDecides() {
		return Gone
	}
	unhealthy := in.Health >= Maintenance || in.Health == Warning && !t.settings.WarningServes
	if in.Draining || unhealthy || newest != in {
		return Draining
	}
	return Ready
}

// moreRecent reports which of two registrations counts.
func moreRecent(a, b *Instance) bool {
	return cmp.Or(
		cmp.Compare(a.Modified, b.Modified),
		cmp.Compare(a.Created, b.Created),
		cmp.Compare(a.Name(), b.Name()),
		cmp.Compare(a.Address, b.Address),
	) > 0
}

// updateRecord brings a record to what an instance says.
func (t *Table) updateRecord(name string, in *Instance, phase Phase) {
	r := t.records[name]
	isNew := r == nil
	if isNew {
		r = &record{}
		t.records[name] = r
	}
	// An instance of the first list without a start was there before this gateway listened, and
	// counts as started long ago.
	startUnknown := isNew && !t.initialized && in.Started == 0
	if !startUnknown && (isNew || r.Address != in.Address || t.restarted(r, in)) {
		r.Started = t.startTime(in)
	}
	r.Server = Server{
		Name:    name,
		Address: in.Address,
		Phase:   phase,
		Started: r.Started,
		Zone:    in.Zone,
		Cell:    in.Cell,
		Size:    in.Size,
	}
	r.created = in.Created
	r.announcedStart = in.Started
	r.critical = in.Health == Critical
}

// restarted reports whether a known name stands for another process now.
func (t *Table) restarted(r *record, in *Instance) bool {
	if in.Started != r.announcedStart {
		return in.Started != 0
	}
	if in.Started != 0 {
		return false // its metadata shows that it is the same
	}
	if in.Created != r.created {
		return true
	}
	if r.Phase == Gone {
		return in.Created == 0 // without an index it can't be told from another
	}
	return r.critical && in.Health != Critical // as after a crash
}

// startTime returns when an instance was started. Its clock may be behind, and a start in the
// future is not believed.
func (t *Table) startTime(in *Instance) Time {
	if in.Started == 0 {
		return t.now
	}
	return min(t.now, in.Started+t.settings.MaxClockSkew)
}

func (t *Table) serversByName() map[string]Server {
	m := make(map[string]Server, len(t.records))
	for name, r := range t.records {
		m[name] = r.Server
	}
	return m
}

// changes returns the servers that differ from those before.
func (t *Table) changes(before map[string]Server) []Server {
	var list []Server
	for name, r := range t.records {
		old, known := before[name]
		if known && old != r.Server || !known && r.Phase != Gone {
			list = append(list, r.Server)
		}
	}
	sortByName(list)
	return list
}
