package configversion

import (
	"time"

	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/mustjson"
)

// Command is one command, encoded as JSON in the log.
type Command struct {
	// Kind is here, left, report, head, propose, go-on, hold, withdraw, shut or let.
	Kind   string `json:"do"`
	Item   string `json:"item,omitempty"`
	Number uint64 `json:"number,omitempty"` // of a propose: the newest that its sender knows

	EndedIncarnations []uint64 `json:"gone,omitempty"` // of a here: boots of the sender's id that run no more

	Digest string        `json:"digest,omitempty"`
	Size   int64         `json:"size,omitempty"`
	Lead   time.Duration `json:"lead,omitempty"` // it holds so long after it is agreed

	Stage  Stage    `json:"stage,omitempty"`
	Pilots []string `json:"pilots,omitempty"`

	Head *auditlog.Head `json:"head,omitempty"` // where its sender's record stands

	Rejected bool   `json:"refused,omitempty"` // of a report: it can't be acted on here; else it is in force
	ID       string `json:"id,omitempty"`      // of a shut or let
	Why      string `json:"why,omitempty"`

	WallTime int64 `json:"wall,omitempty"` // the sender's clock, in microseconds since 1970

	// Term is the guide's, by whose word a roll-out goes on or is held; 0: a person's.
	Term uint64 `json:"term,omitempty"`
}

// Encode returns the Op as JSON.
func (o Command) Encode() []byte { return mustjson.Marshal(o) }

// Result is the answer to an Op. Why is the reason if it is not OK.
type Result struct {
	OK     bool   `json:"ok"`
	Why    string `json:"why,omitempty"`
	Number uint64 `json:"number,omitempty"` // of a propose or withdraw: the new version's
}
