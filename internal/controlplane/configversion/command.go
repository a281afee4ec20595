package configversion

import (
	"time"

	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/mustjson"
)

// CommandKind is the operation that a Command requests.
type CommandKind string

// The kinds of commands. Their values are part of stored data. The last five values are also the
// names of the operators' commands.
const (
	KindEnrol      CommandKind = "here"   // the sender may hold leases
	KindLeave      CommandKind = "left"   // the sender no longer holds leases
	KindReport     CommandKind = "report" // the sender has a version in force, or rejects it
	KindReportHead CommandKind = "head"   // the head of the sender's audit log
	KindPropose    CommandKind = "propose"
	KindAdvance    CommandKind = "go-on" // moves a rollout to a stage
	KindPause      CommandKind = "hold"
	KindWithdraw   CommandKind = "withdraw"
	KindFence      CommandKind = "shut"
	KindReadmit    CommandKind = "let"
)

// Command is one command of the replicated log, encoded as JSON.
type Command struct {
	Kind CommandKind `json:"do"`

	// Item and Number name a version. In a proposal, Number is the newest version that the sender
	// knows.
	Item   string `json:"item,omitempty"`
	Number uint64 `json:"number,omitempty"`

	// EndedIncarnations lists, in an enrolment, the incarnations of the sender's id that have
	// ended.
	EndedIncarnations []uint64 `json:"gone,omitempty"`

	// Digest, Size and Lead belong to a proposal.
	Digest string `json:"digest,omitempty"`
	Size   int64  `json:"size,omitempty"` // bytes
	// Lead is the time from the commitment until the version is effective.
	Lead time.Duration `json:"lead,omitempty"`

	// Stage and Pilots belong to a proposal or an advance.
	Stage  Stage    `json:"stage,omitempty"`
	Pilots []string `json:"pilots,omitempty"`

	Head *auditlog.Head `json:"head,omitempty"` // in a KindReportHead command

	Rejected bool   `json:"refused,omitempty"` // in a report: the sender can't apply the version
	ID       string `json:"id,omitempty"`      // id of the gateway to fence or readmit
	Why      string `json:"why,omitempty"`

	WallTime int64 `json:"wall,omitempty"` // the sender's clock, in microseconds since 1970

	// Term is the term of the rollout controller that sent the command, 0 for an operator.
	Term uint64 `json:"term,omitempty"`
}

// Encode returns the command as JSON.
func (c Command) Encode() []byte { return mustjson.Marshal(c) }

// Result is the response to a Command.
type Result struct {
	OK     bool   `json:"ok"`
	Why    string `json:"why,omitempty"`    // error text if OK is false
	Number uint64 `json:"number,omitempty"` // of the version that a proposal or withdrawal created
}
