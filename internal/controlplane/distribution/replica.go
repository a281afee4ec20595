package distribution

import (
	"math"
	"math/rand/v2"
	"time"

	"mothcleat/internal/controlplane/distributionpb"
)

// never is a time that is not reached.
const never = time.Duration(math.MaxInt64)

// Replica is the client's side of the distribution in a gateway. The caller calls a method for each
// event, then carries out the actions that Take returns, in order, and calls Tick at the time that
// Wake returns.
//
// The state only ever moves to a later position, and only to content that has that position's
// digest.
type Replica struct {
	settings   ReplicaSettings
	random     *rand.Rand
	state      *State
	candidates candidates
	actions    []Action

	// server is the server of the stream, or of the attempt to open one.
	server           Server
	attempt          uint64
	phase            replicaPhase
	connectStartedAt time.Duration
	// lastMessageAt is when the last message came, or the attempt began.
	lastMessageAt time.Duration
	// resumesWithoutProgress counts the requests to resume on this stream since its last progress.
	resumesWithoutProgress int
	// retryAt is when the next Resume is due in phase replicaRetrying.
	retryAt time.Duration
	// lastProgressAt is when a Resume or a repair last progressed.
	lastProgressAt time.Duration
	// returnAt is when a preferred server is tried again.
	returnAt time.Duration

	// behindSince is since when the server has been behind the replica; never if it is not.
	behindSince time.Duration
	// announced is the position in the last heartbeat if it was ahead of the state.
	announced Position
	// target is the position of the digests being received.
	target Position
	// sums are the bucket sums received so far.
	sums   Sums
	repair *Repair
	// partialRepair is the state that an interrupted repair reached; nil if there is none.
	partialRepair *State

	// sourceAge is the age of the source's last command in the last heartbeat.
	sourceAge   time.Duration
	sourceAgeAt time.Duration
	// sourceSwitches counts the servers left in a row because they had not heard from the source.
	sourceSwitches int
	// nextSourceSwitchAt is the earliest time at which the next server may be left for that reason.
	nextSourceSwitchAt time.Duration
	term               uint64

	unpersisted bool
	persistAt   time.Duration
	started     bool
	counts      ReplicaCounts
}

// ReplicaCounts counts what a Replica received.
type ReplicaCounts struct {
	// Deltas counts deltas applied.
	Deltas uint64 `json:"deltas"`
	// Resumes counts Resume requests sent.
	Resumes uint64 `json:"resumes"`
	// Repairs counts repairs finished.
	Repairs uint64 `json:"repairs"`
	// Buckets counts buckets fetched.
	Buckets uint64 `json:"buckets"`
	// Refused counts messages rejected.
	Refused     uint64 `json:"refused"`
	Divergences uint64 `json:"divergences"`
	Disconnects uint64 `json:"leaves"`
}

// replicaPhase is what a replica is waiting for.
type replicaPhase int

const (
	replicaIdle       replicaPhase = iota // no server can be tried now
	replicaConnecting                     // a stream is being opened
	replicaResuming                       // a Resume was sent, or digests are arriving
	replicaRetrying                       // the server has said when to resume
	replicaRepairing                      // buckets were requested
	replicaLive                           // deltas are arriving
)

// NewReplica returns a replica that starts from a state: the one read from its state file, or
// NewState(). The randomness is used for jitter only.
func NewReplica(settings ReplicaSettings, state *State, random *rand.Rand) *Replica {
	r := &Replica{settings: settings, random: random, state: state.Clone(), behindSince: never}
	r.candidates = candidates{settings: &r.settings, random: random, backoffs: map[string]backoff{}}
	return r
}

// State returns a copy of the state.
func (r *Replica) State() *State { return r.state.Clone() }

// Position returns the position of the state.
func (r *Replica) Position() Position { return r.state.Position() }

// Counts returns the counters.
func (r *Replica) Counts() ReplicaCounts { return r.counts }

// Live reports whether the replica receives deltas and has everything that its server has
// announced.
func (r *Replica) Live() bool { return r.phase == replicaLive }

// Server returns the server that is watched or being connected to; ok is false if there is none.
func (r *Replica) Server() (server Server, ok bool) { return r.server, r.phase != replicaIdle }

// SourceAge returns the time since the source's last command, according to the last heartbeat and
// the time since. It returns false before the first heartbeat.
func (r *Replica) SourceAge(now time.Duration) (age time.Duration, ok bool) {
	return r.sourceAge + now - r.sourceAgeAt, r.term > 0
}

// Term returns the source's term in the last heartbeat.
func (r *Replica) Term() uint64 { return r.term }

// Take returns the actions that are due since the last call, in order.
func (r *Replica) Take() []Action {
	actions := r.actions
	r.actions = nil
	return actions
}

func (r *Replica) emit(a Action) { r.actions = append(r.actions, a) }

// SetServers replaces the list of servers.
func (r *Replica) SetServers(now time.Duration, servers []Server) {
	r.start(now)
	r.candidates.set(servers)
	if r.phase != replicaIdle && !r.candidates.contains(r.server) {
		r.disconnect(now, ReasonServerRemoved, nil)
	}
	r.connect(now)
}

// Connected handles that an attempt's stream is open.
func (r *Replica) Connected(now time.Duration, attempt uint64) {
	if attempt != r.attempt || r.phase != replicaConnecting {
		return
	}
	r.lastMessageAt = now
	r.resume(now, false)
}

// Disconnected handles that an attempt's stream has ended or could not be opened.
func (r *Replica) Disconnected(now time.Duration, attempt uint64, cause error) {
	if attempt != r.attempt || r.phase == replicaIdle {
		return
	}
	r.disconnect(now, ReasonStreamEnded, cause)
	r.connect(now)
}

// start sets the timers at the first event.
func (r *Replica) start(now time.Duration) {
	if !r.started {
		r.started, r.persistAt = true, now+r.settings.PersistInterval
	}
}

// connect connects to the best server if there is no stream.
func (r *Replica) connect(now time.Duration) {
	if r.phase != replicaIdle {
		return
	}
	server, _, ok := r.candidates.best(now)
	if !ok {
		return
	}
	r.attempt++
	r.server, r.phase, r.connectStartedAt, r.lastMessageAt = server, replicaConnecting, now, now
	r.resumesWithoutProgress, r.behindSince, r.announced = 0, never, Position{}
	r.returnAt = now + r.settings.ReturnInterval/2 +
		time.Duration(r.random.Int64N(int64(r.settings.ReturnInterval)+1))
	r.emit(Connect{r.attempt, server})
}

// disconnect ends the stream and backs off from its server, unless the server was not at fault.
func (r *Replica) disconnect(now time.Duration, reason DisconnectReason, cause error) {
	r.savePartialRepair()
	switch reason {
	case ReasonPreferredServer, ReasonServerRemoved:
	case ReasonSourceSilent:
		r.candidates.backOff(now, r.server.ID, r.settings.MaxBackoff)
	default:
		r.candidates.recordFailure(now, r.server.ID)
	}
	r.counts.Disconnects++
	r.emit(Disconnect{r.server, &DisconnectError{
		Server:    r.server.ID,
		Reason:    reason,
		SilentFor: now - r.lastMessageAt,
		Cause:     cause,
	}})
	r.phase = replicaIdle
}

// savePartialRepair lets the next repair start from what this one has fetched.
func (r *Replica) savePartialRepair() {
	if r.repair != nil {
		r.partialRepair, r.repair = r.repair.partial(), nil
	}
}

// resume requests everything after the replica's position, or a comparison of buckets if repair is
// set.
func (r *Replica) resume(now time.Duration, repair bool) {
	if r.resumesWithoutProgress >= r.settings.MaxResumes {
		r.disconnect(now, ReasonNoProgress, nil)
		r.connect(now)
		return
	}
	r.savePartialRepair()
	r.resumesWithoutProgress++
	r.lastProgressAt, r.sums = now, nil
	r.counts.Resumes++
	r.phase, r.announced = replicaResuming, Position{}
	r.emit(SendRequest{resumeRequest(&distributionpb.Resume{
		Fleet: r.settings.Fleet, Replica: r.settings.ID, Incarnation: r.settings.Incarnation,
		Position: r.state.Position().Proto(), Repair: repair,
	})})
}

// rejectMessage reports the error of a rejected message and requests a repair. While the replica
// waits out a RetryLater it requests nothing, because it resumes afterwards anyway.
func (r *Replica) rejectMessage(now time.Duration, err error) {
	r.counts.Refused++
	r.emit(ReportError{err})
	if r.phase != replicaRetrying {
		r.resume(now, true)
	}
}

// Tick handles the passing of time.
func (r *Replica) Tick(now time.Duration) {
	r.start(now)
	switch {
	case r.phase == replicaIdle:
	case r.phase == replicaConnecting && now-r.connectStartedAt >= r.settings.ConnectTimeout:
		r.disconnect(now, ReasonUnreachable, nil)
	case r.phase != replicaConnecting && now-r.lastMessageAt >= r.silenceTimeout():
		r.disconnect(now, ReasonUnresponsive, nil)
	case r.awaitingAnswer() && now-r.lastProgressAt >= r.settings.ProgressTimeout:
		r.disconnect(now, ReasonNoProgress, nil)
	case r.phase == replicaRetrying && now >= r.retryAt:
		r.resumesWithoutProgress = 0 // the server has asked for this resume
		r.resume(now, false)
	case r.shouldReturn(now):
		r.disconnect(now, ReasonPreferredServer, nil)
	}
	r.connect(now)
	r.persist(now)
}

// awaitingAnswer reports whether a Resume or a repair has not been answered completely.
func (r *Replica) awaitingAnswer() bool {
	return r.phase == replicaResuming || r.phase == replicaRepairing
}

// silenceTimeout returns how long the server may currently be silent.
func (r *Replica) silenceTimeout() time.Duration {
	if r.phase == replicaRepairing || len(r.sums) > 0 {
		return r.settings.RepairSilenceTimeout
	}
	return r.settings.SilenceTimeout
}

// shouldReturn reports whether the replica has watched another server than its preferred one for
// long enough, and could go back.
func (r *Replica) shouldReturn(now time.Duration) bool {
	best, _, ok := r.candidates.best(now)
	return ok && r.phase == replicaLive && best.ID != r.server.ID && now >= r.returnAt
}

// persist requests a write of the state if one is due.
func (r *Replica) persist(now time.Duration) {
	if r.unpersisted && now >= r.persistAt {
		r.unpersisted, r.persistAt = false, now+r.settings.PersistInterval
		r.emit(Persist{r.state.Clone()})
	}
}

// Wake returns when Tick should be called next if no event comes before.
func (r *Replica) Wake() time.Duration {
	wake := never
	switch r.phase {
	case replicaIdle:
		_, wake, _ = r.candidates.best(r.connectStartedAt)
	case replicaConnecting:
		wake = r.connectStartedAt + r.settings.ConnectTimeout
	case replicaRetrying:
		wake = min(r.retryAt, r.lastMessageAt+r.silenceTimeout())
	case replicaLive:
		// The return to a preferred server waits for the first Tick after returnAt.
		wake = r.lastMessageAt + r.silenceTimeout()
	default:
		wake = min(r.lastMessageAt+r.silenceTimeout(), r.lastProgressAt+r.settings.ProgressTimeout)
	}
	if r.unpersisted {
		wake = min(wake, r.persistAt)
	}
	return wake
}
