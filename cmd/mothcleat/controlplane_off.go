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

// controlPlane has no implementation in a program that was built without the control plane.
type controlPlane interface {
	gateway.Fleet
	Stop()
	Close()
}

var errNoControlPlane = errors.New(
	"fleet.on: this program was built without the control plane (tag nofleet)",
)

func startControlPlane(
	s *config.Settings,
	_ *gateway.Config,
	_ *slog.Logger,
) (controlPlane, error) {
	if s.Fleet.Enabled {
		return nil, errNoControlPlane
	}
	return nil, nil
}

func checkControlPlane(f *config.Fleet, _ io.Writer) error {
	if f.Enabled {
		return errNoControlPlane
	}
	return nil
}

func fleetCommands(*string, io.Writer) *cobra.Command { return nil }
