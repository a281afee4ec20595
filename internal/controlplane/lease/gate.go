package lease

import (
	"encoding/json"
	"fmt"

	"mothcleat/internal/mustjson"
)

// Gate is how a receiver tells a late word: it keeps the highest term that it has seen of each
// duty, and whose that was. Where the receiver's effects last longer than its process, the gate has to be
// kept with them (Snapshot, Restore), before the effect.
type Gate struct{ seen map[string]word }

type word struct {
	Term  uint64 `json:"term"`
	Owner Member `json:"owner"`
}

// Admit takes in a word under a term, or refuses it with ErrTerm. changed tells that the gate has to be
// kept anew before the word has its effect.
func (g *Gate) Admit(duty string, term uint64, who Member) (changed bool, err error) {
	last := g.seen[duty]
	switch {
	case term < last.Term:
		return false, fmt.Errorf("%w: %s says term %d of %s, term %d was seen", ErrStaleTerm, who, term, duty, last.Term)
	case term == last.Term && who != last.Owner:
		return false, fmt.Errorf("%w: term %d of %s is %s's, not %s's", ErrStaleTerm, term, duty, last.Owner, who)
	case term == last.Term:
		return false, nil
	}
	if g.seen == nil {
		g.seen = map[string]word{}
	}
	g.seen[duty] = word{term, who}
	return true, nil
}

// Snapshot writes the gate.
func (g *Gate) Snapshot() []byte {
	return mustjson.Marshal(g.seen)
}

// Restore reads what Snapshot wrote.
func (g *Gate) Restore(raw []byte) error {
	var seen map[string]word
	if err := json.Unmarshal(raw, &seen); err != nil {
		return fmt.Errorf("lease: gate: %w", err)
	}
	g.seen = seen
	return nil
}
