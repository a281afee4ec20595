package main

// plan is a plan of the settings.
type plan struct {
	name                     string
	rate, burst              float64
	ceilingRate, ceilingHold float64
	slack                    float64
	factor, earns, costs     float64
}

// The plans of the settings in WIRE.
var (
	basico       = plan{name: "basico", rate: 1.3, burst: 7, factor: 0.72, costs: 1}
	profissional = plan{name: "profissional", rate: 3.7, burst: 17, factor: 1.2, costs: 1}
	corporativo  = plan{
		name: "corporativo", rate: 16, burst: 37, ceilingRate: 35, ceilingHold: 77, slack: 8,
		factor: 1.8, earns: 0.3,
	}
)

func (p plan) settings() map[string]any {
	return map[string]any{
		"name": p.name, "rate": p.rate, "burst": p.burst, "max-out": 0,
		"never-over-rate": p.ceilingRate, "ceiling-burst": p.ceilingHold, "hard-slack": p.slack,
		"value-factor": p.factor, "beyond-earns": p.earns, "beyond-costs": p.costs,
	}
}

// wireSettings are the settings that WIRE shows, with the given plans and largest request.
func wireSettings(maxUnits int, plans ...plan) map[string]any {
	tariffs := []any{}
	for _, p := range plans {
		tariffs = append(tariffs, p.settings())
	}
	return map[string]any{
		"az": 0, "granularity-us": 4000, "localities": []string{"sala-1"},
		"layers": []string{"cotacoes"}, "models": []string{"maq-rapida", "maq-padrao"},
		"membership-mode": "pushed", "weights": "silent", "tier": 0, "family": "gate",
		"callers": map[string]any{"marks-retry": false},
		"ceilings": map[string]any{
			"cancel": true, "cpu-us-per-request": 0.0, "cpu-us-per-s": 400000,
			"dial-timeout-us": 250000, "idle-close-us": 30000000, "max-attempts": 3,
			"max-open": 20000, "max-retry-after-us": 2000000, "peers": true, "probes": true,
			"retry-after": true, "second-copies": true, "streams-per-conn": 100,
		},
		"family-info": map[string]any{
			"counter": true, "counter-price": 0.01, "counter-timeout-us": 50000,
			"mail-per-s": 60.0, "max-units": maxUnits, "meter-period-us": 0, "settles": false,
		},
		"guarantees": map[string]any{
			"answer-slack-us": 16000, "ask-within-us": 10000000, "cold-from": 0.15,
			"cold-us": 16000000, "drain-grace-us": 2000000, "overload-factor": 4.0,
			"tip-after-us": 1000000,
		},
		"prices": map[string]any{
			"connection": 0.0, "cross-zone": 0.0, "handshake": 0.0, "late-fail": 0.03,
			"membership-mode": 0.0, "moves": 0.0, "origin": 0.0, "peer": 0.03, "probe": 0.01,
			"waste": 0.05,
		},
		"report": map[string]any{"names": []string{}, "via": "silent"},
		"request-classes": []any{
			map[string]any{
				"name": "cotacao", "group": "all", "hard-limit-us": 3000000, "late-worth": 0.0,
				"promise-us": 1000000, "repeat": "retryable", "streaming": false,
				"window-us": 5000000, "worth": 1.0,
			},
			map[string]any{
				"name": "alerta", "group": "all", "hard-limit-us": 15000000, "late-worth": 0.0,
				"promise-us": 4000000, "repeat": "dedup", "streaming": false,
				"window-us": 30000000, "worth": 3.0,
			},
		},
		"tariffs": tariffs,
	}
}
