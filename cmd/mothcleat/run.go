package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cloudflare/tableflip"

	"mothcleat/internal/config"
	"mothcleat/internal/dataplane/gateway"
	"mothcleat/internal/dataplane/hotrestart"
	"mothcleat/internal/dataplane/snapshot"
	"mothcleat/internal/storage/store"
)

// program is one process of the gateway.
type program struct {
	path     string // of the operators' file
	settings config.Settings
	log      *slog.Logger
	upgrader *tableflip.Upgrader // nil: hand-over is off
}

// run serves until the gateway is told to stop.
func run(path string) error {
	// Before all else: a signal that comes early must not end the program.
	control := signals()
	handOver := make(chan os.Signal, 1)
	signal.Notify(handOver, syscall.SIGUSR2)

	p := &program{path: path}
	cfg, err := configuration()
	if err != nil {
		return err
	}
	if p.settings, err = settings(path); err != nil {
		return err
	}
	// One core, and memory well below the limit at which the platform kills.
	// The heap is small: collecting it less often costs little and saves CPU.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 2 / 3)

	register(&p.settings.Registry, &cfg)
	if cfg.Auth, err = auth(&p.settings.Auth, &cfg); err != nil {
		return err
	}
	p.log = slog.New(slog.NewTextHandler(os.Stderr, nil)).With("gateway", cfg.Name)
	if err := p.survive(&cfg); err != nil {
		return err
	}
	if path := p.settings.Record.RejectionsFile; path != "" {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return fmt.Errorf("record.refusals: %w", err)
		}
		defer f.Close()
		cfg.RejectionLog = f
	}
	part, err := newFleet(&p.settings, &cfg, p.log)
	if err != nil {
		return err
	}
	if part != nil {
		cfg.Fleet = part
		defer part.Close()
		go func(stop <-chan struct{}) {
			<-stop
			part.Stop()
		}(control.Stop)
	}
	handed := make(chan struct{})
	go p.handOvers(handOver, handed)
	if p.upgrader != nil {
		stop := control.Stop
		go func() {
			<-stop
			p.upgrader.Stop() // a new process half made is ended with this one
		}()
	}
	control.HandedOver, control.ReadConfig = handed, p.read
	return gateway.Run(cfg, p.log, control)
}

// settings reads the operators' file; without one all is off.
func settings(path string) (config.Settings, error) {
	if path == "" {
		return config.Defaults(), nil
	}
	return config.Load(path)
}

// survive has the gateway outlive its process as far as the settings say.
func (p *program) survive(cfg *gateway.Config) error {
	s := &cfg.Restart
	s.SnapshotInterval, s.MaxSnapshotAge = time.Duration(
		p.settings.State.SaveInterval,
	), time.Duration(p.settings.State.MaxAge)
	if path := p.settings.State.File; path != "" {
		keeper, err := snapshot.Open(path)
		if err != nil {
			return err
		}
		s.Store = keeper
	}
	if given, err := inherited(os.Getenv); err != nil {
		return err
	} else if given != nil {
		s.Listen = func(string) (net.Listener, error) { return given, nil }
		s.RendezvousPath = hotrestart.Path(os.TempDir(), cfg.Name)
		if p.settings.HotRestart.Enabled {
			p.log.Warn(
				"hand-over: the platform holds the clients' socket, and replaces processes itself; handover.on is passed over",
			)
		}
		return nil
	}
	if !p.settings.HotRestart.Enabled {
		return nil
	}
	var err error
	p.upgrader, err = tableflip.New(tableflip.Options{
		PIDFile:        p.settings.HotRestart.PIDFile,
		UpgradeTimeout: time.Duration(p.settings.HotRestart.ReadyTimeout),
	})
	if err != nil {
		return fmt.Errorf("hand-over: %w", err)
	}
	s.Listen = func(address string) (net.Listener, error) {
		return p.upgrader.Listen("tcp", address)
	}
	s.ListenPacket = func(address string) (net.PacketConn, error) {
		return p.upgrader.ListenPacket("udp", address)
	}
	s.Successor, s.StopPredecessor = p.upgrader.HasParent(), p.upgrader.Ready
	return nil
}

// handOvers has a new process take over when asked to. One that fails to get
// ready leaves this one as it is.
func (p *program) handOvers(asked <-chan os.Signal, handed chan<- struct{}) {
	for range asked {
		if p.upgrader == nil {
			p.log.Warn("hand-over: it is off; handover.on in the operators' file switches it on")
			continue
		}
		if _, err := p.read(); err != nil {
			p.log.Error("hand-over: the new process could not start; this one serves on",
				"error", err)
			continue
		}
		p.log.Info("hand-over: starting a new process")
		if err := p.upgrader.Upgrade(); err != nil {
			p.log.Error("hand-over: failed; this process serves on", "error", err)
			continue
		}
		close(handed)
		return
	}
}

// read reads both files as they are now.
func (p *program) read() (gateway.Config, error) {
	cfg, err := configuration()
	if err != nil {
		return cfg, err
	}
	now, err := settings(p.path)
	if err != nil {
		return cfg, err
	}
	if fixed := p.settings.RestartRequired(&now); len(fixed) > 0 {
		p.log.Warn("reload: what needs a new process stays as it was", "settings", fixed)
	}
	cfg.Restart.SnapshotInterval = time.Duration(now.State.SaveInterval)
	if now.Registry.Source != p.settings.Registry.Source {
		now.Registry = p.settings.Registry // only a new process follows another kind of register
	}
	register(&now.Registry, &cfg)
	cfg.Auth, err = auth(&now.Auth, &cfg)
	return cfg, err
}

const tryFor = 10 * time.Second // for a register to answer

// check reads the files and tries what they name, without serving.
func check(path string, out io.Writer) error {
	var cfg gateway.Config
	if path == "" && os.Getenv("RELAY_CONFIG") == "" {
		return fmt.Errorf("check: neither RELAY_CONFIG nor --operators names a file")
	}
	if os.Getenv("RELAY_CONFIG") != "" {
		var err error
		if cfg, err = configuration(); err != nil {
			return err
		}
		fmt.Fprintf(out, "configuration: %s: good for gateway %q, %d backends known\n",
			os.Getenv("RELAY_CONFIG"), cfg.Name, len(cfg.KnownEndpoints.Members))
	}
	if path == "" {
		return nil
	}
	s, err := settings(path)
	if err != nil {
		return err
	}
	if len(cfg.Host.Classes) > 0 { // names can be checked against a configuration only
		if _, err := auth(&s.Auth, &cfg); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "operators: %s: good\n", path)
	if err := checkFleet(&s.Fleet, out); err != nil {
		return err
	}
	if s.Registry.Source != "platform" {
		source, err := newConsul(&s.Registry, slog.New(slog.DiscardHandler))
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), tryFor)
		defer cancel()
		n, err := source.Try(ctx)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "register: %d instances of %s\n", n, s.Registry.Service)
	}
	if s.State.File == "" {
		return nil
	}
	keeper, err := snapshot.Open(s.State.File)
	if err != nil {
		return err
	}
	switch kept, err := keeper.Load(); {
	case errors.Is(err, store.ErrLocked):
		fmt.Fprintf(out, "state: %s: kept by a gateway that runs\n", s.State.File)
	case errors.Is(err, fs.ErrNotExist):
		fmt.Fprintf(out, "state: %s: none yet\n", s.State.File)
	case err != nil:
		fmt.Fprintf(out, "state: would be refused: %v\n", err)
	default:
		fmt.Fprintf(out, "state: %s: %d customers, %v old\n", filepath.Base(s.State.File), len(kept.Customers),
			time.Since(time.UnixMicro(kept.At)).Round(time.Second))
	}
	return nil
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
	return gateway.Control{Stop: stopped, Reload: reload, ReadConfig: configuration}
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
