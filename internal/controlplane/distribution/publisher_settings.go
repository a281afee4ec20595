package distribution

import "time"

// PublisherSettings are how a server serves its streams.
type PublisherSettings struct {
	Fleet string
	Log   LogBounds

	MaxStreams        int
	MergeWindow       time.Duration // how long a change that is not urgent waits for others
	HeartbeatInterval time.Duration

	// MaxResyncs is how many streams fetch buckets at a time. One counts for ResyncHold at most, so
	// that slow readers don't keep others out; the rest are told to come back, after MinRetry to
	// MaxRetry.
	MaxResyncs        int
	ResyncSlotTimeout time.Duration
	MinRetryDelay     time.Duration
	MaxRetryDelay     time.Duration

	// BulkBytesPerSecond is what all resyncs together may send, BulkBurstBytes what they may send
	// at once.
	BulkBytesPerSecond int
	BulkBurstBytes     int
	// BulkMessageBytes is about what one message of digests or buckets has; a single larger bucket
	// goes by itself. It is small, so that a slow reader is not silent for long.
	BulkMessageBytes int
}

// DefaultPublisherSettings serve 620 replicas from five servers, or from any one of them.
func DefaultPublisherSettings(fleet string) PublisherSettings {
	return PublisherSettings{
		Fleet:              fleet,
		Log:                DefaultLogBounds(),
		MaxStreams:         4096,
		MergeWindow:        50 * time.Millisecond,
		HeartbeatInterval:  500 * time.Millisecond,
		MaxResyncs:         8,
		ResyncSlotTimeout:  5 * time.Second,
		MinRetryDelay:      100 * time.Millisecond,
		MaxRetryDelay:      20 * time.Second,
		BulkBytesPerSecond: 32 << 20,
		BulkBurstBytes:     1 << 20,
		BulkMessageBytes:   4 << 10,
	}
}
