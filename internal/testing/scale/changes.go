package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"mothcleat/internal/dataplane/registry"
)

// drive has servers replaced, a rack go, versions proposed and real gateways asked, all at once,
// for the length of the run. What it returns waits for the requests that are under way at its end.
func (p *play) drive(ctx context.Context) (ended func()) {
	running, cancel := context.WithTimeout(ctx, p.options.For)
	var wg sync.WaitGroup
	begin := func(do func(context.Context)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			do(running)
		}()
	}
	if p.options.Parts.List {
		begin(p.replaceServers)
		begin(p.loseRack)
	}
	if p.options.Parts.Configuration {
		begin(p.proposeVersions)
	}
	if len(p.options.Faults) > 0 {
		begin(p.injectFaults)
	}
	from, to := time.Duration(0), time.Duration(0)
	if p.real != nil {
		from = p.real.world.Record.Now()
		begin(p.real.world.Clients.Run)
	}
	<-running.Done()
	cancel()
	if p.real != nil {
		to = p.real.world.Record.Now()
	}
	return func() {
		wg.Wait()
		if p.real != nil {
			added := p.real.added(from, to)
			p.result.Added = &added
		}
	}
}

// replaceServers drains one server after another, adds one in its place and takes it away.
func (p *play) replaceServers(ctx context.Context) {
	if p.options.ReplacementsPerSecond == 0 {
		return
	}
	every := time.Duration(float64(time.Second) / p.options.ReplacementsPerSecond)
	tick := time.NewTicker(every)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for old := 0; old < p.options.Servers/2; old++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.replace(ctx, old, p.next+old)
		}()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// replace replaces one server.
func (p *play) replace(ctx context.Context, old, by int) {
	p.changed(change{server: serverID(old), phase: registry.Terminating,
		at: p.register.Drain(serverID(old))})
	if !pass(ctx, replaceStep) {
		return
	}
	p.changed(change{server: serverID(by), phase: registry.Ready, at: p.register.Add(by)})
	if !pass(ctx, replaceStep) {
		return
	}
	p.changed(
		change{server: serverID(old), phase: registry.Gone, at: p.register.Remove(serverID(old))},
	)
}

// loseRack has many servers go at once.
func (p *play) loseRack(ctx context.Context) {
	if p.options.RackSize == 0 || !pass(ctx, time.Duration(rackAfter*float64(p.options.For))) {
		return
	}
	var ids []string
	for i := range p.options.RackSize {
		ids = append(ids, serverID(p.options.Servers-1-i))
	}
	at := p.register.Remove(ids...)
	for _, id := range ids {
		p.changed(change{server: id, phase: registry.Gone, at: at, rack: true})
	}
}

// proposeVersions proposes versions of the plans, spread over the run.
func (p *play) proposeVersions(ctx context.Context) {
	n := p.options.Versions
	r := rand.New(rand.NewPCG(p.options.Seed, 0x5ca1e))
	for i := range n {
		share := firstVersionAt + (lastVersionAt-firstVersionAt)*float64(i)/float64(n)
		if i == 0 {
			pass(ctx, time.Duration(share*float64(p.options.For)))
		} else if !pass(ctx, time.Duration((lastVersionAt-firstVersionAt)/float64(n)*float64(p.options.For))) {
			return
		}
		text := p.control.plansText(p.options.Tenants, 1+0.2*r.Float64(), r.IntN(p.options.Tenants))
		at := time.Now()
		number, err := p.control.propose(text)
		if err != nil {
			p.mu.Lock()
			p.refused++
			p.mu.Unlock()
			fmt.Fprintln(p.log, "a version was not taken:", err)
			continue
		}
		p.changed(change{version: number, at: at})
	}
}

func (p *play) changed(c change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, c)
}
