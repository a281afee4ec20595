//go:build nofleet

package main

import (
	"errors"
	"io"
	"log/slog"

	"github.com/spf13/cobra"

	"mothcleat/internal/config"
	"mothcleat/internal/dataplane/gateway"
)

// fleetPart is empty in a program that was built without the fleet's agreed state.
type fleetPart interface {
	gateway.Fleet
	Stop()
	Close()
}

var errNoFleet = errors.New("fleet.on: this program was built without it (tag nofleet)")

func newFleet(s *config.Settings, _ *gateway.Config, _ *slog.Logger) (fleetPart, error) {
	if s.Fleet.Enabled {
		return nil, errNoFleet
	}
	return nil, nil
}

func checkFleet(f *config.Fleet, _ io.Writer) error {
	if f.Enabled {
		return errNoFleet
	}
	return nil
}

func fleetCommands(*string, io.Writer) *cobra.Command { return nil }
