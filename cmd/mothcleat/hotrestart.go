package main

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/cloudflare/tableflip"

	"mothcleat/internal/dataplane/gateway"
	"mothcleat/internal/dataplane/hotrestart"
	"mothcleat/internal/dataplane/snapshot"
)

// configureRestart sets up what is preserved across processes: the stored snapshot of the
// decisions, and the sockets in a hot restart. If the platform holds the clients' socket, it also
// replaces the processes itself, and handover.on is ignored.
func (p *program) configureRestart(cfg *gateway.Config) error {
	restart := &cfg.Restart
	restart.SnapshotInterval = time.Duration(p.settings.State.SaveInterval)
	restart.MaxSnapshotAge = time.Duration(p.settings.State.MaxAge)
	if path := p.settings.State.File; path != "" {
		store, err := snapshot.Open(path)
		if err != nil {
			return err
		}
		restart.Store = store
	}
	listener, err := inheritedListener(os.Getenv)
	if err != nil {
		return err
	}
	if listener != nil {
		restart.Listen = func(string) (net.Listener, error) { return listener, nil }
		restart.RendezvousPath = hotrestart.SocketPath(os.TempDir(), cfg.Name)
		if p.settings.HotRestart.Enabled {
			p.log.Warn(
				"hand-over: the platform holds the clients' socket " +
					"and replaces processes itself; handover.on is passed over",
			)
		}
		return nil
	}
	if !p.settings.HotRestart.Enabled {
		return nil
	}
	return p.configureUpgrader(&cfg.Restart)
}

// configureUpgrader sets up hot restarts in which this process starts its successor, which inherits
// the sockets.
func (p *program) configureUpgrader(restart *gateway.Restart) (err error) {
	p.upgrader, err = tableflip.New(tableflip.Options{
		PIDFile:        p.settings.HotRestart.PIDFile,
		UpgradeTimeout: time.Duration(p.settings.HotRestart.ReadyTimeout),
	})
	if err != nil {
		return fmt.Errorf("hand-over: %w", err)
	}
	restart.Listen = func(address string) (net.Listener, error) {
		return p.upgrader.Listen("tcp", address)
	}
	restart.ListenPacket = func(address string) (net.PacketConn, error) {
		return p.upgrader.ListenPacket("udp", address)
	}
	restart.Successor = p.upgrader.HasParent()
	restart.StopPredecessor = p.upgrader.Ready
	return nil
}

// serveHotRestarts starts a successor at each signal until one is ready, and then closes
// handedOver. Until then this process continues to serve.
func (p *program) serveHotRestarts(signals <-chan os.Signal, handedOver chan<- struct{}) {
	for range signals {
		if p.upgrader == nil {
			p.log.Warn("hand-over: it is off; set handover.on in the operators' file to enable it")
			continue
		}
		if _, err := p.readConfiguration(); err != nil {
			p.log.Error(
				"hand-over: the new process could not start; this one serves on",
				"error",
				err,
			)
			continue
		}
		p.log.Info("hand-over: starting a new process")
		if err := p.upgrader.Upgrade(); err != nil {
			p.log.Error("hand-over: failed; this process serves on", "error", err)
			continue
		}
		close(handedOver)
		return
	}
}
