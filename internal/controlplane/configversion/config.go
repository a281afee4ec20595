package configversion

import (
	"errors"
	"fmt"
	"time"
)

// MachineName is the name of the state machine in the replicated state, and Role is the name of the
// rollout controller's role. Both are part of stored data.
const (
	MachineName = "versions"
	Role        = "versions"
)

// Config holds the settings of version leases and rollouts. It must be the same in all gateways of
// a fleet.
type Config struct {
	TTL           time.Duration // of a version lease, by its holder's clock
	ClockDrift    float64       // fraction by which one clock may run faster than another
	RenewInterval time.Duration // between lease requests of a gateway

	// EnrolmentTTL is how long after its enrolment a process counts as a possible holder of
	// leases.
	EnrolmentTTL time.Duration

	SettleTime   time.Duration // how long a stage must run without a problem before the next one
	StageTimeout time.Duration // time within which a stage must be in force

	// ReadmissionDelay is how long a gateway that was fenced twice within FlapWindow stays fenced
	// after it has leases again. The delay doubles each further time.
	ReadmissionDelay time.Duration
	FlapWindow       time.Duration
}

// DefaultConfig returns a configuration for gateways whose clock rates differ by at most an eighth.
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

// ErrInvalidConfig is returned for settings that can't work together.
var ErrInvalidConfig = errors.New("versions: invalid configuration")

// Validate returns an error that wraps ErrInvalidConfig if the settings can't work together:
// neither one lost response nor a late enrolment may fence a gateway.
func (c Config) Validate() error {
	switch {
	case c.RenewInterval <= 0 || c.TTL < 4*c.RenewInterval:
		return fmt.Errorf("%w: TTL %v must be at least 4 times the renewal interval %v",
			ErrInvalidConfig, c.TTL, c.RenewInterval)
	case c.EnrolmentTTL < 4*c.TTL:
		return fmt.Errorf("%w: enrolment TTL %v must be at least 4 times the TTL %v",
			ErrInvalidConfig, c.EnrolmentTTL, c.TTL)
	case !(c.ClockDrift > 0 && c.ClockDrift < 1): // the negation also rejects NaN
		return fmt.Errorf("%w: clock drift %v must be between 0 and 1", ErrInvalidConfig,
			c.ClockDrift)
	}
	return nil
}

// withDrift returns how long to wait by one clock until at least d has passed by every other clock.
func (c Config) withDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + c.ClockDrift))
}

// minusDrift returns how much time may pass by one clock while no more than d passes by any other
// clock.
func (c Config) minusDrift(d time.Duration) time.Duration {
	return max(0, time.Duration(float64(d)/(1+c.ClockDrift)))
}
