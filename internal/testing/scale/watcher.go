package scale

import (
	"cmp"
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/election"
	"mothcleat/internal/controlplane/endpointlist"
	"mothcleat/internal/controlplane/endpointwatch"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/dataplane/membership"
	"mothcleat/internal/dataplane/registry"
	"mothcleat/internal/dataplane/registry/consul"
)

// watcher watches the register for the whole fleet when complete lists are distributed. The program
// no longer does this; the rig does, to compare the older path with the newer one. The real control
// processes agree on and serve what the watcher publishes.
type watcher struct {
	client *controlrpc.Client
	set    *election.Set
	cancel context.CancelFunc
	ended  chan struct{}
}

const (
	watcherName    = "w0"
	watcherAddress = "127.0.0.1:1" // never connected to
	registerWait   = 5 * time.Second
	registerHold   = 5 * time.Minute
	registerReset  = 3
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// startWatcher starts a watcher, which campaigns for the role of publishing the list.
func startWatcher(voters []*controlpb.Voter, register string, span time.Duration) *watcher {
	me := lease.Member{ID: watcherName, Incarnation: rand.Uint64()>>1 | 1}
	ctx, cancel := context.WithCancel(context.Background())
	w := &watcher{
		client: controlrpc.NewClient(fleetName, me, watcherAddress, voters, nil, discardLog),
		cancel: cancel,
		ended:  make(chan struct{}),
	}
	w.set = election.New(election.Options{LeaseConfig: lease.Config{TTL: cmp.Or(span, leaseTTL),
		ClockDriftBound: clockMargin,
		OfferTTL:        leaseOffer}, Client: w.client,
		Candidates: []string{watcherName}, Log: discardLog})
	watch := &endpointwatch.Source{Client: w.client, SilenceTimeout: silenceTimeout,
		Log: discardLog,
		NewDirect: func() (registry.Source, error) {
			return consul.New(consul.Settings{Agents: []string{register}, Service: serviceName,
				Wait: registerWait,
				Membership: membership.Settings{EmptyListHold: registerHold.Microseconds(),
					ResetAfter: registerReset}}, discardLog)
		}}
	w.set.Add(endpointlist.Role, watch.Work)
	go w.client.KeepSessionAlive(ctx)
	go func() {
		defer close(w.ended)
		w.set.Run(ctx, ctx)
	}()
	return w
}

// holds reports whether the watcher holds the role.
func (w *watcher) holds() bool { return w.set.HeldTerms()[endpointlist.Role] > 0 }

// close stops the watcher, which releases the role.
func (w *watcher) close() {
	w.cancel()
	<-w.ended
	w.client.Close()
}

// completeListSource returns a source of complete lists for a simulated gateway, as gateways used
// before incremental distribution.
func (g *simulatedGateway) completeListSource(
	voters []*controlpb.Voter,
	log *slog.Logger,
) registry.Source {
	me := lease.Member{ID: simulatedName(g.number), Incarnation: rand.Uint64()>>1 | 1}
	client := controlrpc.NewClient(g.process.config.Fleet, me, "", slices.Clone(voters), nil,
		log) // it only sends queries, which need no session
	client.Observe(g.process.meter.Observer())
	return &endpointwatch.Source{
		Client:         client,
		SilenceTimeout: silenceTimeout,
		Log:            log,
		NewDirect:      g.noDirect,
	}
}

// noDirect returns a stand-in for the register, and counts that the gateway would have queried it.
func (g *simulatedGateway) noDirect() (registry.Source, error) {
	g.process.fallbacks.Add(1)
	return noRegister{}, nil
}
