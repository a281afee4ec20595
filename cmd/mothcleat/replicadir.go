//go:build !nofleet

package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"mothcleat/internal/config"
	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/replica"
)

var errNoOperatorsFile = usageError{errors.New("--operators FILE must be given")}

// bootstrapReplica creates the folder of one of the first voters of a new fleet.
func bootstrapReplica(operatorsFile, name string, out io.Writer) error {
	fleet, dir, err := prepareReplicaDir(operatorsFile)
	if err != nil {
		return err
	}
	isVoter := slices.ContainsFunc(
		fleet.Voters,
		func(v config.Voter) bool { return v.Name == name },
	)
	if !isVoter {
		return fmt.Errorf("%s: fleet.voters does not name %q", operatorsFile, name)
	}
	if err := replica.Bootstrap(dir, fleet.Name, name, voters(fleet)); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: made, of voter %s of %s\n", fleet.Dir, name, fleet.Name)
	return nil
}

// joinReplica creates the folder of a voter that is to be added to a running fleet.
func joinReplica(operatorsFile, name string, out io.Writer) error {
	fleet, dir, err := prepareReplicaDir(operatorsFile)
	if err != nil {
		return err
	}
	if err := replica.Join(dir, fleet.Name, name); err != nil {
		return err
	}
	fmt.Fprintf(
		out,
		"%s: made; start the gateway, and add it with mothcleat fleet voters add\n",
		fleet.Dir,
	)
	return nil
}

// prepareReplicaDir creates the parent of the folder for the replicated log, and returns the
// folder's path.
func prepareReplicaDir(operatorsFile string) (fleet *config.Fleet, dir string, err error) {
	if operatorsFile == "" {
		return nil, "", errNoOperatorsFile
	}
	settings, err := config.Load(operatorsFile)
	if err != nil {
		return nil, "", err
	}
	fleet = &settings.Fleet
	if !fleet.Enabled {
		return nil, "", fmt.Errorf("%s: fleet.on is false", operatorsFile)
	}
	dir = controlplane.LogDir(fleet.Dir)
	return fleet, dir, os.MkdirAll(filepath.Dir(dir), 0o700)
}
