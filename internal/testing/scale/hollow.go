package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/planconfig"
	"mothcleat/internal/controlplane/rollout"
	"mothcleat/internal/dataplane/registry"
	"mothcleat/internal/plans"
)

// ProcessConfig is the configuration of a process of simulated gateways. It is sent to the process
// as one line of JSON.
type ProcessConfig struct {
	Fleet              string             `json:"fleet"`
	Voters             []*controlpb.Voter `json:"voters"`
	Owners             []string           `json:"owners"`
	First              int                `json:"first"` // number of the first gateway
	Count              int                `json:"count"`
	Gateways           int                `json:"gateways"` // of the whole run
	Dir                string             `json:"dir"`
	Seed               uint64             `json:"seed"`
	Tenants            int                `json:"tenants"`
	RequestsPerGateway float64            `json:"requests_per_gateway"`
	Shards             int                `json:"shards"`
	Parts              Parts              `json:"parts"`
	Path               Path               `json:"path"`
}

// Commands to a process of simulated gateways, one per line.
const (
	commandSample = "sample"
	commandStop   = "stop"
)

// Arrival is a change that has reached a gateway: the phase of a server, or a version of the plans
// that is in force.
type Arrival struct {
	Gateway int    `json:"g"`
	Server  string `json:"s,omitempty"`
	Phase   string `json:"p,omitempty"`
	Version uint64 `json:"v,omitempty"`
	At      int64  `json:"at"` // Unix time in nanoseconds
}

// GatewayState is the state of a simulated gateway.
type GatewayState struct {
	Servers int    `json:"servers"`
	Digest  uint64 `json:"digest"`
	// Unix time in nanoseconds when it first had a complete list; 0: not yet.
	CurrentAt  int64  `json:"current"`
	Version    uint64 `json:"version"` // version of the plans in force
	MayOperate bool   `json:"acts"`    // whether it may act on the plans
	Stale      int    `json:"stale"`   // times its state's digest differed from the agreed one
}

// Sample is the cumulative traffic and resource use of a process of simulated gateways, and their
// states. Arrivals are those since the previous sample.
type Sample struct {
	At            int64            `json:"at"`
	Usage         Usage            `json:"usage"`
	HeapBytes     int64            `json:"heap_bytes"`
	Roles         map[Role]Traffic `json:"roles"`
	ConnectionIn  int64            `json:"connection_in"`
	ConnectionOut int64            `json:"connection_out"`
	Gateways      []GatewayState   `json:"gateways"`
	Arrivals      []Arrival        `json:"arrivals"`
	Requests      int64            `json:"requests"`
	Granted       int64            `json:"granted"`
	// Times that a gateway received no list and would have watched the register itself.
	Fallbacks int64 `json:"fallbacks"`
}

// simulatedProcess holds the gateways of one process.
type simulatedProcess struct {
	config    ProcessConfig
	meter     *Meter
	gateways  []*simulatedGateway
	requests  atomic.Int64
	granted   atomic.Int64
	fallbacks atomic.Int64

	mu       sync.Mutex
	arrivals []Arrival
}

// simulatedGateway is one gateway without its request path.
type simulatedGateway struct {
	process *simulatedProcess
	number  int
	node    *controlplane.Node
	tenants []uint64

	mu      sync.Mutex
	servers map[string]uint64 // hashes, by id
	digest  uint64
	current int64
	version uint64
	book    *plans.Catalog
}

// RunSimulatedGateways runs simulated gateways until it reads the stop command, its input ends or
// the context ends. The first line of its input is a ProcessConfig, each further line a command.
func RunSimulatedGateways(ctx context.Context, in io.Reader, out io.Writer) error {
	lines := bufio.NewReader(in)
	first, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("simulated gateways: no configuration: %w", err)
	}
	p := &simulatedProcess{meter: NewMeter()}
	if err := json.Unmarshal(first, &p.config); err != nil {
		return fmt.Errorf("simulated gateways: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer p.close()
	if err := p.start(ctx); err != nil {
		return err
	}
	answers := json.NewEncoder(out)
	for {
		line, err := lines.ReadString('\n')
		if err != nil || line == commandStop+"\n" {
			return nil
		}
		sample, err := p.sample()
		if err != nil {
			return err
		}
		if err := answers.Encode(sample); err != nil {
			return err
		}
	}
}

// start starts all gateways of the process.
func (p *simulatedProcess) start(ctx context.Context) error {
	if err := os.MkdirAll(p.config.Dir, 0o700); err != nil {
		return err
	}
	file, err := os.OpenFile(filepath.Join(p.config.Dir,
		fmt.Sprintf("hollow-%d.log", p.config.First)),
		os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(file, &slog.HandlerOptions{Level: slog.LevelWarn}))
	for i := range p.config.Count {
		g := &simulatedGateway{process: p, number: p.config.First + i, servers: map[string]uint64{}}
		if err := g.start(ctx, log); err != nil {
			return err
		}
		p.gateways = append(p.gateways, g)
	}
	return nil
}

func (p *simulatedProcess) close() {
	var wg sync.WaitGroup
	for _, g := range p.gateways {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.node.Stop()
			g.node.Close()
		}()
	}
	wg.Wait()
}

// recordArrival records a change that has reached a gateway.
func (p *simulatedProcess) recordArrival(a Arrival) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = append(p.arrivals, a)
}

func (p *simulatedProcess) sample() (*Sample, error) {
	usage, err := UsageOf(os.Getpid())
	if err != nil {
		return nil, err
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	s := &Sample{At: time.Now().UnixNano(), Usage: usage, HeapBytes: int64(memory.HeapAlloc),
		Roles:    p.meter.Roles(),
		Requests: p.requests.Load(), Granted: p.granted.Load(), Fallbacks: p.fallbacks.Load()}
	s.ConnectionIn, s.ConnectionOut = p.meter.Connections()
	for _, g := range p.gateways {
		s.Gateways = append(s.Gateways, g.state())
	}
	p.mu.Lock()
	s.Arrivals, p.arrivals = p.arrivals, nil
	p.mu.Unlock()
	return s, nil
}

// simulatedName returns the ID of a simulated gateway.
func simulatedName(number int) string { return fmt.Sprintf("h%d", number) }

const (
	leaseTTL       = time.Second
	leaseOffer     = 500 * time.Millisecond
	clockMargin    = 0.125
	meteringPeriod = 5 * time.Second
	silenceTimeout = time.Second
)

// start starts the gateway, which joins the fleet.
func (g *simulatedGateway) start(ctx context.Context, log *slog.Logger) error {
	c := &g.process.config
	address, err := listenAddress(g.number)
	if err != nil {
		return err
	}
	settings := controlplane.Config{Fleet: c.Fleet, ID: simulatedName(g.number), Listen: address,
		Dir: filepath.Join(c.Dir, simulatedName(g.number)), Voters: c.Voters,
		Candidates: c.Owners, LeaseConfig: lease.Config{TTL: leaseTTL, ClockDriftBound: clockMargin,
			OfferTTL: leaseOffer}, MeteringPeriod: meteringPeriod, SourceTimeout: silenceTimeout,
		Log: log.With("gateway", simulatedName(g.number)), Observer: g.process.meter.Observer()}
	if c.Parts.Metering {
		settings.ExportShards = 1
	}
	if c.Parts.List && c.Path == PathDelta {
		settings.NewSource = g.noDirect
	}
	if c.Parts.Allocation {
		r := allocation.DefaultConfig()
		r.StartFull, r.ClockDrift = true, clockMargin
		settings.Allocation, settings.AllocationShards = &r, c.Shards
	}
	if c.Parts.Configuration {
		r := configversion.DefaultConfig()
		r.ClockDrift = clockMargin
		r.EnrolmentTTL = max(r.EnrolmentTTL, 4*r.TTL)
		settings.Versions, settings.Items = &r, map[string]rollout.Item{
			planconfig.ItemName: planconfig.New(g),
		}
	}
	g.node = controlplane.Start(settings)
	switch {
	case c.Parts.List && c.Path == PathDelta:
		go g.node.EndpointSource().Run(ctx, g.receive)
	case c.Parts.List:
		go g.completeListSource(c.Voters, log).Run(ctx, g.receive)
	}
	g.tenants = tenantsOf(g.number, c.Gateways, c.Tenants)
	if c.Parts.Allocation || c.Parts.Metering {
		if u := g.node.AllocationClient(); u != nil {
			u.OnReply(g.onDemandGranted)
		}
		go g.demand(ctx)
	}
	return nil
}

// Simulated gateways listen on their own hosts in 127.0.0.0/8, where no outgoing connection can
// take a gateway's port before the gateway starts.
const (
	simulatedPort       = 7400
	simulatedHostsFirst = 16 // second byte of the addresses; it has simulatedHosts values
	simulatedHosts      = 32
	hostsOfNetwork      = 250
)

// listenAddress returns a free address for a gateway.
func listenAddress(number int) (string, error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", simulatedHostsFirst+pid%simulatedHosts,
		pid/simulatedHosts%hostsOfNetwork, 1+number%hostsOfNetwork)
	for port := simulatedPort; port < simulatedPort+hostsOfNetwork; port++ {
		l, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", fmt.Errorf("simulated gateway %d: no free port at %s", number, host)
}

// noRegister is a register that sends no updates. If hundreds of simulated gateways queried the
// register themselves, the rig would measure its own stand-in; instead it counts the queries that
// they would have started.
type noRegister struct{}

func (noRegister) Run(ctx context.Context, _ func(registry.Update)) { <-ctx.Done() }
func (noRegister) Follow()                                          {}
func (noRegister) Move(string)                                      {}

// receive applies an update of the list of servers.
func (g *simulatedGateway) receive(n registry.Update) {
	now := time.Now().UnixNano()
	g.mu.Lock()
	defer g.mu.Unlock()
	removed := map[string]bool{}
	if n.Kind == registry.CompleteList {
		for id := range g.servers {
			removed[id] = true
		}
	}
	for i := range n.Members {
		m := &n.Members[i]
		id := shortID(m.ID)
		delete(removed, id)
		g.put(id, m.Phase, m.HostPort, now)
	}
	for id := range removed { // servers that are missing from a complete list
		g.put(id, registry.Gone, "", now)
	}
	if g.current == 0 && n.Kind != registry.Unavailable {
		g.current = now
	}
}

// put applies a server's phase. The caller holds the lock.
func (g *simulatedGateway) put(id, phase, address string, now int64) {
	was, there := g.servers[id]
	hash := uint64(0)
	if phase != registry.Gone {
		hash = serverHash(id, phase, address)
	}
	if hash == was {
		return
	}
	g.digest += hash - was
	if delete(g.servers, id); hash != 0 {
		g.servers[id] = hash
	}
	if g.current != 0 && (there || hash != 0) {
		g.process.recordArrival(Arrival{Gateway: g.number, Server: id, Phase: phase, At: now})
	}
}

// CheckCatalog accepts every version of the plans; see planconfig.Terms.
func (g *simulatedGateway) CheckCatalog(*plans.Catalog) error { return nil }

// UseCatalogs puts a version into force at once, and holds it in memory like a real gateway; see
// planconfig.Terms.
func (g *simulatedGateway) UseCatalogs(
	book *plans.Catalog, _ []*plans.Catalog, order uint64, done func(),
) {
	done()
	number := order / 2
	g.mu.Lock()
	new := number > g.version
	g.book, g.version = book, number
	g.mu.Unlock()
	if new {
		g.process.recordArrival(Arrival{Gateway: g.number, Version: number,
			At: time.Now().UnixNano()})
	}
}

func (g *simulatedGateway) state() GatewayState {
	mayOperate := true
	if a := g.node.RolloutAgent(); a != nil {
		until, _ := a.Current()
		mayOperate = until > 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	stale := 0
	if replica := g.node.DistributionStatus().Replica; replica != nil {
		stale = int(replica.Counts.Divergences)
	}
	return GatewayState{Stale: stale, Servers: len(g.servers), Digest: g.digest,
		CurrentAt: g.current,
		Version:   g.version, MayOperate: mayOperate}
}

// Each tenant uses two to four gateways.
const (
	minTenantSpread   = 2
	tenantSpreadRange = 3
)

const demandInterval = 50 * time.Millisecond
