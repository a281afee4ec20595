package configversion

import (
	"time"

	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/mustjson"
)

// CommandKind is what a Command does.
type CommandKind string

// The kinds of commands. Their values are part of stored data, and the last five are the operators'
// words for them.
const (
	KindEnrol      CommandKind = "here"   // the sender may hold leases
	KindLeave      CommandKind = "left"   // the sender holds no leases any more
	KindReport     CommandKind = "report" // a version is in force at the sender, or rejected by it
	KindReportHead CommandKind = "head"   // the head of the sender's audit log
	KindPropose    CommandKind = "propose"
	KindAdvance    CommandKind = "go-on" // moves a rollout to a stage
	KindPause      CommandKind = "hold"
	KindWithdraw   CommandKind = "withdraw"
	KindFence      CommandKind = "shut"
	KindReadmit    CommandKind = "let"
)

// Command is one command of the log, encoded as JSON.
type Command struct {
	Kind CommandKind `json:"do"`

	// Item and Number name a version. The number of a proposal is the newest that its sender knows.
	Item   string `json:"item,omitempty"`
	Number uint64 `json:"number,omitempty"`

	// EndedIncarnations, of an enrolment, are incarnations of the sender's id that have ended.
	EndedIncarnations []uint64 `json:"gone,omitempty"`

	// Of a proposal.
	Digest string `json:"digest,omitempty"`
	Size   int64  `json:"size,omitempty"` // bytes
	// From the commitment to when the version is effective.
	Lead time.Duration `json:"lead,omitempty"`

	// Of a proposal or an advance.
	Stage  Stage    `json:"stage,omitempty"`
	Pilots []string `json:"pilots,omitempty"`

	Head *auditlog.Head `json:"head,omitempty"` // of a reported head

	Rejected bool   `json:"refused,omitempty"` // of a report: the sender can't apply the version
	ID       string `json:"id,omitempty"`      // of a fence or readmission: the gateway's
	Why      string `json:"why,omitempty"`

	WallTime int64 `json:"wall,omitempty"` // the sender's clock, in microseconds since 1970

	// Term is that of the rollout controller that sent the command; 0: an operator did.
	Term uint64 `json:"term,omitempty"`
}

// Encode returns the command as JSON.
func (c Command) Encode() []byte { return mustjson.Marshal(c) }

// Result is the response to a Command.
type Result struct {
	OK     bool   `json:"ok"`
	Why    string `json:"why,omitempty"`    // error text where it is not OK
	Number uint64 `json:"number,omitempty"` // of a proposal or withdrawal: the new version's
}
