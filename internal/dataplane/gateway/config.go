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
	Sockets   int // limit on open file descriptors

	Management string // address of the admin interface; "": none

	PeerListen     string
	Peers          []netip.AddrPort // by peer number, including this gateway
	Counter        string
	KnownEndpoints registry.List // used until discovery responds

	Settings policy.Settings
	Host     simprotocol.HostSettings

	Restart      Restart           // from the operators' file
	Auth         Auth              // from the operators' file
	Fleet        Fleet             // nil: there is no control plane
	Allocations  Allocations       // nil: quotas use peer messages or the counter
	VersionLease VersionLease      // nil: the gateway operates on its own configuration
	Operations   OperationRecorder // nil: operations are not counted
	PlanTerms    *PlanTerms        // plans that the fleet has agreed on; nil: the configured ones
	RejectionLog io.Writer         // gets a line for each rejected request; nil: no log

	// NewEndpointSource returns the source of the endpoint list; nil: the platform's discovery.
	NewEndpointSource func(cfg *Config, log *slog.Logger) (registry.Source, error)
	// EndpointAddresses are the addresses passed to the source's Move on a reload; nil: the address
	// of discovery.
	EndpointAddresses []string
}

// Fleet is the gateway's connection to the control plane.
type Fleet interface {
	// Count counts units that were sent for a customer. It is called on the event loop's goroutine
	// and must not block.
	Count(customer uint64, units float64)
	// Call returns the answer to an admin call. It may be called from any goroutine.
	Call(ctx context.Context, argument string) string
}

// configFile is the JSON form of the configuration.
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

// The default limits, and the minimum that a gateway needs.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minSockets      = 32
)

// The default times.
const (
	defaultDialTimeout        policy.Time = 250_000
	defaultBackendIdleTimeout policy.Time = 10_000_000
	defaultCounterTimeout     policy.Time = 50_000
)

// ParseConfig parses a JSON configuration. Its error names the part that is missing or invalid.
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
		return c, fmt.Errorf("seed %q: must be 16 hex digits", f.Seed)
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

// check returns an error that names the first invalid part of the configuration, or nil.
func (cfg *Config) check() error {
	switch {
	case cfg.Listen == "":
		return errors.New("listen: missing")
	case cfg.Discovery == "":
		return errors.New("discovery: missing")
	case cfg.Sockets < minSockets:
		return fmt.Errorf("limits.sockets: %d, must be at least %d", cfg.Sockets, minSockets)
	case cfg.Settings.Peers && (cfg.PeerListen == "" || len(cfg.Peers) != cfg.Settings.Gateways):
		return fmt.Errorf("peers: %d addresses for %d gateways with peer_listen %q",
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

// checkAddresses checks the form of the configured addresses.
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
