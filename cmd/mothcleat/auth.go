package main

import (
	"fmt"
	"slices"
	"time"

	"mothcleat/internal/config"
	"mothcleat/internal/dataplane/authz"
	"mothcleat/internal/dataplane/forwardauth"
	"mothcleat/internal/dataplane/gateway"
)

// auth turns the operators' settings into whom to ask and by which rules: names
// become numbers of the configuration's classes and plans.
func auth(a *config.Auth, cfg *gateway.Config) (gateway.Auth, error) {
	if a.URL == "" {
		return gateway.Auth{}, nil
	}
	us := func(d config.Duration) authz.Time { return time.Duration(d).Microseconds() }
	out := gateway.Auth{
		Settings: forwardauth.Settings{URL: a.URL,
			Headers:    a.Headers,
			SecretName: a.SecretHeader,
			SecretFile: a.SecretFile,
			TokensFile: a.TokensFile,
			CAFile:     a.CAFile,
			Timeout:    time.Duration(a.CallTimeout),
			MostOut:    a.MaxConcurrentCalls},
		Rules: authz.Settings{Budget: us(a.WaitTimeout),
			AllowFor:    us(a.AllowTTL),
			AllowCap:    us(a.MaxAllowTTL),
			DenyFor:     us(a.DenyTTL),
			StaleFor:    us(a.StaleTTL),
			MostOut:     a.MaxConcurrentCalls,
			MostWaiting: a.MaxWaiting,
			MostKept:    a.MaxCacheEntries,
			Fails:       a.FailureThreshold,
			OpenFor:     us(a.OpenDuration),
			OpenMost:    us(a.MaxOpenDuration)},
	}
	var err error
	marked := func(key string, names, all []string, none bool) []bool {
		marks := make([]bool, len(all))
		for i, name := range all {
			marks[i] = len(names) == 0 && none || slices.Contains(names, name)
		}
		for _, name := range names {
			if !slices.Contains(all, name) && err == nil {
				err = fmt.Errorf("operators: auth.%s: the configuration has no %q", key, name)
			}
		}
		return marks
	}
	out.Rules.Ask = marked("classes", a.Classes, cfg.Host.Classes, false)
	out.Rules.PassUnknown = marked("pass_unknown", a.FailOpenClasses, cfg.Host.Classes, false)
	out.Rules.Plans = marked("plans", a.Plans, cfg.Host.Plans, true)
	if err != nil {
		return gateway.Auth{}, err
	}
	// Tried here, so that a bad file is found before anything is changed.
	client, err := forwardauth.NewClient(out.Settings)
	if err != nil {
		return gateway.Auth{}, fmt.Errorf("operators: %w", err)
	}
	client.Close()
	return out, nil
}
