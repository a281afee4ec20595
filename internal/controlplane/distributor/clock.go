package distributor

import (
	"time"

	"mothcleat/internal/monotonic"
)

// clock counts the time since it was created, including time while the process is suspended.
type clock struct{ start time.Duration }

func newClock() clock { return clock{monotonic.Now()} }

func (c clock) now() time.Duration { return monotonic.Now() - c.start }
