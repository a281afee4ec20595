package election

import "time"

// defaultKeepEntries is the default of Options.KeepEntries: few, so that snapshots are common.
const defaultKeepEntries = 24

// Options are the settings of a play.
type Options struct {
	Seed        uint64        `json:"seed"`
	Voters      int           `json:"voters"`
	Members     int           `json:"members"`
	Duration    time.Duration `json:"for"` // in virtual time
	NoFaults    bool          `json:"quiet"`
	KeepEntries uint64        `json:"keep"` // see consensus.Config; 0: 24
}

// Rules that a play checks. Their values are keys of the reports.
const (
	RuleOneLeader     = "two_owners"   // no two members lead the role under one term or at once
	RuleNoLateEffects = "late_effects" // no effect of a leader follows one of a later leader
	RuleNothingLost   = "lost_acked"   // acknowledged commands are never lost
	RuleAppliedOnce   = "doubled"      // a command is applied once
	RuleNoStaleRead   = "stale_read"   // a read sees all that was acknowledged before it
	RuleVotersAgree   = "diverged"     // all voters apply the same entries
	RuleNoPanic       = "panic"
)

// Breach is a rule that was broken.
type Breach struct {
	Rule   string `json:"what"`
	Detail string `json:"how"`
	At     string `json:"at"` // virtual time
}

// Result is the result of a play.
type Result struct {
	Breach         *Breach        `json:"breach,omitempty"`
	Events         int            `json:"events"`
	Acknowledged   int            `json:"acked"`    // commands
	Effects        int            `json:"effects"`  // of the role's leaders
	Terms          uint64         `json:"terms"`    // of the role
	Leaders        int            `json:"leaders"`  // terms of the log that had a leader
	Faults         map[string]int `json:"faults"`   // by kind
	Messages       int            `json:"messages"` // between voters
	Bytes          int            `json:"bytes"`    // of these messages, approximately
	LongestVacancy time.Duration  `json:"free"`     // longest time without a leader of the role
}
