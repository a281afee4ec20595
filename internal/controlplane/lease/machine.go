package lease

import (
	"encoding/json"
	"errors"
	"time"

	"mothcleat/internal/mustjson"
)

// MachineName is what the agreed state calls the duties.
const MachineName = "duties"

// Op is one command to the agreed table of duties.
type Op struct {
	Action string `json:"do"` // ask, release, hand or wish
	Role   string `json:"duty"`
	Term   uint64 `json:"term,omitempty"` // of an ask: the newest that the asker has heard that it holds
	To     Member `json:"to,omitzero"`    // of a hand: who; of a wish: its id
}

// Result is what becomes of an Op.
type Result struct {
	OK        bool          `json:"ok"`
	Reason    string        `json:"why,omitempty"`
	Lease     Lease         `json:"holding,omitzero"`
	Remaining time.Duration `json:"left,omitempty"` // of another's holding, by the fleet's time
	TTL       time.Duration `json:"span,omitempty"` // see Table.SpanOf
}

// Encode writes an Op.
func (o Op) Encode() []byte { return mustjson.Marshal(o) }

// Machine is a Table as a part of the agreed state.
type Machine struct {
	*Table
	changes uint64
}

// NewMachine is a machine around a new table.
func NewMachine(r Config) *Machine { return &Machine{Table: NewTable(r)} }

// Apply carries an Op out and gives a Result.
func (m *Machine) Apply(at time.Duration, _ uint64, who Member, body []byte) []byte {
	var op Op
	if err := json.Unmarshal(body, &op); err != nil || op.Role == "" {
		return mustjson.Marshal(Result{Reason: "no such command to duties"})
	}
	before := m.Term(op.Role)
	var h Lease
	var err error
	switch op.Action {
	case "ask":
		offered := m.duties[op.Role] != nil && m.duties[op.Role].Unconfirmed
		if h, err = m.Acquire(at, op.Role, who, op.Term); offered && err == nil && !h.Unconfirmed {
			m.changes++ // it was heard of
		}
	case "release":
		err = m.Release(at, op.Role, op.Term, who)
	case "hand":
		err = m.Transfer(at, op.Role, op.Term, who, op.To)
	case "wish":
		if err = m.Table.RequestTransfer(op.Role, op.To.ID); err == nil {
			m.changes++
		}
	default:
		return mustjson.Marshal(Result{Reason: "no such command to duties"})
	}
	if m.Term(op.Role) != before {
		m.changes++
	}
	r := Result{OK: err == nil, Lease: h}
	switch {
	case errors.Is(err, ErrExcluded):
		r.Reason, r.Remaining = err.Error(), h.ExcludedUntil-at
	case err != nil:
		r.Reason, r.Remaining = err.Error(), h.ExpiresAt-at
	case op.Action == "ask":
		r.TTL = m.RemainingTTL(at, &h)
	}
	return mustjson.Marshal(r)
}

// RejectEarly answers an asking for what another holds without an entry.
func (m *Machine) RejectEarly(at time.Duration, who Member, body []byte) ([]byte, bool) {
	var op Op
	if json.Unmarshal(body, &op) != nil || op.Action != "ask" {
		return nil, false
	}
	h, held := m.HeldByOther(at, op.Role, who)
	if !held {
		return nil, false
	}
	return mustjson.Marshal(Result{Reason: ErrHeld.Error(), Lease: h, Remaining: h.ExpiresAt - at}), true
}

// View is what Query gives.
type View struct {
	At      time.Duration `json:"at"`
	Leases  []Lease       `json:"duties"`
	History []Lease       `json:"history,omitempty"`
}

// Query gives a View, with the history of the duty that the body names.
func (m *Machine) Query(at time.Duration, body []byte) []byte {
	v := View{At: at, Leases: m.Leases()}
	if len(body) > 0 {
		v.History = m.History(string(body))
	}
	return mustjson.Marshal(v)
}

// Changes counts the changes of owners, for those who watch.
func (m *Machine) Changes() uint64 { return m.changes }

// Restore reads what Snapshot wrote; those who watch are to look anew.
func (m *Machine) Restore(raw []byte) error {
	m.changes++
	return m.Table.Restore(raw)
}
