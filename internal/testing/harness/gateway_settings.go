package harness

import "time"

// Settings returns the settings object that a gateway receives when it starts. Its keys are those
// of the simulator's protocol.
func (s *Site) Settings(self int) map[string]any {
	classes := []any{}
	for i := range s.Classes {
		classes = append(classes, s.Classes[i].settings())
	}
	plans := []any{}
	for i := range s.Plans {
		plans = append(plans, s.Plans[i].settings())
	}
	return map[string]any{
		"self-index":     self,
		"balancers":      s.Gateways,
		"az":             0,
		"granularity-us": 4000,
		"localities":     []string{"sala-1"},
		"ceilings": map[string]any{
			"peers":              !s.Counter && s.Gateways > 1,
			"probes":             false,
			"second-copies":      true,
			"retry-after":        true,
			"max-attempts":       s.MaxAttempts,
			"max-retry-after-us": 1000000,
			"max-open":           20000,
			"dial-timeout-us":    250000,
			"idle-close-us":      ServerIdle.Microseconds(),
		},
		"family-info": map[string]any{
			"counter":            s.Counter,
			"settles":            false,
			"counter-timeout-us": 50000,
			"max-units":          4,
			"mail-per-s":         60,
		},
		"guarantees": map[string]any{
			"cold-from":      s.SlowStartMinFraction,
			"cold-us":        s.SlowStartDuration.Microseconds(),
			"tip-after-us":   s.OverloadWindow.Microseconds(),
			"drain-grace-us": s.DrainTimeout.Microseconds(),
		},
		"membership-mode": "pushed",
		"weights":         "silent",
		"report":          map[string]any{"names": []string{}, "via": "silent"},
		"request-classes": classes,
		"tariffs":         plans,
	}
}

func (c *Class) settings() map[string]any {
	repeat := "retryable"
	window := time.Duration(0)
	switch {
	case c.Keyed:
		repeat = "dedup"
		window = c.DeduplicationWindow
	case c.Unsafe:
		repeat = "fragile"
	}
	return map[string]any{
		"name":          c.Name,
		"promise-us":    c.LatencyTarget.Microseconds(),
		"hard-limit-us": c.GiveUp.Microseconds(),
		"repeat":        repeat,
		"group":         "all",
		"window-us":     window.Microseconds(),
		"worth":         c.Value,
	}
}

func (p *Plan) settings() map[string]any {
	settings := map[string]any{
		"name":         p.Name,
		"rate":         p.Rate,
		"burst":        p.Burst,
		"value-factor": p.Price,
		"beyond-earns": p.BeyondEarns,
		"beyond-costs": 1,
	}
	if p.CeilingRate > 0 {
		settings["never-over-rate"] = p.CeilingRate
		settings["ceiling-burst"] = p.CeilingBurst
		settings["hard-slack"] = p.CeilingSlack
	}
	return settings
}
