package config

import "time"

// Defaults returns the settings that apply if there is no file.
func Defaults() Settings {
	return Settings{
		State:      State{SaveInterval: Duration(time.Second), MaxAge: Duration(time.Minute)},
		HotRestart: HotRestart{ReadyTimeout: Duration(10 * time.Second)},
		Auth: Auth{
			Classes:            []string{},
			Plans:              []string{},
			FailOpenClasses:    []string{},
			Headers:            map[string]string{},
			WaitTimeout:        Duration(200 * time.Millisecond),
			CallTimeout:        Duration(2 * time.Second),
			AllowTTL:           Duration(10 * time.Second),
			MaxAllowTTL:        Duration(5 * time.Minute),
			DenyTTL:            Duration(2 * time.Second),
			StaleTTL:           Duration(5 * time.Second),
			MaxConcurrentCalls: 32,
			MaxWaiting:         2000,
			MaxCacheEntries:    10000,
			FailureThreshold:   5,
			OpenDuration:       Duration(time.Second),
			MaxOpenDuration:    Duration(30 * time.Second),
		},
		Registry: Registry{
			Source:            "platform",
			Agents:            []string{"127.0.0.1:8500"},
			Consistency:       "default",
			WaitTime:          Duration(5 * time.Second),
			WatchCatalog:      true,
			EmptyListGrace:    Duration(5 * time.Minute),
			IndexResetAnswers: 3,
			MaxClockSkew:      Duration(5 * time.Second),
		},
		Fleet: Fleet{
			Dir:                "fleet",
			Voters:             []Voter{},
			Addresses:          map[string]string{},
			LeaderCandidates:   []string{},
			LeaseTTL:           Duration(time.Second),
			ClockDriftBound:    0.125,
			TransferTimeout:    Duration(500 * time.Millisecond),
			RaftTick:           Duration(40 * time.Millisecond),
			RetainedLogEntries: 4096,
			ExportShards:       1,
			MeteringPeriod:     Duration(5 * time.Second),
			SourceTimeout:      Duration(time.Second),
			ChangeLogEntries:   100_000,
		},
		Budgets: Budgets{
			Shards:                  1,
			TTL:                     Duration(3 * time.Second),
			ReservedMinimumTTL:      Duration(time.Minute),
			ReservedMinimumFraction: 0.3,
			OnDemandFraction:        0.5,
			RenewInterval:           Duration(200 * time.Millisecond),
		},
		Versions: Versions{
			LeaseTTL:      Duration(10 * time.Second),
			PollInterval:  Duration(500 * time.Millisecond),
			StageDuration: Duration(time.Second),
			StageTimeout:  Duration(15 * time.Second),
		},
	}
}
