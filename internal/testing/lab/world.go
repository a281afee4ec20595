// Package lab runs real gateway processes in real time among stand-ins for everything around them:
// quote servers, the server register, the counter, the peer network between gateways, and a load
// balancer with its clients. internal/testing/harness judges what clients and servers saw.
//
// Everything binds to loopback addresses. The package does not depend on how a gateway decides: it
// imports neither decide nor internal/dataplane/gateway.
package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"mothcleat/internal/testing/harness"
)

// Options describes a world.
type Options struct {
	Seed     uint64
	Gateways int
	Servers  int // 0: 10
	// fraction of the servers' capacity that is requested within the quotas
	Load float64
	Bin  string // path of the gateway's binary; "": NewWorld builds it
	// writes more files into a gateway's folder; nil: none
	Prepare func(w *World, g *Gateway) error
	Admin   bool // gateways have an admin interface
	// the rig holds the sockets on which clients connect, and gateways have an admin interface
	Held bool
	// the register is Consul, with an agent for each gateway
	Consul   bool
	Names    string // prefix of the gateways' names; "": n
	MemoryMB int    // memory limit in each gateway's configuration; 0: 64
	Sockets  int    // limit of descriptors in each gateway's configuration; 0: 1024
	// text of the operators' file, with %AGENT% for the address of a Consul agent; "": no file
	Operators string
	Change    func(s *harness.Site) // changes the drawn site; nil: nothing
	Log       io.Writer
}

// World is a site with its running servers, registers, peer network and gateways.
type World struct {
	Site        *harness.Site
	Record      *harness.Record
	Servers     []*Server
	Register    *Register
	Consul      *ConsulRegister // nil: the platform's register
	Counter     *Counter
	PeerNetwork *PeerNetwork
	Gateways    []*Gateway
	Clients     *Clients
	Dir         string

	options Options
	number  uint32
}

const readyTimeout = 30 * time.Second

// NewWorld builds and starts everything except the clients' requests.
func NewWorld(ctx context.Context, o Options) (w *World, err error) {
	o.setDefaults()
	w = &World{
		Site:    harness.NewSite(o.Seed, o.Gateways, o.Servers, o.Load),
		Record:  harness.NewRecord(),
		options: o,
	}
	if o.Change != nil {
		o.Change(w.Site)
	}
	if w.Dir, err = os.MkdirTemp("", "mothcleat-lab-"); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			w.Close()
			w = nil
		}
	}()
	if o.Bin == "" {
		if o.Bin, err = Build(ctx, w.Dir); err != nil {
			return w, err
		}
	}
	if err := w.newStandIns(&o); err != nil {
		return w, err
	}
	if err := w.newServers(&o); err != nil {
		return w, err
	}
	peers, err := w.newGateways(&o)
	if err != nil {
		return w, err
	}
	if w.PeerNetwork, err = NewPeerNetwork(peers, w.Site.MessageLoss, o.Seed); err != nil {
		return w, err
	}
	fmt.Fprintf(
		o.Log,
		"starting %d gateways before %d quote servers, %d customers, %.0f requests/s inside the quotas\n",
		o.Gateways,
		o.Servers,
		len(w.Site.Customers),
		w.Site.PerSecond,
	)
	err = w.startAll(ctx)
	w.Clients = NewClients(w.Site, w.Record, w.Gateways, o.Seed)
	return w, err
}

func (o *Options) setDefaults() {
	if o.Log == nil {
		o.Log = io.Discard
	}
	if o.Servers == 0 {
		o.Servers = 10
	}
	if o.Names == "" {
		o.Names = "n"
	}
	if o.MemoryMB == 0 {
		o.MemoryMB = 64
	}
	if o.Sockets == 0 {
		o.Sockets = 1024
	}
}

// newStandIns starts the stand-ins of the platform: register, counter and, with
// Options.Consul, Consul.
func (w *World) newStandIns(o *Options) (err error) {
	if w.Register, err = NewRegister(w.Record, o.Gateways, w.Site.RegisterLag, o.Seed); err != nil {
		return err
	}
	if w.Counter, err = NewCounter(o.Seed); err != nil {
		return err
	}
	w.number = worldCount.Add(1)
	if o.Consul {
		w.Consul, err = NewConsulRegister(w.Record, o.Gateways, w.Site.RegisterLag, o.Seed)
	}
	return err
}

// newServers starts the stand-in quote servers and adds them to the register.
func (w *World) newServers(o *Options) error {
	for i := range o.Servers {
		sv, err := NewServer(w.Site, w.Record, w.number, i, o.Seed)
		if err != nil {
			return err
		}
		w.Servers = append(w.Servers, sv)
		w.notify(sv, phaseReady, 0, true)
	}
	return nil
}

// newGateways prepares the gateways' folders and files, without starting them, and returns their
// peer addresses.
func (w *World) newGateways(o *Options) (peers []netip.AddrPort, err error) {
	for i := range o.Gateways {
		g, err := w.newGateway(o, i)
		if err != nil {
			return nil, err
		}
		w.Gateways = append(w.Gateways, g)
		peers = append(peers, netip.MustParseAddrPort(g.Peer))
	}
	return peers, nil
}

func (w *World) newGateway(o *Options, i int) (*Gateway, error) {
	var args []string
	if o.Operators != "" {
		args = []string{"--operators", "operators.toml"}
	}
	g, err := newGateway(w.Dir, o.Bin, args, w.Record, w.number, i)
	if err != nil {
		return nil, err
	}
	if o.Operators != "" {
		text := o.Operators
		if w.Consul != nil {
			text = strings.ReplaceAll(text, "%AGENT%", w.Consul.agents[i].Address)
		}
		if err := os.WriteFile(
			filepath.Join(g.dir, "operators.toml"),
			[]byte(text),
			0o600,
		); err != nil {
			return nil, err
		}
	}
	if o.Prepare != nil {
		if err := o.Prepare(w, g); err != nil {
			return nil, err
		}
	}
	if o.Admin {
		if err := g.newAdminAddress(); err != nil {
			return nil, err
		}
	}
	if o.Held {
		if err := g.holdListener(); err != nil {
			return nil, err
		}
	}
	g.config = w.configuration
	return g, nil
}

// startAll starts all gateways at once and waits until they are ready.
func (w *World) startAll(ctx context.Context) (err error) {
	errs := make(chan error, len(w.Gateways))
	for _, g := range w.Gateways {
		go func() { errs <- w.start(ctx, g) }()
	}
	for range w.Gateways {
		err = errors.Join(err, <-errs)
	}
	return err
}

// Start starts a gateway and waits until it is ready.
func (w *World) Start(ctx context.Context, g *Gateway) error { return w.start(ctx, g) }

// Summary audits the run and returns its summary.
func (w *World) Summary(command string) *harness.Summary { return w.summarize(command) }

// Address returns a free address on a host that only this world uses, for a process that restarts.
func (w *World) Address(i int) (string, error) {
	return freeAddress("tcp", hostOf(w.number, i), 7400)
}

// start starts a gateway and waits until it is ready.
func (w *World) start(ctx context.Context, g *Gateway) error {
	if err := g.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return g.Ready(ctx)
}

// configuration returns the configuration that a gateway reads at its start.
func (w *World) configuration(g *Gateway) map[string]any {
	known := w.Register.agents[g.Number].known()
	if w.Consul != nil {
		known = memberList{Members: []member{}} // Consul names the servers differently
	}
	return map[string]any{
		"management": g.adminAddress,
		"name":       fmt.Sprintf("%s%d", w.options.Names, g.Number),
		"listen":     g.Address,
		"discovery":  w.Register.agents[g.Number].address,
		"seed":       harness.Hex16(w.options.Seed*1e6 + uint64(time.Now().UnixNano())),
		"limits": map[string]any{
			"cores":     1.0,
			"memory_mb": w.options.MemoryMB,
			"sockets":   w.options.Sockets,
		},
		"peer_listen": g.Peer,
		"peers":       w.PeerNetwork.peers(g.Number),
		"peers_all":   "127.0.0.1:9",
		"counter":     w.Counter.Address,
		"known":       known,
		"settings":    w.Site.Settings(g.Number),
	}
}

// recordText has a gateway write its reasons for refusals to a file, from which the summary
// attributes losses.
const recordText = "[record]\nrefusals = \"refusals\"\n"

// summarize audits the run and returns its summary, with the reasons for refusals that the gateways
// recorded.
func (w *World) summarize(command string) *harness.Summary {
	why := map[string]string{}
	for _, g := range w.Gateways {
		raw, err := os.ReadFile(filepath.Join(g.dir, "refusals"))
		if err != nil {
			continue // this gateway records no reasons
		}
		for line := range strings.SplitSeq(string(raw), "\n") {
			if id, reason, ok := strings.Cut(line, " "); ok {
				why[id] = reason
			}
		}
	}
	for i := range w.Record.Tries {
		t := &w.Record.Tries[i]
		t.RejectReason = why[t.ID]
	}
	return harness.Summarize(command, w.options.Seed, w.Site, w.Record)
}

// Close kills all processes, closes all stand-ins and removes the folder.
func (w *World) Close() {
	for _, g := range w.Gateways {
		if g.Running() {
			_ = g.Signal(syscall.SIGKILL)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, g := range w.Gateways {
		_ = g.WaitForExit(ctx)
	}
	for _, sv := range w.Servers {
		sv.Kill()
	}
	if w.Register != nil {
		w.Register.Close()
	}
	if w.Consul != nil {
		w.Consul.Close()
	}
	if w.Counter != nil {
		w.Counter.Close()
	}
	if w.PeerNetwork != nil {
		w.PeerNetwork.Close()
	}
	if w.Dir != "" {
		_ = os.RemoveAll(w.Dir)
	}
}

// Stop sends SIGTERM to all gateways and waits until they have exited.
func (w *World) Stop(ctx context.Context) error {
	for _, g := range w.Gateways {
		if g.Running() {
			_ = g.Signal(syscall.SIGTERM)
		}
	}
	var err error
	for _, g := range w.Gateways {
		err = errors.Join(err, g.WaitForExit(ctx))
	}
	return err
}

// DrainServer sets a server's phase to draining in the register.
func (w *World) DrainServer(sv *Server) { w.notify(sv, phaseStop, w.upSince(sv), false) }

// KillServer stops a server abruptly and notifies the register.
func (w *World) KillServer(sv *Server) {
	since := w.upSince(sv)
	sv.Kill()
	w.notify(sv, phaseRemoved, since, false)
}

// StartServer restarts a server, cold, and notifies the register.
func (w *World) StartServer(sv *Server) error {
	if err := sv.Start(); err != nil {
		return err
	}
	w.notify(sv, phaseReady, w.upSince(sv), false)
	return nil
}

// notify passes a server's state to the register: without a delay if now is true.
func (w *World) notify(sv *Server, phase string, since time.Duration, now bool) {
	if w.Consul != nil {
		w.Consul.Set(sv, phase, now)
		return
	}
	w.Register.Set(sv, phase, since, now)
}

func (w *World) upSince(sv *Server) time.Duration {
	_, since := sv.Up()
	return since
}

// HasGo reports whether the go command, which builds the gateway, is installed.
func HasGo() bool { _, err := exec.LookPath("go"); return err == nil }
