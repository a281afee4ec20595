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

// fleetPart is this process's part in its fleet.
type fleetPart interface {
	gateway.Fleet
	Stop()  // hands on what it holds
	Close() // ends it
}

// newFleet begins to take part; nil: it is off.
func newFleet(s *config.Settings, cfg *gateway.Config, log *slog.Logger) (fleetPart, error) {
	f := &s.Fleet
	if !f.Enabled {
		return nil, nil
	}
	c := controlplane.Config{
		Fleet:     f.Name,
		ID:        cfg.Name,
		Listen:    f.Listen,
		Address:   f.Address,
		Dir:       f.Dir,
		Voters:    voters(f),
		Addresses: controlrpc.Addresses(f.Addresses),
		LeaseConfig: lease.Config{
			TTL:             time.Duration(f.LeaseTTL),
			ClockDriftBound: f.ClockDriftBound,
			OfferTTL:        time.Duration(f.TransferTimeout),
		},
		TickInterval: time.Duration(f.RaftTick),
		KeepEntries:  uint64(f.RetainedLogEntries),
		Exports:      f.ExportDir,
		Period:       time.Duration(f.MeteringPeriod),
		Log:          log,
		Silent:       time.Duration(f.SourceTimeout),
		Place:        distribution.Place{Zone: f.Zone, Region: f.Region},
		Places:       places(f),
		ChangeLog:    f.ChangeLogEntries,
		Candidates:   f.LeaderCandidates,
	}
	if f.ExportDir != "" {
		c.Shards = f.ExportShards
		if err := os.MkdirAll(f.ExportDir, 0o755); err != nil {
			return nil, fmt.Errorf("fleet.exports: %w", err)
		}
	}
	if direct := cfg.NewEndpointSource; f.SharedWatch && direct != nil {
		// The configuration as it is now: the gateway's own changes later.
		asked := *cfg
		c.Direct = func() (registry.Source, error) { return direct(&asked, log) }
	}
	if b := s.Budgets; b.Enabled {
		r := allocation.DefaultConfig()
		r.TTL, r.ReservedTTL, r.RenewInterval = time.Duration(b.TTL), time.Duration(b.ReservedMinimumTTL), time.Duration(b.RenewInterval)
		r.ReservedFraction, r.PoolFraction, r.ClockDrift, r.StartFull = b.ReservedMinimumFraction, b.OnDemandFraction, f.ClockDriftBound, b.StartFull
		c.Budgets, c.BudgetShards = &r, b.Shards
		if b.RecordFile != "" {
			f, err := os.OpenFile(b.RecordFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
			if err != nil {
				return nil, fmt.Errorf("budgets.record: %w", err)
			}
			c.Rights = f // it ends with the process
		}
	}
	if v := s.Versions; v.Enabled {
		r := configversion.DefaultConfig()
		r.TTL, r.RenewInterval, r.SettleTime, r.StageTimeout, r.ClockDrift = time.Duration(v.LeaseTTL), time.Duration(v.PollInterval), time.Duration(v.StageDuration), time.Duration(v.StageTimeout), f.ClockDriftBound
		r.EnrolmentTTL = max(r.EnrolmentTTL, 4*r.TTL)
		if err := r.Validate(); err != nil {
			return nil, err
		}
		cfg.PlanTerms = gateway.NewPlanTerms(cfg)
		c.Versions, c.Items = &r, map[string]rollout.Item{
			planconfig.ItemName: planconfig.New(cfg.PlanTerms),
		}
	}
	n := controlplane.Start(c)
	if a := n.Permit(); a != nil {
		cfg.VersionLease, cfg.Operations = a, n
	}
	if u := n.Rights(); u != nil {
		cfg.Allocations = u
	}
	if r := n.Register(); r != nil {
		cfg.NewEndpointSource = func(*gateway.Config, *slog.Logger) (registry.Source, error) {
			return r, nil
		}
	}
	return n, nil
}

func voters(f *config.Fleet) (all []*controlpb.Voter) {
	for _, v := range f.Voters {
		all = append(
			all,
			&controlpb.Voter{
				Number:  replica.BootstrapNumber(f.Name, v.Name),
				Name:    v.Name,
				Address: v.Address,
			},
		)
	}
	return all
}

// places are where the voters run, by name.
func places(f *config.Fleet) map[string]distribution.Place {
	all := map[string]distribution.Place{}
	for _, v := range f.Voters {
		all[v.Name] = distribution.Place{Zone: v.Zone, Region: v.Region}
	}
	return all
}

// checkFleet tells what the fleet's folder is.
func checkFleet(f *config.Fleet, out io.Writer) error {
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
