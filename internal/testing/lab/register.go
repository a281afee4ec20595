package lab

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"mothcleat/internal/testing/harness"
)

// The phases of a server as the register reports them.
const (
	phaseReady   = "Ready"
	phaseStop    = "Terminating"
	phaseRemoved = "Gone"
)

type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

type memberList struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// Register is the stand-in for the server register. It has an agent for each gateway, which receives
// each change after a delay and answers watches.
type Register struct {
	agents []*agent
	lag    time.Duration

	mu          sync.Mutex
	rand        *rand.Rand
	silent      bool
	silenceOver chan struct{} // closed when the silence ends
}

// agent is the part of the register that one gateway queries.
type agent struct {
	reg     *Register
	gateway int
	rec     *harness.Record
	server  *http.Server
	address string

	mu       sync.Mutex
	revision int
	members  map[string]*entry
	changed  chan struct{}
}

// entry is a member with the revision in which it last changed.
type entry struct {
	member
	revision int
	stopAt   time.Duration // when the agent learned that the server stops
	notified bool          // whether the gateway has been notified
}

// maxNotificationDelay is how long after its agent a gateway counts as notified at the latest.
const maxNotificationDelay = 6 * time.Second

// NewRegister starts a register with its agents; lag is the maximum time until an agent receives a
// change.
func NewRegister(
	rec *harness.Record, gateways int, lag time.Duration, seed uint64,
) (*Register, error) {
	r := &Register{lag: lag, rand: rand.New(rand.NewPCG(seed, 0x2e9))}
	for g := range gateways {
		a := &agent{
			reg:     r,
			gateway: g,
			rec:     rec,
			members: map[string]*entry{},
			changed: make(chan struct{}),
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("register: %w", err)
		}
		a.address = l.Addr().String()
		a.server = &http.Server{Handler: a, ReadHeaderTimeout: 5 * time.Second}
		go func() { _ = a.server.Serve(l) }()
		r.agents = append(r.agents, a)
	}
	return r, nil
}

// Close stops all agents.
func (r *Register) Close() {
	for _, a := range r.agents {
		_ = a.server.Close()
	}
}

// Silence makes the register stop answering, or answer again.
func (r *Register) Silence(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on && !r.silent {
		r.silenceOver = make(chan struct{})
	} else if !on && r.silent {
		close(r.silenceOver)
	}
	r.silent = on
}

// Set passes a server's state to every agent, each after a random delay; without delay if now is true.
func (r *Register) Set(sv *Server, phase string, since time.Duration, now bool) {
	for _, a := range r.agents {
		r.mu.Lock()
		late := time.Duration(r.rand.Float64() * float64(r.lag))
		r.mu.Unlock()
		m := member{
			ID:       sv.ID,
			HostPort: sv.addrs[a.gateway],
			Locality: "sala-1",
			Flavor:   "maq",
			Cell:     1,
			Phase:    phase,
			Size:     1,
		}
		if since > 0 {
			m.UpSince = a.rec.Began().Add(since).UnixMilli()
		}
		if now {
			a.apply(m)
			continue
		}
		time.AfterFunc(late, func() {
			r.mu.Lock()
			silent, silenceOver := r.silent, r.silenceOver
			r.mu.Unlock()
			if silent {
				<-silenceOver // agents receive nothing during the silence
			}
			a.apply(m)
		})
	}
}

// apply stores a member's new state in the agent and completes the watches.
func (a *agent) apply(m member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old := a.members[m.ID]; old != nil && old.UpSince > m.UpSince {
		return // the agent already has a later start
	}
	a.revision++
	e := &entry{member: m, revision: a.revision}
	a.members[m.ID] = e
	close(a.changed)
	a.changed = make(chan struct{})
	if m.Phase != phaseReady {
		e.stopAt = a.rec.Now()
		time.AfterFunc(maxNotificationDelay, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			if a.members[m.ID] == e {
				a.notify(e)
			}
		})
	}
}

// notify records that the gateway has been notified of an entry. The caller holds the lock.
func (a *agent) notify(e *entry) {
	if e.notified {
		return
	}
	e.notified = true
	a.rec.AddEndpointUpdate(harness.EndpointUpdate{
		Gateway: a.gateway,
		Server:  e.ID,
		Stop:    e.Phase != phaseReady,
		At:      a.rec.Now(),
	})
}

// known returns the agent's current list, for a gateway's configuration.
func (a *agent) known() memberList {
	a.mu.Lock()
	defer a.mu.Unlock()
	list, _ := a.list(0)
	return list
}

// list returns all entries newer than a revision; 0 returns the whole list.
func (a *agent) list(after int) (memberList, []*entry) {
	l := memberList{Revision: a.revision, Complete: after == 0, Members: []member{}}
	var entries []*entry
	for _, e := range a.members {
		if e.revision > after && (after > 0 || e.Phase != phaseRemoved) {
			l.Members, entries = append(l.Members, e.member), append(entries, e)
		}
	}
	slices.SortFunc(l.Members, func(x, y member) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
	return l, entries
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("index"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	over := time.After(time.Duration(min(max(wait, 0), 60000)) * time.Millisecond)
	watch := r.URL.Query().Has("index")
	for {
		a.reg.mu.Lock()
		silent, silenceOver := a.reg.silent, a.reg.silenceOver
		a.reg.mu.Unlock()
		if silent {
			select {
			case <-silenceOver:
				continue
			case <-r.Context().Done():
				return
			}
		}
		a.mu.Lock()
		list, entries := a.list(after)
		changed := a.changed
		if watch && after <= a.revision && len(list.Members) == 0 {
			a.mu.Unlock()
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-over:
			}
			a.reg.mu.Lock()
			silent := a.reg.silent
			a.reg.mu.Unlock()
			if !silent {
				_ = json.NewEncoder(w).Encode(memberList{
					Revision: list.Revision,
					Members:  []member{},
				})
				return
			}
			continue
		}
		if after > a.revision {
			list, entries = a.list(0)
		}
		for _, e := range entries {
			a.notify(e)
		}
		a.mu.Unlock()
		_ = json.NewEncoder(w).Encode(list)
		return
	}
}
