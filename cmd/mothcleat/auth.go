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
		Settings: forwardauth.Settings{URL: a.URL, Headers: a.Headers, SecretName: a.SecretHeader, SecretFile: a.SecretFile,
			TokensFile: a.TokensFile, CAFile: a.CAFile, Timeout: time.Duration(a.Timeout), MostOut: a.MostCalls},
		Rules: authz.Settings{Budget: us(a.Budget), AllowFor: us(a.AllowFor), AllowCap: us(a.AllowMost), DenyFor: us(a.DenyFor),
			StaleFor: us(a.StaleFor), MostOut: a.MostCalls, MostWaiting: a.MostWaiting, MostKept: a.MostKept,
			Fails: a.Fails, OpenFor: us(a.OpenFor), OpenMost: us(a.OpenMost)},
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
	out.Rules.PassUnknown = marked("pass_unknown", a.PassUnknown, cfg.Host.Classes, false)
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
