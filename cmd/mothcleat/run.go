package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/cloudflare/tableflip"

	"mothcleat/internal/config"
	"mothcleat/internal/dataplane/gateway"
)

// gcPercent is above the default of 100 to save CPU: the heap is small, so it may grow more between
// two collections.
const gcPercent = 400

// program is one process of the gateway.
type program struct {
	operatorsFile string
	settings      config.Settings
	log           *slog.Logger
	upgrader      *tableflip.Upgrader // nil if hot restart is off
}

// run serves until the gateway is stopped by a signal or has handed over to a successor.
func run(operatorsFile string) error {
	// The first step, so that an early signal doesn't end the program.
	control := notifySignals()
	hotRestart := make(chan os.Signal, 1)
	signal.Notify(hotRestart, syscall.SIGUSR2)

	p := &program{operatorsFile: operatorsFile}
	cfg, err := configuration()
	if err != nil {
		return err
	}
	if p.settings, err = loadOperatorsFile(operatorsFile); err != nil {
		return err
	}
	limitResources(&cfg)

	configureEndpointSource(&p.settings.Registry, &cfg)
	if cfg.Auth, err = authSettings(&p.settings.Auth, &cfg); err != nil {
		return err
	}
	p.log = slog.New(slog.NewTextHandler(os.Stderr, nil)).With("gateway", cfg.Name)
	if err := p.configureRestart(&cfg); err != nil {
		return err
	}
	if path := p.settings.Record.RejectionsFile; path != "" {
		file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return fmt.Errorf("record.refusals: %w", err)
		}
		defer file.Close()
		cfg.RejectionLog = file
	}
	plane, err := startControlPlane(&p.settings, &cfg, p.log)
	if err != nil {
		return err
	}
	if plane != nil {
		cfg.Fleet = plane
		defer plane.Close()
		go func() {
			<-control.Stop
			plane.Stop()
		}()
	}
	handedOver := make(chan struct{})
	go p.serveHotRestarts(hotRestart, handedOver)
	if p.upgrader != nil {
		go func() {
			<-control.Stop
			p.upgrader.Stop() // also ends a successor that is not ready yet
		}()
	}
	control.HandedOver = handedOver
	control.ReadConfig = p.readConfiguration
	return gateway.Run(cfg, p.log, control)
}

// limitResources limits the process to one core, and its memory to two thirds of the limit at which
// the platform kills it.
func limitResources(cfg *gateway.Config) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 2 / 3)
}
