package scale

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"mothcleat/internal/dataplane/registry"
)

// Register is a stand-in for a Consul agent with one service of many servers, written from the
// public documentation of Consul's HTTP API: blocking queries on the health view. Its methods are
// safe for concurrent use.
type Register struct {
	Address string
	server  *http.Server

	mu      sync.Mutex
	index   uint64
	order   []string // ids
	entries map[string]registered
	changed chan struct{} // closed and replaced at each change
}

// registered is one server with its part of a response.
type registered struct {
	address string
	phase   string
	created uint64
	text    []byte
}

const (
	serviceName  = "quotes"
	registerNode = "scale"
	maxWait      = 10 * time.Second
)

// NewRegister starts a register with this number of servers, all ready.
func NewRegister(servers int) (*Register, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("register: %w", err)
	}
	r := &Register{Address: l.Addr().String(), index: 10, entries: map[string]registered{},
		changed: make(chan struct{})}
	for i := range servers {
		r.put(serverID(i), serverAddress(i), registry.Ready)
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(l) }()
	return r, nil
}

// Close stops the register.
func (r *Register) Close() { _ = r.server.Close() }

// serverID returns the ID of a server.
func serverID(i int) string { return fmt.Sprintf("q-%08x", i) }

// serverAddress returns an address that nothing listens on: simulated gateways send no requests.
func serverAddress(
	i int,
) string {
	return fmt.Sprintf("10.%d.%d.%d:8000", i>>16&255, i>>8&255, i&255)
}

// zoneOf assigns the servers to the zones.
func zoneOf(address string) string { return "zone-" + string('1'+address[len(address)-6]%4) }

// put adds or changes a server. The caller holds the lock, or has not shared the register yet.
func (r *Register) put(id, address, phase string) {
	old, there := r.entries[id]
	if !there {
		r.order = append(r.order, id)
		old.created = r.index
	}
	host, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	tags := []string{}
	if phase == registry.Terminating {
		tags = append(tags, "draining")
	}
	text, err := json.Marshal(map[string]any{
		"Node": map[string]any{"Node": registerNode, "Address": "127.0.0.1", "Datacenter": "dc1"},
		"Service": map[string]any{"ID": id, "Service": serviceName, "Tags": tags, "Address": host,
			"Port": number,
			"Meta": map[string]string{"locality": zoneOf(address),
				"started": "1700000000"}, "Weights": map[string]int{"Passing": 1, "Warning": 1},
			"CreateIndex": old.created, "ModifyIndex": r.index},
		"Checks": []any{map[string]any{"CheckID": "service:" + id, "Status": "passing"}},
	})
	if err != nil {
		panic(err) // plain data
	}
	r.entries[id] = registered{address: address, phase: phase, created: old.created, text: text}
}

// change makes one change and returns the time at which it took effect.
func (r *Register) change(do func()) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index++
	do()
	close(r.changed)
	r.changed = make(chan struct{})
	return time.Now()
}

// Drain marks a server as draining.
func (r *Register) Drain(id string) time.Time {
	return r.change(func() { r.put(id, r.entries[id].address, registry.Terminating) })
}

// Add adds a server that is ready.
func (r *Register) Add(i int) time.Time {
	return r.change(func() { r.put(serverID(i), serverAddress(i), registry.Ready) })
}

// Remove removes the servers in a single change.
func (r *Register) Remove(ids ...string) time.Time {
	return r.change(func() {
		removed := map[string]bool{}
		for _, id := range ids {
			delete(r.entries, id)
			removed[id] = true
		}
		kept := r.order[:0]
		for _, id := range r.order {
			if !removed[id] {
				kept = append(kept, id)
			}
		}
		r.order = kept
	})
}

// Digest returns a digest of the current list, independent of its order. A gateway that is current
// has the same digest.
func (r *Register) Digest() (digest uint64, servers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.entries {
		digest += serverHash(id, e.phase, e.address)
	}
	return digest, len(r.entries)
}

// serverHash returns the hash of the entry of one server.
func serverHash(id, phase, address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id + "|" + phase + "|" + address))
	return h.Sum64()
}

// shortID returns a server's ID without the register's node.
func shortID(id string) string { return id[strings.IndexByte(id, '/')+1:] }

// ServeHTTP answers a blocking query on the health view.
func (r *Register) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/v1/health/service/"+serviceName {
		http.NotFound(w, q)
		return
	}
	index, _ := strconv.ParseUint(q.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(q.URL.Query().Get("wait"))
	if err != nil || wait <= 0 || wait > maxWait {
		wait = maxWait
	}
	over := time.After(wait)
	for ended := false; ; {
		r.mu.Lock()
		now, changed := r.index, r.changed
		var text []byte
		if now > index || ended {
			text = r.text()
		}
		r.mu.Unlock()
		if text == nil {
			select {
			case <-changed:
			case <-over:
				ended = true
			case <-q.Context().Done():
				return
			}
			continue
		}
		w.Header().Set("X-Consul-Index", strconv.FormatUint(now, 10))
		w.Header().Set("X-Consul-KnownLeader", "true")
		w.Header().Set("X-Consul-LastContact", "0")
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text)
		return
	}
}

// text returns the whole response. The caller holds the lock.
func (r *Register) text() []byte {
	var b bytes.Buffer
	b.WriteByte('[')
	for i, id := range r.order {
		if i > 0 {
			b.WriteByte(',')
		}
		b.Write(r.entries[id].text)
	}
	b.WriteByte(']')
	return b.Bytes()
}
