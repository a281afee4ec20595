package consensus

import "fmt"

// Position is how far a voter's own record reaches: its term and its last entry.
type Position struct{ Term, LastIndex uint64 }

// Promise is what a voter has promised to another, as that other knows it: in which term it last
// voted for it or took entries of it, and up to which entry.
type Promise struct{ Term, Index uint64 }

// VerificationReply is what another voter says to one that starts.
type VerificationReply struct {
	Term         uint64  // that it is in
	Leader       uint64  // whom it knows to lead there; 0: nobody
	Promised     Promise // to it, by the one that starts
	UnknownVoter bool    // by its list of voters the one that starts is none
}

// Verification is what a voter does before it takes part: it asks the others what it has promised them. A folder that
// was put back from an older copy shows by that: it knows less than was promised from it, and voting from it could be voting
// twice. It is good once a majority, itself counted, knows of nothing more than it does, and the leader is among them where
// one is known: the leader knows what was promised in its own term, and its log holds all that was agreed before.
type Verification struct {
	own    Position
	others int
	words  map[uint64]VerificationReply // the newest of each
	old    string
}

// NewVerification begins the asking of a voter among some others.
func NewVerification(own Position, others int) *Verification {
	return &Verification{own: own, others: others, words: map[uint64]VerificationReply{}}
}

// Receive takes in what another says.
func (p *Verification) Receive(from uint64, w VerificationReply) {
	p.words[from] = w
	strangers := 0
	for _, w := range p.words {
		if w.UnknownVoter {
			strangers++
		}
	}
	switch {
	case 2*strangers > p.others: // one that is behind may not know a new voter yet
		p.old = fmt.Sprintf("voter %x and others do not know this folder as a voter's: its voter was removed, or replaced", from)
	case w.Promised.Term > p.own.Term:
		p.old = fmt.Sprintf("it reaches to term %d, but voter %x was promised something in term %d: the folder is an older copy", p.own.Term, from, w.Promised.Term)
	case w.Promised.Term == p.own.Term && w.Promised.Index > p.own.LastIndex:
		p.old = fmt.Sprintf("it ends at entry %d, but voter %x had entry %d confirmed in the same term: the folder is an older copy", p.own.LastIndex, from, w.Promised.Index)
	}
}

// Result tells whether enough was heard; old is why the voter must not take part, and is final. Until floor, a term, it
// may have voted without knowing it, and votes no more.
func (p *Verification) Result() (good bool, floor uint64, old string) {
	if p.old != "" {
		return false, 0, p.old
	}
	floor = p.own.Term
	for _, w := range p.words {
		floor = max(floor, w.Term)
	}
	for _, w := range p.words {
		if w.Term == floor && w.Leader != 0 {
			if leader, heard := p.words[w.Leader]; !heard || leader.Term < floor {
				return false, 0, ""
			}
		}
	}
	majority := (p.others+1)/2 + 1
	return len(p.words)+1 >= majority, floor, ""
}
