package distribution

import "time"

// PublisherSettings configures a Publisher.
type PublisherSettings struct {
	Fleet string
	Log   LogBounds

	MaxStreams int
	// MergeWindow is how long a change that is not urgent is held back to be merged with others.
	MergeWindow       time.Duration
	HeartbeatInterval time.Duration

	// MaxResyncs is the maximum number of concurrent resyncs.
	MaxResyncs int
	// ResyncSlotTimeout is how long a resync counts towards MaxResyncs. It keeps slow readers from
	// blocking others.
	ResyncSlotTimeout time.Duration
	// MinRetryDelay and MaxRetryDelay bound the delay after which a rejected resync is retried.
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration

	// BulkBytesPerSecond limits the rate of all resyncs together.
	BulkBytesPerSecond int
	// BulkBurstBytes is the number of bytes that resyncs may send in one burst.
	BulkBurstBytes int
	// BulkMessageBytes is the approximate size of one message of digests or buckets. A larger
	// bucket is sent in a message of its own. Messages are small, so that a slow reader receives
	// them often enough not to time out.
	BulkMessageBytes int
}

// DefaultPublisherSettings returns settings with which five servers, or any one of them alone,
// serve 620 replicas.
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
