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

// The values of register.source.
const (
	sourcePlatform           = "platform"
	sourceConsulThenPlatform = "consul+platform"
	sourcePlatformThenConsul = "platform+consul"
)

// configureEndpointSource sets the source of the endpoint list. If two registers differ, the first
// one takes precedence; the address of the second one begins with "other=".
func configureEndpointSource(settings *config.Registry, cfg *gateway.Config) {
	if settings.Source == sourcePlatform {
		return
	}
	agents := strings.Join(settings.Agents, ",")
	switch settings.Source {
	case sourceConsulThenPlatform:
		cfg.EndpointAddresses = []string{agents, "other=" + cfg.Discovery}
	case sourcePlatformThenConsul:
		cfg.EndpointAddresses = []string{cfg.Discovery, "other=" + agents}
	default:
		cfg.EndpointAddresses = []string{agents}
	}
	cfg.NewEndpointSource = func(cfg *gateway.Config, log *slog.Logger) (registry.Source, error) {
		consulSource, err := newConsulSource(settings, log)
		if err != nil {
			return nil, err
		}
		platform := gateway.NewPlatform(cfg, log)
		switch settings.Source {
		case sourceConsulThenPlatform:
			return registry.Merge(consulSource, platform), nil
		case sourcePlatformThenConsul:
			return registry.Merge(platform, consulSource), nil
		default:
			return consulSource, nil
		}
	}
}

// newConsulSource returns a Consul source with the operators' settings.
func newConsulSource(settings *config.Registry, log *slog.Logger) (*consul.Source, error) {
	mode := settings.Consistency
	if mode == "default" {
		mode = ""
	}
	microseconds := func(d config.Duration) membership.Time {
		return time.Duration(d).Microseconds()
	}
	return consul.New(consul.Settings{
		Agents:       settings.Agents,
		TLS:          settings.TLS,
		CAFile:       settings.CAFile,
		TokenFile:    settings.TokenFile,
		Service:      settings.Service,
		Datacenter:   settings.Datacenter,
		Namespace:    settings.Namespace,
		Filter:       settings.Filter,
		Consistency:  mode,
		Wait:         time.Duration(settings.WaitTime),
		WatchCatalog: settings.WatchCatalog,
		Membership: membership.Settings{
			WarningServes: settings.WarningServes,
			EmptyListHold: microseconds(settings.EmptyListGrace),
			ResetAfter:    settings.IndexResetAnswers,
			MaxClockSkew:  microseconds(settings.MaxClockSkew),
		},
	}, log)
}
