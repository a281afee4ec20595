package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is an entry of discovery's list.
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

// discovery is the agent of all gateways: what it has it tells at once.
type discovery struct {
	address string

	mu      sync.Mutex
	list    memberList
	changed chan struct{}        // closed when the list changes
	told    map[string]time.Time // since when the agent has it that a backend drains
	refuses bool                 // calls are turned away

	seen func(query string, refused bool) // is called for each call; nil: it is not
}

func newDiscovery(backends []*backend) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{
		address: l.Addr().String(),
		list:    memberList{Revision: 41, Complete: true, Members: []member{}},
		changed: make(chan struct{}),
		told:    map[string]time.Time{},
	}
	for _, b := range backends {
		d.list.Members = append(d.list.Members, member{
			ID: b.id, HostPort: b.listen.Addr().String(), Locality: "sala-1",
			Flavor: "maq-padrao", Cell: 1, Phase: "Ready", Size: 1,
		})
	}
	go func() { _ = http.Serve(l, d) }()
	return d, nil
}

func (d *discovery) known() memberList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list
}

// drain has a backend drain from now on.
func (d *discovery) drain(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	members := append([]member(nil), d.list.Members...)
	for i := range members {
		if members[i].ID == id {
			members[i].Phase = "Terminating"
		}
	}
	d.list.Members = members
	d.list.Revision++
	d.told[id] = time.Now()
	close(d.changed)
	d.changed = make(chan struct{})
}

// drainsFor returns for how long the agent has had it that a backend drains; 0: it does not.
func (d *discovery) drainsFor(id string, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if told, drains := d.told[id]; drains {
		return now.Sub(told)
	}
	return 0
}

// refuse has discovery turn calls away, or answer them again.
func (d *discovery) refuse(refuses bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuses = refuses
}

// ServeHTTP answers the whole list at once, and a watch when the list changes or its wait is over.
func (d *discovery) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	list, changed, refuses := d.list, d.changed, d.refuses
	d.mu.Unlock()
	if d.seen != nil {
		d.seen(r.URL.RawQuery, refuses)
	}
	if refuses {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	index, err := strconv.Atoi(r.URL.Query().Get("index"))
	if err == nil && index == list.Revision {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		select {
		case <-changed:
			list = d.known()
		case <-time.After(time.Duration(wait) * time.Millisecond):
			list.Complete = false
			list.Members = []member{}
		case <-r.Context().Done():
			return
		}
	}
	_ = json.NewEncoder(out).Encode(list)
}

// counter keeps numbers by name.
type counter struct {
	mu    sync.Mutex
	named map[string]*number
}

type number struct {
	total float64
	until time.Time
}

func newCounter() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	c := &counter{named: map[string]*number{}}
	go func() { _ = http.Serve(l, c) }()
	return l.Addr().String(), nil
}

// ServeHTTP adds the amount to the name and answers the total.
func (c *counter) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	add, err := strconv.ParseFloat(r.URL.Query().Get("add"), 64)
	ttl, err2 := strconv.Atoi(r.URL.Query().Get("ttl_ms"))
	if err != nil || err2 != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.named[r.URL.Path]
	if n == nil || time.Now().After(n.until) {
		n = &number{until: time.Now().Add(time.Duration(min(ttl, 60000)) * time.Millisecond)}
		c.named[r.URL.Path] = n
	}
	n.total += add
	_, _ = out.Write(strconv.AppendFloat(nil, n.total, 'g', 7, 64))
}
