package distribution

import (
	"errors"
	"time"

	"mothcleat/internal/controlplane/distributionpb"
)

// Received takes in what the server of an attempt said.
func (r *Replica) Received(now time.Duration, attempt uint64, m *distributionpb.WatchResponse) {
	if attempt != r.attempt || r.phase == replicaIdle || r.phase == replicaConnecting {
		return // of a stream that was left
	}
	r.heard = now
	switch response := m.GetResponse().(type) {
	case *distributionpb.WatchResponse_Heartbeat:
		r.heartbeat(now, response.Heartbeat)
	case *distributionpb.WatchResponse_Delta:
		r.delta(now, response.Delta)
	case *distributionpb.WatchResponse_Digests:
		r.digests(now, response.Digests)
	case *distributionpb.WatchResponse_Buckets:
		r.buckets(now, response.Buckets)
	case *distributionpb.WatchResponse_Retry:
		r.retry(now, response.Retry)
	case *distributionpb.WatchResponse_Behind:
		r.behind(now, response.Behind.GetPosition())
	default:
		r.refuse(now, &InvalidMessageError{"response", "it is empty"})
	}
	r.persist(now)
}

// heartbeat compares positions: the server's is not to be behind, not to stay ahead, and at the same revision it is
// to have the same digest.
func (r *Replica) heartbeat(now time.Duration, m *distributionpb.Heartbeat) {
	if m.Fleet != r.settings.Fleet {
		r.leave(now, LeftDisconnected, &WrongFleetError{Want: r.settings.Fleet, Got: m.Fleet})
		r.connect(now)
		return
	}
	theirs, err := PositionFromProto(m.Position)
	if err != nil {
		r.refuse(now, err)
		return
	}
	r.sourceAge, r.sourceAgeAt, r.term = time.Duration(m.SourceAgeNs), now, m.Term
	mine := r.state.Position()
	switch order := theirs.Compare(mine); {
	case order < 0:
		r.serverIsBehind(now)
		return
	case order == 0 && theirs.Digest != mine.Digest && r.phase == replicaLive:
		r.counts.Divergences++
		r.refuse(now, &DivergenceError{Mine: mine, Theirs: theirs})
		return
	}
	r.behindSince = never
	if r.sourceAge < r.settings.SourceSilent {
		r.sourceHops, r.sourceHopAt = 0, now
	} else if now >= r.sourceHopAt && r.candidates.otherThan(now, r.server.ID) {
		r.leaveForSource(now)
		return
	}
	r.followed(now, mine, theirs)
}

// leaveForSource leaves a server that has no news of the source, and waits longer and longer before the next is left for
// that: where the source is silent for all, the fleet must not wander about.
func (r *Replica) leaveForSource(now time.Duration) {
	span := backoffSpan(&r.settings, r.sourceHops)
	r.sourceHops = min(r.sourceHops+1, maxFailures)
	r.sourceHopAt = now + jittered(span, r.random)
	r.leave(now, LeftSourceSilent, nil)
	r.connect(now)
}

// followed has the stream resumed where a heartbeat told of a revision and the next one comes without it having come.
func (r *Replica) followed(now time.Duration, mine, theirs Position) {
	if r.phase == replicaLive && mine.Compare(r.lagging) < 0 {
		r.resume(now, false)
		return
	}
	r.lagging = theirs
	if theirs == mine && (r.phase == replicaLive || r.phase == replicaResuming && len(r.sums) == 0) {
		r.phase = replicaLive
		r.progress(now)
		if r.sourceAge < r.settings.SourceSilent {
			r.candidates.worked(r.server.ID)
		}
	}
}

// progress forgets the resumes that went before.
func (r *Replica) progress(now time.Duration) { r.resumes, r.moved = 0, now }

func (r *Replica) serverIsBehind(now time.Duration) {
	if r.behindSince == never {
		r.behindSince = now
	}
	if now-r.behindSince >= r.settings.BehindGrace {
		r.leave(now, LeftBehind, nil)
		r.connect(now)
	}
}

func (r *Replica) behind(now time.Duration, m *distributionpb.Position) {
	theirs, err := PositionFromProto(m)
	if err != nil {
		r.refuse(now, err)
		return
	}
	if theirs.Compare(r.state.Position()) < 0 {
		r.serverIsBehind(now)
	}
}

// delta applies a delta on its exact revision. One that comes while buckets are compared is not needed: the server
// begins at the position of the digests that it answers a Resume with.
func (r *Replica) delta(now time.Duration, m *distributionpb.Delta) {
	if r.phase != replicaLive && r.phase != replicaResuming {
		return
	}
	d, err := DeltaFromProto(m)
	if err == nil {
		err = r.state.Apply(d)
	}
	var wrongRevision *WrongRevisionError
	var wrongEpoch *WrongEpochError
	switch {
	case err == nil:
		r.counts.Deltas++
		r.phase = replicaLive
		r.took(now, d.Changes)
	case r.phase == replicaResuming:
		// It was under way when the Resume was sent, or the digest tells that it can't be resumed.
		if !errors.As(err, &wrongRevision) && !errors.As(err, &wrongEpoch) {
			r.refuse(now, err)
		}
	case errors.As(err, &wrongRevision), errors.As(err, &wrongEpoch):
		r.counts.Refused++
		r.do(Report{err})
		r.resume(now, false)
	default:
		r.refuse(now, err)
	}
}

// took hands on what the state has taken in.
func (r *Replica) took(now time.Duration, changes []Change) {
	r.progress(now)
	r.dirty, r.behindSince, r.base = true, never, nil
	at := r.state.Position()
	r.do(Deliver{changes, at})
	r.do(SendRequest{acknowledgeRequest(at)})
}

// digests gathers the sums of all buckets, and begins a repair. The position may be of a later epoch; it is not to be
// earlier than the replica's.
func (r *Replica) digests(now time.Duration, m *distributionpb.BucketDigests) {
	if r.phase != replicaResuming && r.phase != replicaLive {
		return
	}
	target, err := PositionFromProto(m.Position)
	var sums Sums
	if err == nil {
		sums, err = DecodeSums(m.Sums)
	}
	if err != nil {
		r.refuse(now, err)
		return
	}
	mine := r.state.Position()
	if target.Compare(mine) < 0 {
		r.serverIsBehind(now)
		return
	}
	if target != r.target || m.First == 0 {
		r.target, r.sums = target, nil
	}
	if int(m.First) != len(r.sums) || len(r.sums)+len(sums) > BucketCount {
		r.refuse(now, &InvalidMessageError{"digests", "they are out of order"})
		return
	}
	r.phase, r.moved, r.sums = replicaResuming, now, append(r.sums, sums...)
	if len(r.sums) == BucketCount {
		if target.Compare(mine) == 0 && target != mine {
			r.counts.Divergences++
			r.do(Report{&DivergenceError{Mine: mine, Theirs: target}})
		}
		r.compare(now)
	}
}

// compare asks for the buckets that differ.
func (r *Replica) compare(now time.Duration) {
	base := r.base
	if base == nil {
		base = r.state
	}
	r.repair = NewRepair(base, r.target, r.sums)
	r.phase, r.sums = replicaRepairing, nil
	missing := r.repair.Missing()
	r.do(SendRequest{fetchRequest(r.target, missing)})
	if len(missing) == 0 {
		r.finish(now)
	}
}

// buckets takes in some of those that were asked for.
func (r *Replica) buckets(now time.Duration, m *distributionpb.Buckets) {
	if r.phase != replicaRepairing {
		return
	}
	if at, err := PositionFromProto(m.Position); err != nil || at != r.repair.Target() {
		return // of a repair that was given up
	}
	for _, b := range m.Buckets {
		if err := r.repair.Put(b); err != nil {
			r.refuse(now, err)
			return
		}
		r.progress(now)
		r.counts.Buckets++
	}
	if m.Last {
		r.finish(now)
	}
}

// finish takes a repaired state in.
func (r *Replica) finish(now time.Duration) {
	next, err := r.repair.Finish()
	if err != nil {
		r.refuse(now, err)
		return
	}
	changes := r.state.Difference(next)
	r.state, r.repair, r.phase = next, nil, replicaLive
	r.counts.Repairs++
	r.took(now, changes)
}

// retry honours the time after which the server wants to be asked again, and a little more.
func (r *Replica) retry(now time.Duration, m *distributionpb.RetryLater) {
	if r.phase != replicaResuming && r.phase != replicaLive {
		return
	}
	after := r.settings.MaxRetry
	if m.AfterNs < uint64(after) {
		after = time.Duration(m.AfterNs)
	}
	after = max(after, r.settings.MinBackoff)
	after += time.Duration(r.random.Float64() * r.settings.RetryJitter * float64(after))
	r.phase, r.retryAt = replicaRetrying, now+after
}
