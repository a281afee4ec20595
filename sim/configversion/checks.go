package configversion

import (
	"time"

	"mothcleat/internal/controlplane/configversion"
)

// checkLog checks that each version number keeps its digest, and at every 50th entry that a
// snapshot restores the same state.
func (w *World) checkLog() {
	v := w.log.View(w.fleet)
	for i := range v.Versions {
		one := &v.Versions[i]
		if known, ok := w.digests[one.Item][one.Number]; ok && known != one.Digest {
			w.breach("two_digests", "%s %d is %s and %s", one.Item, one.Number, known, one.Digest)
		}
		w.digests[one.Item][one.Number] = one.Digest
	}
	if w.index%50 == 0 {
		replayed := configversion.NewMachine(w.rules, w)
		if err := replayed.Restore(
			w.log.Snapshot(),
		); err != nil ||
			string(replayed.Snapshot()) != string(w.log.Snapshot()) {
			w.breach("unreadable", "a snapshot comes back as another: %v", err)
		}
		w.log = replayed
	}
}

// operate carries out an operation that was decided earlier, if its lease still permits it.
func (w *World) operate(m *member, now time.Duration, a operation) {
	if now >= a.by || m.holder.LeasedUntil(now) == 0 {
		return
	}
	for item, number := range m.holder.InForce() {
		if decided, ok := a.number[item]; ok && decided != number {
			return // decided under a version that is no longer in force
		}
	}
	w.res.Operations++
	w.checkNotEnded(m, a)
	w.checkContent(m, a)
	w.checkTerms(m, a)
}

// checkNotEnded checks that a member acts on no version that has expired.
func (w *World) checkNotEnded(m *member, a operation) {
	v := w.log.View(w.fleet)
	for i := range v.Versions {
		one := &v.Versions[i]
		if a.number[one.Item] == one.Number && one.ExpiresAt != 0 && w.fleet >= one.ExpiresAt {
			w.breach(
				"acts_on_withdrawn",
				"%s acts on %s %d at %v of the fleet's time, it ended at %v",
				m.me(),
				one.Item,
				one.Number,
				w.fleet,
				one.ExpiresAt,
			)
		}
	}
}

// checkContent checks that a member has, and can read, the contents that it acts on.
func (w *World) checkContent(m *member, a operation) {
	for item, number := range a.number {
		if digest := w.digests[item][number]; !m.content[digest] || !m.reads(digest) {
			w.breach("without_content", "%s acts on %s %d without having it", m.me(), item, number)
		}
	}
}

// checkTerms checks that a member that acts on a newer version grants no more than the older
// versions that other members act on.
func (w *World) checkTerms(m *member, a operation) {
	for _, o := range w.members {
		if o == m || o.down || o.stopped || o.holder.LeasedUntil(w.clock(o)) == 0 {
			continue
		}
		for item, theirs := range o.holder.InForce() {
			digest := w.digests[item][theirs]
			if a.number[item] > theirs && a.rate[item] > w.rates[digest] && m.reads(digest) {
				w.breach(
					"mixed",
					"%s acts on %s %d at %v, %s on %d, which grants %v",
					m.me(),
					item,
					a.number[item],
					a.rate[item],
					o.me(),
					theirs,
					w.rates[digest],
				)
			}
		}
	}
}

// checkEnd checks that every member that runs has the versions whose rollout is complete.
func (w *World) checkEnd() {
	v := w.log.View(w.fleet)
	for _, one := range v.Versions {
		if one.State == configversion.StateComplete {
			w.res.ForAll++
		}
	}
	for _, m := range w.members {
		w.res.Outs += int(m.holder.FencedCount())
		if w.res.Breach != nil || m.down {
			continue
		}
		for _, one := range v.Versions {
			if one.State != configversion.StateComplete || m.older && !m.reads(one.Digest) {
				continue
			}
			if has := m.holder.InForce()[one.Item]; has < one.Number {
				w.breach(
					"never_caught_up",
					"%s has %s %d, %d is for all: %s",
					m.me(),
					one.Item,
					has,
					one.Number,
					m.holder.FencedReason(w.clock(m)),
				)
			}
		}
		if m.holder.LeasedUntil(w.clock(m)) == 0 && !m.older {
			w.breach(
				"never_caught_up",
				"%s is still shut out: %s",
				m.me(),
				m.holder.FencedReason(w.clock(m)),
			)
		}
	}
}
