package config

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is written in the file as 1s or 250ms.
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no length of time such as 250ms or 1s", text)
	}
	*d = Duration(v)
	return nil
}
