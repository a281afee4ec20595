package plans

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// file is what a version of all plans is written as.
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

// Parse reads the terms of all plans, and which customers have which, from TOML. What it does not
// know it refuses, with the line.
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
		return nil, errors.New("plans: no plan")
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
	b, err := NewCatalog(versions, assignments)
	if err != nil {
		return nil, fmt.Errorf("plans: %w", err)
	}
	return b, nil
}

// PlanNames are the names of all plans.
func (b *Catalog) PlanNames() []string { return b.names }

// Plan returns the terms of a plan at a time.
func (b *Catalog) Plan(name string, t Time) (v Version, ok bool) {
	for i, n := range b.names {
		if n != name {
			continue
		}
		for _, one := range b.versions[i] {
			if one.From <= t {
				v, ok = one, true
			}
		}
	}
	return v, ok
}
