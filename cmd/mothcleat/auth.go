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

// authSettings converts the operators' settings to those of the authorization client and its rules.
// Names of classes and plans become lists of booleans, indexed as in the configuration.
func authSettings(settings *config.Auth, cfg *gateway.Config) (gateway.Auth, error) {
	if settings.URL == "" {
		return gateway.Auth{}, nil
	}
	rules, err := authRules(settings, cfg)
	if err != nil {
		return gateway.Auth{}, err
	}
	auth := gateway.Auth{
		Settings: forwardauth.Settings{
			URL:        settings.URL,
			Headers:    settings.Headers,
			SecretName: settings.SecretHeader,
			SecretFile: settings.SecretFile,
			TokensFile: settings.TokensFile,
			CAFile:     settings.CAFile,
			Timeout:    time.Duration(settings.CallTimeout),
			MaxConns:   settings.MaxConcurrentCalls,
		},
		Rules: rules,
	}
	// The client is created once here, so that a bad file is found before anything is changed.
	client, err := forwardauth.NewClient(auth.Settings)
	if err != nil {
		return gateway.Auth{}, fmt.Errorf("operators: %w", err)
	}
	client.Close()
	return auth, nil
}

func authRules(settings *config.Auth, cfg *gateway.Config) (rules authz.Settings, err error) {
	microseconds := func(d config.Duration) authz.Time { return time.Duration(d).Microseconds() }
	rules = authz.Settings{
		MaxWait:         microseconds(settings.WaitTimeout),
		AllowTTL:        microseconds(settings.AllowTTL),
		MaxAllowTTL:     microseconds(settings.MaxAllowTTL),
		MaxDenyTTL:      microseconds(settings.DenyTTL),
		StaleTTL:        microseconds(settings.StaleTTL),
		MaxCalls:        settings.MaxConcurrentCalls,
		MaxWaiting:      settings.MaxWaiting,
		MaxCached:       settings.MaxCacheEntries,
		BreakerFailures: settings.FailureThreshold,
		BreakerMinOpen:  microseconds(settings.OpenDuration),
		BreakerMaxOpen:  microseconds(settings.MaxOpenDuration),
	}
	if rules.Classes, err = selectNames(
		"classes",
		settings.Classes,
		cfg.Host.Classes,
		false,
	); err != nil {
		return rules, err
	}
	rules.FailOpen, err = selectNames(
		"pass_unknown",
		settings.FailOpenClasses,
		cfg.Host.Classes,
		false,
	)
	if err != nil {
		return rules, err
	}
	rules.Plans, err = selectNames("plans", settings.Plans, cfg.Host.Plans, true)
	return rules, err
}

// selectNames returns, for each name of the configuration, whether the setting selects it. An empty
// setting selects all names if emptyMeansAll is true, and none otherwise. A name that the
// configuration does not have is an error.
func selectNames(key string, selected, all []string, emptyMeansAll bool) ([]bool, error) {
	for _, name := range selected {
		if !slices.Contains(all, name) {
			return nil, fmt.Errorf("operators: auth.%s: the configuration has no %q", key, name)
		}
	}
	marks := make([]bool, len(all))
	for i, name := range all {
		marks[i] = slices.Contains(selected, name) || len(selected) == 0 && emptyMeansAll
	}
	return marks, nil
}
