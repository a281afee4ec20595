package distribution

import "time"

// ReplicaSettings are how a replica behaves.
type ReplicaSettings struct {
	Fleet       string
	ID          string // of the replica, the same after a restart
	Incarnation uint64 // of its process
	Place       Place

	ConnectTimeout time.Duration // a connection that takes longer is given up
	SilenceTimeout time.Duration // a server that says nothing for so long is left
	// the same while buckets are compared: a slow link takes long for one message
	RepairSilenceTimeout time.Duration
	ProgressTimeout      time.Duration // so long a Resume or a repair may go without progress
	BehindTimeout        time.Duration // so long a server may stay behind the replica
	// a server that heard nothing of the source for so long is left for another
	SourceTimeout time.Duration

	// A server that was left is not tried again for MinBackoff, twice as long after each further
	// failure, MaxBackoff at most. What is waited is between half of that and all of it.
	MinBackoff time.Duration
	MaxBackoff time.Duration

	MaxResumes int // so many on one stream without any progress; then it is left
	// a RetryLater is honoured up to this, and for MinBackoff at least
	MaxRetryDelay time.Duration
	RetryJitter   float64 // a RetryLater is made longer by up to this part
	// about so long on a server that is not its first: then it tries that again
	ReturnInterval  time.Duration
	PersistInterval time.Duration // between two writes of the state file, while there are changes
}

// DefaultReplicaSettings suit DefaultPublisherSettings.
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
