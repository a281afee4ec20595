package config

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is written in the file in the form 1s or 250ms.
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as 250ms or 1s", text)
	}
	*d = Duration(v)
	return nil
}
