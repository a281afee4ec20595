package configversion

import (
	"errors"
	"fmt"
	"regexp"
	"time"

	"mothcleat/internal/controlplane/lease"
)

// State is how far the rollout of a version has come.
type State string

// The states of a version. Their values are part of stored data.
const (
	StateRollingOut State = "rolling"
	StatePaused     State = "held"      // its stage stays as it is until an operator's command
	StateComplete   State = "whole"     // it is for all gateways
	StateSuperseded State = "past"      // a later version is complete
	StateWithdrawn  State = "withdrawn" // it was withdrawn, and an earlier one restored
)

// Stage is which gateways operate under a version.
type Stage string

// The stages of a rollout. Their values are part of stored data.
const (
	StageOne   Stage = "one"   // one gateway
	StageTenth Stage = "tenth" // a tenth of the gateways
	StageAll   Stage = "all"
)

// Version is one version of an item. Durations are times of the fleet's clock.
type Version struct {
	Item   string `json:"item"`
	Number uint64 `json:"number"`
	// SHA-256, hexadecimal; "": what each gateway's own configuration has.
	Digest string   `json:"digest"`
	Size   int64    `json:"size"` // bytes
	State  State    `json:"state"`
	Stage  Stage    `json:"stage"`
	Pilots []string `json:"pilots,omitempty"` // ids of the gateways of a stage before StageAll

	CommittedAt    time.Duration `json:"agreed"`
	StageStartedAt time.Duration `json:"staged"`
	EffectiveFrom  time.Duration `json:"from"`
	EndedAt        time.Duration `json:"over"` // when it was withdrawn or superseded; 0: it was not

	// ExpiresAt is from when on no gateway operates under it. 0: that is open. It may be moved to
	// an earlier time.
	ExpiresAt  time.Duration `json:"until"`
	ProposedBy lease.Member  `json:"by"`

	// ProposedWallTime and EndedWallTime are by the clocks of the processes that sent the commands,
	// in microseconds since 1970. They are for operators and audits: nothing is decided by them.
	ProposedWallTime int64 `json:"said,omitempty"`
	EndedWallTime    int64 `json:"ended,omitempty"`

	Why string `json:"why,omitempty"` // it was paused or withdrawn
	// Number of the version that a withdrawal restored by it.
	Restores uint64 `json:"restores,omitempty"`
}

// usableAt reports whether a gateway may still operate under a version.
func (v *Version) usableAt(at time.Duration) bool { return v.ExpiresAt == 0 || at < v.ExpiresAt }

// inRollout reports whether the rollout of a version is under way.
func (v *Version) inRollout() bool { return v.State == StateRollingOut || v.State == StatePaused }

func (v *Version) ref() Ref { return Ref{v.Number, v.Digest, v.Size} }

// Ref names a version and its content.
type Ref struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	Size   int64  `json:"size"` // bytes
}

// Errors of commands, to be told apart by errors.Is.
var (
	ErrUnknownVersion    = errors.New("versions: no such version")
	ErrRolloutInProgress = errors.New("versions: another rollout of the item is under way")
	ErrInvalidCommand    = errors.New("versions: invalid command")
	ErrWrongState        = errors.New("versions: not possible in the version's state")
	ErrOutdated          = errors.New("versions: the item has a newer version")
	ErrTooManyItems      = errors.New("versions: too many items")
)

var (
	itemPattern   = regexp.MustCompile(`^[a-z][a-z0-9-]{0,31}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const (
	// MaxContentSize is how many bytes an item's content may have.
	MaxContentSize = 16 << 20

	maxLead        = 24 * time.Hour // from a version's commitment to when it is effective
	maxReasonBytes = 200
	maxItems       = 64
)

func truncateReason(why string) string { return why[:min(len(why), maxReasonBytes)] }

func unknownVersionError(item string, number uint64) error {
	return fmt.Errorf("%w: %s %d", ErrUnknownVersion, item, number)
}

func wrongStateError(v *Version) error {
	return fmt.Errorf("%w: %s %d is %s", ErrWrongState, v.Item, v.Number, v.State)
}
