// Package planconfig is the terms of all plans, and which tenant has which, as one item of the
// fleet's configuration: a TOML file of package plans on one side, keyed records of package
// distribution on the other.
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

// ItemName is what the fleet calls the item.
const ItemName = "plans"

// Terms is what puts plans in force: in a gateway, gateway.PlanTerms.
type Terms interface {
	// CheckCatalog returns why the plans can't be acted on here, nil if they can.
	CheckCatalog(book *plans.Catalog) error
	// UseCatalogs has plans decide from now on, beside others whose terms bind as well; see
	// rollout.Item for the rest.
	UseCatalogs(target *plans.Catalog, beside []*plans.Catalog, order uint64, done func())
}

// Item is the plans of one process: a rollout.Item. Its methods may be called concurrently.
type Item struct {
	terms Terms

	mu     sync.Mutex
	recent []decodedState // the newest last
}

// decodedState is a state and what it says.
type decodedState struct {
	state   *distribution.State
	catalog *plans.Catalog
}

// maxRecent is how many books are kept: those of versions that overlap, and the base of the next.
const maxRecent = 3

// errUnknownKind is the reason of an InvalidRecordError for a record of another kind.
var errUnknownKind = errors.New("it is neither a plan nor a tenant")

// New returns the item that puts plans in force by terms.
func New(terms Terms) *Item { return &Item{terms: terms} }

// Decode reads a file of plans as records.
func (i *Item) Decode(raw []byte) (*distribution.State, error) {
	book, err := plans.Parse(raw)
	if err != nil {
		return nil, err
	}
	state, err := stateOf(book)
	if err != nil {
		return nil, err
	}
	i.remember(state, book)
	return state, nil
}

// Encode writes records as a file of plans.
func (i *Item) Encode(state *distribution.State) ([]byte, error) {
	book, err := i.catalogOf(state)
	if err != nil {
		return nil, err
	}
	return plans.Render(book), nil
}

// Check returns why a version can't be acted on here, nil if it can.
func (i *Item) Check(v *configstate.Version) error {
	book, err := i.catalogOf(v.State)
	if err != nil {
		return err
	}
	return i.terms.CheckCatalog(book)
}

// Use has a version decide from now on; see rollout.Item. Versions that were checked can be read.
func (i *Item) Use(
	target *configstate.Version, beside []*configstate.Version, order uint64, done func(),
) {
	book := &plans.Catalog{} // nothing: the process's own configuration holds
	var err error
	if target != nil {
		if book, err = i.catalogOf(target.State); err != nil {
			return
		}
	}
	var besideBooks []*plans.Catalog
	for _, v := range beside {
		one := &plans.Catalog{}
		if v != nil {
			if one, err = i.catalogOf(v.State); err != nil {
				return
			}
		}
		besideBooks = append(besideBooks, one)
	}
	i.terms.UseCatalogs(book, besideBooks, order, done)
}

// catalogOf returns what a state says: as it was worked out before, or from the newest state that
// was, by what differs.
func (i *Item) catalogOf(state *distribution.State) (*plans.Catalog, error) {
	i.mu.Lock()
	known := slices.Clone(i.recent)
	i.mu.Unlock()
	base := decodedState{distribution.NewState(), &plans.Catalog{}}
	for _, one := range known {
		if one.state == state {
			return one.catalog, nil
		}
		base = one
	}
	changes, err := changesOf(base.state.Difference(state))
	if err != nil {
		return nil, err
	}
	book, err := base.catalog.Change(changes)
	if err != nil {
		return nil, err
	}
	i.remember(state, book)
	return book, nil
}

func (i *Item) remember(state *distribution.State, book *plans.Catalog) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recent = append(i.recent, decodedState{state, book})
	if len(i.recent) > maxRecent {
		i.recent = slices.Delete(i.recent, 0, 1)
	}
}

// stateOf returns the records of a book. Tenants of one plan share their value.
func stateOf(book *plans.Catalog) (*distribution.State, error) {
	var changes []distribution.Change
	values := map[string][]byte{}
	for _, name := range book.PlanNames() {
		v, _ := book.Plan(name, 0)
		record := &distributionpb.PlanRecord{
			Rate: v.Rate, Burst: v.Burst, CeilingRate: v.CeilingRate, CeilingBurst: v.CeilingBurst,
		}
		changes = append(changes, setRecord(distribution.KindPlan, name, mustproto.Marshal(record)))
		values[name] = mustproto.Marshal(&distributionpb.TenantRecord{Plan: name})
	}
	book.Customers(func(customer uint64, plan string) bool {
		changes = append(changes,
			setRecord(distribution.KindTenant, plans.CustomerID(customer), values[plan]))
		return true
	})
	return distribution.NewState().With(changes)
}

func setRecord(kind distribution.Kind, id string, value []byte) distribution.Change {
	return distribution.Change{Record: distribution.Record{Kind: kind, ID: id, Value: value}}
}

// changesOf reads changes of records as changes of plans. It returns an InvalidRecordError of
// package distribution for a record that is neither a plan nor a tenant, or can't be read.
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
