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

// Config is the settings of a Node.
type Config struct {
	Fleet   string // name
	ID      string // of this gateway
	Listen  string // address
	Address string // where others reach it; "": Listen
	Dir     string // for everything that it stores
	Log     *slog.Logger

	Voters    []*controlpb.Voter            // known at first
	Addresses controlrpc.Addresses          // overrides where others are reached from here
	Observer  *controlrpc.Observer          // of all calls; nil: none
	Place     distribution.Place            // where this process runs
	Places    map[string]distribution.Place // where the voters run, by name

	LeaseConfig  lease.Config
	Candidates   []string      // ids of the gateways that may lead roles; empty: all
	TickInterval time.Duration // see replica.Options
	KeepEntries  uint64        // see consensus.Config

	ExportShards   int           // of the export of usage; 0: no usage is counted or exported
	ExportDir      string        // of the exported files
	MeteringPeriod time.Duration // of one record of usage

	// NewSource returns a source that watches the registry itself; nil: each gateway watches the
	// registry on its own.
	NewSource func() (registry.Source, error)
	// SourceTimeout is after what time without an update a gateway watches the registry itself; 0:
	// distributor.DefaultSourceTimeout.
	SourceTimeout time.Duration
	// ChangeLogEntries is how many changes a voter keeps for the replicas of the endpoint list; 0:
	// the distribution's default.
	ChangeLogEntries int

	// Allocation is how quotas are divided; nil: they are not.
	Allocation       *allocation.Config
	AllocationShards int
	AllocationLog    io.Writer // gets a line for each renewal of allocations; nil: none

	// Versions is how versions of the configuration are rolled out, and Items what they consist of,
	// by name; nil: each gateway acts on its own configuration.
	Versions *configversion.Config
	Items    map[string]rollout.Item
}

// LogDir returns the directory of a voter's log, in that of its gateway.
func LogDir(dir string) string { return filepath.Join(dir, "log") }

// UseDir returns the directory of a gateway's counted usage.
func UseDir(dir string) string { return filepath.Join(dir, "use") }

// RecordDir returns the directory of a gateway's audit record.
func RecordDir(dir string) string { return filepath.Join(dir, "record") }

// ContentsDir returns the directory of the contents of versions.
func ContentsDir(dir string) string { return filepath.Join(dir, "versions") }
