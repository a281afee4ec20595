package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"mothcleat/internal/config"
	"mothcleat/internal/dataplane/gateway"
)

// configFileVariable is the environment variable that names the platform's configuration file.
const configFileVariable = "RELAY_CONFIG"

var errNoConfiguration = errors.New("configuration: " + configFileVariable + " is not set")

// configuration reads the platform's configuration file.
func configuration() (gateway.Config, error) {
	path := os.Getenv(configFileVariable)
	if path == "" {
		return gateway.Config{}, errNoConfiguration
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return gateway.Config{}, fmt.Errorf("configuration: %w", err)
	}
	return gateway.ParseConfig(raw)
}

// loadOperatorsFile reads the operators' file. If path is empty, it returns the defaults, with
// which all optional parts are off.
func loadOperatorsFile(path string) (config.Settings, error) {
	if path == "" {
		return config.Defaults(), nil
	}
	return config.Load(path)
}

// readConfiguration reads the current content of both files. Settings that need a new process keep
// their values.
func (p *program) readConfiguration() (gateway.Config, error) {
	cfg, err := configuration()
	if err != nil {
		return cfg, err
	}
	now, err := loadOperatorsFile(p.operatorsFile)
	if err != nil {
		return cfg, err
	}
	if fixed := p.settings.RestartRequired(&now); len(fixed) > 0 {
		p.log.Warn("reload: settings that need a new process keep their values", "settings", fixed)
	}
	cfg.Restart.SnapshotInterval = time.Duration(now.State.SaveInterval)
	if now.Registry.Source != p.settings.Registry.Source {
		now.Registry = p.settings.Registry // a change of the source needs a new process
	}
	configureEndpointSource(&now.Registry, &cfg)
	cfg.Auth, err = authSettings(&now.Auth, &cfg)
	return cfg, err
}
