package main

// deployment says what a small deployment consists of.
type deployment struct {
	gateways int
	servers  int
}

// plan is one plan of the settings.
type plan struct {
	name                     string
	rate, burst              float64
	ceiling, ceilingBurst    float64
	slack                    float64
	price, earns, costsShare float64
}

// plans are figures inside the ranges of the operators' brief for caxias-norte.
var plans = []plan{
	{name: "basico", rate: 1.3, burst: 6, price: 0.72, costsShare: 1},
	{name: "profissional", rate: 4, burst: 18, price: 1.2, costsShare: 1},
	{
		name: "corporativo", rate: 16, burst: 32, ceiling: 32, ceilingBurst: 64, slack: 6.4,
		price: 1.8, earns: 0.3,
	},
}

// settings returns the settings object of a gateway.
func (d deployment) settings(self int) map[string]any {
	var tariffs []any
	for _, p := range plans {
		tariffs = append(tariffs, map[string]any{
			"name": p.name, "rate": p.rate, "burst": p.burst, "value-factor": p.price,
			"never-over-rate": p.ceiling, "ceiling-burst": p.ceilingBurst, "hard-slack": p.slack,
			"max-out": 0, "beyond-earns": p.earns, "beyond-costs": p.costsShare,
		})
	}
	return map[string]any{
		"self-index": self, "balancers": d.gateways, "az": 0, "granularity-us": 4000,
		"localities": []string{"sala-1"}, "layers": []string{"cotacoes"}, "tier": 0,
		"membership-mode": "pushed", "weights": "silent",
		"callers": map[string]any{"marks-retry": false},
		"ceilings": map[string]any{
			"cancel": true, "cpu-us-per-s": 400000, "dial-timeout-us": 250000,
			"idle-close-us": 30000000, "max-attempts": 3, "max-open": 20000,
			"max-retry-after-us": 2000000, "peers": d.gateways > 1, "probes": false,
			"retry-after": true, "second-copies": true, "streams-per-conn": 100,
		},
		"family": "gate",
		"family-info": map[string]any{
			"counter": false, "mail-per-s": 60.0, "max-units": 4, "settles": false,
			"meter-period-us": 0,
		},
		"guarantees": map[string]any{
			"answer-slack-us": 16000, "cold-from": 0.15, "cold-us": 16000000,
			"drain-grace-us": 2000000, "overload-factor": 4.0, "tip-after-us": 1000000,
		},
		"report": map[string]any{"names": []string{}, "via": "silent"},
		"request-classes": []any{
			map[string]any{
				"name": "cotacao", "promise-us": 1000000, "hard-limit-us": 3000000,
				"repeat": "retryable", "group": "all", "window-us": 5000000, "worth": 1.0,
				"late-worth": 0.0, "streaming": false,
			},
			map[string]any{
				"name": "alerta", "promise-us": 4000000, "hard-limit-us": 15000000,
				"repeat": "dedup", "group": "all", "window-us": 30000000, "worth": 3.0,
				"late-worth": 0.0, "streaming": false,
			},
		},
		"tariffs": tariffs,
	}
}
