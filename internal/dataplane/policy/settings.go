package policy

import "fmt"

// validate tells which field of the settings cannot be served.
func (set *Settings) validate() error {
	switch {
	case set.Gateways < 1:
		return fmt.Errorf("settings: gateways: %d, at least 1 wanted", set.Gateways)
	case set.Self < 0 || set.Self >= set.Gateways:
		return fmt.Errorf("settings: self: %d is none of %d gateways", set.Self, set.Gateways)
	case len(set.Classes) == 0:
		return fmt.Errorf("settings: classes: none")
	case len(set.Plans) == 0 || len(set.Classes)+len(set.Plans) > 255:
		return fmt.Errorf("settings: plans: %d, at least 1 and with the classes at most 255 wanted", len(set.Plans))
	}
	for i, c := range set.Classes {
		if c.LatencyObjective <= 0 {
			return fmt.Errorf("settings: classes[%d].aim: %d, above 0 wanted", i, c.LatencyObjective)
		}
	}
	for i, p := range set.Plans {
		if p.Rate < 0 || p.CeilingRate < 0 || p.Rate > 0 && p.Burst <= 0 {
			return fmt.Errorf("settings: plans[%d]: rate %g with burst %g", i, p.Rate, p.Burst)
		}
	}
	return nil
}
