// Package config reads the operators' file: the settings of everything that the platform does not
// offer. Unknown settings and values out of range are rejected. A setting that is left out keeps
// its default, and with the defaults each part is off. The names of settings in the file are older
// than those of the Go fields; the struct tags of this package are the only place that maps them.
package config

// Settings are the complete file. deploy/operators.toml explains each setting.
type Settings struct {
	State      State      `toml:"state"`
	HotRestart HotRestart `toml:"handover"`
	Auth       Auth       `toml:"auth"`
	Registry   Registry   `toml:"register"`
	Record     Record     `toml:"record"`
	Fleet      Fleet      `toml:"fleet"`
	Budgets    Budgets    `toml:"budgets"`
	Versions   Versions   `toml:"versions"`
}

// Versions configures how the fleet agrees on the configuration version that its gateways apply.
type Versions struct {
	Enabled bool `toml:"on"`
	// LeaseTTL is how long a gateway applies a version without hearing from the fleet.
	LeaseTTL     Duration `toml:"span"`
	PollInterval Duration `toml:"every"`
	// StageDuration is how long a stage of a roll-out has to go well before the next one.
	StageDuration Duration `toml:"settle"`
	// StageTimeout is how long a stage may take to be applied before the roll-out is paused.
	StageTimeout Duration `toml:"patience"`
}

// Budgets configures how the fleet divides customers' quotas among its gateways.
type Budgets struct {
	Enabled bool `toml:"on"`
	// Shards is the number of shards of quotas. It must be the same for all gateways.
	Shards int `toml:"shards"`
	// TTL is how long an allocation lasts without renewal.
	TTL Duration `toml:"span"`
	// ReservedMinimumTTL is how long the reserved minimum in an allocation lasts.
	ReservedMinimumTTL Duration `toml:"floor_span"`
	// ReservedMinimumFraction is the part of each quota that is reserved evenly for a customer's
	// gateways.
	ReservedMinimumFraction float64 `toml:"floor"`
	// OnDemandFraction is the part of the rest that is allocated on demand, request by request.
	OnDemandFraction float64  `toml:"reserve"`
	RenewInterval    Duration `toml:"every"`
	// StartFull makes the token buckets of a new fleet start full.
	StartFull bool `toml:"begin_full"`
	// RecordFile gets a line of JSON for each renewal; empty for none.
	RecordFile string `toml:"record"`
}

// Fleet configures the control plane that the gateways form among themselves.
type Fleet struct {
	Enabled bool   `toml:"on"`
	Name    string `toml:"name"`
	Listen  string `toml:"listen"`
	// Address is where others reach this gateway; empty for Listen.
	Address string `toml:"address"`
	// Dir is this gateway's own directory, which outlives the process.
	Dir    string  `toml:"folder"`
	Voters []Voter `toml:"voters"`
	// Addresses replace the addresses that other gateways announce, by name.
	Addresses map[string]string `toml:"addresses"`
	LeaseTTL  Duration          `toml:"span"`
	// ClockDriftBound is by which fraction one gateway's clock may run faster than another's.
	ClockDriftBound float64 `toml:"margin"`
	// TransferTimeout is how long a role that was offered to another gateway waits for it.
	TransferTimeout    Duration `toml:"offer"`
	RaftTick           Duration `toml:"tick"`
	RetainedLogEntries int      `toml:"keep"`
	// ExportDir is the shared directory of exported files; empty if use is not metered.
	ExportDir      string   `toml:"exports"`
	ExportShards   int      `toml:"shards"`
	MeteringPeriod Duration `toml:"period"`
	// SharedWatch lets one gateway watch Consul for all.
	SharedWatch bool `toml:"watch"`
	// SourceTimeout is the time without news of the shared watch after which a gateway watches
	// Consul itself.
	SourceTimeout Duration `toml:"silent"`
	// Zone is where this gateway runs; empty if that matches no voter's.
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
	// ChangeLogEntries is how many changes a voter holds for replicas that resume.
	ChangeLogEntries int `toml:"change_log"`
	// LeaderCandidates are the gateways that may lead roles, by name; empty for all.
	LeaderCandidates []string `toml:"owners"`
}

// Voter is a gateway that votes in the replicated log.
type Voter struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	// Zone is where the voter runs; empty if that matches no gateway's.
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
}

// Record configures what a gateway records for troubleshooting.
type Record struct {
	// RejectionsFile gets a line for each rejected request; empty for none.
	RejectionsFile string `toml:"refusals"`
}

// State configures where a gateway stores what its next process should know.
type State struct {
	// File is the path of the store; empty for none.
	File         string   `toml:"file"`
	SaveInterval Duration `toml:"every"`
	// MaxAge is the age from which a stored state is not used.
	MaxAge Duration `toml:"oldest"`
}

// HotRestart configures how a new process takes over the sockets of the old one.
type HotRestart struct {
	Enabled bool `toml:"on"`
	// PIDFile gets the id of the new process; empty for none.
	PIDFile      string   `toml:"pid_file"`
	ReadyTimeout Duration `toml:"ready_within"`
}

// Auth configures the HTTP service that is asked whether a request may be forwarded. Names of
// classes and plans are those of the platform's configuration.
type Auth struct {
	// URL is the address of the service; empty if the part is off.
	URL     string   `toml:"url"`
	Classes []string `toml:"classes"`
	// Plans are the plans that are asked about; empty for all.
	Plans []string `toml:"plans"`
	// FailOpenClasses are forwarded if no verdict can be had. Others are rejected.
	FailOpenClasses []string `toml:"pass_unknown"`
	// WaitTimeout is how long a request waits for a verdict.
	WaitTimeout        Duration `toml:"budget"`
	CallTimeout        Duration `toml:"timeout"`
	AllowTTL           Duration `toml:"allow_for"`
	MaxAllowTTL        Duration `toml:"allow_most"`
	DenyTTL            Duration `toml:"deny_for"`
	StaleTTL           Duration `toml:"stale_for"`
	MaxConcurrentCalls int      `toml:"most_calls"`
	MaxWaiting         int      `toml:"most_waiting"`
	MaxCacheEntries    int      `toml:"most_kept"`
	// FailureThreshold is the number of failures in a row that opens the circuit breaker.
	FailureThreshold int               `toml:"fails"`
	OpenDuration     Duration          `toml:"open_for"`
	MaxOpenDuration  Duration          `toml:"open_most"`
	Headers          map[string]string `toml:"headers"`
	SecretHeader     string            `toml:"secret_header"`
	SecretFile       string            `toml:"secret_file"`
	TokensFile       string            `toml:"tokens_file"`
	CAFile           string            `toml:"ca_file"`
}

// Registry configures where the list of servers comes from.
type Registry struct {
	// Source is one of Sources. Of two sources the first one takes precedence.
	Source     string   `toml:"source"`
	Agents     []string `toml:"agents"`
	TLS        bool     `toml:"tls"`
	CAFile     string   `toml:"ca_file"`
	TokenFile  string   `toml:"token_file"`
	Service    string   `toml:"service"`
	Datacenter string   `toml:"datacenter"`
	Namespace  string   `toml:"namespace"`
	Filter     string   `toml:"filter"`
	// Consistency is Consul's consistency mode of reads.
	Consistency string `toml:"mode"`
	// WaitTime is how long a blocking query waits.
	WaitTime Duration `toml:"wait"`
	// WatchCatalog follows the catalog in addition to the health view.
	WatchCatalog  bool `toml:"catalogue"`
	WarningServes bool `toml:"warning_serves"`
	// EmptyListGrace is how long the servers are retained if the list becomes empty at once.
	EmptyListGrace Duration `toml:"hold"`
	// IndexResetAnswers is how many answers in a row with an older index show that Consul counts
	// anew.
	IndexResetAnswers int `toml:"reset_after"`
	// MaxClockSkew is by how much the clocks that stamp starts in metadata may be behind.
	MaxClockSkew Duration `toml:"skew"`
}

// Sources are the values of Registry.Source.
var Sources = []string{"platform", "consul", "consul+platform", "platform+consul"}
