package sim

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"mothcleat/internal/testing/harness"
)

// Options are the settings of a run.
type Options struct {
	Seed     uint64 `json:"seed" toml:"-"`
	Gateways int    `json:"gateways" toml:"gateways"`
	// Servers is the number of servers; 0 for 10.
	Servers int     `json:"servers" toml:"servers"`
	Load    float64 `json:"load" toml:"load"`
	// PerSecond is the rate of requests inside quotas, to which the work of a request is scaled; 0
	// for no scaling.
	PerSecond float64 `json:"per_second,omitempty" toml:"per_second"`
	// Customers is the number of customers, to which the size of plans is scaled; 0 for no scaling.
	Customers int `json:"customers,omitempty" toml:"customers"`
	// Duration is how long clients make requests.
	Duration time.Duration `json:"for" toml:"-"`
	// Spread is the number of gateways of every customer; 0 for as drawn.
	Spread int `json:"spread,omitempty" toml:"spread"`
	// Shift is how often a customer's busiest gateway changes; 0 for the site's interval.
	Shift time.Duration `json:"shift,omitempty" toml:"-"`
	// Surge multiplies the requests of one plan's customers in the middle third; 0 for no surge.
	Surge float64 `json:"surge,omitempty" toml:"surge"`
	// Unsafe makes the heavy class not idempotent, instead of carrying keys.
	Unsafe bool `json:"unsafe,omitempty" toml:"unsafe"`
	// Window is how long servers drop duplicates of a key; 0 for the site's window.
	Window time.Duration `json:"window,omitempty" toml:"-"`
	// TightCeilings makes quotas three times the ceilings, so that these bind.
	TightCeilings bool `json:"tight,omitempty" toml:"tight"`
	// Snapshots makes gateways store their state.
	Snapshots bool `json:"state,omitempty" toml:"state"`

	// MessageLoss is the fraction of peer messages lost; negative for the site's fraction.
	MessageLoss float64 `json:"note_loss" toml:"note_loss"`
	// MessageDelay is the additional delay of peer messages.
	MessageDelay time.Duration `json:"note_late,omitempty" toml:"-"`
	// MessageDuplication is the fraction of peer messages that are delivered twice, the second
	// time up to a second later.
	MessageDuplication float64 `json:"note_twice,omitempty" toml:"note_twice"`

	// Kills is the mean time between two kills of a gateway; 0 for none.
	Kills time.Duration `json:"kills,omitempty" toml:"-"`
	// Restarts is the mean time between two restarts of a server, which then warms up; 0 for none.
	Restarts time.Duration `json:"restarts,omitempty" toml:"-"`
	// Faults are further faults.
	Faults []harness.Fault `json:"faults,omitempty" toml:"-"`
}

// Check returns an error if the options can't be played.
func (o *Options) Check() error {
	switch {
	case o.Gateways < 1 || o.Gateways > 5000:
		return fmt.Errorf("%d gateways: must be between 1 and 5000", o.Gateways)
	case o.Servers < 0 || o.Servers > 20000:
		return fmt.Errorf("%d servers: must be between 0 and 20000", o.Servers)
	case !(o.Load > 0 && o.Load <= 3):
		return fmt.Errorf("load %g: must be above 0 and at most 3", o.Load)
	case o.PerSecond < 0 || o.PerSecond > 1e6 || o.Customers < 0 || o.Customers > 1e6:
		return fmt.Errorf("%g requests a second of %d customers: must be at most 1000000 each",
			o.PerSecond, o.Customers)
	case o.Duration <= 0 || o.Duration > 24*time.Hour:
		return fmt.Errorf("for %v: must be above 0 and at most 24h", o.Duration)
	case o.Spread < 0:
		return fmt.Errorf("spread %d: must be at least 0", o.Spread)
	case o.MessageLoss > 1 || !(o.MessageDuplication >= 0 && o.MessageDuplication <= 1):
		return fmt.Errorf("notes lost %g: must be at most 1; twice %g: must be between 0 and 1",
			o.MessageLoss, o.MessageDuplication)
	case !(o.Surge == 0 || o.Surge >= 1 && o.Surge <= 100):
		return fmt.Errorf("surge %g: must be 0 or between 1 and 100", o.Surge)
	case min(o.MessageDelay, o.Shift, o.Window, o.Kills, o.Restarts) < 0:
		return errors.New("a duration is negative")
	}
	for i, f := range o.Faults {
		if f.N < 0 || f.At < 0 || f.For < 0 ||
			!slices.Contains(
				slices.Concat(harness.GatewayFaults, harness.ServerFaults, harness.OtherFaults),
				f.Kind,
			) {
			return fmt.Errorf("faults[%d]: %v can't be played", i, f)
		}
	}
	return nil
}
