//go:build !nofleet

package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"mothcleat/internal/config"
	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/planconfig"
	"mothcleat/internal/controlplane/replica"
	"mothcleat/internal/controlplane/rollout"
	"mothcleat/internal/dataplane/gateway"
	"mothcleat/internal/dataplane/registry"
	"mothcleat/internal/storage/store"
)

// controlPlane is this process's node of the control plane.
type controlPlane interface {
	gateway.Fleet
	Stop()  // transfers leaderships and gives up leases
	Close() // stops the node; no usage may be counted after it
}

// startControlPlane starts this process's node of the control plane and connects the gateway's
// configuration to it. It returns nil if the settings don't enable the fleet.
func startControlPlane(
	settings *config.Settings, cfg *gateway.Config, log *slog.Logger,
) (controlPlane, error) {
	if !settings.Fleet.Enabled {
		return nil, nil
	}
	nodeConfig, err := controlPlaneConfig(&settings.Fleet, cfg, log)
	if err != nil {
		return nil, err
	}
	if err := configureAllocation(
		&settings.Budgets,
		&nodeConfig,
		settings.Fleet.ClockDriftBound,
	); err != nil {
		return nil, err
	}
	if err := configureVersions(
		&settings.Versions,
		&nodeConfig,
		cfg,
		settings.Fleet.ClockDriftBound,
	); err != nil {
		return nil, err
	}
	node := controlplane.Start(nodeConfig)
	if agent := node.RolloutAgent(); agent != nil {
		cfg.VersionLease = agent
		cfg.Operations = node
	}
	if allocations := node.AllocationClient(); allocations != nil {
		cfg.Allocations = allocations
	}
	if source := node.EndpointSource(); source != nil {
		cfg.NewEndpointSource = func(*gateway.Config, *slog.Logger) (registry.Source, error) {
			return source, nil
		}
	}
	return node, nil
}

func controlPlaneConfig(
	fleet *config.Fleet, cfg *gateway.Config, log *slog.Logger,
) (controlplane.Config, error) {
	nodeConfig := controlplane.Config{
		Fleet:     fleet.Name,
		ID:        cfg.Name,
		Listen:    fleet.Listen,
		Address:   fleet.Address,
		Dir:       fleet.Dir,
		Voters:    voters(fleet),
		Addresses: controlrpc.Addresses(fleet.Addresses),
		LeaseConfig: lease.Config{
			TTL:             time.Duration(fleet.LeaseTTL),
			ClockDriftBound: fleet.ClockDriftBound,
			OfferTTL:        time.Duration(fleet.TransferTimeout),
		},
		TickInterval:     time.Duration(fleet.RaftTick),
		KeepEntries:      uint64(fleet.RetainedLogEntries),
		ExportDir:        fleet.ExportDir,
		MeteringPeriod:   time.Duration(fleet.MeteringPeriod),
		Log:              log,
		SourceTimeout:    time.Duration(fleet.SourceTimeout),
		Place:            distribution.Place{Zone: fleet.Zone, Region: fleet.Region},
		Places:           voterPlaces(fleet),
		ChangeLogEntries: fleet.ChangeLogEntries,
		Candidates:       fleet.LeaderCandidates,
	}
	if fleet.ExportDir != "" {
		nodeConfig.ExportShards = fleet.ExportShards
		if err := os.MkdirAll(fleet.ExportDir, 0o755); err != nil {
			return nodeConfig, fmt.Errorf("fleet.exports: %w", err)
		}
	}
	if newSource := cfg.NewEndpointSource; fleet.SharedWatch && newSource != nil {
		// A copy, because the gateway changes its configuration later.
		copied := *cfg
		nodeConfig.NewSource = func() (registry.Source, error) { return newSource(&copied, log) }
	}
	return nodeConfig, nil
}

// configureAllocation sets up the allocation of quotas among the gateways, if the settings enable
// it.
func configureAllocation(
	budgets *config.Budgets,
	nodeConfig *controlplane.Config,
	clockDriftBound float64,
) error {
	if !budgets.Enabled {
		return nil
	}
	rules := allocation.DefaultConfig()
	rules.TTL = time.Duration(budgets.TTL)
	rules.ReservedTTL = time.Duration(budgets.ReservedMinimumTTL)
	rules.RenewInterval = time.Duration(budgets.RenewInterval)
	rules.ReservedFraction = budgets.ReservedMinimumFraction
	rules.PoolFraction = budgets.OnDemandFraction
	rules.ClockDrift = clockDriftBound
	rules.StartFull = budgets.StartFull
	nodeConfig.Allocation = &rules
	nodeConfig.AllocationShards = budgets.Shards
	if budgets.RecordFile == "" {
		return nil
	}
	// The file stays open until the process ends.
	record, err := os.OpenFile(budgets.RecordFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("budgets.record: %w", err)
	}
	nodeConfig.AllocationLog = record
	return nil
}

// configureVersions sets up the rollout of configuration versions under version leases, if the
// settings enable it.
func configureVersions(
	versions *config.Versions,
	nodeConfig *controlplane.Config,
	cfg *gateway.Config,
	clockDriftBound float64,
) error {
	if !versions.Enabled {
		return nil
	}
	rules := configversion.DefaultConfig()
	rules.TTL = time.Duration(versions.LeaseTTL)
	rules.RenewInterval = time.Duration(versions.PollInterval)
	rules.SettleTime = time.Duration(versions.StageDuration)
	rules.StageTimeout = time.Duration(versions.StageTimeout)
	rules.ClockDrift = clockDriftBound
	rules.EnrolmentTTL = max(rules.EnrolmentTTL, 4*rules.TTL)
	if err := rules.Validate(); err != nil {
		return err
	}
	cfg.PlanTerms = gateway.NewPlanTerms(cfg)
	nodeConfig.Versions = &rules
	nodeConfig.Items = map[string]rollout.Item{planconfig.ItemName: planconfig.New(cfg.PlanTerms)}
	return nil
}

func voters(f *config.Fleet) (all []*controlpb.Voter) {
	for _, v := range f.Voters {
		all = append(all, &controlpb.Voter{
			Number:  replica.BootstrapNumber(f.Name, v.Name),
			Name:    v.Name,
			Address: v.Address,
		})
	}
	return all
}

// voterPlaces returns the zones and regions of the voters, by name.
func voterPlaces(f *config.Fleet) map[string]distribution.Place {
	all := map[string]distribution.Place{}
	for _, v := range f.Voters {
		all[v.Name] = distribution.Place{Zone: v.Zone, Region: v.Region}
	}
	return all
}

// checkControlPlane prints the state of the fleet's folder.
func checkControlPlane(f *config.Fleet, out io.Writer) error {
	if !f.Enabled {
		return nil
	}
	folder, err := replica.OpenStorage(controlplane.LogDir(f.Dir), store.Options{ReadOnly: true})
	switch {
	case errors.Is(err, store.ErrLocked):
		fmt.Fprintf(out, "fleet: %s: in use by a gateway that runs\n", f.Dir)
	case errors.Is(err, replica.ErrNotInitialized) || errors.Is(err, os.ErrNotExist):
		fmt.Fprintf(out, "fleet: %s: no voter's folder\n", f.Dir)
	case err != nil:
		return fmt.Errorf("fleet: %w", err)
	default:
		id := folder.Identity()
		fmt.Fprintf(out, "fleet: %s: voter %s of %s, number %016x\n", f.Dir, id.Name,
			id.Fleet, id.Number)
		return folder.Close()
	}
	return nil
}
