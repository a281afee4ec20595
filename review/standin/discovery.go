package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// discovery stands in for the agent that tells a gateway the list of servers.
type discovery struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	members  []map[string]any
	changed  chan struct{} // closed at the next change
}

func newDiscovery() (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{listener: listener, revision: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/catalog/members", d.handle)
	go func() { _ = http.Serve(listener, mux) }()
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

// add lists a server as ready and long started.
func (d *discovery) add(id, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = append(d.members, map[string]any{
		"id": id, "host_port": address, "locality": "sala-1", "flavor": "maq-padrao",
		"cell": 0, "phase": "Ready", "size": 1.0, "up_since_ms": 0,
	})
	d.revision++
	close(d.changed)
	d.changed = make(chan struct{})
}

// list returns the whole list, and what is closed when it changes.
func (d *discovery) list() (map[string]any, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	members := append([]map[string]any{}, d.members...)
	list := map[string]any{"revision": d.revision, "complete": true, "members": members}
	return list, d.changed
}

// handle answers with the whole list, or, if the caller has it, waits for a change.
func (d *discovery) handle(w http.ResponseWriter, r *http.Request) {
	list, changed := d.list()
	index, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	if err == nil && index == list["revision"].(uint64) {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
		select {
		case <-changed:
			list, _ = d.list()
		case <-time.After(time.Duration(min(wait, 60_000)) * time.Millisecond):
			list = map[string]any{"revision": index, "complete": false, "members": []any{}}
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
