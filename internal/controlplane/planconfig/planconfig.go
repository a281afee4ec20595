// Package planconfig implements the configuration item that holds the terms of all plans and the
// plan of each tenant. It converts between a TOML file of package plans and keyed records of
// package distribution.
package planconfig

import (
	"errors"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/configstate"
	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/mustproto"
	"mothcleat/internal/plans"
)

// ItemName is the name of the item in the fleet's configuration.
const ItemName = "plans"

// Terms applies plans in a process. In a gateway it is gateway.PlanTerms.
type Terms interface {
	// CheckCatalog returns why a catalog can't be applied here, nil if it can.
	CheckCatalog(catalog *plans.Catalog) error
	// UseCatalogs puts a catalog in force, together with overlapping ones whose terms apply as
	// well. order and done are those of rollout.Item.
	UseCatalogs(target *plans.Catalog, overlapping []*plans.Catalog, order uint64, done func())
}

// Item applies the plans in one process. It is a rollout.Item. Its methods are safe for concurrent
// use.
type Item struct {
	terms Terms

	mu sync.Mutex
	// recent caches decoded states, the newest last.
	recent []decodedState
}

// decodedState is a state with the catalog that it encodes.
type decodedState struct {
	state   *distribution.State
	catalog *plans.Catalog
}

// maxRecent is how many decoded states are cached: those of overlapping versions, and the base of
// the next version.
const maxRecent = 3

// errUnknownKind is the reason in an InvalidRecordError for a record of an unknown kind.
var errUnknownKind = errors.New("it is neither a plan nor a tenant")

// New returns the item that applies plans through terms.
func New(terms Terms) *Item { return &Item{terms: terms} }

// Decode converts a file of plans to records.
func (i *Item) Decode(raw []byte) (*distribution.State, error) {
	catalog, err := plans.Parse(raw)
	if err != nil {
		return nil, err
	}
	state, err := stateOf(catalog)
	if err != nil {
		return nil, err
	}
	i.cache(state, catalog)
	return state, nil
}

// Encode converts records to a file of plans.
func (i *Item) Encode(state *distribution.State) ([]byte, error) {
	catalog, err := i.catalogOf(state)
	if err != nil {
		return nil, err
	}
	return plans.Render(catalog), nil
}

// Check returns why a version can't be applied here, nil if it can.
func (i *Item) Check(v *configstate.Version) error {
	catalog, err := i.catalogOf(v.State)
	if err != nil {
		return err
	}
	return i.terms.CheckCatalog(catalog)
}

// Use puts a version in force; see rollout.Item. The version must have been checked.
func (i *Item) Use(
	target *configstate.Version, overlapping []*configstate.Version, order uint64, done func(),
) {
	catalog, err := i.versionCatalog(target)
	if err != nil {
		return
	}
	var overlappingCatalogs []*plans.Catalog
	for _, v := range overlapping {
		other, err := i.versionCatalog(v)
		if err != nil {
			return
		}
		overlappingCatalogs = append(overlappingCatalogs, other)
	}
	i.terms.UseCatalogs(catalog, overlappingCatalogs, order, done)
}

// versionCatalog returns the catalog of a version. For nil it returns an empty catalog, with which
// the process's own configuration applies.
func (i *Item) versionCatalog(v *configstate.Version) (*plans.Catalog, error) {
	if v == nil {
		return &plans.Catalog{}, nil
	}
	return i.catalogOf(v.State)
}

// catalogOf returns the catalog of a state: the cached one, or one that is derived from the newest
// cached state by applying the difference.
func (i *Item) catalogOf(state *distribution.State) (*plans.Catalog, error) {
	i.mu.Lock()
	cached := slices.Clone(i.recent)
	i.mu.Unlock()
	base := decodedState{distribution.NewState(), &plans.Catalog{}}
	for _, decoded := range cached {
		if decoded.state == state {
			return decoded.catalog, nil
		}
		base = decoded
	}
	changes, err := changesOf(base.state.Difference(state))
	if err != nil {
		return nil, err
	}
	catalog, err := base.catalog.Change(changes)
	if err != nil {
		return nil, err
	}
	i.cache(state, catalog)
	return catalog, nil
}

func (i *Item) cache(state *distribution.State, catalog *plans.Catalog) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recent = append(i.recent, decodedState{state, catalog})
	if len(i.recent) > maxRecent {
		i.recent = slices.Delete(i.recent, 0, 1)
	}
}

// stateOf returns the records of a catalog. Tenants with the same plan share the value of their
// records.
func stateOf(catalog *plans.Catalog) (*distribution.State, error) {
	var changes []distribution.Change
	values := map[string][]byte{}
	for _, name := range catalog.PlanNames() {
		v, _ := catalog.Plan(name, 0)
		record := &distributionpb.PlanRecord{
			Rate: v.Rate, Burst: v.Burst, CeilingRate: v.CeilingRate, CeilingBurst: v.CeilingBurst,
		}
		changes = append(changes, setRecord(distribution.KindPlan, name, mustproto.Marshal(record)))
		values[name] = mustproto.Marshal(&distributionpb.TenantRecord{Plan: name})
	}
	catalog.Customers(func(customer uint64, plan string) bool {
		changes = append(changes,
			setRecord(distribution.KindTenant, plans.CustomerID(customer), values[plan]))
		return true
	})
	return distribution.NewState().With(changes)
}

func setRecord(kind distribution.Kind, id string, value []byte) distribution.Change {
	return distribution.Change{Record: distribution.Record{Kind: kind, ID: id, Value: value}}
}

// changesOf converts changes of records to changes of plans. It returns a
// *distribution.InvalidRecordError for a record that is neither a plan nor a tenant, or can't be
// decoded.
func changesOf(records []distribution.Change) (*plans.Changes, error) {
	changes := &plans.Changes{}
	for i := range records {
		if err := addChange(changes, &records[i]); err != nil {
			return nil, &distribution.InvalidRecordError{
				Kind: records[i].Kind, ID: records[i].ID, Reason: err.Error(),
			}
		}
	}
	return changes, nil
}

func addChange(to *plans.Changes, c *distribution.Change) error {
	switch c.Kind {
	case distribution.KindPlan:
		return addPlan(to, c)
	case distribution.KindTenant:
		return addTenant(to, c)
	}
	return errUnknownKind
}

func addPlan(to *plans.Changes, c *distribution.Change) error {
	if c.Deleted {
		to.RemovedPlans = append(to.RemovedPlans, c.ID)
		return nil
	}
	var record distributionpb.PlanRecord
	if err := proto.Unmarshal(c.Value, &record); err != nil {
		return err
	}
	to.Plans = append(to.Plans, plans.Version{Plan: c.ID, Terms: plans.Terms{
		Rate:         record.Rate,
		Burst:        record.Burst,
		CeilingRate:  record.CeilingRate,
		CeilingBurst: record.CeilingBurst,
	}})
	return nil
}

func addTenant(to *plans.Changes, c *distribution.Change) error {
	customer, err := plans.ParseCustomerID(c.ID)
	if err != nil {
		return err
	}
	if c.Deleted {
		to.RemovedCustomers = append(to.RemovedCustomers, customer)
		return nil
	}
	var record distributionpb.TenantRecord
	if err := proto.Unmarshal(c.Value, &record); err != nil {
		return err
	}
	to.Assignments = append(to.Assignments, plans.Assignment{Customer: customer, Plan: record.Plan})
	return nil
}
