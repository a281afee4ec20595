package distribution

import "time"

// ReplicaSettings configure a Replica.
type ReplicaSettings struct {
	Fleet string
	// ID identifies the replica and stays the same over restarts.
	ID string
	// Incarnation identifies the replica's process.
	Incarnation uint64
	Place       Place

	// ConnectTimeout bounds the time to open a stream.
	ConnectTimeout time.Duration
	// SilenceTimeout is how long a server may be silent before it is left.
	SilenceTimeout time.Duration
	// RepairSilenceTimeout replaces SilenceTimeout during a repair, as one message may take long on
	// a slow link.
	RepairSilenceTimeout time.Duration
	// ProgressTimeout is how long a Resume or a repair may go without progress.
	ProgressTimeout time.Duration
	// BehindTimeout is how long a server may stay behind the replica.
	BehindTimeout time.Duration
	// SourceTimeout is how long a server may go without hearing from the source before it is left
	// for another.
	SourceTimeout time.Duration

	// MinBackoff is the backoff from a server after its first failure. It doubles with each further
	// failure up to MaxBackoff. The actual delay is between half of that and all of it.
	MinBackoff time.Duration
	MaxBackoff time.Duration

	// MaxResumes is how many times a stream is resumed without progress before it is left.
	MaxResumes int
	// MaxRetryDelay is the longest delay of a RetryLater that is honoured; the shortest is
	// MinBackoff.
	MaxRetryDelay time.Duration
	// RetryJitter is the fraction by which a RetryLater's delay is extended at most.
	RetryJitter float64
	// ReturnInterval is the average time on another server than the preferred one before that is
	// tried again.
	ReturnInterval time.Duration
	// PersistInterval is the time between two writes of the state file while there are changes.
	PersistInterval time.Duration
}

// DefaultReplicaSettings return settings that match DefaultPublisherSettings.
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
