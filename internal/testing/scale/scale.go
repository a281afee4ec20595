// Package scale is the rig that measures the load of a large fleet on its control plane. It runs
// many simulated gateways per process: the program's own control-plane client code over real gRPC
// on loopback, without the request path. They use five real processes of the program that hold all
// fleet-wide roles. A few real gateways run beside them. The rig fits slopes to series of runs of
// increasing size, and computes the tables of docs/CAPACITY.md from the slopes.
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

// The size of the fleet that the system is designed for.
const (
	DesignGateways          = 620
	DesignServers           = 7300
	DesignServices          = 480
	DesignRequestsPerSecond = 67000
	DesignTenants           = 60000
	DesignControl           = 5
)

// requestsPerGateway is the number of requests per second that one gateway serves at the peak.
const requestsPerGateway = 108

// Role is a part of the control plane whose traffic is counted separately.
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

// Path is the method by which the list of servers is distributed to the gateways.
type Path string

// The paths.
const (
	PathCompleteList Path = "wholelist" // each gateway fetches the whole list at every change
	PathDelta        Path = "delta"     // incremental distribution
)

// Parts selects the roles that are enabled in a run. Sessions, leases and the log are always on.
type Parts struct {
	List          bool `json:"list"`
	Configuration bool `json:"configuration"`
	Allocation    bool `json:"allocation"`
	Metering      bool `json:"metering"`
}

// AllParts enables all roles.
var AllParts = Parts{List: true, Configuration: true, Allocation: true, Metering: true}

// ParseParts parses a comma-separated list of roles; "all" enables every role, "none" no role. It
// returns an error for an unknown word.
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
				"--roles %q: must be one of all, none, list, configuration, allocation, metering",
				word,
			)
		}
	}
	return p, nil
}

// Options are the settings of a run.
type Options struct {
	Seed         uint64        `json:"seed"`
	Gateways     int           `json:"gateways"` // simulated ones
	Servers      int           `json:"servers"`
	Tenants      int           `json:"tenants"`
	Control      int           `json:"control"`
	RealGateways int           `json:"real_gateways"`
	For          time.Duration `json:"for_ns"`
	// Replacements of servers: each is a drain, an addition and a removal.
	ReplacementsPerSecond float64 `json:"replacements_per_second"`
	// Servers that are removed at once in the middle of the run; 0: none.
	RackSize int `json:"rack_size"`
	// Versions of the plans that are proposed in the run.
	Versions int `json:"versions"`
	// Whether a version of the plans is in force everywhere before the run.
	BaseVersion bool `json:"base_version,omitempty"`
	// Faults that are injected one after another, spread over the run.
	Faults             []Fault `json:"faults,omitempty"`
	RequestsPerGateway float64 `json:"requests_per_gateway"`
	Parts              Parts   `json:"parts"`
	Path               Path    `json:"path"`
	// Simulated gateways in one process.
	PerProcess int `json:"per_process"`
	// Tick of the voters' log; 0: the program's.
	Tick time.Duration `json:"tick_ns"`
	// Duration of an owner's lease; 0: the program's.
	Span time.Duration `json:"span_ns"`
	// Path of the gateway's binary; "": it is built.
	Bin string `json:"-"`
	// Command line that runs RunSimulatedGateways.
	Self []string `json:"-"`
	// Folder for the processes' logs; "": they are removed after the run.
	Logs string `json:"-"`
}

const (
	maxProcesses               = 100
	maxGateways                = 2000
	maxServers                 = 50_000
	maxTenants                 = 500_000
	minDuration, maxDuration   = time.Second, 10 * time.Minute
	defaultPerProcess          = 62
	controlProcessBytes        = 300 << 20
	emptyGatewayBytes          = 3 << 20 // of a simulated gateway with an empty state
	completeListBytesPerServer = 1600    // while a list is replaced by the next
	deltaBytesPerServer        = 500     // with incremental distribution
	bytesPerTenant             = 350
	maxMemoryShare             = 0.5
	machineMemoryLine          = "MemTotal:"
	machineMemoryInfoAt        = "/proc/meminfo"
)

// Check fills in defaults, and returns an error for options that can't be run on this machine.
func (o *Options) Check() error {
	if o.PerProcess == 0 {
		o.PerProcess = defaultPerProcess
	}
	if o.RequestsPerGateway == 0 {
		o.RequestsPerGateway = requestsPerGateway
	}
	switch {
	case o.Gateways < 1 || o.Gateways > maxGateways:
		return fmt.Errorf("--gateways %d: must be between 1 and %d", o.Gateways, maxGateways)
	case o.Servers < 1 || o.Servers > maxServers:
		return fmt.Errorf("--servers %d: must be between 1 and %d", o.Servers, maxServers)
	case o.Tenants < 1 || o.Tenants > maxTenants:
		return fmt.Errorf("--tenants %d: must be between 1 and %d", o.Tenants, maxTenants)
	case !slices.Contains([]int{1, 3, 5, 7}, o.Control):
		return fmt.Errorf("--control %d: must be one of 1, 3, 5, 7", o.Control)
	case o.RealGateways < 0 || o.RealGateways > 8:
		return fmt.Errorf("--real-gateways %d: must be between 0 and 8", o.RealGateways)
	case o.For < minDuration || o.For > maxDuration:
		return fmt.Errorf("--for %v: must be between %v and %v", o.For, minDuration, maxDuration)
	case o.Path != PathCompleteList && o.Path != PathDelta:
		return fmt.Errorf("--path %s: must be one of wholelist, delta, both", o.Path)
	case o.ReplacementsPerSecond < 0 || o.ReplacementsPerSecond > 100:
		return fmt.Errorf(
			"--replacements %v: must be between 0 and 100 per second",
			o.ReplacementsPerSecond,
		)
	case o.RackSize < 0 || o.RackSize > o.Servers/2:
		return fmt.Errorf("--rack %d: must be between 0 and half of the servers", o.RackSize)
	case o.Tick < 0 || o.Tick > time.Second || o.Span < 0 || o.Span > time.Minute:
		return fmt.Errorf("--tick %v --span %v: must be at most 1s and 1m", o.Tick, o.Span)
	case len(o.Faults) > 0 && o.For < minInterval*time.Duration(len(o.Faults)+1):
		return fmt.Errorf("--faults: a run with %d faults must last at least %v",
			len(o.Faults), minInterval*time.Duration(len(o.Faults)+1))
	case o.Versions < 0 || o.Versions > 100:
		return fmt.Errorf("--versions %d: must be between 0 and 100", o.Versions)
	}
	if n := o.processes() + o.Control + o.RealGateways; n > maxProcesses {
		return fmt.Errorf("--gateways %d: %d processes, must be at most %d",
			o.Gateways, n, maxProcesses)
	}
	total, err := machineMemory()
	if err != nil {
		return err
	}
	if need := o.memory(); float64(need) > maxMemoryShare*float64(total) {
		return fmt.Errorf(
			"--gateways %d: some %d MB of memory needed for %d servers and %d tenants "+
				"per gateway; at most half of this machine's %d MB may be used",
			o.Gateways,
			need>>20,
			o.Servers,
			o.Tenants,
			total>>20,
		)
	}
	return nil
}

// processes returns the number of processes that the simulated gateways run in.
func (o *Options) processes() int { return (o.Gateways + o.PerProcess - 1) / o.PerProcess }

// memory returns the expected memory use of a run, in bytes.
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

// machineMemory returns the memory of the machine, in bytes.
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
	return 0, errors.New("/proc/meminfo has no MemTotal line")
}
