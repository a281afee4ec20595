package scale

import (
	"encoding/json"
	"runtime"
	"time"
)

// Row is the traffic of one role to and from one gateway.
type Row struct {
	MessagesPerSecond float64 `json:"messages_per_second"`
	BytesInPerSecond  float64 `json:"bytes_in_per_second"`
	BytesOutPerSecond float64 `json:"bytes_out_per_second"`
}

// Process is the resource use of one control process.
type Process struct {
	Name                  string  `json:"name"`
	Leads                 bool    `json:"leads"`
	RolesHeld             int     `json:"duties"`
	Cores                 float64 `json:"cores"` // processor seconds per second
	ResidentMB            float64 `json:"resident_mb"`
	PeakMB                float64 `json:"peak_mb"`
	ReadBytesPerSecond    float64 `json:"read_bytes_per_second"` // connections and files
	WrittenBytesPerSecond float64 `json:"written_bytes_per_second"`
}

// Gateway is the mean resource use of one simulated gateway: that of the processes, divided by the
// number of gateways in them.
type Gateway struct {
	Cores             float64 `json:"cores"`
	ResidentMB        float64 `json:"resident_mb"`
	HeapMB            float64 `json:"heap_mb"`
	BytesInPerSecond  float64 `json:"bytes_in_per_second"` // whole connections
	BytesOutPerSecond float64 `json:"bytes_out_per_second"`
	MessagesPerSecond float64 `json:"messages_per_second"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	GrantedOfRequests float64 `json:"granted_of_requests"`
	// Times that it received no list and would have queried the register itself.
	FallbacksPerMinute float64 `json:"fallbacks_per_minute"`
}

// Delays are quantiles of the time from a change until gateways received it.
type Delays struct {
	Count int     `json:"count"` // gateways times changes
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"most_ms"`
}

// leaderChangesUnknown is the value of OwnerChanges if no control process reported the terms.
const leaderChangesUnknown = -1

// Result is the result of a run.
type Result struct {
	Command      string  `json:"command"`
	Date         string  `json:"date"`
	MachineCores int     `json:"machine_cores"`
	Options      Options `json:"options"`
	Seconds      float64 `json:"seconds"` // length of the measurement
	// Processes of simulated gateways.
	Processes int `json:"hollow_processes"`
	// Time from the simultaneous start of all gateways until all were current; -1: timed out.
	StartupMilliseconds float64 `json:"herd_ms"`
	ServerChanges       int     `json:"server_changes"`
	PlanVersions        int     `json:"plan_versions"`
	InForce             Delays  `json:"in_force"` // delays of changes of servers
	Draining            Delays  `json:"draining"` // the drains among them
	Rack                Delays  `json:"rack"`
	PlansInForce        Delays  `json:"plans_in_force"`
	// Gateways whose final list differed from the register's.
	Diverged int `json:"diverged"`
	// Pairs of a gateway and a change that never reached it and was not superseded.
	LostChanges int `json:"lost_changes"`
	// Pairs of a gateway and a version that was not in force there at the end.
	LostVersions int `json:"lost_versions"`
	// Changes of the list; servers of a rack that are removed at once count as one change.
	ListChanges int `json:"list_changes"`
	// Bytes of the list's role to and from one gateway, per change of the list.
	BytesPerListChange float64 `json:"bytes_per_list_change"`
	// Updates of a state whose digest differs from the agreed one; -1: the path compares none.
	StaleOperations int `json:"stale_operations"`
	// Gateways that had no permit at the end.
	GatewaysNotActing int `json:"gateways_not_acting"`
	// Refused proposals of versions.
	ProposalsRefused int          `json:"proposals_refused"`
	Roles            map[Role]Row `json:"roles"` // traffic of one gateway
	// Ratio of the bytes of whole connections to those of messages.
	ConnectionOverhead float64   `json:"connection_overhead"`
	Gateway            Gateway   `json:"gateway"`
	ControlProcesses   []Process `json:"control_processes"`
	ControlCores       float64   `json:"control_cores"` // sum over the control processes
	// Terms that began during the measurement: owners that failed or handed over.
	OwnerChanges int        `json:"duty_changes"`
	Added        *Added     `json:"added_latency,omitempty"`
	Intervals    []Interval `json:"stretches,omitempty"` // in a run with faults
	Notes        []string   `json:"notes,omitempty"`
}

// Line returns the result as one line of JSON.
func (r *Result) Line() string {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // plain data
	}
	return string(raw)
}

// newResult returns an empty result for these options.
func newResult(o Options) *Result {
	return &Result{Command: "scale", Date: time.Now().UTC().Format(time.DateOnly),
		MachineCores: runtime.NumCPU(), Options: o, Roles: map[Role]Row{},
		StaleOperations: -1}
}
