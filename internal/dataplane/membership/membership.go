package membership

import (
	"cmp"
	"errors"
	"slices"
)

// Time is a point in time or a duration, in microseconds.
type Time = int64

// Health is the worst state among an instance's health checks.
type Health uint8

// The health states, from best to worst. Maintenance is set by an operator and is not a fault.
const (
	Passing Health = iota
	Warning
	Maintenance
	Critical
)

// Phase says how a gateway has to treat a server.
type Phase uint8

// The phases. A Draining server finishes its work and receives no new work.
const (
	Ready Phase = iota
	Draining
	Gone
)

// Instance is an entry of a registry's list of instances.
type Instance struct {
	Node, ID          string // identify the instance together
	Address           string // HOST:PORT
	Health            Health
	Draining          bool   // set by a tag or by metadata
	Started           Time   // start time from its metadata; 0: not stated
	Created, Modified uint64 // the registry's indexes of its registration; 0: not known
	Zone              string
	Cell              int
	Size              float64
}

// Name returns a name that is unique among instances: an ID is unique only on its node.
func (i *Instance) Name() string { return i.Node + "/" + i.ID }

// View is the part of a registry from which a list was read.
type View uint8

// The views. The health view lists instances with their health checks. The catalog has no health
// checks, and may be newer or older than the health view.
const (
	HealthView View = iota
	CatalogView
	views
)

// List is a registry's list of the instances of a service at an index.
type List struct {
	View      View
	Index     uint64
	Instances []Instance
}

// Server is the state of an instance as reported to a gateway.
type Server struct {
	Name, Address string
	Phase         Phase
	Started       Time // 0: started long ago
	Zone          string
	Cell          int
	Size          float64
}

// Settings are the rules for accepting and applying lists.
type Settings struct {
	WarningServes bool // an instance whose health is Warning receives work
	EmptyListHold Time // how long servers are kept when a list is suddenly empty
	ResetAfter    int  // number of older lists in a row that show that the index was restarted
	MaxClockSkew  Time // maximum time by which a server's clock may be behind the local clock
}

// ErrSettings is returned for settings that are out of range.
var ErrSettings = errors.New("membership: EmptyListHold and MaxClockSkew must be at least 0, and " +
	"ResetAfter must be at least 1")

// record is the state of the server with one name.
type record struct {
	Server
	created        uint64
	announcedStart Time // start time from its metadata; 0: not stated
	critical       bool // according to the last list that had it
}

// Table is the state of all servers of a service. It is not safe for concurrent use.
type Table struct {
	settings    Settings
	now         Time
	records     map[string]*record
	index       [views]uint64
	olderInRow  [views]int      // number of lists in a row with an older index
	missing     map[string]bool // names that the catalog does not have at its index
	initialized bool            // a list of the health view was applied
	emptySince  Time            // since when an empty list has been held back; 0: none is
}

// New returns a table without servers. It returns ErrSettings for settings that are out of range.
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

// Servers returns all servers that are not gone, sorted by name.
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

// Holding reports whether the servers are kept although the registry's list is empty, and since
// when.
func (t *Table) Holding() (since Time, holds bool) { return t.emptySince, t.emptySince != 0 }

// Apply applies a list and returns the servers that changed, sorted by name. It does not retain the
// list.
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

// Tick advances the time without a new list, and returns the servers that changed because of that,
// sorted by name.
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

// acceptIndex reports whether a list with this index is accepted: its index is not lower than that
// of the last accepted list, or the registry has restarted its index.
func (t *Table) acceptIndex(v View, index uint64) bool {
	if index < t.index[v] {
		t.olderInRow[v]++
		if t.olderInRow[v] < t.settings.ResetAfter {
			return false
		}
		t.index = [views]uint64{} // earlier indexes are no longer valid
		clear(t.missing)
	}
	t.olderInRow[v] = 0
	t.index[v] = index
	return true
}

// holdEmpty reports whether an empty list must not be applied yet. If a single server disappears,
// that server has ended; if several disappear at once, the registry is assumed to have failed.
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

// applyCatalog records which names are missing from the catalog. It can only remove servers: no
// server receives work without a health check.
func (t *Table) applyCatalog(list []Instance) {
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].Name()] = true
	}
	clear(t.missing)
	if len(list) == 0 {
		return // the health view decides, which holds back empty lists
	}
	for name, r := range t.records {
		if !listed[name] && t.catalogDecides() {
			t.missing[name] = true
			r.Phase = Gone
		}
	}
}

// applyHealth applies a list of the health view.
func (t *Table) applyHealth(list []Instance) {
	byName := make(map[string]*Instance, len(list))
	for i := range list {
		// If a name is listed at two addresses, the registration that changed last counts.
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

// phaseOf returns the phase of a listed instance, given the most recent instance at its address.
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

// moreRecent reports whether registration a takes precedence over b: the one that was modified
// last, then the one that was created last. Names and addresses break ties.
func moreRecent(a, b *Instance) bool {
	return cmp.Or(
		cmp.Compare(a.Modified, b.Modified),
		cmp.Compare(a.Created, b.Created),
		cmp.Compare(a.Name(), b.Name()),
		cmp.Compare(a.Address, b.Address),
	) > 0
}

// updateRecord updates the record of a name from a listed instance.
func (t *Table) updateRecord(name string, in *Instance, phase Phase) {
	r := t.records[name]
	isNew := r == nil
	if isNew {
		r = &record{}
		t.records[name] = r
	}
	// An instance in the first list that states no start time existed before this gateway read the
	// registry, and counts as started long ago.
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

// restarted reports whether a known name now belongs to another process.
func (t *Table) restarted(r *record, in *Instance) bool {
	if in.Started != r.announcedStart {
		return in.Started != 0
	}
	if in.Started != 0 {
		return false // its metadata shows that it is the same process
	}
	if in.Created != r.created {
		return true
	}
	if r.Phase == Gone {
		return in.Created == 0 // without an index it can't be distinguished from a new process
	}
	return r.critical && in.Health != Critical // it may have crashed and been restarted
}

// startTime returns when an instance was started, by the local clock. The stated start time is
// increased by MaxClockSkew, because the instance's clock may be behind, but never beyond the
// current time.
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

// changes returns the servers that differ from those in before, sorted by name.
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
