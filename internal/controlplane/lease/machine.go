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
	Do   string `json:"do"` // ask, release, hand or wish
	Role string `json:"duty"`
	Term uint64 `json:"term,omitempty"` // of an ask: the newest that the asker has heard that it holds
	To   Member `json:"to,omitzero"`    // of a hand: who; of a wish: its id
}

// Result is what becomes of an Op.
type Result struct {
	OK      bool          `json:"ok"`
	Why     string        `json:"why,omitempty"`
	Holding Holding       `json:"holding,omitzero"`
	Left    time.Duration `json:"left,omitempty"` // of another's holding, by the fleet's time
	Span    time.Duration `json:"span,omitempty"` // see Table.SpanOf
}

// Encode writes an Op.
func (o Op) Encode() []byte { return mustjson.Marshal(o) }

// Machine is a Table as a part of the agreed state.
type Machine struct {
	*Table
	changes uint64
}

// NewMachine is a machine around a new table.
func NewMachine(r Rules) *Machine { return &Machine{Table: NewTable(r)} }

// Apply carries an Op out and gives a Result.
func (m *Machine) Apply(at time.Duration, _ uint64, who Member, body []byte) []byte {
	var op Op
	if err := json.Unmarshal(body, &op); err != nil || op.Role == "" {
		return mustjson.Marshal(Result{Why: "no such command to duties"})
	}
	before := m.Term(op.Role)
	var h Holding
	var err error
	switch op.Do {
	case "ask":
		offered := m.duties[op.Role] != nil && m.duties[op.Role].Offered
		if h, err = m.Ask(at, op.Role, who, op.Term); offered && err == nil && !h.Offered {
			m.changes++ // it was heard of
		}
	case "release":
		err = m.Release(at, op.Role, op.Term, who)
	case "hand":
		err = m.HandOn(at, op.Role, op.Term, who, op.To)
	case "wish":
		if err = m.Table.Wish(op.Role, op.To.ID); err == nil {
			m.changes++
		}
	default:
		return mustjson.Marshal(Result{Why: "no such command to duties"})
	}
	if m.Term(op.Role) != before {
		m.changes++
	}
	r := Result{OK: err == nil, Holding: h}
	switch {
	case errors.Is(err, ErrDeaf):
		r.Why, r.Left = err.Error(), h.DeafUntil-at
	case err != nil:
		r.Why, r.Left = err.Error(), h.Until-at
	case op.Do == "ask":
		r.Span = m.SpanOf(at, &h)
	}
	return mustjson.Marshal(r)
}

// Refuse answers an asking for what another holds without an entry.
func (m *Machine) Refuse(at time.Duration, who Member, body []byte) ([]byte, bool) {
	var op Op
	if json.Unmarshal(body, &op) != nil || op.Do != "ask" {
		return nil, false
	}
	h, held := m.Held(at, op.Role, who)
	if !held {
		return nil, false
	}
	return mustjson.Marshal(Result{Why: ErrHeld.Error(), Holding: h, Left: h.Until - at}), true
}

// View is what Query gives.
type View struct {
	At      time.Duration `json:"at"`
	Roles   []Holding     `json:"duties"`
	History []Holding     `json:"history,omitempty"`
}

// Query gives a View, with the history of the duty that the body names.
func (m *Machine) Query(at time.Duration, body []byte) []byte {
	v := View{At: at, Roles: m.Roles()}
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
