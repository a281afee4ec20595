package distributor

import (
	"time"

	"mothcleat/internal/monotonic"
)

// clock counts time since it was made; it goes on while the process is stopped.
type clock struct{ start time.Duration }

func newClock() clock { return clock{monotonic.Now()} }

func (c clock) now() time.Duration { return monotonic.Now() - c.start }
