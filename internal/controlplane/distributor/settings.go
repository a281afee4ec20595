package distributor

import (
	"path/filepath"
	"time"

	"mothcleat/internal/controlplane/distribution"
)

const (
	// DefaultSourceTimeout is the default time after which a process that hears nothing of the
	// source watches the registry itself.
	DefaultSourceTimeout = time.Second

	// heartbeatsPerSourceTimeout is the number of heartbeats, of the source and on each stream,
	// within the source timeout.
	heartbeatsPerSourceTimeout = 4
	minHeartbeatInterval       = 50 * time.Millisecond
)

// heartbeatInterval returns the time between two heartbeats, of the source and on each stream.
func heartbeatInterval(sourceTimeout time.Duration) time.Duration {
	return max(minHeartbeatInterval, sourceTimeout/heartbeatsPerSourceTimeout)
}

// StatePath returns the path of a process's state file in its fleet directory.
func StatePath(folder string) string { return filepath.Join(folder, "distribution", "state") }

// NewPublisherSettings returns the settings with which a voter serves replicas. Processes watch the
// registry themselves after sourceTimeout without news of the source. logEntries is the number of
// deltas kept for replicas that resume; 0 for the default.
func NewPublisherSettings(
	fleet string, sourceTimeout time.Duration, logEntries int,
) distribution.PublisherSettings {
	settings := distribution.DefaultPublisherSettings(fleet)
	settings.HeartbeatInterval = heartbeatInterval(sourceTimeout)
	if logEntries > 0 {
		settings.Log.Entries = logEntries
	}
	return settings
}

// NewReplicaSettings returns the settings of a process's replica. A stream is left when three
// heartbeats in a row are missing, so that another server can be heard within sourceTimeout.
func NewReplicaSettings(
	fleet, id string, incarnation uint64, place distribution.Place, sourceTimeout time.Duration,
) distribution.ReplicaSettings {
	settings := distribution.DefaultReplicaSettings(fleet, id)
	settings.Incarnation, settings.Place = incarnation, place
	settings.SilenceTimeout = (heartbeatsPerSourceTimeout - 1) * heartbeatInterval(sourceTimeout)
	settings.ConnectTimeout = settings.SilenceTimeout
	settings.SourceTimeout = 2 * sourceTimeout
	return settings
}
