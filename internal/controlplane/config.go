package controlplane

import (
	"io"
	"log/slog"
	"path/filepath"
	"time"

	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/rollout"
	"mothcleat/internal/dataplane/registry"
)

// Config contains the settings of a Node.
type Config struct {
	Fleet   string // name
	ID      string // of this gateway
	Listen  string // address to listen on
	Address string // at which others reach this gateway; "": Listen
	Dir     string // for everything that this gateway stores
	Log     *slog.Logger

	Voters    []*controlpb.Voter            // known initially
	Addresses controlrpc.Addresses          // overrides the addresses of others
	Observer  *controlrpc.Observer          // of all calls; nil: none
	Place     distribution.Place            // where this process runs
	Places    map[string]distribution.Place // where the voters run, by name

	LeaseConfig  lease.Config
	Candidates   []string      // ids of the gateways that may lead roles; empty: all
	TickInterval time.Duration // see replica.Options
	KeepEntries  uint64        // see consensus.Config

	ExportShards   int           // of the usage export; 0: no usage is counted or exported
	ExportDir      string        // for the exported files
	MeteringPeriod time.Duration // covered by one usage record

	// NewSource returns a source that watches the registry directly. If it is set, one gateway
	// watches the registry for all; nil: each gateway watches the registry on its own.
	NewSource func() (registry.Source, error)
	// SourceTimeout is the time without an update after which a gateway watches the registry
	// itself; 0: distributor.DefaultSourceTimeout.
	SourceTimeout time.Duration
	// ChangeLogEntries is the number of changes that a voter keeps for the replicas of the endpoint
	// list; 0: the distribution's default.
	ChangeLogEntries int

	// Allocation configures the division of quotas; nil: quotas are not divided.
	Allocation       *allocation.Config
	AllocationShards int
	AllocationLog    io.Writer // receives a line per renewal of allocations; nil: none

	// Versions configures the roll-out of versions of the configuration, and Items contains the
	// versioned items, by name. If Versions is nil, each gateway uses its own configuration.
	Versions *configversion.Config
	Items    map[string]rollout.Item
}

// LogDir returns the directory of a voter's log, within the directory of its gateway.
func LogDir(dir string) string { return filepath.Join(dir, "log") }

// UseDir returns the directory of a gateway's counted usage, within the gateway's directory.
func UseDir(dir string) string { return filepath.Join(dir, "use") }

// RecordDir returns the directory of a gateway's audit record, within the gateway's directory.
func RecordDir(dir string) string { return filepath.Join(dir, "record") }

// ContentsDir returns the directory of the contents of versions, within the gateway's directory.
func ContentsDir(dir string) string { return filepath.Join(dir, "versions") }
