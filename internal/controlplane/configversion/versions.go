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

// Rules are the same for all gateways of a fleet.
type Rules struct {
	Span   time.Duration // how long a permit lasts, by its holder's clock
	Margin float64       // by how much one clock may run faster than another
	Every  time.Duration // a gateway asks so often
	// Enrol is how long a process counts as one that may hold permits after it last said that it is there, by an entry.
	Enrol time.Duration
	// Settle is how long a stage has to go well before the next, Patience how long a stage may take to be in force.
	Settle, Patience time.Duration
	// Damp is how long a gateway waits before it acts again when it was shut out twice within DampFor, and twice as long each time more.
	Damp, DampFor time.Duration
}

// Defaults are rules for gateways whose clocks differ by an eighth at most.
func Defaults() Rules {
	return Rules{Span: 10 * time.Second, Margin: 0.125, Every: 500 * time.Millisecond, Enrol: time.Minute,
		Settle: time.Second, Patience: 15 * time.Second, Damp: 500 * time.Millisecond, DampFor: time.Minute}
}

// Check tells which rules can't work together: one lost answer must not shut anybody out, nor a late word that a process is there.
func (r Rules) Check() error {
	switch {
	case r.Every <= 0 || r.Span < 4*r.Every:
		return fmt.Errorf("versions: a span of %v for an asking each %v: 4 times as much wanted at least", r.Span, r.Every)
	case r.Enrol < 4*r.Span:
		return fmt.Errorf("versions: enrolled for %v with a span of %v: 4 times as much wanted at least", r.Enrol, r.Span)
	case !(r.Margin > 0 && r.Margin < 1):
		return fmt.Errorf("versions: a margin of %v, more than 0 and less than 1 wanted", r.Margin)
	}
	return nil
}

func (r Rules) withMargin(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + r.Margin))
}

func (r Rules) lessMargin(d time.Duration) time.Duration {
	return max(0, time.Duration(float64(d)/(1+r.Margin)))
}

// State is what has become of a version.
type State string

// The states. A version that was followed by a whole one is Past, whatever it was.
const (
	Rolling   State = "rolling"
	Held      State = "held" // its stage stays as it is until somebody says otherwise
	Whole     State = "whole"
	Past      State = "past"
	Withdrawn State = "withdrawn"
)

// Stage is who is to act on a version.
type Stage string

// The stages: one gateway, a tenth of them, all.
const (
	One   Stage = "one"
	Tenth Stage = "tenth"
	All   Stage = "all"
)

// Version is one version of an item. Times are the fleet's.
type Version struct {
	Item   string        `json:"item"`
	Number uint64        `json:"number"`
	Digest string        `json:"digest"` // SHA-256, hexadecimal; "": as each gateway's own configuration has it
	Size   int64         `json:"size"`
	State  State         `json:"state"`
	Stage  Stage         `json:"stage"`
	Pilots []string      `json:"pilots,omitempty"` // ids, before it is for all
	Agreed time.Duration `json:"agreed"`
	Staged time.Duration `json:"staged"` // when its stage began
	From   time.Duration `json:"from"`   // it holds from then on
	Over   time.Duration `json:"over"`   // when it was withdrawn or followed; 0: it was not
	// Until is from when on nobody acts on it any more; 0: that is open. It may come earlier than it first said.
	Until time.Duration `json:"until"`
	By    lease.Member  `json:"by"`
	// Said and Ended are when it was proposed and when it was followed or withdrawn, by the clock of whoever said so, in microseconds since
	// 1970: for people, and to hold against records. Nothing is decided by them.
	Said     int64  `json:"said,omitempty"`
	Ended    int64  `json:"ended,omitempty"`
	Why      string `json:"why,omitempty"` // it was held or withdrawn
	Restores uint64 `json:"restores,omitempty"`
}

// live tells whether somebody may act on a version.
func (v *Version) live(at time.Duration) bool { return v.Until == 0 || at < v.Until }

// Ref names what a version holds.
type Ref struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	Size   int64  `json:"size"`
}

// Errors of commands, to be told apart by errors.Is.
var (
	ErrUnknown = errors.New("versions: no such version")
	ErrUnder   = errors.New("versions: another roll-out of the item is under way")
	ErrBad     = errors.New("versions: not a command to versions")
)

var (
	itemName = regexp.MustCompile(`^[a-z][a-z0-9-]{0,31}$`)
	digest   = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const (
	// SizeMost is what an item's content may have.
	SizeMost  = 16 << 20
	leadMost  = 24 * time.Hour
	whyMost   = 200
	itemsMost = 64
)

func cut(why string) string { return why[:min(len(why), whyMost)] }

func unknown(item string, number uint64) error {
	return fmt.Errorf("%w: %s %d", ErrUnknown, item, number)
}
