package distribution

import "time"

// ReplicaSettings configures a Replica.
type ReplicaSettings struct {
	Fleet string
	// ID identifies the replica and stays the same across restarts.
	ID string
	// Incarnation identifies the replica's process.
	Incarnation uint64
	Place       Place

	// ConnectTimeout bounds the time to open a stream.
	ConnectTimeout time.Duration
	// SilenceTimeout is how long a server may be silent before the replica leaves it.
	SilenceTimeout time.Duration
	// RepairSilenceTimeout replaces SilenceTimeout during a repair, because one message may take
	// long on a slow link.
	RepairSilenceTimeout time.Duration
	// ProgressTimeout is how long a Resume or a repair may go without progress.
	ProgressTimeout time.Duration
	// BehindTimeout is how long a server may stay behind the replica before the replica leaves it.
	BehindTimeout time.Duration
	// SourceTimeout is how long a server may go without a command of the source before the replica
	// leaves it for another.
	SourceTimeout time.Duration

	// MinBackoff is the backoff from a server after its first failure. It doubles with each
	// consecutive failure up to MaxBackoff. The actual delay is random, between half of the backoff
	// and the backoff.
	MinBackoff time.Duration
	MaxBackoff time.Duration

	// MaxResumes is how many Resumes a stream may have without progress before the replica leaves
	// the server.
	MaxResumes int
	// MaxRetryDelay is the upper bound of the delay of a RetryLater. The lower bound is MinBackoff.
	MaxRetryDelay time.Duration
	// RetryJitter is the maximum fraction by which the delay of a RetryLater is extended.
	RetryJitter float64
	// ReturnInterval is the average time on another server before the replica returns to its
	// preferred one. The actual time is between half of it and one and a half of it.
	ReturnInterval time.Duration
	// PersistInterval is the minimum time between two writes of the state file. The state is
	// written only if it has changed.
	PersistInterval time.Duration
}

// DefaultReplicaSettings returns settings that match DefaultPublisherSettings.
func DefaultReplicaSettings(fleet, id string) ReplicaSettings {
	return ReplicaSettings{
		Fleet:                fleet,
		ID:                   id,
		ConnectTimeout:       2 * time.Second,
		SilenceTimeout:       2 * time.Second,
		RepairSilenceTimeout: 6 * time.Second,
		ProgressTimeout:      15 * time.Second,
		BehindTimeout:        time.Second,
		SourceTimeout:        4 * time.Second,
		MinBackoff:           100 * time.Millisecond,
		MaxBackoff:           10 * time.Second,
		MaxResumes:           4,
		MaxRetryDelay:        time.Minute,
		RetryJitter:          0.25,
		ReturnInterval:       5 * time.Minute,
		PersistInterval:      30 * time.Second,
	}
}
