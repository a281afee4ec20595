package gateway

import (
	"context"
	"slices"
)

// Control is the interface through which the program controls a gateway.
type Control struct {
	Stop       <-chan struct{}        // closed for a planned shutdown
	HandedOver <-chan struct{}        // closed when a successor has taken over; nil: never
	Reload     <-chan struct{}        // each value triggers a reload of the configuration
	ReadConfig func() (Config, error) // reads the current configuration
}

// forward posts an event for each signal on the control channels until the context ends. If the
// configuration can't be read, that is counted and logged, and the old configuration stays in
// force. forward runs on its own goroutine.
func (c Control) forward(ctx context.Context, g *Gateway) {
	stopped := c.Stop
	handedOver := c.HandedOver
	for {
		var e event
		select {
		case <-ctx.Done():
			return
		case <-stopped:
			stopped = nil
			e = shutdownRequested{}
		case <-handedOver:
			handedOver = nil
			e = handoverSignalled{}
		case <-c.Reload:
			cfg, err := c.ReadConfig()
			if err != nil {
				g.metrics.ConfigErrors.Add(1)
				g.log.Error("reload: failed; the old configuration stays in force", "error", err)
				continue
			}
			e = configReloaded{cfg}
		}
		select {
		case g.urgent <- e:
		case <-ctx.Done():
			return
		}
	}
}

// configReloaded is a newly read configuration.
type configReloaded struct{ cfg Config }

// handle switches to the new addresses of discovery and the counter, and applies the
// authenticator's settings and the snapshot interval. Requests, connections and the balancer's
// state do not change. The complete endpoint list is fetched from the new address, because its
// revisions may differ.
func (e configReloaded) handle(g *Gateway) {
	g.log.Info("reload", "discovery", e.cfg.Discovery, "counter", e.cfg.Counter)
	if unchanged := g.cfg.restartOnlyChanges(&e.cfg); len(unchanged) > 0 {
		g.log.Warn("reload: settings that need a restart were not changed", "settings", unchanged)
	}
	g.cfg.Discovery = e.cfg.Discovery
	g.cfg.Counter = e.cfg.Counter
	if e.cfg.EndpointAddresses == nil {
		g.endpoints.Move(e.cfg.Discovery)
	}
	for _, address := range e.cfg.EndpointAddresses {
		g.endpoints.Move(address)
	}
	if e.cfg.Counter != "" {
		g.counter.setAddress(e.cfg.Counter)
	}
	if err := g.setAuth(e.cfg.Auth); err != nil {
		g.log.Error("reload: the authenticator's settings were not changed", "error", err)
	}
	g.metrics.ConfigLoads.Add(1)
	g.snapshots.interval = snapshotInterval(e.cfg.Restart)
}

// restartOnlyChanges returns the names of the settings that differ in other and that only a restart
// can change.
func (cfg *Config) restartOnlyChanges(other *Config) (names []string) {
	for name, changed := range map[string]bool{
		"name":        cfg.Name != other.Name,
		"listen":      cfg.Listen != other.Listen,
		"management":  cfg.Management != other.Management,
		"peer_listen": cfg.PeerListen != other.PeerListen,
		"peers":       !slices.Equal(cfg.Peers, other.Peers),
		"limits":      cfg.MemoryMB != other.MemoryMB || cfg.Sockets != other.Sockets,
	} {
		if changed {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
