package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"mothcleat/internal/dataplane/registry"
)

// applyLoad concurrently replaces servers, removes a rack, proposes versions, injects faults and
// sends requests to the real gateways, for the length of the run. The function that it returns
// waits for the work and the requests that are still in progress.
func (f *fleetRun) applyLoad(ctx context.Context) (ended func()) {
	running, cancel := context.WithTimeout(ctx, f.options.For)
	var wg sync.WaitGroup
	begin := func(do func(context.Context)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			do(running)
		}()
	}
	if f.options.Parts.List {
		begin(f.replaceServers)
		begin(f.removeRack)
	}
	if f.options.Parts.Configuration {
		begin(f.proposeVersions)
	}
	if len(f.options.Faults) > 0 {
		begin(f.injectFaults)
	}
	from, to := time.Duration(0), time.Duration(0)
	if f.real != nil {
		from = f.real.world.Record.Now()
		begin(f.real.world.Clients.Run)
	}
	<-running.Done()
	cancel()
	if f.real != nil {
		to = f.real.world.Record.Now()
	}
	return func() {
		wg.Wait()
		if f.real != nil {
			added := f.real.added(from, to)
			f.result.Added = &added
		}
	}
}

// replaceServers replaces one server after another: it drains it, adds a new one and removes it.
func (f *fleetRun) replaceServers(ctx context.Context) {
	if f.options.ReplacementsPerSecond == 0 {
		return
	}
	every := time.Duration(float64(time.Second) / f.options.ReplacementsPerSecond)
	tick := time.NewTicker(every)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for old := 0; old < f.options.Servers/2; old++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.replace(ctx, old, f.next+old)
		}()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// replace replaces one server.
func (f *fleetRun) replace(ctx context.Context, old, by int) {
	f.recordChange(change{server: serverID(old), phase: registry.Terminating,
		at: f.register.Drain(serverID(old))})
	if !sleep(ctx, replaceStep) {
		return
	}
	f.recordChange(change{server: serverID(by), phase: registry.Ready, at: f.register.Add(by)})
	if !sleep(ctx, replaceStep) {
		return
	}
	f.recordChange(
		change{server: serverID(old), phase: registry.Gone, at: f.register.Remove(serverID(old))},
	)
}

// removeRack removes many servers at once.
func (f *fleetRun) removeRack(ctx context.Context) {
	if f.options.RackSize == 0 || !sleep(ctx, time.Duration(rackAfter*float64(f.options.For))) {
		return
	}
	var ids []string
	for i := range f.options.RackSize {
		ids = append(ids, serverID(f.options.Servers-1-i))
	}
	at := f.register.Remove(ids...)
	for _, id := range ids {
		f.recordChange(change{server: id, phase: registry.Gone, at: at, rack: true})
	}
}

// proposeVersions proposes versions of the plans, spread over the run.
func (f *fleetRun) proposeVersions(ctx context.Context) {
	n := f.options.Versions
	r := rand.New(rand.NewPCG(f.options.Seed, 0x5ca1e))
	for i := range n {
		share := firstVersionAt + (lastVersionAt-firstVersionAt)*float64(i)/float64(n)
		if i == 0 {
			sleep(ctx, time.Duration(share*float64(f.options.For)))
		} else if !sleep(ctx,
			time.Duration((lastVersionAt-firstVersionAt)/float64(n)*float64(f.options.For))) {
			return
		}
		text := f.control.plansText(f.options.Tenants, 1+0.2*r.Float64(), r.IntN(f.options.Tenants))
		at := time.Now()
		number, err := f.control.propose(text)
		if err != nil {
			f.mu.Lock()
			f.refused++
			f.mu.Unlock()
			fmt.Fprintln(f.log, "a version was refused:", err)
			continue
		}
		f.recordChange(change{version: number, at: at})
	}
}

func (f *fleetRun) recordChange(c change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, c)
}
