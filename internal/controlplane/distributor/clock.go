package distributor

import (
	"time"

	"mothcleat/internal/monotonic"
)

// clock measures the time since its creation, including the time during which the process is
// stopped or the machine is suspended.
type clock struct{ start time.Duration }

func newClock() clock { return clock{monotonic.Now()} }

func (c clock) now() time.Duration { return monotonic.Now() - c.start }
