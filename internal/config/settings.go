// Package config reads the operators' file, which holds the settings that the platform's
// configuration does not have. Unknown settings and values out of range are rejected. An omitted
// setting keeps its default, and with the defaults every optional part is off. The names of
// settings in the file are older than those of the Go fields; the struct tags of this package are
// the only place that maps them.
package config

// Settings is the content of the operators' file. deploy/operators.toml explains each setting.
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
	// LeaseTTL is how long a gateway applies a version without a renewal by the fleet.
	LeaseTTL     Duration `toml:"span"`
	PollInterval Duration `toml:"every"`
	// StageDuration is how long a rollout stage must succeed before the next one starts.
	StageDuration Duration `toml:"settle"`
	// StageTimeout is how long a stage may take to be applied before the rollout is paused.
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
	// ReservedMinimumFraction is the fraction of each quota that is reserved, in equal parts, for
	// the customer's gateways.
	ReservedMinimumFraction float64 `toml:"floor"`
	// OnDemandFraction is the fraction of the remaining quota that is allocated on demand, request
	// by request.
	OnDemandFraction float64  `toml:"reserve"`
	RenewInterval    Duration `toml:"every"`
	// StartFull makes the token buckets of a new fleet start full.
	StartFull bool `toml:"begin_full"`
	// RecordFile is the file to which each renewal is written as a line of JSON; empty for none.
	RecordFile string `toml:"record"`
}

// Fleet configures the control plane that the gateways form among themselves.
type Fleet struct {
	Enabled bool   `toml:"on"`
	Name    string `toml:"name"`
	Listen  string `toml:"listen"`
	// Address is the address at which others reach this gateway; empty for Listen.
	Address string `toml:"address"`
	// Dir is this gateway's own directory, which outlives the process.
	Dir    string  `toml:"folder"`
	Voters []Voter `toml:"voters"`
	// Addresses replace the addresses that other gateways announce, by name.
	Addresses map[string]string `toml:"addresses"`
	LeaseTTL  Duration          `toml:"span"`
	// ClockDriftBound is the fraction by which one gateway's clock may run faster than another's.
	ClockDriftBound float64 `toml:"margin"`
	// TransferTimeout is how long an offered role waits for the other gateway to accept it.
	TransferTimeout    Duration `toml:"offer"`
	RaftTick           Duration `toml:"tick"`
	RetainedLogEntries int      `toml:"keep"`
	// ExportDir is the shared directory of exported files; empty if usage is not metered.
	ExportDir      string   `toml:"exports"`
	ExportShards   int      `toml:"shards"`
	MeteringPeriod Duration `toml:"period"`
	// SharedWatch lets one gateway watch Consul on behalf of all.
	SharedWatch bool `toml:"watch"`
	// SourceTimeout is the time without a message from the shared watch after which a gateway
	// watches Consul itself.
	SourceTimeout Duration `toml:"silent"`
	// Zone is the zone of this gateway; empty if it matches no voter's zone.
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
	// ChangeLogEntries is how many changes a voter retains for replicas that resume.
	ChangeLogEntries int `toml:"change_log"`
	// LeaderCandidates are the gateways that may lead roles, by name; empty for all.
	LeaderCandidates []string `toml:"owners"`
}

// Voter is a gateway that votes in the replicated log.
type Voter struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	// Zone is the zone of the voter; empty if it matches no gateway's zone.
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
}

// Record configures what a gateway records for troubleshooting.
type Record struct {
	// RejectionsFile is the file to which each rejected request is written as a line; empty for
	// none.
	RejectionsFile string `toml:"refusals"`
}

// State configures where a gateway stores the state that its next process restores.
type State struct {
	// File is the path of the store; empty for none.
	File         string   `toml:"file"`
	SaveInterval Duration `toml:"every"`
	// MaxAge is the age above which a stored state is not used.
	MaxAge Duration `toml:"oldest"`
}

// HotRestart configures how a new process takes over the sockets of the old one.
type HotRestart struct {
	Enabled bool `toml:"on"`
	// PIDFile is the file to which the id of the new process is written; empty for none.
	PIDFile      string   `toml:"pid_file"`
	ReadyTimeout Duration `toml:"ready_within"`
}

// Auth configures the HTTP service that decides whether a request may be forwarded. The names of
// classes and plans are those of the platform's configuration.
type Auth struct {
	// URL is the address of the service; empty if the part is off.
	URL     string   `toml:"url"`
	Classes []string `toml:"classes"`
	// Plans are the plans whose requests are checked; empty for all.
	Plans []string `toml:"plans"`
	// FailOpenClasses are the classes whose requests are forwarded if no verdict is available.
	// Requests of other classes are rejected.
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
	// FailureThreshold is the number of consecutive failures that opens the circuit breaker.
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
	// Source is one of Sources. If it names two sources, the first one takes precedence.
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
	// WaitTime is the maximum wait of a blocking query.
	WaitTime Duration `toml:"wait"`
	// WatchCatalog follows the catalog in addition to the health view.
	WatchCatalog  bool `toml:"catalogue"`
	WarningServes bool `toml:"warning_serves"`
	// EmptyListGrace is how long the servers are retained if the list suddenly becomes empty.
	EmptyListGrace Duration `toml:"hold"`
	// IndexResetAnswers is the number of consecutive answers with an older index after which
	// Consul's index counts as reset.
	IndexResetAnswers int `toml:"reset_after"`
	// MaxClockSkew is how far the clocks that write start times into metadata may be behind.
	MaxClockSkew Duration `toml:"skew"`
}

// Sources are the values of Registry.Source.
var Sources = []string{"platform", "consul", "consul+platform", "platform+consul"}
