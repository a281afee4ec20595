package configversion

import (
	"errors"
	"fmt"
	"time"
)

// MachineName is the name of the state machine in the replicated state, and Role that of the
// rollout controller's role. Both are part of stored data.
const (
	MachineName = "versions"
	Role        = "versions"
)

// Config is the same for all gateways of a fleet.
type Config struct {
	TTL           time.Duration // of a version lease, by its holder's clock
	ClockDrift    float64       // by what fraction one clock may run faster than another
	RenewInterval time.Duration // between two lease requests of a gateway

	// EnrolmentTTL is for how long a process counts as a possible holder of leases after it
	// enrolled.
	EnrolmentTTL time.Duration

	SettleTime   time.Duration // for how long a stage has to go well before the next one
	StageTimeout time.Duration // within what time a stage has to be in force

	// ReadmissionDelay is for how long a gateway that was fenced twice within FlapWindow stays
	// fenced after it has leases again. The delay doubles with each further time.
	ReadmissionDelay time.Duration
	FlapWindow       time.Duration
}

// DefaultConfig returns a configuration for gateways whose clocks differ by an eighth at most.
func DefaultConfig() Config {
	return Config{
		TTL:              10 * time.Second,
		ClockDrift:       0.125,
		RenewInterval:    500 * time.Millisecond,
		EnrolmentTTL:     time.Minute,
		SettleTime:       time.Second,
		StageTimeout:     15 * time.Second,
		ReadmissionDelay: 500 * time.Millisecond,
		FlapWindow:       time.Minute,
	}
}

// ErrInvalidConfig is the error of settings that can't work together.
var ErrInvalidConfig = errors.New("versions: invalid configuration")

// Validate returns an error that wraps ErrInvalidConfig if the settings can't work together: one
// lost answer must not fence a gateway, nor may a late enrolment.
func (c Config) Validate() error {
	switch {
	case c.RenewInterval <= 0 || c.TTL < 4*c.RenewInterval:
		return fmt.Errorf("%w: a TTL of %v, at least 4 times the renewal interval of %v wanted",
			ErrInvalidConfig, c.TTL, c.RenewInterval)
	case c.EnrolmentTTL < 4*c.TTL:
		return fmt.Errorf("%w: an enrolment TTL of %v, at least 4 times the TTL of %v wanted",
			ErrInvalidConfig, c.EnrolmentTTL, c.TTL)
	case !(c.ClockDrift > 0 && c.ClockDrift < 1): // the negation holds for NaN too
		return fmt.Errorf("%w: a clock drift of %v, between 0 and 1 wanted", ErrInvalidConfig,
			c.ClockDrift)
	}
	return nil
}

// withDrift returns for how long to wait by one clock so that d has passed by every other one.
func (c Config) withDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + c.ClockDrift))
}

// lessDrift returns how much time may pass by one clock so that no more than d passes by any other
// one.
func (c Config) lessDrift(d time.Duration) time.Duration {
	return max(0, time.Duration(float64(d)/(1+c.ClockDrift)))
}
