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

// watcher is the process that watches the register for all where the whole list travels: the
// program does that no more, so the rig does, to have the older path beside the newer one. What it
// publishes is agreed and served by the real control processes.
type watcher struct {
	client *controlrpc.Client
	set    *election.Set
	cancel context.CancelFunc
	ended  chan struct{}
}

const (
	watcherName    = "w0"
	watcherAddress = "127.0.0.1:1" // nobody has to reach it
	registerWait   = 5 * time.Second
	registerHold   = 5 * time.Minute
	registerReset  = 3
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// startWatcher has it ask for the duty.
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
	watch := &endpointwatch.Source{Client: w.client, SilenceTimeout: silenceTimeout, Log: discardLog,
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

// holds tells whether it has the duty.
func (w *watcher) holds() bool { return w.set.HeldTerms()[endpointlist.Role] > 0 }

// close hands the duty on.
func (w *watcher) close() {
	w.cancel()
	<-w.ended
	w.client.Close()
}

// completeListSource is a hollow gateway's hearing of the whole list, as gateways had it before the
// list travelled by what changed.
func (g *simulatedGateway) completeListSource(
	voters []*controlpb.Voter,
	log *slog.Logger,
) registry.Source {
	me := lease.Member{ID: simulatedName(g.number), Incarnation: rand.Uint64()>>1 | 1}
	client := controlrpc.NewClient(g.process.config.Fleet, me, "", slices.Clone(voters), nil,
		log) // it only asks: it needs no session
	client.Observe(g.process.meter.Observer())
	return &endpointwatch.Source{
		Client:         client,
		SilenceTimeout: silenceTimeout,
		Log:            log,
		NewDirect:      g.noDirect,
	}
}

// noDirect stands in for the register itself, and counts that it would have been asked.
func (g *simulatedGateway) noDirect() (registry.Source, error) {
	g.process.fallbacks.Add(1)
	return noRegister{}, nil
}
