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

// Config is the configuration of a gateway.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Seed      uint64
	MemoryMB  int
	Sockets   int // file descriptors that may be open

	Management string // where operators call; "": nowhere

	PeerListen     string
	Peers          []netip.AddrPort // by number, this gateway's own among them
	Counter        string
	KnownEndpoints registry.List // used until discovery answers

	Settings policy.Settings
	Host     simprotocol.HostSettings

	Restart      Restart           // from the operators' file
	Auth         Auth              // from the operators' file
	Fleet        Fleet             // nil: there is none
	Allocations  Allocations       // nil: quotas go by peers' messages or the counter
	VersionLease VersionLease      // nil: the gateway operates on its configuration alone
	Operations   OperationRecorder // nil: operations are not counted
	PlanTerms    *PlanTerms        // plans that the fleet agrees on; nil: the configured ones
	RejectionLog io.Writer         // gets a line for each rejected request; nil: there is none

	// NewEndpointSource makes the source of the endpoint list; nil: the platform's discovery.
	NewEndpointSource func(cfg *Config, log *slog.Logger) (registry.Source, error)
	// EndpointAddresses are what the source's Move is called with on a reload; nil: the
	// address of discovery.
	EndpointAddresses []string
}

// Fleet is the gateway's connection to the control plane.
type Fleet interface {
	// Count counts units that were sent for a customer. It is called on the event loop's
	// goroutine, and must not block.
	Count(customer uint64, units float64)
	// Call answers an operator's call. It may be called from any goroutine.
	Call(ctx context.Context, argument string) string
}

// configFile is the configuration as it is written.
type configFile struct {
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

// The limits where the configuration states none, and the least that a gateway can work with.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minSockets      = 32
)

// The times where the settings state none.
const (
	defaultDialTimeout        policy.Time = 250_000
	defaultBackendIdleTimeout policy.Time = 10_000_000
	defaultCounterTimeout     policy.Time = 50_000
)

// ParseConfig reads a configuration. Its error names the part that is missing or wrong.
func ParseConfig(raw []byte) (Config, error) {
	c, err := parseConfigFile(raw)
	if err == nil {
		err = c.check()
	}
	if err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	c.setDefaultTimes()
	return c, nil
}

func parseConfigFile(raw []byte) (Config, error) {
	var f configFile
	if err := json.Unmarshal(raw, &f); err != nil {
		return Config{}, err
	}
	c := Config{
		Name:           f.Name,
		Listen:         f.Listen,
		Discovery:      f.Discovery,
		Management:     f.Management,
		MemoryMB:       f.Limits.MemoryMB,
		Sockets:        f.Limits.Sockets,
		PeerListen:     f.PeerListen,
		Counter:        f.Counter,
		KnownEndpoints: f.Known,
	}
	if c.MemoryMB <= 0 {
		c.MemoryMB = defaultMemoryMB
	}
	if c.Sockets <= 0 {
		c.Sockets = defaultSockets
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed %q: 16 hex digits wanted", f.Seed)
	}
	for i, p := range f.Peers {
		addr, err := netip.ParseAddrPort(p)
		if err != nil {
			return c, fmt.Errorf("peers[%d]: %w", i, err)
		}
		c.Peers = append(c.Peers, addr)
	}
	if len(f.Settings) == 0 {
		return c, errors.New("settings: missing")
	}
	c.Settings, c.Host, err = simprotocol.ParseJSON(f.Settings)
	return c, err
}

// check returns which part of the configuration can't be served; nil: none.
func (cfg *Config) check() error {
	switch {
	case cfg.Listen == "":
		return errors.New("listen: missing")
	case cfg.Discovery == "":
		return errors.New("discovery: missing")
	case cfg.Sockets < minSockets:
		return fmt.Errorf("limits.sockets: %d, at least %d wanted", cfg.Sockets, minSockets)
	case cfg.Settings.Peers && (cfg.PeerListen == "" || len(cfg.Peers) != cfg.Settings.Gateways):
		return fmt.Errorf("peers: %d addresses for %d gateways, peer_listen %q",
			len(cfg.Peers), cfg.Settings.Gateways, cfg.PeerListen)
	case cfg.Settings.Counter && !cfg.Settings.Peers && cfg.Counter == "":
		return errors.New("counter: missing")
	}
	if err := cfg.checkAddresses(); err != nil {
		return err
	}
	for i, name := range cfg.Host.Classes {
		if name == "" {
			return fmt.Errorf("class %d has no name", i)
		}
	}
	for i, name := range cfg.Host.Plans {
		if name == "" {
			return fmt.Errorf("plan %d has no name", i)
		}
	}
	return nil
}

// checkAddresses checks the form of the addresses that are given.
func (cfg *Config) checkAddresses() error {
	addresses := map[string]string{
		"discovery":  cfg.Discovery,
		"counter":    cfg.Counter,
		"management": cfg.Management,
	}
	for name, address := range addresses {
		if address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func (cfg *Config) setDefaultTimes() {
	h := &cfg.Host
	if h.DialTimeout <= 0 {
		h.DialTimeout = defaultDialTimeout
	}
	if h.BackendIdleTimeout <= 0 {
		h.BackendIdleTimeout = defaultBackendIdleTimeout
	}
	if h.CounterTimeout <= 0 {
		h.CounterTimeout = defaultCounterTimeout
	}
}
