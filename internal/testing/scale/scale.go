// Package scale is the rig that measures what a large fleet asks of its control plane: hollow
// gateways (the program's own control-plane client code over real gRPC on loopback, without the
// request path), many to a process, before five real processes of the program that hold all duties,
// with a few real gateways beside them. From ladders of sizes it fits slopes, and from those it
// works out the table of docs/CAPACITY.md.
package scale

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The size that the fleet is designed for.
const (
	DesignGateways          = 620
	DesignServers           = 7300
	DesignServices          = 480
	DesignRequestsPerSecond = 67000
	DesignTenants           = 60000
	DesignControl           = 5
)

// requestsPerGateway is how many requests a second one gateway serves at the peak.
const requestsPerGateway = 108

// Role is a part of the control plane whose traffic is counted by itself.
type Role string

// The roles.
const (
	RoleList          Role = "list of servers"
	RoleConfiguration Role = "configuration"
	RoleAllocation    Role = "quota allocation"
	RoleElection      Role = "leader election and log"
	RoleAudit         Role = "audit"
	RoleMetering      Role = "metering"
	RoleMembership    Role = "probes and gossip"
	RoleOther         Role = "admin"
)

// Path is how the list of servers reaches the gateways.
type Path string

// The paths.
const (
	PathCompleteList Path = "wholelist" // each gateway fetches the whole list at every change
	PathDelta        Path = "delta"     // incremental distribution
)

// Parts are the roles that are switched on in a play. Sessions, leases and the log are always on.
type Parts struct {
	List          bool `json:"list"`
	Configuration bool `json:"configuration"`
	Allocation    bool `json:"allocation"`
	Metering      bool `json:"metering"`
}

// AllParts are all of them.
var AllParts = Parts{List: true, Configuration: true, Allocation: true, Metering: true}

// ParseParts reads a list of roles with commas between them; "all" and "none" are words for every
// one and not any.
func ParseParts(text string) (p Parts, err error) {
	for word := range strings.SplitSeq(text, ",") {
		switch word {
		case "all":
			p = AllParts
		case "none":
		case "list":
			p.List = true
		case "configuration":
			p.Configuration = true
		case "allocation":
			p.Allocation = true
		case "metering":
			p.Metering = true
		default:
			return p, fmt.Errorf(
				"--roles %q: all, none, list, configuration, allocation or metering wanted",
				word,
			)
		}
	}
	return p, nil
}

// Options say what is played.
type Options struct {
	Seed                  uint64        `json:"seed"`
	Gateways              int           `json:"gateways"` // hollow ones
	Servers               int           `json:"servers"`
	Tenants               int           `json:"tenants"`
	Control               int           `json:"control"`
	RealGateways          int           `json:"real_gateways"`
	For                   time.Duration `json:"for_ns"`
	ReplacementsPerSecond float64       `json:"replacements_per_second"` // of servers: each is a drain, an addition and a removal
	RackSize              int           `json:"rack_size"`               // servers that go at once in the middle of the run; 0: none
	Versions              int           `json:"versions"`                // of the plans, proposed in the run
	BaseVersion           bool          `json:"base_version,omitempty"`  // a version of the plans is in force everywhere before the run
	Faults                []Fault       `json:"faults,omitempty"`        // injected one after another, spread over the run
	RequestsPerGateway    float64       `json:"requests_per_gateway"`
	Parts                 Parts         `json:"parts"`
	Path                  Path          `json:"path"`
	PerProcess            int           `json:"per_process"` // hollow gateways in one process
	Tick                  time.Duration `json:"tick_ns"`     // pace of voters; 0: the program's
	Span                  time.Duration `json:"span_ns"`     // of an owner's right; 0: the program's
	Bin                   string        `json:"-"`           // of the gateway; "": it is built
	Self                  []string      `json:"-"`           // the command line that runs RunHollow
	Logs                  string        `json:"-"`           // a folder for the processes' logs; "": they go with the run
}

const (
	maxProcesses               = 100
	maxGateways                = 2000
	maxServers                 = 50_000
	maxTenants                 = 500_000
	minDuration, maxDuration   = time.Second, 10 * time.Minute
	defaultPerProcess          = 62
	controlProcessBytes        = 300 << 20
	emptyGatewayBytes          = 3 << 20 // of a hollow gateway with an empty state
	completeListBytesPerServer = 1600    // of a server in a hollow gateway, while a list is being replaced by the next
	deltaBytesPerServer        = 500     // of a server in one that gets the list by what changed
	bytesPerTenant             = 350
	maxMemoryShare             = 0.5
	machineMemoryLine          = "MemTotal:"
	machineMemoryInfoAt        = "/proc/meminfo"
)

// Check fills in what is not given and tells what can't be played.
func (o *Options) Check() error {
	if o.PerProcess == 0 {
		o.PerProcess = defaultPerProcess
	}
	if o.RequestsPerGateway == 0 {
		o.RequestsPerGateway = requestsPerGateway
	}
	switch {
	case o.Gateways < 1 || o.Gateways > maxGateways:
		return fmt.Errorf("--gateways %d: from 1 to %d wanted", o.Gateways, maxGateways)
	case o.Servers < 1 || o.Servers > maxServers:
		return fmt.Errorf("--servers %d: from 1 to %d wanted", o.Servers, maxServers)
	case o.Tenants < 1 || o.Tenants > maxTenants:
		return fmt.Errorf("--tenants %d: from 1 to %d wanted", o.Tenants, maxTenants)
	case !slices.Contains([]int{1, 3, 5, 7}, o.Control):
		return fmt.Errorf("--control %d: 1, 3, 5 or 7 wanted", o.Control)
	case o.RealGateways < 0 || o.RealGateways > 8:
		return fmt.Errorf("--real-gateways %d: from 0 to 8 wanted", o.RealGateways)
	case o.For < minDuration || o.For > maxDuration:
		return fmt.Errorf("--for %v: from %v to %v wanted", o.For, minDuration, maxDuration)
	case o.Path != PathCompleteList && o.Path != PathDelta:
		return fmt.Errorf("--path %s: wholelist, delta or both wanted", o.Path)
	case o.ReplacementsPerSecond < 0 || o.ReplacementsPerSecond > 100:
		return fmt.Errorf(
			"--replacements %v: from 0 to 100 a second wanted",
			o.ReplacementsPerSecond,
		)
	case o.RackSize < 0 || o.RackSize > o.Servers/2:
		return fmt.Errorf("--rack %d: from 0 to half of the servers wanted", o.RackSize)
	case o.Tick < 0 || o.Tick > time.Second || o.Span < 0 || o.Span > time.Minute:
		return fmt.Errorf("--tick %v --span %v: up to 1s and 1m wanted", o.Tick, o.Span)
	case len(o.Faults) > 0 && o.For < minInterval*time.Duration(len(o.Faults)+1):
		return fmt.Errorf("--faults: %d of them and the time before want a run of %v at least",
			len(o.Faults), minInterval*time.Duration(len(o.Faults)+1))
	case o.Versions < 0 || o.Versions > 100:
		return fmt.Errorf("--versions %d: from 0 to 100 wanted", o.Versions)
	}
	if n := o.processes() + o.Control + o.RealGateways; n > maxProcesses {
		return fmt.Errorf("--gateways %d: %d processes, %d at most", o.Gateways, n, maxProcesses)
	}
	total, err := machineMemory()
	if err != nil {
		return err
	}
	if need := o.memory(); float64(need) > maxMemoryShare*float64(total) {
		return fmt.Errorf(
			"--gateways %d: some %d MB of memory for %d servers and %d tenants each; this machine has %d MB, and half of it may be used",
			o.Gateways,
			need>>20,
			o.Servers,
			o.Tenants,
			total>>20,
		)
	}
	return nil
}

// processes is in how many processes the hollow gateways run.
func (o *Options) processes() int { return (o.Gateways + o.PerProcess - 1) / o.PerProcess }

// memory is how many bytes of memory a play is expected to take.
func (o *Options) memory() int64 {
	each := int64(emptyGatewayBytes)
	if o.Parts.List {
		bytes := int64(completeListBytesPerServer)
		if o.Path == PathDelta {
			bytes = deltaBytesPerServer
		}
		each += int64(o.Servers) * bytes
	}
	if o.Parts.Configuration {
		each += int64(o.Tenants) * bytesPerTenant
	}
	return int64(o.Gateways)*each + int64(o.Control)*controlProcessBytes
}

// machineMemory is how many bytes of memory the machine has.
func machineMemory() (int64, error) {
	raw, err := os.ReadFile(machineMemoryInfoAt)
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		rest, ok := strings.CutPrefix(line, machineMemoryLine)
		if !ok {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		return kilobytes << 10, err
	}
	return 0, errors.New("the machine does not tell how much memory it has")
}
