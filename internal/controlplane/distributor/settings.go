package distributor

import (
	"path/filepath"
	"time"

	"mothcleat/internal/controlplane/distribution"
)

const (
	// DefaultSourceTimeout is for how long a process that hears nothing of the source waits where
	// nothing else is said.
	DefaultSourceTimeout = time.Second

	// heartbeats of the source, and on each stream, within the time after which silence counts
	heartbeatsPerSourceTimeout = 4
	minHeartbeatInterval       = 50 * time.Millisecond
)

// heartbeatInterval is the time between two heartbeats, of the source and on each stream.
func heartbeatInterval(silent time.Duration) time.Duration {
	return max(minHeartbeatInterval, silent/heartbeatsPerSourceTimeout)
}

// StatePath is where a process's replica lies in its folder of the fleet.
func StatePath(folder string) string { return filepath.Join(folder, "distribution", "state") }

// NewPublisherSettings are how a voter serves replicas. After a time without news of the source,
// silent, processes look for themselves; logEntries are the changes that are kept for replicas
// which resume, 0: as many as by default.
func NewPublisherSettings(
	fleet string, silent time.Duration, logEntries int,
) distribution.PublisherSettings {
	settings := distribution.DefaultPublisherSettings(fleet)
	settings.HeartbeatInterval = heartbeatInterval(silent)
	if logEntries > 0 {
		settings.Log.Entries = logEntries
	}
	return settings
}

// NewReplicaSettings are how a process's replica behaves. A stream is left when three heartbeats in
// a row did not come: so that another server can be heard within the time after which a process
// looks for itself.
func NewReplicaSettings(
	fleet, id string, incarnation uint64, place distribution.Place, silent time.Duration,
) distribution.ReplicaSettings {
	settings := distribution.DefaultReplicaSettings(fleet, id)
	settings.Incarnation, settings.Place = incarnation, place
	settings.SilenceTimeout = (heartbeatsPerSourceTimeout - 1) * heartbeatInterval(silent)
	settings.ConnectTimeout = settings.SilenceTimeout
	settings.SourceTimeout = 2 * silent
	return settings
}
