package configversion

import (
	"errors"
	"fmt"
	"regexp"
	"time"

	"mothcleat/internal/controlplane/lease"
)

// State is the progress of the rollout of a version.
type State string

// The states of a version. Their values are part of stored data.
const (
	StateRollingOut State = "rolling"
	StatePaused     State = "held"      // its stage does not change until an operator's command
	StateComplete   State = "whole"     // for all gateways
	StateSuperseded State = "past"      // a later version is complete
	StateWithdrawn  State = "withdrawn" // it was withdrawn, and an earlier one restored
)

// Stage determines which gateways operate under a version.
type Stage string

// The stages of a rollout. Their values are part of stored data.
const (
	StageOne   Stage = "one"   // one gateway
	StageTenth Stage = "tenth" // a tenth of the gateways
	StageAll   Stage = "all"
)

// Version is one version of an item. Values of type time.Duration are times of the fleet's clock.
type Version struct {
	Item   string `json:"item"`
	Number uint64 `json:"number"`
	// Digest is a hexadecimal SHA-256; "" stands for each gateway's own configuration.
	Digest string   `json:"digest"`
	Size   int64    `json:"size"` // bytes
	State  State    `json:"state"`
	Stage  Stage    `json:"stage"`
	Pilots []string `json:"pilots,omitempty"` // ids of the gateways of a stage before StageAll

	CommittedAt    time.Duration `json:"agreed"`
	StageStartedAt time.Duration `json:"staged"`
	EffectiveFrom  time.Duration `json:"from"`
	EndedAt        time.Duration `json:"over"` // when withdrawn or superseded; 0 if neither

	// ExpiresAt is the time from which on no gateway operates under the version; 0 if that is open.
	// It may be moved to an earlier time.
	ExpiresAt  time.Duration `json:"until"`
	ProposedBy lease.Member  `json:"by"`

	// ProposedWallTime and EndedWallTime are by the clocks of the processes that sent the commands,
	// in microseconds since 1970. They are for operators and audits only: no decision uses them.
	ProposedWallTime int64 `json:"said,omitempty"`
	EndedWallTime    int64 `json:"ended,omitempty"`

	Why string `json:"why,omitempty"` // why it was paused or withdrawn
	// Restores is the number of the earlier version whose content a withdrawal restored as this
	// one.
	Restores uint64 `json:"restores,omitempty"`
}

// usableAt reports whether a gateway may still operate under a version.
func (v *Version) usableAt(at time.Duration) bool { return v.ExpiresAt == 0 || at < v.ExpiresAt }

// inRollout reports whether the rollout of a version is in progress or paused.
func (v *Version) inRollout() bool { return v.State == StateRollingOut || v.State == StatePaused }

func (v *Version) ref() Ref { return Ref{v.Number, v.Digest, v.Size} }

// Ref identifies a version and its content.
type Ref struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	Size   int64  `json:"size"` // bytes
}

// Errors of commands. Use errors.Is to distinguish them.
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
	// MaxContentSize is the largest size of an item's content, in bytes.
	MaxContentSize = 16 << 20

	maxLead        = 24 * time.Hour // from the commitment of a version until it is effective
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
