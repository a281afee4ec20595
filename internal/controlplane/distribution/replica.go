package distribution

import (
	"math"
	"math/rand/v2"
	"time"

	"mothcleat/internal/controlplane/distributionpb"
)

// never is a time that is never reached.
const never = time.Duration(math.MaxInt64)

// Replica is the client's side of the distribution in a gateway. The caller calls a method for each
// event, then carries out the actions that Take returns, in order, and calls Tick at the time that
// NextTick returns.
//
// The state only moves to later positions, except that a repair of a divergence keeps the revision.
// The content is always verified against the digest of the new position.
type Replica struct {
	settings   ReplicaSettings
	random     *rand.Rand
	state      *State
	candidates candidates
	actions    []Action

	// server is the server of the stream, or of the attempt to open one.
	server Server
	// attempt is the number of the last Connect.
	attempt          uint64
	phase            replicaPhase
	connectStartedAt time.Duration
	// lastMessageAt is when the last message was received, the stream was opened or the attempt
	// began.
	lastMessageAt time.Duration
	// resumesWithoutProgress counts the Resumes sent on this stream since its last progress.
	resumesWithoutProgress int
	// retryAt is when the next Resume is due in phase replicaRetrying.
	retryAt time.Duration
	// lastProgressAt is when a Resume or a repair last made progress.
	lastProgressAt time.Duration
	// returnAt is when the replica may return to a more preferred server.
	returnAt time.Duration

	// behindSince is when the server was first seen behind the replica, or never if it is not
	// behind.
	behindSince time.Duration
	// announced is the server's position in the last heartbeat since the last Resume. Deltas up to
	// it must have arrived by the next heartbeat.
	announced Position
	// target is the position of the digests being received.
	target Position
	// sums are the bucket sums received so far.
	sums   Sums
	repair *Repair
	// partialRepair is the state that an interrupted repair reached, or nil.
	partialRepair *State

	// sourceAge is the age of the source's last command according to the last heartbeat, which was
	// received at sourceAgeAt.
	sourceAge   time.Duration
	sourceAgeAt time.Duration
	// sourceSwitches counts consecutive servers that were left with ReasonSourceSilent.
	sourceSwitches int
	// nextSourceSwitchAt is the earliest time at which the next server may be left for that reason.
	nextSourceSwitchAt time.Duration
	term               uint64

	// unpersisted is set if the state has changed since the last Persist.
	unpersisted bool
	persistAt   time.Duration
	started     bool
	counts      ReplicaCounts
}

// ReplicaCounts holds the counters of a Replica.
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
	Refused uint64 `json:"refused"`
	// Divergences counts digests of a server that differed from the replica's at the same revision.
	Divergences uint64 `json:"divergences"`
	// Disconnects counts servers left, for any reason.
	Disconnects uint64 `json:"leaves"`
}

// replicaPhase is the state of a replica's connection to its server.
type replicaPhase int

const (
	replicaIdle       replicaPhase = iota // no server can be tried now
	replicaConnecting                     // a stream is being opened
	replicaResuming                       // a Resume was sent, or digests are arriving
	replicaRetrying                       // the server sent a RetryLater
	replicaRepairing                      // buckets were requested
	replicaLive                           // deltas are arriving
)

// NewReplica returns a replica that starts from a state, which is read from its state file or is
// NewState(). It uses random for jitter only.
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

// Live reports whether the replica has caught up with its server and receives deltas.
func (r *Replica) Live() bool { return r.phase == replicaLive }

// Server returns the server that is watched or being connected to. ok is false if there is none.
func (r *Replica) Server() (server Server, ok bool) { return r.server, r.phase != replicaIdle }

// SourceAge returns the time since the source's last command: the age in the last heartbeat plus
// the time since then. It returns false before the first heartbeat.
func (r *Replica) SourceAge(now time.Duration) (age time.Duration, ok bool) {
	return r.sourceAge + now - r.sourceAgeAt, r.term > 0
}

// Term returns the source's term according to the last heartbeat.
func (r *Replica) Term() uint64 { return r.term }

// Take returns the actions emitted since the last call, in order.
func (r *Replica) Take() []Action {
	actions := r.actions
	r.actions = nil
	return actions
}

func (r *Replica) emit(a Action) { r.actions = append(r.actions, a) }

// SetServers replaces the list of servers. The replica leaves its server if the list does not
// contain it at the same address.
func (r *Replica) SetServers(now time.Duration, servers []Server) {
	r.start(now)
	r.candidates.set(servers)
	if r.phase != replicaIdle && !r.candidates.contains(r.server) {
		r.disconnect(now, ReasonServerRemoved, nil)
	}
	r.connect(now)
}

// Connected handles the opening of an attempt's stream.
func (r *Replica) Connected(now time.Duration, attempt uint64) {
	if attempt != r.attempt || r.phase != replicaConnecting {
		return
	}
	r.lastMessageAt = now
	r.resume(now, false)
}

// Disconnected handles the end of an attempt's stream, or the failure to open it.
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

// connect connects to the best server unless there is a stream or an attempt to open one.
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

// disconnect ends the stream. It backs off from the server unless the replica returns to a
// preferred server or the server was removed from the list.
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

// savePartialRepair ends the current repair and keeps the fetched buckets for the next one.
func (r *Replica) savePartialRepair() {
	if r.repair != nil {
		r.partialRepair, r.repair = r.repair.partial(), nil
	}
}

// resume requests all changes after the replica's position, or the digests of all buckets if repair
// is set. It leaves the server after MaxResumes without progress.
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

// rejectMessage reports the error of a rejected message and requests a repair. In phase
// replicaRetrying it requests nothing, because the replica resumes at retryAt.
func (r *Replica) rejectMessage(now time.Duration, err error) {
	r.counts.Refused++
	r.emit(ReportError{err})
	if r.phase != replicaRetrying {
		r.resume(now, true)
	}
}

// Tick handles timeouts and retries that are due, connects if there is no stream, and emits a due
// Persist.
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
		r.resumesWithoutProgress = 0 // the server requested this Resume
		r.resume(now, false)
	case r.shouldReturn(now):
		r.disconnect(now, ReasonPreferredServer, nil)
	}
	r.connect(now)
	r.persist(now)
}

// awaitingAnswer reports whether a Resume or FetchBuckets is not answered completely yet.
func (r *Replica) awaitingAnswer() bool {
	return r.phase == replicaResuming || r.phase == replicaRepairing
}

// silenceTimeout returns how long the server may be silent in the current phase.
func (r *Replica) silenceTimeout() time.Duration {
	if r.phase == replicaRepairing || len(r.sums) > 0 {
		return r.settings.RepairSilenceTimeout
	}
	return r.settings.SilenceTimeout
}

// shouldReturn reports whether a more preferred server can be tried and the replica has watched its
// current server for long enough.
func (r *Replica) shouldReturn(now time.Duration) bool {
	best, _, ok := r.candidates.best(now)
	return ok && r.phase == replicaLive && best.ID != r.server.ID && now >= r.returnAt
}

// persist emits a Persist if one is due.
func (r *Replica) persist(now time.Duration) {
	if r.unpersisted && now >= r.persistAt {
		r.unpersisted, r.persistAt = false, now+r.settings.PersistInterval
		r.emit(Persist{r.state.Clone()})
	}
}

// NextTick returns the time at which Tick should be called unless an event is handled before.
func (r *Replica) NextTick() time.Duration {
	next := never
	switch r.phase {
	case replicaIdle:
		_, next, _ = r.candidates.best(r.connectStartedAt)
	case replicaConnecting:
		next = r.connectStartedAt + r.settings.ConnectTimeout
	case replicaRetrying:
		next = min(r.retryAt, r.lastMessageAt+r.silenceTimeout())
	case replicaLive:
		// returnAt needs no Tick of its own: the first Tick after it returns to the preferred
		// server.
		next = r.lastMessageAt + r.silenceTimeout()
	default:
		next = min(r.lastMessageAt+r.silenceTimeout(), r.lastProgressAt+r.settings.ProgressTimeout)
	}
	if r.unpersisted {
		next = min(next, r.persistAt)
	}
	return next
}
