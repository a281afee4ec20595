package lease

import (
	"encoding/json"
	"fmt"

	"mothcleat/internal/mustjson"
)

// Gate rejects the effects of earlier leaders on behalf of a receiver. It keeps the highest term
// seen of each role, and its holder. If effects outlive the receiver's process, the gate must be
// stored with them (Snapshot, Restore), before the effect takes place.
type Gate struct {
	seen map[string]seenTerm // by role
}

// seenTerm is the highest term seen of a role, and its holder.
type seenTerm struct {
	Term   uint64 `json:"term"`
	Holder Member `json:"owner"`
}

// Admit admits an effect of a member under a term, or returns an error that wraps ErrStaleTerm. If
// changed is true, the gate has to be stored before the effect takes place.
func (g *Gate) Admit(role string, term uint64, member Member) (changed bool, err error) {
	last := g.seen[role]
	if term < last.Term {
		return false, fmt.Errorf("%w: %s says term %d of %s, term %d was seen",
			ErrStaleTerm, member, term, role, last.Term)
	}
	if term == last.Term && member != last.Holder {
		return false, fmt.Errorf("%w: term %d of %s is %s's, not %s's",
			ErrStaleTerm, term, role, last.Holder, member)
	}
	if term == last.Term {
		return false, nil
	}
	if g.seen == nil {
		g.seen = map[string]seenTerm{}
	}
	g.seen[role] = seenTerm{term, member}
	return true, nil
}

// Snapshot returns the gate as JSON.
func (g *Gate) Snapshot() []byte { return mustjson.Marshal(g.seen) }

// Restore replaces the gate by that of a snapshot.
func (g *Gate) Restore(snapshot []byte) error {
	var seen map[string]seenTerm
	if err := json.Unmarshal(snapshot, &seen); err != nil {
		return fmt.Errorf("lease: gate: %w", err)
	}
	g.seen = seen
	return nil
}
