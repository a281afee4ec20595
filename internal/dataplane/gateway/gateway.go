package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"

	"mothcleat/internal/dataplane/admin"
	"mothcleat/internal/dataplane/forwardauth"
	"mothcleat/internal/dataplane/lifecycle"
	"mothcleat/internal/dataplane/membership"
	"mothcleat/internal/dataplane/metrics"
	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/registry"
	"mothcleat/internal/dataplane/simprotocol"
)

// Gateway is one gateway: the event loop and the components whose state it owns. Unless a field
// says otherwise, only the event loop's goroutine accesses it; all other goroutines post events.
type Gateway struct {
	eventLoop
	cfg      Config
	log      *slog.Logger
	balancer *policy.Balancer
	metrics  *metrics.Counters // safe for concurrent use

	requests  requestTable
	clients   *clients
	backends  *backendPool
	peers     *peerLink
	counter   *counterClient
	endpoints endpointSource
	snapshots snapshotter

	lifecycle      *lifecycle.Process
	shutdown       shutdown
	handover       handoverLinks
	suspend        suspendDetector // earliestArrival is safe for concurrent use
	serviceStarted bool            // see beginService
	backlogSince   policy.Time     // since when connections may have waited in the backlog

	rejections *rejectionLog // nil: no log is written
	admin      *admin.Server // nil: no address is configured

	auth        *forwardauth.Step // nil: no authenticator has been configured yet
	authEnabled atomic.Bool       // a copy of auth.Enabled for the goroutines that read commands
	authContext context.Context   // context of calls to the authenticator
	cancelAuth  context.CancelFunc

	// assignedPlan returns the plan that the versions in force assign to a customer, or a negative
	// number if they assign none; see plansChanged. While it is nil, the plan is the one that the
	// request names.
	assignedPlan func(customer uint64) int
}

// reservedDescriptors is the number of file descriptors reserved for everything except client and
// backend connections.
const reservedDescriptors = 48

// The balancer's records of customers take a fraction of the memory limit.
const (
	customerMemoryFraction = 8
	customerBytes          = 1 << 10 // of a record, with what refers to it
)

// Run serves until a shutdown is requested and every accepted request has been answered. It returns
// an error if the configuration is not usable or a socket can't be opened.
func Run(cfg Config, log *slog.Logger, control Control) error {
	g, err := newGateway(cfg, log)
	if err != nil {
		return err
	}
	g.serve(control)
	return nil
}

// serve runs the event loop and the goroutines that read for it, and closes all resources when the
// loop ends.
func (g *Gateway) serve(control Control) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.start(ctx)
	go control.forward(ctx, g)
	g.run()
	g.storeLastSnapshot()
	g.rejections.flush(g)
	g.cancelAuth()
	if g.admin != nil {
		g.admin.Close()
	}
	g.clients.closeListener()
	g.handover.end()
	if g.peers.conn != nil {
		_ = g.peers.conn.Close()
	}
}

// newGateway creates a gateway and opens its sockets. The gateway accepts clients once it is ready.
func newGateway(cfg Config, log *slog.Logger) (*Gateway, error) {
	g := &Gateway{
		cfg:       cfg,
		log:       log,
		requests:  newRequestTable(),
		counter:   newCounterClient(&cfg),
		snapshots: newSnapshotter(cfg.Restart),
		lifecycle: lifecycle.New(lifecycle.SettingsFor(longestTimeout(&cfg.Host))),
		metrics:   metrics.New(cfg.Host.Classes),
	}
	g.eventLoop = newEventLoop(g)
	g.findPredecessor()
	if err := g.prepareEndpoints(); err != nil {
		return nil, err
	}
	g.authContext, g.cancelAuth = newAuthContext()
	if err := g.setAuth(cfg.Auth); err != nil {
		return nil, err
	}
	served, accepted := connectionLimits(cfg.Sockets)
	g.backends = newBackendPool(&cfg, served)
	g.clients = newClients(served, accepted, cfg.MemoryMB)
	if err := g.prepareBalancer(); err != nil {
		return nil, err
	}
	if err := g.openSockets(); err != nil {
		return nil, err
	}
	g.metrics.ConfigLoads.Add(1)
	if g.snapshots.Store != nil && !g.snapshots.Successor {
		g.restoreSnapshot()
	}
	return g, nil
}

// prepareEndpoints creates the source of the endpoint list.
func (g *Gateway) prepareEndpoints() error {
	source := registry.Source(NewPlatform(&g.cfg, g.log))
	if g.cfg.NewEndpointSource != nil {
		var err error
		if source, err = g.cfg.NewEndpointSource(&g.cfg, g.log); err != nil {
			return err
		}
	}
	g.endpoints = endpointSource{Source: source, zones: g.cfg.Host.Zones}
	return nil
}

// prepareBalancer creates the balancer and connects the allocations, the plan terms and the
// rejection log.
func (g *Gateway) prepareBalancer() (err error) {
	if g.balancer, err = policy.New(g.cfg.Settings, g.cfg.Seed, actions{g}); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	g.balancer.LimitCustomers(g.cfg.MemoryMB << 20 / customerMemoryFraction / customerBytes)
	g.useAllocations()
	if g.cfg.PlanTerms != nil {
		g.cfg.PlanTerms.attach(g.postUrgent)
	}
	g.openRejectionLog(g.cfg.RejectionLog)
	return nil
}

// openSockets opens the peer socket, the client listener and the admin listener. If there is a
// predecessor, the peer socket is taken from it later.
func (g *Gateway) openSockets() (err error) {
	if g.handover.predecessor == nil {
		g.peers, err = newPeerLink(&g.cfg, g.log)
	} else {
		g.peers = newUnboundPeerLink(&g.cfg, g.log)
	}
	if err != nil {
		return err
	}
	listen := g.cfg.Restart.Listen
	if listen == nil {
		listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	listener, err := listen(g.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	g.clients.listener = listener.(*net.TCPListener)
	g.backlogSince = g.now()
	if err := g.listenAdmin(); err != nil {
		_ = listener.Close()
		return err
	}
	return nil
}

// connectionLimits divides the file descriptors: two fifths for clients, two fifths for backends,
// and the rest as a reserve. Part of the reserve is used to accept clients over their limit until a
// connection has been evicted for them.
func connectionLimits(sockets int) (served, accepted int) {
	served = (sockets - reservedDescriptors/2) * 2 / 5
	return served, served + max(4, served/4)
}

// NewPlatform returns the client of the platform's discovery for a configuration.
func NewPlatform(cfg *Config, log *slog.Logger) *registry.Platform {
	pacer := membership.NewPacer(cfg.Settings.Gateways, cfg.Seed)
	if !cfg.Settings.PollEndpoints {
		pacer.SetPushed(cfg.Host.DrainGracePeriod)
	}
	return registry.NewPlatform(cfg.Discovery, cfg.Settings.PollEndpoints, pacer, log)
}

// longestTimeout returns the longest client timeout of all classes, or 0 if the settings give none
// for some class.
func longestTimeout(h *simprotocol.HostSettings) policy.Time {
	if len(h.ClientTimeouts) == 0 || slices.Min(h.ClientTimeouts) <= 0 {
		return 0
	}
	return slices.Max(h.ClientTimeouts)
}

// start applies the endpoint list of the configuration and starts the background goroutines.
func (g *Gateway) start(ctx context.Context) {
	g.backends.updateEndpoints(g, policy.CompleteCached, g.cfg.KnownEndpoints.Members)
	g.runQueued()
	g.schedule(g.now()+discoveryWait, discoveryTimeout{})
	g.schedule(g.now()+sweepInterval, idleSweep{})
	go g.endpoints.run(ctx, g)
	g.startSnapshots(ctx)
	if g.peers.conn != nil && !g.snapshots.Successor {
		go g.peers.readMessages(g)
	}
	if g.counter.enabled {
		for _, queue := range g.counter.queues {
			go g.counter.runQueue(ctx, g, queue)
		}
	}
}

// idleSweep periodically closes idle connections, advances a shutdown or drain, and flushes the
// rejection log.
type idleSweep struct{}

const sweepInterval policy.Time = 100_000

func (idleSweep) due(g *Gateway) {
	g.clients.closeIdle(g)
	g.backends.closeIdle(g)
	if g.lifecycle.Draining() || g.lifecycle.Stopping() || g.lifecycle.PassesConns() {
		g.shutdown.step(g) // connections become closable one by one
	}
	g.rejections.flush(g)
	g.schedule(g.now()+sweepInterval, idleSweep{})
}

// discoveryWait is how long a starting gateway waits for discovery before it uses the endpoint list
// of its configuration.
const discoveryWait policy.Time = 500_000

// discoveryTimeout ends the wait for discovery, which may stay unavailable for a long time.
type discoveryTimeout struct{}

func (discoveryTimeout) due(g *Gateway) {
	if !g.endpoints.received {
		known := g.cfg.KnownEndpoints.Members
		g.log.Warn("discovery is silent: using the configured endpoints", "backends", len(known))
		g.backends.updateEndpoints(g, policy.StaleBootstrap, known)
	}
	g.beginService()
}

// beginService starts to accept clients, after the handover if there is a predecessor. Until then
// PING gets no answer. Only the first call has an effect.
func (g *Gateway) beginService() {
	if g.serviceStarted {
		return
	}
	g.serviceStarted = true
	switch {
	case g.handover.predecessor != nil:
		g.backlogSince = g.now() // the predecessor has accepted until now
		go g.takeFromPredecessor()
	case g.snapshots.StopPredecessor != nil:
		if g.snapshots.Successor {
			g.backlogSince = g.now()
		}
		go g.replacePredecessor()
	default:
		g.serveClients()
	}
}

// serveClients starts to accept clients and to listen for a successor.
func (g *Gateway) serveClients() {
	listen := g.clients.listener.Addr().String()
	g.log.Info("ready", "listen", listen, "backends", len(g.backends.byNumber))
	g.lifecycle.Ready()
	g.suspend.recordBacklog(g.backlogSince, g.now())
	g.clients.accepting = true
	go g.clients.accept(g)
	g.listenForSuccessor()
}
