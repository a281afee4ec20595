package main

import (
	"log/slog"
	"strings"
	"time"

	"mothcleat/internal/config"
	"mothcleat/internal/dataplane/gateway"
	"mothcleat/internal/dataplane/membership"
	"mothcleat/internal/dataplane/registry"
	"mothcleat/internal/dataplane/registry/consul"
)

// register has the configuration say where the list of servers comes from.
func register(r *config.Registry, cfg *gateway.Config) {
	if r.Source == "platform" {
		return
	}
	agents := strings.Join(r.Agents, ",")
	cfg.EndpointAddresses = []string{agents}
	switch r.Source {
	case "consul+platform":
		cfg.EndpointAddresses = []string{agents, "other=" + cfg.Discovery}
	case "platform+consul":
		cfg.EndpointAddresses = []string{cfg.Discovery, "other=" + agents}
	}
	cfg.NewEndpointSource = func(cfg *gateway.Config, log *slog.Logger) (registry.Source, error) {
		c, err := newConsul(r, log)
		if err != nil {
			return nil, err
		}
		platform := gateway.NewPlatform(cfg, log)
		switch r.Source {
		case "consul+platform":
			return registry.Merge(c, platform), nil
		case "platform+consul":
			return registry.Merge(platform, c), nil
		}
		return c, nil
	}
}

// newConsul makes the source that the settings describe.
func newConsul(r *config.Registry, log *slog.Logger) (*consul.Source, error) {
	mode := r.Consistency
	if mode == "default" {
		mode = ""
	}
	us := func(d config.Duration) membership.Time { return time.Duration(d).Microseconds() }
	return consul.New(consul.Settings{
		Agents:     r.Agents,
		TLS:        r.TLS,
		CAFile:     r.CAFile,
		TokenFile:  r.TokenFile,
		Service:    r.Service,
		Datacenter: r.Datacenter,
		Namespace:  r.Namespace,
		Filter:     r.Filter,
		Mode:       mode,
		Wait:       time.Duration(r.WaitTime),
		Catalogue:  r.WatchCatalog,
		Rules: membership.Settings{
			WarningServes: r.WarningServes,
			Hold:          us(r.EmptyListGrace),
			ResetAfter:    r.IndexResetAnswers,
			Skew:          us(r.MaxClockSkew),
		},
	}, log)
}
