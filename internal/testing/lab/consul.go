package lab

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ConsulFault describes how a stand-in Consul misbehaves until its fault is changed.
type ConsulFault struct {
	Silent  bool          // does not answer
	Lag     time.Duration // answers with the state of this long ago, as a follower does
	Drop    float64       // fraction of answers that are replaced by a closed connection
	Reorder float64       // fraction of answers that contain an older state, with its index
	Errs    bool          // answers 500
	Half    bool          // truncates each list in the middle
	AtOnce  bool          // answers blocking queries without waiting for a change
}

// Consul is a stand-in for a Consul agent with its servers, written from the public documentation of
// the HTTP API. It supports registration with TTL checks and maintenance, blocking queries on health
// and catalogue, and faults.
type Consul struct {
	Address string
	server  *http.Server
	began   time.Time

	mu             sync.Mutex
	rand           *rand.Rand
	index          uint64
	history        []consulState // states, oldest first; the last one is current
	fault          ConsulFault
	changed        chan struct{} // closed with a change of state or fault
	calls          []time.Time
	onHealthAnswer func(services map[string]consulService) // called after each complete health answer; nil: not called
	token          string                                  // required in queries; "": none
}

// consulState is a state of all services with the time from which it was valid.
type consulState struct {
	index    uint64
	at       time.Time
	services map[string]consulService // by id
}

type consulService struct {
	ID, Name, Address        string
	Port                     int
	Tags                     []string
	Meta                     map[string]string
	Weights                  consulWeights
	CreateIndex, ModifyIndex uint64
	checks                   map[string]string // status by check
}

type consulWeights struct{ Passing, Warning int }

const consulNode = "lab-node"

// NewConsul starts a stand-in with nothing registered.
func NewConsul(seed uint64) (*Consul, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("consul: %w", err)
	}
	c := &Consul{
		Address: l.Addr().String(),
		rand:    rand.New(rand.NewPCG(seed, 0xc05)),
		index:   10,
		changed: make(chan struct{}),
		began:   time.Now(),
	}
	c.history = []consulState{{index: 10, at: c.began}}
	c.server = &http.Server{Handler: c, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = c.server.Serve(l) }()
	return c, nil
}

// Close stops the stand-in's server.
func (c *Consul) Close() { _ = c.server.Close() }

// SetFault replaces the stand-in's fault.
func (c *Consul) SetFault(f ConsulFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
	c.signalChange()
}

// ResetIndex restarts the index at 1, as after a restore of the servers.
func (c *Consul) ResetIndex() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index = 1
	now := c.history[len(c.history)-1]
	c.history = []consulState{{index: 1, at: time.Now(), services: now.services}}
	c.signalChange()
}

// Calls returns the times of all queries so far.
func (c *Consul) Calls() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.calls)
}

func (c *Consul) signalChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// change derives a new state from the current one. If f returns false, the state stays.
func (c *Consul) change(f func(services map[string]consulService, index uint64) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := map[string]consulService{}
	for id, s := range c.history[len(c.history)-1].services {
		next[id] = s
	}
	if !f(next, c.index+1) {
		return false
	}
	c.index++
	c.history = append(c.history, consulState{c.index, time.Now(), next})
	if len(c.history) > 1000 {
		c.history = slices.Delete(c.history, 0, 500)
	}
	c.signalChange()
	return true
}

// Register adds an instance of a service with a passing check, or updates an existing instance.
func (c *Consul) Register(id, name, address string, tags []string, meta map[string]string) error {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("consul: %w", err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return fmt.Errorf("consul: %w", err)
	}
	c.register(
		consulService{
			ID:      id,
			Name:    name,
			Address: host,
			Port:    port,
			Tags:    tags,
			Meta:    meta,
			Weights: consulWeights{1, 1},
		},
		"passing",
	)
	return nil
}

func (c *Consul) register(s consulService, status string) {
	c.change(func(all map[string]consulService, index uint64) bool {
		s.CreateIndex, s.ModifyIndex = index, index
		s.checks = map[string]string{"service:" + s.ID: status}
		if old, there := all[s.ID]; there {
			s.CreateIndex, s.checks = old.CreateIndex, old.checks
		}
		all[s.ID] = s
		return true
	})
}

// Deregister removes an instance and reports whether it existed.
func (c *Consul) Deregister(id string) bool {
	return c.change(func(all map[string]consulService, _ uint64) bool {
		_, there := all[id]
		delete(all, id)
		return there
	})
}

// SetCheck sets the status of an instance's check: passing, warning or critical; "" removes the check.
func (c *Consul) SetCheck(id, check, status string) bool {
	return c.change(func(all map[string]consulService, _ uint64) bool {
		s, there := all[id]
		if !there {
			return false
		}
		checks := map[string]string{check: status}
		for name, old := range s.checks {
			if name != check {
				checks[name] = old
			}
		}
		if status == "" {
			delete(checks, check)
		}
		s.checks = checks
		all[id] = s
		return true
	})
}

// SetMaintenance switches an instance's maintenance mode on or off.
func (c *Consul) SetMaintenance(id string, on bool) bool {
	return c.SetCheck(
		id,
		"_service_maintenance:"+id,
		map[bool]string{true: "critical", false: ""}[on],
	)
}

// state returns the state that a query sees now, according to the fault.
func (c *Consul) state() consulState {
	s := c.history[len(c.history)-1]
	for i := len(c.history) - 1; i > 0 && c.fault.Lag > 0 && time.Since(c.history[i].at) < c.fault.Lag; i-- {
		s = c.history[i-1]
	}
	if c.rand.Float64() < c.fault.Reorder {
		s = c.history[max(0, len(c.history)-1-c.rand.IntN(4))]
	}
	return s
}

func (c *Consul) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case strings.HasPrefix(path, "/v1/health/service/"):
		c.query(w, r, strings.TrimPrefix(path, "/v1/health/service/"), true)
	case strings.HasPrefix(path, "/v1/catalog/service/"):
		c.query(w, r, strings.TrimPrefix(path, "/v1/catalog/service/"), false)
	case r.Method == http.MethodPut && strings.HasPrefix(path, "/v1/agent/"):
		c.agent(w, r, strings.TrimPrefix(path, "/v1/agent/"))
	case path == "/v1/status/leader":
		fmt.Fprintf(w, "%q", c.Address)
	default:
		http.NotFound(w, r)
	}
}

// agent handles the agent endpoints, by which services are registered and updated.
func (c *Consul) agent(w http.ResponseWriter, r *http.Request, path string) {
	parts := strings.Split(path, "/")
	last := parts[len(parts)-1]
	found := true
	switch {
	case path == "service/register":
		var s struct {
			consulService
			Check *struct{ Status string }
		}
		if err := json.NewDecoder(r.Body).Decode(&s); err != nil || s.Name == "" {
			http.Error(w, "bad registration", http.StatusBadRequest)
			return
		}
		status := "passing" // where no check is registered
		if s.Check != nil {
			if status = s.Check.Status; status == "" {
				status = "critical"
			}
		}
		if s.ID == "" {
			s.ID = s.Name
		}
		if s.Weights.Passing == 0 {
			s.Weights = consulWeights{1, 1}
		}
		c.register(s.consulService, status)
	case strings.HasPrefix(path, "service/deregister/"):
		found = c.Deregister(last)
	case strings.HasPrefix(path, "service/maintenance/"):
		found = c.SetMaintenance(last, r.URL.Query().Get("enable") == "true")
	case strings.HasPrefix(path, "check/update/"):
		var u struct{ Status string }
		if json.NewDecoder(r.Body).Decode(&u) != nil {
			http.Error(w, "bad update", http.StatusBadRequest)
			return
		}
		found = c.SetCheck(strings.TrimPrefix(last, "service:"), last, u.Status)
	default:
		found = false
	}
	if !found {
		http.Error(w, "unknown", http.StatusNotFound)
	}
}

// query answers a blocking or non-blocking query.
func (c *Consul) query(w http.ResponseWriter, r *http.Request, name string, health bool) {
	q := r.URL.Query()
	index, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil || wait <= 0 {
		wait = 5 * time.Minute
	}
	over := time.After(min(wait, 10*time.Minute) + rand.N(wait/16+1))
	c.mu.Lock()
	c.calls = append(c.calls, time.Now())
	if c.token != "" && r.Header.Get("X-Consul-Token") != c.token {
		c.mu.Unlock()
		http.Error(w, "Permission denied", http.StatusForbidden)
		return
	}
	c.mu.Unlock()
	for ended := false; ; {
		c.mu.Lock()
		f, s, changed := c.fault, c.state(), c.changed
		drop := c.rand.Float64() < f.Drop
		c.mu.Unlock()
		if f.Silent {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			}
		}
		if index > 0 && s.index <= index && s.index+4 > index && !ended && !f.AtOnce && !f.Errs {
			lag := make(<-chan time.Time)
			if f.Lag > 0 {
				lag = time.After(
					min(f.Lag, 50*time.Millisecond),
				) // a change becomes visible after the lag
			}
			select {
			case <-changed:
			case <-lag:
			case <-over:
				ended = true
			case <-r.Context().Done():
				return
			}
			continue
		}
		switch {
		case f.Errs:
			http.Error(w, "rpc error: No cluster leader", http.StatusInternalServerError)
		case drop:
			panic(http.ErrAbortHandler)
		default:
			c.writeAnswer(w, f, &s, name, health)
		}
		return
	}
}

// writeAnswer writes the list of a service's instances, or half of it if the fault says so.
func (c *Consul) writeAnswer(
	w http.ResponseWriter, f ConsulFault, s *consulState, name string, health bool,
) {
	w.Header().Set("X-Consul-Index", fmt.Sprint(s.index))
	w.Header().Set("X-Consul-KnownLeader", "true")
	w.Header().Set("X-Consul-LastContact", fmt.Sprint(f.Lag.Milliseconds()))
	w.Header().Set("Content-Type", "application/json")
	text := s.text(name, health)
	if f.Half {
		text = text[:len(text)/2]
	}
	if _, err := w.Write(text); err == nil && health && !f.Half && c.onHealthAnswer != nil {
		c.onHealthAnswer(s.services)
	}
}

// text returns the list of a service's instances as JSON.
func (s *consulState) text(name string, health bool) []byte {
	list := []any{}
	ids := make([]string, 0, len(s.services))
	for id := range s.services {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		v := s.services[id]
		if v.Name != name {
			continue
		}
		if !health {
			list = append(
				list,
				map[string]any{
					"ID":             "",
					"Node":           consulNode,
					"Address":        "127.0.0.1",
					"Datacenter":     "dc1",
					"ServiceID":      v.ID,
					"ServiceName":    v.Name,
					"ServiceAddress": v.Address,
					"ServicePort":    v.Port,
					"ServiceTags":    v.Tags,
					"ServiceMeta":    v.Meta,
					"ServiceWeights": v.Weights,
					"CreateIndex":    v.CreateIndex,
					"ModifyIndex":    v.ModifyIndex,
				},
			)
			continue
		}
		checks := []any{
			map[string]any{
				"Node":    consulNode,
				"CheckID": "serfHealth",
				"Name":    "Serf Health Status",
				"Status":  "passing",
			},
		}
		names := make([]string, 0, len(v.checks))
		for check := range v.checks {
			names = append(names, check)
		}
		slices.Sort(names)
		for _, check := range names {
			checks = append(
				checks,
				map[string]any{
					"Node":        consulNode,
					"CheckID":     check,
					"Name":        check,
					"Status":      v.checks[check],
					"ServiceID":   v.ID,
					"ServiceName": v.Name,
				},
			)
		}
		list = append(list, map[string]any{
			"Node": map[string]any{
				"ID":         "",
				"Node":       consulNode,
				"Address":    "127.0.0.1",
				"Datacenter": "dc1",
			},
			"Service": map[string]any{
				"ID":          v.ID,
				"Service":     v.Name,
				"Tags":        v.Tags,
				"Address":     v.Address,
				"Port":        v.Port,
				"Meta":        v.Meta,
				"Weights":     v.Weights,
				"CreateIndex": v.CreateIndex,
				"ModifyIndex": v.ModifyIndex,
			},
			"Checks": checks,
		})
	}
	b, err := json.Marshal(list)
	if err != nil {
		panic(err) // cannot happen: all values can be encoded
	}
	return b
}
