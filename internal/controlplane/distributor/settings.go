package distributor

import (
	"path/filepath"
	"time"

	"mothcleat/internal/controlplane/distribution"
)

const (
	// DefaultSourceTimeout is the default of SourceOptions.SourceTimeout.
	DefaultSourceTimeout = time.Second

	// heartbeatsPerSourceTimeout is the number of heartbeats within the source timeout, both of the
	// source and on each stream.
	heartbeatsPerSourceTimeout = 4
	minHeartbeatInterval       = 50 * time.Millisecond
)

// heartbeatInterval returns the time between two heartbeats of the source, and between two
// heartbeats on a stream.
func heartbeatInterval(sourceTimeout time.Duration) time.Duration {
	return max(minHeartbeatInterval, sourceTimeout/heartbeatsPerSourceTimeout)
}

// StatePath returns the path of a process's state file in its fleet directory.
func StatePath(dir string) string { return filepath.Join(dir, "distribution", "state") }

// NewPublisherSettings returns the settings with which a voter serves replicas. sourceTimeout is
// the SourceOptions.SourceTimeout of the fleet's processes. logEntries is the number of deltas kept
// for replicas that resume; 0 for the default.
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

// NewReplicaSettings returns the settings of a process's replica. The replica leaves a stream on
// which three heartbeats in a row are missing, so that it can receive a heartbeat of another server
// within sourceTimeout.
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
