package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"time"

	"mothcleat/internal/dataplane/lifecycle"
	"mothcleat/internal/dataplane/membership"
	"mothcleat/internal/dataplane/metrics"
	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/registry"
	"mothcleat/internal/dataplane/simprotocol"
)

const (
	queued     = 1024 // events that wait for the loop
	otherFiles = 48   // descriptors for all but clients and backends
)

// Run serves until it is told to stop and all that was taken is answered.
func Run(cfg Config, log *slog.Logger, control Control) error {
	l, err := newLoop(cfg, log)
	if err != nil {
		return err
	}
	l.serve(control)
	return nil
}

// serve runs the loop and all that reads for it.
func (l *Loop) serve(control Control) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.start(ctx)
	go control.steer(ctx, l)
	l.run()
	l.lastState()
	l.refusals.flush(l)
	l.stopAsk()
	if l.admin != nil {
		l.admin.Close()
	}
	l.clients.shut()
	l.handovers.end()
	if l.peers.conn != nil {
		_ = l.peers.conn.Close()
	}
}

// newLoop makes a gateway with its sockets. Clients are accepted once it is ready.
func newLoop(cfg Config, log *slog.Logger) (*Loop, error) {
	l := &Loop{
		cfg: cfg, log: log, clock: newClock(),
		events: make(chan event, queued), urgents: make(chan event, 16),
		requests: map[uint64]*request{}, names: map[uint64]*request{}, timer: time.NewTimer(time.Hour),
		counter: newCounter(&cfg), survival: newSurvival(cfg.Survival),
		life: lifecycle.New(lifecycle.For(longest(&cfg.Host))), metrics: metrics.New(cfg.Host.Classes),
	}
	l.timer.Stop()
	l.askBefore()
	source := registry.Source(NewPlatform(&cfg, log))
	if cfg.Register != nil {
		var err error
		if source, err = cfg.Register(&cfg, log); err != nil {
			return nil, err
		}
	}
	l.register = register{Source: source, zones: cfg.Host.Zones}
	l.asking, l.stopAsk = newAsking()
	if err := l.setAuth(cfg.Auth); err != nil {
		return nil, err
	}
	share, accepted := places(cfg.Sockets)
	l.backends = newBackends(&cfg, share)
	l.clients = &clients{most: share, room: make(chan struct{}, accepted), conns: map[*client]bool{}, goOn: make(chan struct{}, 1)}
	var err error
	if l.module, err = policy.New(cfg.Settings, cfg.Seed, l); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	l.useRights()
	if cfg.Terms != nil {
		cfg.Terms.attach(l.urgentPost)
	}
	l.recordRefusals(cfg.Refusals)
	if l.handovers.predecessor == nil {
		l.peers, err = newPeers(&cfg, log)
	} else {
		l.peers = peersWithout(&cfg, log)
	}
	if err != nil {
		return nil, err
	}
	listen := cfg.Survival.Listen
	if listen == nil {
		listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	listener, err := listen(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	l.clients.listener = listener.(*net.TCPListener)
	if err := l.listenAdmin(); err != nil {
		_ = listener.Close()
		return nil, err
	}
	l.metrics.Loaded.Add(1)
	if cfg.Survival.Keeper != nil && !l.survival.Successor {
		l.restore()
	}
	return l, nil
}

// places deals out descriptors: two in five are for clients, as many for backends, and some are spare, for all else. Of the
// spare ones a few are for clients that are accepted beyond their share, until one of them has made room.
func places(sockets int) (share, accepted int) {
	share = (sockets - otherFiles/2) * 2 / 5
	return share, share + max(4, share/4)
}

// NewPlatform makes the platform's discovery as a configuration has it.
func NewPlatform(cfg *Config, log *slog.Logger) *registry.Platform {
	pace := membership.NewPace(cfg.Settings.Gateways, cfg.Seed)
	if !cfg.Settings.PollEndpoints {
		pace.Binds(cfg.Host.DrainGrace)
	}
	return registry.NewPlatform(cfg.Discovery, cfg.Settings.PollEndpoints, pace, log)
}

// longest is how long a client waits at the most; 0: the settings don't tell it of every class.
func longest(h *simprotocol.Host) policy.Time {
	if len(h.Limits) == 0 || slices.Min(h.Limits) <= 0 {
		return 0
	}
	return slices.Max(h.Limits)
}

// start begins with the list as last known and has all sockets read.
func (l *Loop) start(ctx context.Context) {
	l.backends.members(l, policy.CompleteCached, l.cfg.Known.Members)
	l.follow()
	l.at(l.now()+untilReady, readyAnyway{})
	l.at(l.now()+sweepEvery, sweep{})
	go l.register.run(ctx, l)
	l.keep(ctx)
	if l.peers.conn != nil && !l.survival.Successor {
		go l.peers.read(l)
	}
	if l.counter.on {
		for _, line := range l.counter.lines {
			go l.counter.run(ctx, l, line)
		}
	}
}

// sweep closes, now and then, connections that are of no more use.
type sweep struct{}

const sweepEvery = 100_000

func (sweep) due(l *Loop) {
	l.clients.sweep(l)
	l.backends.sweep(l)
	if l.life.Draining() || l.life.Stopping() || l.handovers.passes() {
		l.step() // connections end one by one
	}
	l.refusals.flush(l)
	l.at(l.now()+sweepEvery, sweep{})
}

// ready has clients accepted from now on: until then nothing answers PING.
func (l *Loop) ready() {
	if l.accepting {
		return
	}
	l.accepting = true
	switch {
	case l.handovers.predecessor != nil:
		go l.takeFromPredecessor()
	case l.survival.Ready != nil:
		go l.takeOver()
	default:
		l.serveClients()
	}
}

// serveClients has clients and notes taken in from now on.
func (l *Loop) serveClients() {
	l.log.Info("ready", "listen", l.clients.listener.Addr().String(), "backends", len(l.backends.byNumber))
	l.life.Ready()
	l.clients.accepts = true
	go l.clients.accept(l)
	l.listenForSuccessor()
}

// readyAnyway ends the wait for discovery, which may be down for long.
type readyAnyway struct{}

func (readyAnyway) due(l *Loop) {
	if !l.register.heard {
		l.log.Warn("discovery is silent: the list given is used with care", "backends", len(l.cfg.Known.Members))
		l.backends.members(l, policy.StaleBootstrap, l.cfg.Known.Members)
	}
	l.ready()
}
