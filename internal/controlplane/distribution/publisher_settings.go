package distribution

import "time"

// PublisherSettings configure a Publisher.
type PublisherSettings struct {
	Fleet string
	Log   LogBounds

	MaxStreams int
	// MergeWindow is how long a change that is not urgent waits to be merged with others.
	MergeWindow       time.Duration
	HeartbeatInterval time.Duration

	// MaxResyncs is how many streams may resync at a time.
	MaxResyncs int
	// ResyncSlotTimeout is how long a resync counts towards MaxResyncs, so that slow readers do not
	// block others.
	ResyncSlotTimeout time.Duration
	// MinRetryDelay and MaxRetryDelay bound the time after which a rejected resync may ask again.
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration

	// BulkBytesPerSecond limits the bytes of all resyncs together.
	BulkBytesPerSecond int
	// BulkBurstBytes is how many bytes resyncs may send at once.
	BulkBurstBytes int
	// BulkMessageBytes is the approximate size of one message of digests or buckets. A larger
	// bucket is sent by itself. Messages are small, so that a slow reader receives one often enough
	// to know that the server is alive.
	BulkMessageBytes int
}

// DefaultPublisherSettings return settings with which five servers, or any one of them, serve 620
// replicas.
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
