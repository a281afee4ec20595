package distributor

import (
	"time"

	"mothcleat/internal/steady"
)

// clock counts time since it was made; it goes on while the process is stopped.
type clock struct{ start time.Duration }

func newClock() clock { return clock{steady.Now()} }

func (c clock) now() time.Duration { return steady.Now() - c.start }
