package plans

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// file is the TOML form of a catalog without times.
type file struct {
	Plan []struct {
		Name         string  `toml:"name"`
		Rate         float64 `toml:"rate"`
		Burst        float64 `toml:"burst"`
		CeilingRate  float64 `toml:"ceiling_rate"`
		CeilingBurst float64 `toml:"ceiling_burst"`
	} `toml:"plan"`
	Customer []struct {
		ID   string `toml:"id"` // 16 hexadecimal digits
		Plan string `toml:"plan"`
	} `toml:"customer"`
}

// Parse reads the plans with their terms, and the plan of each customer, from TOML. It rejects
// unknown keys. Its error names the line or the entry.
func Parse(raw []byte) (*Catalog, error) {
	var f file
	d := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) && len(strict.Errors) > 0 {
			line, _ := strict.Errors[0].Position()
			return nil, fmt.Errorf("plans: line %d: unknown key %v", line, strict.Errors[0].Key())
		}
		var at *toml.DecodeError
		if errors.As(err, &at) {
			line, _ := at.Position()
			return nil, fmt.Errorf("plans: line %d: %w", line, err)
		}
		return nil, fmt.Errorf("plans: %w", err)
	}
	if len(f.Plan) == 0 {
		return nil, errors.New("plans: the file has no plan")
	}
	var versions []Version
	for _, p := range f.Plan {
		versions = append(
			versions,
			Version{
				Plan: p.Name,
				Terms: Terms{
					Rate:         p.Rate,
					Burst:        p.Burst,
					CeilingRate:  p.CeilingRate,
					CeilingBurst: p.CeilingBurst,
				},
			},
		)
	}
	var assignments []Assignment
	for i, c := range f.Customer {
		id, err := ParseCustomerID(c.ID)
		if err != nil {
			return nil, fmt.Errorf("plans: customer %d: %w", i+1, err)
		}
		assignments = append(assignments, Assignment{Customer: id, Plan: c.Plan})
	}
	catalog, err := NewCatalog(versions, assignments)
	if err != nil {
		return nil, fmt.Errorf("plans: %w", err)
	}
	return catalog, nil
}

// PlanNames returns the names of all plans.
func (c *Catalog) PlanNames() []string { return c.names }

// Plan returns the version of a plan that applies at time t. ok is false if there is none.
func (c *Catalog) Plan(name string, t Time) (v Version, ok bool) {
	for i, n := range c.names {
		if n != name {
			continue
		}
		for _, one := range c.versions[i] {
			if one.From <= t {
				v, ok = one, true
			}
		}
	}
	return v, ok
}
