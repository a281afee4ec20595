package distribution

import (
	"errors"
	"time"

	"mothcleat/internal/controlplane/distributionpb"
)

// Received handles a message of an attempt's stream.
func (r *Replica) Received(now time.Duration, attempt uint64, m *distributionpb.WatchResponse) {
	if attempt != r.attempt || r.phase == replicaIdle || r.phase == replicaConnecting {
		return // a message of an earlier stream
	}
	r.lastMessageAt = now
	switch response := m.GetResponse().(type) {
	case *distributionpb.WatchResponse_Heartbeat:
		r.handleHeartbeat(now, response.Heartbeat)
	case *distributionpb.WatchResponse_Delta:
		r.handleDelta(now, response.Delta)
	case *distributionpb.WatchResponse_Digests:
		r.handleDigests(now, response.Digests)
	case *distributionpb.WatchResponse_Buckets:
		r.handleBuckets(now, response.Buckets)
	case *distributionpb.WatchResponse_Retry:
		r.handleRetry(now, response.Retry)
	case *distributionpb.WatchResponse_Behind:
		r.handleBehind(now, response.Behind.GetPosition())
	default:
		r.rejectMessage(now, &InvalidMessageError{"response", "it is empty"})
	}
	r.persist(now)
}

// handleHeartbeat compares the server's position with the replica's. The server must not stay
// behind the replica, a delta that it announced must arrive, and its digest at the same revision
// must be the same.
func (r *Replica) handleHeartbeat(now time.Duration, m *distributionpb.Heartbeat) {
	if m.Fleet != r.settings.Fleet {
		r.disconnect(now, ReasonStreamEnded, &WrongFleetError{Want: r.settings.Fleet, Got: m.Fleet})
		r.connect(now)
		return
	}
	remote, err := PositionFromProto(m.Position)
	if err != nil {
		r.rejectMessage(now, err)
		return
	}
	r.sourceAge, r.sourceAgeAt, r.term = time.Duration(m.SourceAgeNs), now, m.Term
	local := r.state.Position()
	switch order := remote.Compare(local); {
	case order < 0:
		r.handleServerBehind(now)
		return
	case order == 0 && remote.Digest != local.Digest && r.phase == replicaLive:
		r.counts.Divergences++
		r.rejectMessage(now, &DivergenceError{Mine: local, Theirs: remote})
		return
	}
	r.behindSince = never
	if r.sourceAge < r.settings.SourceTimeout {
		r.sourceSwitches, r.nextSourceSwitchAt = 0, now
	} else if now >= r.nextSourceSwitchAt && r.candidates.hasAlternative(now, r.server.ID) {
		r.switchForSource(now)
		return
	}
	r.checkCaughtUp(now, local, remote)
}

// switchForSource leaves a server that has not received the source's commands. The delay until the
// next such switch doubles each time, because replicas must not keep switching servers if the
// source is silent for all of them.
func (r *Replica) switchForSource(now time.Duration) {
	delay := backoffDelay(&r.settings, r.sourceSwitches)
	r.sourceSwitches = min(r.sourceSwitches+1, maxFailures)
	r.nextSourceSwitchAt = now + jittered(delay, r.random)
	r.disconnect(now, ReasonSourceSilent, nil)
	r.connect(now)
}

// checkCaughtUp resumes the stream if the revision announced by the last heartbeat did not arrive
// before this one. The replica becomes live once it has the server's position.
func (r *Replica) checkCaughtUp(now time.Duration, local, remote Position) {
	if r.phase == replicaLive && local.Compare(r.announced) < 0 {
		r.resume(now, false)
		return
	}
	r.announced = remote
	awaitsDeltas := r.phase == replicaLive || r.phase == replicaResuming && len(r.sums) == 0
	if remote == local && awaitsDeltas {
		r.phase = replicaLive
		r.recordProgress(now)
		if r.sourceAge < r.settings.SourceTimeout {
			r.candidates.recordSuccess(r.server.ID)
		}
	}
}

// recordProgress resets the count of resumes without progress and the progress timeout.
func (r *Replica) recordProgress(now time.Duration) {
	r.resumesWithoutProgress, r.lastProgressAt = 0, now
}

// handleServerBehind leaves a server that has been behind the replica for BehindTimeout.
func (r *Replica) handleServerBehind(now time.Duration) {
	if r.behindSince == never {
		r.behindSince = now
	}
	if now-r.behindSince >= r.settings.BehindTimeout {
		r.disconnect(now, ReasonBehind, nil)
		r.connect(now)
	}
}

// handleBehind handles a Behind message, by which the server reports that the replica is ahead of
// it.
func (r *Replica) handleBehind(now time.Duration, m *distributionpb.Position) {
	remote, err := PositionFromProto(m)
	if err != nil {
		r.rejectMessage(now, err)
		return
	}
	if remote.Compare(r.state.Position()) < 0 {
		r.handleServerBehind(now)
	}
}

// handleDelta applies a delta to its exact revision. A delta that arrives during a repair is
// ignored, because after the repair the server continues from the position of the digests.
func (r *Replica) handleDelta(now time.Duration, m *distributionpb.Delta) {
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
		r.deliverChanges(now, d.Changes)
	case r.phase == replicaResuming:
		// A delta of another revision or epoch was in flight when the Resume was sent and is
		// ignored. Any other error needs a repair.
		if !errors.As(err, &wrongRevision) && !errors.As(err, &wrongEpoch) {
			r.rejectMessage(now, err)
		}
	case errors.As(err, &wrongRevision), errors.As(err, &wrongEpoch):
		r.counts.Refused++
		r.emit(ReportError{err})
		r.resume(now, false)
	default:
		r.rejectMessage(now, err)
	}
}

// deliverChanges delivers changes that were applied to the state and acknowledges the new position.
func (r *Replica) deliverChanges(now time.Duration, changes []Change) {
	r.recordProgress(now)
	r.unpersisted, r.behindSince, r.partialRepair = true, never, nil
	position := r.state.Position()
	r.emit(Deliver{changes, position})
	r.emit(SendRequest{acknowledgeRequest(position)})
}

// handleDigests collects the sums of all buckets and then starts a repair. The position of the sums
// may be of a later epoch but must not be before the replica's.
func (r *Replica) handleDigests(now time.Duration, m *distributionpb.BucketDigests) {
	if r.phase != replicaResuming && r.phase != replicaLive {
		return
	}
	target, err := PositionFromProto(m.Position)
	var sums Sums
	if err == nil {
		sums, err = DecodeSums(m.Sums)
	}
	if err != nil {
		r.rejectMessage(now, err)
		return
	}
	local := r.state.Position()
	if target.Compare(local) < 0 {
		r.handleServerBehind(now)
		return
	}
	if target != r.target || m.First == 0 {
		r.target, r.sums = target, nil
	}
	if int(m.First) != len(r.sums) || len(r.sums)+len(sums) > BucketCount {
		r.rejectMessage(now, &InvalidMessageError{"digests", "they are out of order"})
		return
	}
	r.phase, r.lastProgressAt, r.sums = replicaResuming, now, append(r.sums, sums...)
	if len(r.sums) == BucketCount {
		if target.Compare(local) == 0 && target != local {
			r.counts.Divergences++
			r.emit(ReportError{&DivergenceError{Mine: local, Theirs: target}})
		}
		r.startRepair(now)
	}
}

// startRepair requests the buckets that differ.
func (r *Replica) startRepair(now time.Duration) {
	base := r.partialRepair
	if base == nil {
		base = r.state
	}
	r.repair = NewRepair(base, r.target, r.sums)
	r.phase, r.sums = replicaRepairing, nil
	missing := r.repair.Missing()
	r.emit(SendRequest{fetchRequest(r.target, missing)})
	if len(missing) == 0 {
		r.finishRepair(now)
	}
}

// handleBuckets puts requested buckets into the repair, and finishes it after the last one.
func (r *Replica) handleBuckets(now time.Duration, m *distributionpb.Buckets) {
	if r.phase != replicaRepairing {
		return
	}
	if position, err := PositionFromProto(m.Position); err != nil || position != r.repair.Target() {
		return // an answer to an earlier request
	}
	for _, b := range m.Buckets {
		if err := r.repair.Put(b); err != nil {
			r.rejectMessage(now, err)
			return
		}
		r.recordProgress(now)
		r.counts.Buckets++
	}
	if m.Last {
		r.finishRepair(now)
	}
}

// finishRepair replaces the state by the repaired one and delivers the difference.
func (r *Replica) finishRepair(now time.Duration) {
	next, err := r.repair.Finish()
	if err != nil {
		r.rejectMessage(now, err)
		return
	}
	changes := r.state.Difference(next)
	r.state, r.repair, r.phase = next, nil, replicaLive
	r.counts.Repairs++
	r.deliverChanges(now, changes)
}

// handleRetry schedules the next Resume after the delay that the server requested, plus jitter.
func (r *Replica) handleRetry(now time.Duration, m *distributionpb.RetryLater) {
	if r.phase != replicaResuming && r.phase != replicaLive {
		return
	}
	after := r.settings.MaxRetryDelay
	if m.AfterNs < uint64(after) {
		after = time.Duration(m.AfterNs)
	}
	after = max(after, r.settings.MinBackoff)
	after += time.Duration(r.random.Float64() * r.settings.RetryJitter * float64(after))
	r.phase, r.retryAt = replicaRetrying, now+after
}
