package distribution

import "time"

// ReplicaSettings are how a replica behaves.
type ReplicaSettings struct {
	Fleet       string
	ID          string // of the replica, the same after a restart
	Incarnation uint64 // of its process
	Place       Place

	ConnectWithin time.Duration // a connection that takes longer is given up
	SilentAfter   time.Duration // a server that says nothing for so long is left
	RepairSilent  time.Duration // the same while buckets are compared: a slow link takes long for one message
	AnswerWithin  time.Duration // so long a Resume or a repair may go without progress
	BehindGrace   time.Duration // so long a server may stay behind the replica
	SourceSilent  time.Duration // a server that heard nothing of the source for so long is left for another

	// A server that was left is not tried again for MinBackoff, twice as long after each further failure, MaxBackoff at
	// most. What is waited is between half of that and all of it.
	MinBackoff time.Duration
	MaxBackoff time.Duration

	MaxResumes   int           // so many on one stream without any progress; then it is left
	MaxRetry     time.Duration // a RetryLater is honoured up to this, and for MinBackoff at least
	RetryJitter  float64       // a RetryLater is made longer by up to this part
	ReturnAfter  time.Duration // about so long on a server that is not its first: then it tries that again
	PersistEvery time.Duration // between two writes of the state file, while there are changes
}

// DefaultReplicaSettings suit DefaultPublisherSettings.
func DefaultReplicaSettings(fleet, id string) ReplicaSettings {
	return ReplicaSettings{
		Fleet: fleet, ID: id,
		ConnectWithin: 2 * time.Second, SilentAfter: 2 * time.Second, RepairSilent: 6 * time.Second,
		AnswerWithin: 15 * time.Second, BehindGrace: time.Second,
		SourceSilent: 4 * time.Second, MinBackoff: 100 * time.Millisecond, MaxBackoff: 10 * time.Second,
		MaxResumes: 4, MaxRetry: time.Minute, RetryJitter: 0.25, ReturnAfter: 5 * time.Minute,
		PersistEvery: 30 * time.Second,
	}
}
