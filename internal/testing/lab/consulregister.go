package lab

import (
	"math/rand/v2"
	"sync"
	"time"

	"mothcleat/internal/testing/harness"
)

// ConsulRegister is Consul as a world's register. It has an agent for each gateway, which receives each
// change after a delay.
type ConsulRegister struct {
	agents []*Consul
	rec    *harness.Record
	lag    time.Duration

	mu      sync.Mutex
	rand    *rand.Rand
	changes int
	applied []map[string]int           // by agent and server: number of the last change
	changed map[string][]time.Duration // by server: times at which it had to stop
	stopped []map[string]bool          // by agent and server: whether the last answer had the server stop
	lags    []time.Duration            // delays from a change to the notification of each gateway
}

const consulName = "quotes"

// NewConsulRegister starts the agents; lag is the maximum time until an agent receives a change.
func NewConsulRegister(
	rec *harness.Record, gateways int, lag time.Duration, seed uint64,
) (*ConsulRegister, error) {
	r := &ConsulRegister{
		rec:     rec,
		lag:     lag,
		rand:    rand.New(rand.NewPCG(seed, 0xc0c)),
		changed: map[string][]time.Duration{},
	}
	for g := range gateways {
		a, err := NewConsul(seed + uint64(g))
		if err != nil {
			return r, err
		}
		a.onHealthAnswer = func(services map[string]consulService) { r.notify(g, services) }
		r.agents = append(r.agents, a)
		r.applied, r.stopped = append(r.applied,
			map[string]int{}), append(r.stopped, map[string]bool{})
	}
	return r, nil
}

// Agent returns the agent that a gateway queries.
func (r *ConsulRegister) Agent(gateway int) *Consul { return r.agents[gateway] }

// Close stops all agents.
func (r *ConsulRegister) Close() {
	for _, a := range r.agents {
		a.Close()
	}
}

// Set passes a server's state to every agent, each after a random delay; without delay if now is true.
// A drain is expressed at random by maintenance, a critical check or the tag "draining".
func (r *ConsulRegister) Set(sv *Server, phase string, now bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes++
	change, way := r.changes, r.rand.IntN(3)
	if phase == phaseStop {
		r.changed[sv.ID] = append(r.changed[sv.ID], r.rec.Now())
	}
	for g, a := range r.agents {
		late := time.Duration(r.rand.Float64() * float64(r.lag))
		apply := func() {
			r.mu.Lock()
			old := r.applied[g][sv.ID] > change
			if !old {
				r.applied[g][sv.ID] = change
			}
			r.mu.Unlock()
			if old {
				return // the agent already has a later change
			}
			switch {
			case phase == phaseRemoved:
				a.Deregister(sv.ID)
			case phase == phaseReady:
				_ = a.Register(sv.ID, consulName, sv.addrs[g], nil,
					map[string]string{"locality": "sala-1"})
			case way == 0:
				a.SetMaintenance(sv.ID, true)
			case way == 1:
				a.SetCheck(sv.ID, "service:"+sv.ID, "critical")
			default:
				_ = a.Register(sv.ID, consulName, sv.addrs[g], []string{"draining"},
					map[string]string{"locality": "sala-1"})
			}
		}
		if now {
			r.mu.Unlock()
			apply()
			r.mu.Lock()
			continue
		}
		time.AfterFunc(late, apply)
	}
}

// stopping reports whether an instance must not get new work.
func (s *consulService) stopping() bool {
	for _, status := range s.checks {
		if status != "passing" {
			return true
		}
	}
	for _, tag := range s.Tags {
		if tag == "draining" {
			return true
		}
	}
	return false
}

// notify records the updates that an answer delivered to a gateway.
func (r *ConsulRegister) notify(g int, services map[string]consulService) {
	now := r.rec.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range services {
		if _, there := r.stopped[g][id]; !there {
			r.stopped[g][id] = true // unknown until now
		}
	}
	for id, before := range r.stopped[g] {
		s, there := services[id]
		stop := !there || s.stopping()
		if stop == before {
			continue
		}
		r.stopped[g][id] = stop
		r.rec.AddEndpointUpdate(harness.EndpointUpdate{Gateway: g, Server: id, Stop: stop, At: now})
		if at := r.changed[id]; stop && there && len(at) > 0 {
			r.lags = append(r.lags, now-at[len(at)-1])
		}
	}
}
