package main

import (
	"os"
	"os/signal"
	"syscall"

	"mothcleat/internal/dataplane/gateway"
)

// notifySignals returns a Control through which SIGTERM and SIGINT stop the gateway, and SIGHUP
// reloads its configuration.
func notifySignals() gateway.Control {
	stopped := make(chan struct{})
	stopSignals := make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopSignals
		close(stopped)
	}()

	reload := make(chan struct{}, 1)
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	go func() {
		for range reloadSignals {
			reload <- struct{}{}
		}
	}()
	return gateway.Control{Stop: stopped, Reload: reload, ReadConfig: configuration}
}
