package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"mothcleat/internal/config"
	"mothcleat/internal/dataplane/gateway"
	"mothcleat/internal/dataplane/snapshot"
	"mothcleat/internal/storage/store"
)

// registerTimeout is how long the check waits for the register's answer.
const registerTimeout = 10 * time.Second

var errNothingToCheck = errors.New(
	"check: neither " + configFileVariable + " nor --operators names a file",
)

// check reads both files and checks the stores and the register that they refer to, without
// serving.
func check(operatorsFile string, out io.Writer) error {
	configFile := os.Getenv(configFileVariable)
	if operatorsFile == "" && configFile == "" {
		return errNothingToCheck
	}
	var cfg gateway.Config
	if configFile != "" {
		var err error
		if cfg, err = configuration(); err != nil {
			return err
		}
		fmt.Fprintf(out, "configuration: %s: good for gateway %q, %d backends known\n",
			configFile, cfg.Name, len(cfg.KnownEndpoints.Members))
	}
	if operatorsFile == "" {
		return nil
	}
	settings, err := loadOperatorsFile(operatorsFile)
	if err != nil {
		return err
	}
	if len(cfg.Host.Classes) > 0 { // names can be checked only against a configuration
		if _, err := authSettings(&settings.Auth, &cfg); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "operators: %s: good\n", operatorsFile)
	if err := checkControlPlane(&settings.Fleet, out); err != nil {
		return err
	}
	if err := checkRegister(&settings.Registry, out); err != nil {
		return err
	}
	return checkSnapshot(settings.State.File, out)
}

// checkRegister queries Consul once, if it is a source of the list of servers.
func checkRegister(registry *config.Registry, out io.Writer) error {
	if registry.Source == sourcePlatform {
		return nil
	}
	source, err := newConsulSource(registry, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	instances, err := source.Check(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "register: %d instances of %s\n", instances, registry.Service)
	return nil
}

// checkSnapshot reads the stored snapshot of the gateway's decisions. An unusable snapshot is not
// an error, because the gateway would start without it.
func checkSnapshot(path string, out io.Writer) error {
	if path == "" {
		return nil
	}
	file, err := snapshot.Open(path)
	if err != nil {
		return err
	}
	stored, err := file.Load()
	switch {
	case errors.Is(err, store.ErrLocked):
		fmt.Fprintf(out, "state: %s: kept by a gateway that runs\n", path)
	case errors.Is(err, fs.ErrNotExist):
		fmt.Fprintf(out, "state: %s: none yet\n", path)
	case err != nil:
		fmt.Fprintf(out, "state: would be refused: %v\n", err)
	default:
		age := time.Since(time.UnixMicro(stored.At)).Round(time.Second)
		fmt.Fprintf(
			out,
			"state: %s: %d customers, %v old\n",
			filepath.Base(path),
			len(stored.Customers),
			age,
		)
	}
	return nil
}
