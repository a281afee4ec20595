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
	// Before all else: a signal that comes early must not end the program.
	control := signals()
	cfg, err := control.Read()
	if err != nil {
		return err
	}
	// One core, and memory well below the limit at which the platform kills.
	// The heap is small: collecting it less often costs little and saves CPU.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 2 / 3)

	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("gateway", cfg.Name)
	return gateway.Run(cfg, log, control)
}

// signals has SIGTERM stop the gateway and SIGHUP reload its configuration.
func signals() gateway.Control {
	stopped, reload := make(chan struct{}), make(chan struct{}, 1)
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		<-stops
		close(stopped)
	}()
	go func() {
		for range reloads {
			reload <- struct{}{}
		}
	}()
	return gateway.Control{Stop: stopped, Reload: reload, Read: configuration}
}

// configuration reads the file that RELAY_CONFIG names.
func configuration() (gateway.Config, error) {
	path := os.Getenv("RELAY_CONFIG")
	if path == "" {
		return gateway.Config{}, fmt.Errorf("configuration: RELAY_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return gateway.Config{}, fmt.Errorf("configuration: %w", err)
	}
	return gateway.ParseConfig(raw)
}
