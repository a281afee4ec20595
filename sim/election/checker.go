package election

import (
	"time"

	"mothcleat/internal/controlplane/lease"
)

// settlingTime is the time after the start of a play in which the role may be without a leader.
const settlingTime = 3 * time.Second

// checker records what happened in a play. It observes the events themselves, and does not depend on
// the state that any process has of them.
type checker struct {
	appliedAt    map[uint64]string // by index, what a voter applied there
	acknowledged map[string]bool   // words
	logLeaders   map[uint64]bool   // terms of the log that had a leader

	termLeaders  map[uint64]lease.Member // by term of the role, the member with committed effects
	firstEffects map[uint64]uint64       // by term of the role, the index of its first effect
	lastHeldAt   time.Duration           // when the role last had a leader

	gate                lease.Gate // of a receiver outside the log
	highestAdmittedTerm uint64     // the highest term that this receiver has admitted
}

func newChecker() checker {
	return checker{
		appliedAt:    map[uint64]string{},
		acknowledged: map[string]bool{},
		logLeaders:   map[uint64]bool{},
		termLeaders:  map[uint64]lease.Member{},
		firstEffects: map[uint64]uint64{},
	}
}

// checkHolders checks that at most one member leads the role at this moment. Members that are down
// or suspended do not count, as they can't act.
func (w *World) checkHolders() {
	holders := 0
	for _, p := range w.members() {
		if !p.up || p.suspended {
			continue
		}
		if _, ok := p.member.claimant.Holds(p.clock()); ok {
			holders++
		}
	}
	if holders > 1 {
		w.breach(RuleOneLeader, "%d members hold the lease", holders)
	}
	if holders > 0 {
		w.checker.lastHeldAt = w.now
	} else if w.now > settlingTime {
		vacancy := w.now - w.checker.lastHeldAt
		w.result.LongestVacancy = max(w.result.LongestVacancy, vacancy)
	}
}

// checkAcknowledged checks at the end of a play that the voter with the highest applied index has
// every acknowledged word.
func (w *World) checkAcknowledged() {
	var newest *voter
	for _, p := range w.voters() {
		v := p.voter
		if v.node == nil {
			continue
		}
		if newest == nil || v.node.AppliedIndex() > newest.node.AppliedIndex() {
			newest = v
		}
	}
	if newest == nil {
		return
	}
	if len(w.checker.acknowledged) > 0 && newest.node.AppliedIndex() < w.newestApplied() {
		return // no running voter has all entries: a majority is down
	}
	words := newest.stateMachines[wordListName].(*wordList)
	for word := range w.checker.acknowledged {
		if !words.known[word] {
			w.breach(RuleNothingLost, "%s was acknowledged, and is not there", word)
			return
		}
	}
}

// newestApplied returns the index of the newest entry that any voter applied.
func (w *World) newestApplied() (newest uint64) {
	for index := range w.checker.appliedAt {
		newest = max(newest, index)
	}
	return newest
}

// recordApplied checks that every voter applies the same at an index.
func (w *World) recordApplied(v *voter, index uint64, what string) {
	if other, ok := w.checker.appliedAt[index]; ok && other != what {
		w.breach(RuleVotersAgree, "entry %d is %q at voter %d, and %q at another",
			index, what, v.number, other)
	}
	w.checker.appliedAt[index] = what
}

// recordEffect checks a committed effect of the role's leader.
func (w *World) recordEffect(index, term uint64, leader lease.Member) {
	c := &w.checker
	if other, ok := c.termLeaders[term]; ok && other != leader {
		w.breach(RuleOneLeader, "effects of %s and %s under term %d", other, leader, term)
	}
	c.termLeaders[term] = leader
	w.result.Terms = max(w.result.Terms, term)
	for later, first := range c.firstEffects {
		if later > term && first < index {
			w.breach(RuleNoLateEffects,
				"an effect under term %d at entry %d, after one under term %d", term, index, later)
		}
	}
	if first, ok := c.firstEffects[term]; !ok || index < first {
		c.firstEffects[term] = index
	}
}

// receive delivers an effect of the role's leader to the receiver outside the log.
func (w *World) receive(term uint64, leader lease.Member) {
	c := &w.checker
	if _, err := c.gate.Admit(roleName, term, leader); err != nil {
		return
	}
	if term < c.highestAdmittedTerm {
		w.breach(RuleNoLateEffects, "a receiver admitted term %d after term %d",
			term, c.highestAdmittedTerm)
	}
	c.highestAdmittedTerm = max(c.highestAdmittedTerm, term)
}
