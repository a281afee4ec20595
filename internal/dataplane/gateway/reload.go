package gateway

import (
	"context"
	"slices"
)

// Control is how the program round a gateway steers it.
type Control struct {
	Stop   <-chan struct{}        // closed for a planned shutdown
	Handed <-chan struct{}        // closed when a new process has taken over; nil: never
	Reload <-chan struct{}        // a value for each configuration to be taken in
	Read   func() (Config, error) // reads the configuration as it is now
}

// steer passes on what the gateway is told to do. A new configuration that can't
// be read or used leaves the old one in force: a gateway that serves goes on.
func (c Control) steer(ctx context.Context, l *Loop) {
	stopped, handed := c.Stop, c.Handed
	for {
		var e event
		select {
		case <-ctx.Done():
			return
		case <-stopped:
			stopped, e = nil, stop{}
		case <-handed:
			handed, e = nil, handedOver{}
		case <-c.Reload:
			cfg, err := c.Read()
			if err != nil {
				l.metrics.Invalid.Add(1)
				l.log.Error("reload: the old configuration stays", "error", err)
				continue
			}
			e = reloaded{cfg}
		}
		select {
		case l.urgents <- e: // not behind a queue of requests
		case <-ctx.Done():
			return
		}
	}
}

// reloaded is a new configuration.
type reloaded struct{ cfg Config }

// handle moves to the new addresses of discovery and the counter. Requests,
// connections and all that the module knows go on as they are; the list is
// taken whole at the new address, as its versions may be others.
func (e reloaded) handle(l *Loop) {
	l.log.Info("reload", "discovery", e.cfg.Discovery, "counter", e.cfg.Counter)
	if kept := l.cfg.fixed(&e.cfg); len(kept) > 0 {
		l.log.Warn("reload: what needs a restart stays as it was", "settings", kept)
	}
	l.cfg.Discovery, l.cfg.Counter = e.cfg.Discovery, e.cfg.Counter
	if e.cfg.MoveTo == nil {
		l.register.Move(e.cfg.Discovery)
	}
	for _, to := range e.cfg.MoveTo {
		l.register.Move(to)
	}
	if e.cfg.Counter != "" {
		l.counter.move(e.cfg.Counter)
	}
	if err := l.setAuth(e.cfg.Auth); err != nil {
		l.log.Error("reload: asking an authenticator stays as it was", "error", err)
	}
	l.metrics.Loaded.Add(1)
	l.survival.every = max(50_000, e.cfg.Survival.Every.Microseconds())
}

// fixed names what another configuration would change that only a restart can.
func (c *Config) fixed(other *Config) (names []string) {
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
