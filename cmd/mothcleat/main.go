// Command mothcleat is a gateway that keeps each customer of a shared back end
// to its plan. It reads its configuration from the file that RELAY_CONFIG names.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"mothcleat/internal/gateway"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "mothcleat:", err)
		os.Exit(1)
	}
}

func run() error {
	path := os.Getenv("RELAY_CONFIG")
	if path == "" {
		return fmt.Errorf("configuration: RELAY_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	cfg, err := gateway.ParseConfig(raw)
	if err != nil {
		return err
	}
	// One core, and memory well below the limit at which the platform kills.
	// The heap is small: collecting it less often costs little and saves CPU.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 2 / 3)

	stopped, signals := make(chan struct{}), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		close(stopped)
	}()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("gateway", cfg.Name)
	return gateway.Run(cfg, log, stopped)
}
