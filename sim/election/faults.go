package election

import "time"

// Kinds of faults. Their values are keys of the reports.
const (
	faultSuspend    = "stops"
	faultKill       = "kills"
	faultCut        = "cuts"
	faultSlowDisk   = "slow disks"
	faultOlderCopy  = "folders put back"
	quietBeginning  = 800 * ms        // of each play
	copyAge         = 3 * time.Second // of the copy of a disk that is restored
	quietAfterwards = 4 * time.Second // of a restored copy
)

// Kinds are the faults that a search must have injected to be meaningful.
var Kinds = []string{faultSuspend, faultKill, faultCut, faultSlowDisk, faultOlderCopy}

// scheduleFaults schedules faults at random intervals, and draws the loss and delay of messages.
func (w *World) scheduleFaults() {
	// In a play in which an older copy of a disk is restored, no voter is killed by another fault.
	// The design does not cover the case that the voters that know the restored voter's promises lose
	// them at the same time.
	restoresCopies := w.random.IntN(2) == 0
	var next func()
	next = func() {
		w.schedule(time.Duration(100+w.random.IntN(1500))*ms, func() {
			w.injectFault(restoresCopies)
			next()
		})
	}
	w.schedule(quietBeginning, next)
	if w.random.IntN(3) == 0 {
		w.lossRate = 0.1 * w.random.Float64()
	}
	if w.random.IntN(3) == 0 {
		w.extraDelay = time.Duration(w.random.IntN(60)) * ms
	}
}

// injectFault injects one fault.
func (w *World) injectFault(restoresCopies bool) {
	if w.now < w.noFaultsBefore {
		return
	}
	duration := time.Duration(50+w.random.IntN(4000)) * ms
	voter := w.processes[w.random.IntN(w.options.Voters)]
	anyone := w.processes[w.random.IntN(len(w.processes))]
	targets := []*process{voter, anyone, w.leaseHolder(anyone), w.logLeader(voter)}
	target := targets[w.random.IntN(len(targets))]
	switch w.random.IntN(9) {
	case 0, 1:
		w.suspend(target, duration)
	case 2:
		if !restoresCopies || target.voter == nil {
			powerCut := w.random.IntN(2) == 0
			w.kill(target, duration, powerCut, nil)
		}
	case 3:
		if restoresCopies && voter.up {
			w.scheduleRestore(voter, duration)
		}
	case 4:
		w.cutOneWay(target, duration)
	case 5:
		w.cutFromSome(target, duration)
	case 6:
		w.countFault(faultCut)
		w.cutLink(target, anyone, true, true, duration)
	case 7:
		w.slowDisk(target, duration)
	case 8:
		if !restoresCopies && w.random.IntN(4) == 0 {
			w.killAllVoters(duration / 4)
		}
	}
}

// leaseHolder returns the member that holds the role's lease, or otherwise if there is none.
func (w *World) leaseHolder(otherwise *process) *process {
	holder := otherwise
	for _, p := range w.members() {
		if _, ok := p.member.claimant.Holds(p.clock()); ok && p.up {
			holder = p
		}
	}
	return holder
}

// logLeader returns the voter that leads the log, or otherwise if there is none.
func (w *World) logLeader(otherwise *process) *process {
	leader := otherwise
	for _, p := range w.voters() {
		if p.up && p.voter.started && p.voter.node.Leadership().IsLeader {
			leader = p
		}
	}
	return leader
}

func (w *World) countFault(kind string) { w.result.Faults[kind]++ }

// cutOneWay cuts a process from all others in one direction.
func (w *World) cutOneWay(p *process, duration time.Duration) {
	w.countFault(faultCut)
	outward := w.random.IntN(2) == 0
	for _, other := range w.processes {
		w.cutLink(p, other, outward, !outward, duration)
	}
}

// cutFromSome cuts a process from about half of the others.
func (w *World) cutFromSome(p *process, duration time.Duration) {
	w.countFault(faultCut)
	for _, other := range w.processes {
		if w.random.IntN(2) == 0 {
			w.cutLink(p, other, true, true, duration)
		}
	}
}

// cutLink cuts the link between two processes, in one or both directions.
func (w *World) cutLink(a, b *process, aToB, bToA bool, duration time.Duration) {
	if a == b {
		return
	}
	there := link{a.index, b.index}
	back := link{b.index, a.index}
	if aToB {
		w.cutLinks[there] = true
	}
	if bToA {
		w.cutLinks[back] = true
	}
	w.schedule(duration, func() {
		delete(w.cutLinks, there)
		delete(w.cutLinks, back)
	})
}

// slowDisk delays the syncs of a voter's disk by up to 3 s.
func (w *World) slowDisk(p *process, duration time.Duration) {
	v := p.voter
	if v == nil {
		return
	}
	w.countFault(faultSlowDisk)
	v.extraSyncTime = time.Duration(w.random.IntN(3000)) * ms
	w.schedule(duration, func() { v.extraSyncTime = 0 })
}

// suspend suspends a process for a while. Its clock keeps running.
func (w *World) suspend(p *process, duration time.Duration) {
	if !p.up || p.suspended {
		return
	}
	w.countFault(faultSuspend)
	p.suspended = true
	incarnation := p.incarnation
	w.schedule(duration, func() {
		if p.incarnation == incarnation && p.suspended {
			p.suspended = false
			p.runInbox()
			p.processReady()
		}
	})
}

// kill kills a process, and restarts it after a duration. With a power cut, a voter's disk loses
// what was not synced. kill calls killed, unless it is nil, while the process is down.
func (w *World) kill(p *process, duration time.Duration, powerCut bool, killed func()) {
	if !p.up {
		return
	}
	w.countFault(faultKill)
	p.up = false
	p.inbox = nil
	p.writing = false
	if v := p.voter; v != nil {
		v.node = nil
		v.started = false
		if !powerCut {
			v.disk.sync()
		}
		v.disk.unsynced = nil
	}
	if killed != nil {
		killed()
	}
	w.schedule(duration, func() {
		if !p.up {
			p.start()
		}
	})
}

// killAllVoters kills all voters at once with a power cut.
func (w *World) killAllVoters(duration time.Duration) {
	for _, p := range w.voters() {
		w.kill(p, duration, true, nil)
	}
}

// scheduleRestore copies a voter's disk, unless a copy exists, and schedules the restore of the copy.
func (w *World) scheduleRestore(p *process, duration time.Duration) {
	if p.voter.olderCopy == nil {
		state := cloneState(p.voter.disk.synced)
		p.voter.olderCopy = &state
	}
	w.schedule(copyAge, func() { w.restoreOlderCopy(p, duration) })
}

// restoreOlderCopy kills a voter and restores an older copy of its disk, at most once in a play: the
// design does not cover the loss of two of three disks. It guarantees that a restored copy is
// detected while the voters that know its promises can be reached, so all voters must work.
func (w *World) restoreOlderCopy(p *process, duration time.Duration) {
	if !p.up || p.suspended || !p.voter.started || w.result.Faults[faultOlderCopy] > 0 {
		return
	}
	if len(w.cutLinks) > 0 || w.lossRate > 0 || !w.allVotersWork() {
		return
	}
	w.noFaultsBefore = w.now + quietAfterwards
	older := *p.voter.olderCopy
	w.kill(p, duration/4, false, func() {
		w.countFault(faultOlderCopy)
		p.voter.disk.synced = older
	})
}

// allVotersWork reports whether no voter has a fault.
func (w *World) allVotersWork() bool {
	for _, p := range w.voters() {
		v := p.voter
		if !p.up || p.suspended || v.extraSyncTime > 0 || v.slowSync || !v.started {
			return false
		}
	}
	return true
}
