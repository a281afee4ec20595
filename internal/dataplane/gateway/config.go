// Package gateway is a gateway on real sockets around the decision module: it
// reads clients, backends, discovery, the counter and peers, tells the module
// what happened and carries out what the module decides. It decides nothing
// about requests but what no module could: malformed ones, and its own limits.
package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"strconv"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/registry"
	"mothcleat/internal/dataplane/simprotocol"
)

// Config is what a gateway is told at its start.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	MemoryMB  int
	Sockets   int

	Management string // where operators call; "": nowhere

	PeerListen     string
	Peers          []netip.AddrPort // by number, this gateway's own among them
	Counter        string
	KnownEndpoints registry.List

	Settings policy.Settings
	Host     simprotocol.Host

	Restart      Restart           // from the operators' file
	Auth         Auth              // the same
	Fleet        Fleet             // nil: none
	Allocations  Allocations       // nil: quotas go by notes, or the counter
	VersionLease VersionLease      // nil: it acts on its configuration, whatever its fleet agrees on
	Operations   OperationRecorder // counts what is done, by what is in force; nil: nobody does
	PlanTerms    *PlanTerms        // plans that its fleet agrees on; nil: those of the configuration
	RejectionLog io.Writer         // gets a line for each request refused: its id and the reason; nil: none

	// NewEndpointSource makes the source of news of the servers; nil: the platform's discovery.
	// MoveTo is what its Move is told on a reload; "": the discovery's address.
	NewEndpointSource func(cfg *Config, log *slog.Logger) (registry.Source, error)
	EndpointAddresses []string
}

// Fleet is the gateway's part in what its fleet does as one.
type Fleet interface {
	// Count takes in units that were sent on for a customer. The loop calls it: it must not wait.
	Count(customer uint64, units float64)
	// Call answers an operator's call, from any goroutine.
	Call(ctx context.Context, argument string) string
}

// file is the configuration as it is written.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	Management string          `json:"management"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	Counter    string          `json:"counter"`
	Known      registry.List   `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// The limits held where the configuration states none, and the least that a
// gateway can work with.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minSockets      = 32
)

// ParseConfig reads a configuration.
func ParseConfig(raw []byte) (Config, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c := Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery,
		Management: f.Management, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets,
		PeerListen: f.PeerListen, Counter: f.Counter, KnownEndpoints: f.Known,
	}
	if c.MemoryMB <= 0 {
		c.MemoryMB = defaultMemoryMB
	}
	if c.Sockets <= 0 {
		c.Sockets = defaultSockets
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("configuration: seed %q: 16 hex digits wanted", f.Seed)
	}
	for i, p := range f.Peers {
		addr, err := netip.ParseAddrPort(p)
		if err != nil {
			return c, fmt.Errorf("configuration: peers[%d]: %w", i, err)
		}
		c.Peers = append(c.Peers, addr)
	}
	if len(f.Settings) == 0 {
		return c, errors.New("configuration: settings: missing")
	}
	if c.Settings, c.Host, err = simprotocol.ParseJSON(f.Settings); err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	return c, c.check()
}

// check tells which part of the configuration cannot be served.
func (c *Config) check() error {
	switch {
	case c.Listen == "":
		return errors.New("configuration: listen: missing")
	case c.Discovery == "":
		return errors.New("configuration: discovery: missing")
	case c.Sockets < minSockets:
		return fmt.Errorf("configuration: limits.sockets: %d, at least %d wanted", c.Sockets, minSockets)
	case c.Settings.Peers && (c.PeerListen == "" || len(c.Peers) != c.Settings.Gateways):
		return fmt.Errorf("configuration: peers: %d addresses for %d gateways, peer_listen %q",
			len(c.Peers), c.Settings.Gateways, c.PeerListen)
	case c.Settings.Counter && !c.Settings.Peers && c.Counter == "":
		return errors.New("configuration: counter: missing")
	}
	for name, address := range map[string]string{"discovery": c.Discovery, "counter": c.Counter, "management": c.Management} {
		if address == "" {
			continue // discovery is there
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("configuration: %s: %w", name, err)
		}
	}
	for i, name := range c.Host.Classes {
		if name == "" {
			return fmt.Errorf("configuration: class %d has no name", i)
		}
	}
	for i, name := range c.Host.Plans {
		if name == "" {
			return fmt.Errorf("configuration: plan %d has no name", i)
		}
	}
	if c.Host.DialTimeout <= 0 {
		c.Host.DialTimeout = 250_000
	}
	if c.Host.IdleClose <= 0 {
		c.Host.IdleClose = 10_000_000
	}
	if c.Host.CounterTimeout <= 0 {
		c.Host.CounterTimeout = 50_000
	}
	return nil
}
