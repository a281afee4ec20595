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
	eventQueueLength    = 1024 // events that wait for the loop
	reservedDescriptors = 48   // descriptors for all but clients and backends
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
	go control.forward(ctx, l)
	l.run()
	l.storeLastSnapshot()
	l.rejections.flush(l)
	l.cancelAuth()
	if l.admin != nil {
		l.admin.Close()
	}
	l.clients.closeListener()
	l.handover.end()
	if l.peers.conn != nil {
		_ = l.peers.conn.Close()
	}
}

// newLoop makes a gateway with its sockets. Clients are accepted once it is ready.
func newLoop(cfg Config, log *slog.Logger) (*Loop, error) {
	l := &Loop{
		cfg: cfg, log: log, clock: newClock(),
		events: make(chan event, eventQueueLength), urgent: make(chan event, 16),
		requests: map[uint64]*request{}, byClientID: map[uint64]*request{}, timer: time.NewTimer(time.Hour),
		counter: newCounter(&cfg), snapshots: newSnapshotter(cfg.Restart),
		lifecycle: lifecycle.New(lifecycle.For(longestTimeout(&cfg.Host))), metrics: metrics.New(cfg.Host.Classes),
	}
	l.timer.Stop()
	l.findPredecessor()
	source := registry.Source(NewPlatform(&cfg, log))
	if cfg.NewEndpointSource != nil {
		var err error
		if source, err = cfg.NewEndpointSource(&cfg, log); err != nil {
			return nil, err
		}
	}
	l.endpoints = endpointSource{Source: source, zones: cfg.Host.Zones}
	l.authContext, l.cancelAuth = newAuthContext()
	if err := l.setAuth(cfg.Auth); err != nil {
		return nil, err
	}
	share, accepted := connectionLimits(cfg.Sockets)
	l.backends = newBackends(&cfg, share)
	l.clients = &clients{maxServed: share, slots: make(chan struct{}, accepted), conns: map[*client]bool{}, resumeAccept: make(chan struct{}, 1)}
	var err error
	if l.balancer, err = policy.New(cfg.Settings, cfg.Seed, l); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	l.useAllocations()
	if cfg.PlanTerms != nil {
		cfg.PlanTerms.attach(l.postUrgent)
	}
	l.openRejectionLog(cfg.RejectionLog)
	if l.handover.predecessor == nil {
		l.peers, err = newPeers(&cfg, log)
	} else {
		l.peers = newUnboundPeers(&cfg, log)
	}
	if err != nil {
		return nil, err
	}
	listen := cfg.Restart.Listen
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
	if cfg.Restart.Store != nil && !l.snapshots.Successor {
		l.restore()
	}
	return l, nil
}

// connectionLimits deals out descriptors: two in five are for clients, as many for backends, and some are spare, for all else. Of the
// spare ones a few are for clients that are accepted beyond their share, until one of them has made room.
func connectionLimits(sockets int) (share, accepted int) {
	share = (sockets - reservedDescriptors/2) * 2 / 5
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

// longestTimeout is how long a client waits at the most; 0: the settings don't tell it of every class.
func longestTimeout(h *simprotocol.Host) policy.Time {
	if len(h.Limits) == 0 || slices.Min(h.Limits) <= 0 {
		return 0
	}
	return slices.Max(h.Limits)
}

// start begins with the list as last known and has all sockets read.
func (l *Loop) start(ctx context.Context) {
	l.backends.updateEndpoints(l, policy.CompleteCached, l.cfg.KnownEndpoints.Members)
	l.runQueued()
	l.schedule(l.now()+discoveryWait, discoveryTimeout{})
	l.schedule(l.now()+sweepInterval, idleSweep{})
	go l.endpoints.run(ctx, l)
	l.startSnapshots(ctx)
	if l.peers.conn != nil && !l.snapshots.Successor {
		go l.peers.readMessages(l)
	}
	if l.counter.enabled {
		for _, line := range l.counter.queues {
			go l.counter.runQueue(ctx, l, line)
		}
	}
}

// idleSweep closes, now and then, connections that are of no more use.
type idleSweep struct{}

const sweepInterval = 100_000

func (idleSweep) due(l *Loop) {
	l.clients.closeIdle(l)
	l.backends.closeIdle(l)
	if l.lifecycle.Draining() || l.lifecycle.Stopping() || l.handover.passingConns() {
		l.step() // connections end one by one
	}
	l.rejections.flush(l)
	l.schedule(l.now()+sweepInterval, idleSweep{})
}

// beginService has clients accepted from now on: until then nothing answers PING.
func (l *Loop) beginService() {
	if l.serviceBegun {
		return
	}
	l.serviceBegun = true
	switch {
	case l.handover.predecessor != nil:
		go l.takeFromPredecessor()
	case l.snapshots.StopPredecessor != nil:
		go l.replacePredecessor()
	default:
		l.serveClients()
	}
}

// serveClients has clients and notes taken in from now on.
func (l *Loop) serveClients() {
	l.log.Info("ready", "listen", l.clients.listener.Addr().String(), "backends", len(l.backends.byNumber))
	l.lifecycle.Ready()
	l.clients.accepting = true
	go l.clients.accept(l)
	l.listenForSuccessor()
}

// discoveryTimeout ends the wait for discovery, which may be down for long.
type discoveryTimeout struct{}

func (discoveryTimeout) due(l *Loop) {
	if !l.endpoints.received {
		l.log.Warn("discovery is silent: the list given is used with care", "backends", len(l.cfg.KnownEndpoints.Members))
		l.backends.updateEndpoints(l, policy.StaleBootstrap, l.cfg.KnownEndpoints.Members)
	}
	l.beginService()
}
