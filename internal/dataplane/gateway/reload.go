package gateway

import (
	"context"
	"slices"
)

// Control is how the program round a gateway steers it.
type Control struct {
	Stop       <-chan struct{}        // closed for a planned shutdown
	HandedOver <-chan struct{}        // closed when a new process has taken over; nil: never
	Reload     <-chan struct{}        // a value for each configuration to be taken in
	ReadConfig func() (Config, error) // reads the configuration as it is now
}

// forward passes on what the gateway is told to do. A new configuration that can't
// be read or used leaves the old one in force: a gateway that serves goes on.
func (c Control) forward(ctx context.Context, l *Loop) {
	stopped, handed := c.Stop, c.HandedOver
	for {
		var e event
		select {
		case <-ctx.Done():
			return
		case <-stopped:
			stopped, e = nil, shutdownRequested{}
		case <-handed:
			handed, e = nil, handoverSignalled{}
		case <-c.Reload:
			cfg, err := c.ReadConfig()
			if err != nil {
				l.metrics.Invalid.Add(1)
				l.log.Error("reload: the old configuration stays", "error", err)
				continue
			}
			e = configReloaded{cfg}
		}
		select {
		case l.urgent <- e: // not behind a queue of requests
		case <-ctx.Done():
			return
		}
	}
}

// configReloaded is a new configuration.
type configReloaded struct{ cfg Config }

// handle moves to the new addresses of discovery and the counter. Requests,
// connections and all that the module knows go on as they are; the list is
// taken whole at the new address, as its versions may be others.
func (e configReloaded) handle(l *Loop) {
	l.log.Info("reload", "discovery", e.cfg.Discovery, "counter", e.cfg.Counter)
	if kept := l.cfg.restartOnlyChanges(&e.cfg); len(kept) > 0 {
		l.log.Warn("reload: what needs a restart stays as it was", "settings", kept)
	}
	l.cfg.Discovery, l.cfg.Counter = e.cfg.Discovery, e.cfg.Counter
	if e.cfg.EndpointAddresses == nil {
		l.endpoints.Move(e.cfg.Discovery)
	}
	for _, to := range e.cfg.EndpointAddresses {
		l.endpoints.Move(to)
	}
	if e.cfg.Counter != "" {
		l.counter.setAddress(e.cfg.Counter)
	}
	if err := l.setAuth(e.cfg.Auth); err != nil {
		l.log.Error("reload: asking an authenticator stays as it was", "error", err)
	}
	l.metrics.Loaded.Add(1)
	l.snapshots.interval = max(50_000, e.cfg.Restart.SnapshotInterval.Microseconds())
}

// restartOnlyChanges names what another configuration would change that only a restart can.
func (c *Config) restartOnlyChanges(other *Config) (names []string) {
	for name, changed := range map[string]bool{
		"name":        c.Name != other.Name,
		"listen":      c.Listen != other.Listen,
		"management":  c.Management != other.Management,
		"peer_listen": c.PeerListen != other.PeerListen,
		"peers":       !slices.Equal(c.Peers, other.Peers),
		"limits":      c.MemoryMB != other.MemoryMB || c.Sockets != other.Sockets,
	} {
		if changed {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
