// Package configversion decides what the gateways of a fleet are to act on, when one may go on acting on it, and who is behind.
//
// What is acted on is a set of named items. Each version of an item has a number that only grows, a digest, and a time from which it
// holds; all of them are agreed (Machine, a part of the agreed state). A gateway (Holder) asks what it may act on, again and again, and
// each answer is a permit for a span, counted from when it asked. So a gateway that hears nothing stops by itself: nothing has to
// reach it. A version that was withdrawn or followed is acted on by nobody after a time that is agreed with the withdrawal, the
// span and its margin later, whoever was stopped or cut off meanwhile, and earlier where all have said that they went on.
//
// While versions overlap a gateway knows which others may still be acted on, so that it can keep to the tighter of their terms.
//
// A Guide decides when a version goes on from one gateway to a tenth to all. Nothing here does I/O or looks at a clock.
package configversion

import (
	"errors"
	"fmt"
	"regexp"
	"time"

	"mothcleat/internal/controlplane/lease"
)

// MachineName is what the agreed state calls the versions; Duty is the duty of guiding roll-outs.
const (
	MachineName = "versions"
	Role        = "versions"
)

// Config are the same for all gateways of a fleet.
type Config struct {
	TTL           time.Duration // how long a permit lasts, by its holder's clock
	ClockDrift    float64       // by how much one clock may run faster than another
	RenewInterval time.Duration // a gateway asks so often
	// EnrolmentTTL is how long a process counts as one that may hold permits after it last said that it is there, by an entry.
	EnrolmentTTL time.Duration
	// SettleTime is how long a stage has to go well before the next, Patience how long a stage may take to be in force.
	SettleTime, StageTimeout time.Duration
	// ReadmissionDelay is how long a gateway waits before it acts again when it was shut out twice within DampFor, and twice as long each time more.
	ReadmissionDelay, FlapWindow time.Duration
}

// DefaultConfig are rules for gateways whose clocks differ by an eighth at most.
func DefaultConfig() Config {
	return Config{TTL: 10 * time.Second, ClockDrift: 0.125, RenewInterval: 500 * time.Millisecond, EnrolmentTTL: time.Minute,
		SettleTime: time.Second, StageTimeout: 15 * time.Second, ReadmissionDelay: 500 * time.Millisecond, FlapWindow: time.Minute}
}

// Validate tells which rules can't work together: one lost answer must not shut anybody out, nor a late word that a process is there.
func (r Config) Validate() error {
	switch {
	case r.RenewInterval <= 0 || r.TTL < 4*r.RenewInterval:
		return fmt.Errorf("versions: a span of %v for an asking each %v: 4 times as much wanted at least", r.TTL, r.RenewInterval)
	case r.EnrolmentTTL < 4*r.TTL:
		return fmt.Errorf("versions: enrolled for %v with a span of %v: 4 times as much wanted at least", r.EnrolmentTTL, r.TTL)
	case !(r.ClockDrift > 0 && r.ClockDrift < 1):
		return fmt.Errorf("versions: a margin of %v, more than 0 and less than 1 wanted", r.ClockDrift)
	}
	return nil
}

func (r Config) withDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + r.ClockDrift))
}

func (r Config) lessDrift(d time.Duration) time.Duration {
	return max(0, time.Duration(float64(d)/(1+r.ClockDrift)))
}

// State is what has become of a version.
type State string

// The states. A version that was followed by a whole one is Past, whatever it was.
const (
	StateRollingOut State = "rolling"
	StatePaused     State = "held" // its stage stays as it is until somebody says otherwise
	StateComplete   State = "whole"
	StateSuperseded State = "past"
	StateWithdrawn  State = "withdrawn"
)

// Stage is who is to act on a version.
type Stage string

// The stages: one gateway, a tenth of them, all.
const (
	StageOne   Stage = "one"
	StageTenth Stage = "tenth"
	StageAll   Stage = "all"
)

// Version is one version of an item. Times are the fleet's.
type Version struct {
	Item           string        `json:"item"`
	Number         uint64        `json:"number"`
	Digest         string        `json:"digest"` // SHA-256, hexadecimal; "": as each gateway's own configuration has it
	Size           int64         `json:"size"`
	State          State         `json:"state"`
	Stage          Stage         `json:"stage"`
	Pilots         []string      `json:"pilots,omitempty"` // ids, before it is for all
	CommittedAt    time.Duration `json:"agreed"`
	StageStartedAt time.Duration `json:"staged"` // when its stage began
	EffectiveFrom  time.Duration `json:"from"`   // it holds from then on
	EndedAt        time.Duration `json:"over"`   // when it was withdrawn or followed; 0: it was not
	// ExpiresAt is from when on nobody acts on it any more; 0: that is open. It may come earlier than it first said.
	ExpiresAt  time.Duration `json:"until"`
	ProposedBy lease.Member  `json:"by"`
	// ProposedWallTime and Ended are when it was proposed and when it was followed or withdrawn, by the clock of whoever said so, in microseconds since
	// 1970: for people, and to hold against records. Nothing is decided by them.
	ProposedWallTime int64  `json:"said,omitempty"`
	EndedWallTime    int64  `json:"ended,omitempty"`
	Why              string `json:"why,omitempty"` // it was held or withdrawn
	Restores         uint64 `json:"restores,omitempty"`
}

// usableAt tells whether somebody may act on a version.
func (v *Version) usableAt(at time.Duration) bool { return v.ExpiresAt == 0 || at < v.ExpiresAt }

// Ref names what a version holds.
type Ref struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	Size   int64  `json:"size"`
}

// Errors of commands, to be told apart by errors.Is.
var (
	ErrUnknownVersion    = errors.New("versions: no such version")
	ErrRolloutInProgress = errors.New("versions: another roll-out of the item is under way")
	ErrInvalidCommand    = errors.New("versions: not a command to versions")
)

var (
	itemPattern   = regexp.MustCompile(`^[a-z][a-z0-9-]{0,31}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const (
	// MaxContentSize is what an item's content may have.
	MaxContentSize = 16 << 20
	maxLead        = 24 * time.Hour
	maxReasonBytes = 200
	maxItems       = 64
)

func truncateReason(why string) string { return why[:min(len(why), maxReasonBytes)] }

func unknownVersionError(item string, number uint64) error {
	return fmt.Errorf("%w: %s %d", ErrUnknownVersion, item, number)
}
