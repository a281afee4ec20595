package distribution

import (
	"math"
	"math/rand/v2"
	"time"

	"mothcleat/internal/controlplane/distributionpb"
)

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// Replica is a gateway's side: the decisions of a client of the distribution. Whoever drives it
// calls a method for each thing that happens, then carries out what Take gives, in order, and calls
// Tick when Wake says so.
//
// Its state only ever moves to a later position, and only to content that has that position's
// digest.
type Replica struct {
	settings   ReplicaSettings
	random     *rand.Rand
	state      *State
	candidates candidates
	actions    []Action

	server                 Server // of the stream, or of the attempt to open one
	attempt                uint64
	phase                  replicaPhase
	connectStartedAt       time.Duration // of the attempt
	lastMessageAt          time.Duration // the last message, or the attempt
	resumesWithoutProgress int           // on this stream, without progress
	retryAt                time.Duration // phase replicaRetrying
	lastProgressAt         time.Duration // the last progress of a Resume or a repair
	returnAt               time.Duration // when a preferred server is to be tried again

	behindSince   time.Duration // the server was behind since; never: it is not
	announced     Position      // of the last heartbeat, if it was ahead of the state
	target        Position      // of the digests
	sums          Sums          // those that have come
	repair        *Repair
	partialRepair *State // what an unfinished repair came to

	sourceAge   time.Duration // by the last heartbeat
	sourceAgeAt time.Duration
	// servers that were left in a row because they had no news of the source
	sourceSwitches     int
	nextSourceSwitchAt time.Duration // before it none is left for that
	term               uint64

	unpersisted bool
	persistAt   time.Duration
	started     bool
	counts      ReplicaCounts
}

// ReplicaCounts count what a Replica took in.
type ReplicaCounts struct {
	Deltas      uint64 `json:"deltas"`  // applied
	Resumes     uint64 `json:"resumes"` // asked for
	Repairs     uint64 `json:"repairs"` // finished
	Buckets     uint64 `json:"buckets"` // fetched
	Refused     uint64 `json:"refused"` // messages that did not fit
	Divergences uint64 `json:"divergences"`
	Disconnects uint64 `json:"leaves"`
}

type replicaPhase int

const (
	replicaIdle       replicaPhase = iota // no server may be tried now
	replicaConnecting                     // a stream is being opened
	replicaResuming                       // a Resume was sent; or digests come
	replicaRetrying                       // the server said when to send it again
	replicaRepairing                      // buckets were asked for
	replicaLive                           // deltas come
)

// NewReplica makes a replica that has a state: that of its file, or NewState(). The randomness is
// for jitter alone.
func NewReplica(settings ReplicaSettings, state *State, random *rand.Rand) *Replica {
	r := &Replica{settings: settings, random: random, state: state.Clone(), behindSince: never}
	r.candidates = candidates{settings: &r.settings, random: random, backoffs: map[string]backoff{}}
	return r
}

// State is what the replica has in force, as a copy.
func (r *Replica) State() *State { return r.state.Clone() }

// Position is where the replica is.
func (r *Replica) Position() Position { return r.state.Position() }

// Counts is what was taken in so far.
func (r *Replica) Counts() ReplicaCounts { return r.counts }

// Live tells that the replica is on a server's stream and has all that the server told of.
func (r *Replica) Live() bool { return r.phase == replicaLive }

// Server is the one that is watched, or tried.
func (r *Replica) Server() (server Server, ok bool) { return r.server, r.phase != replicaIdle }

// SourceAge is how long ago the source was heard of, by the last heartbeat and the time since;
// false without one.
func (r *Replica) SourceAge(now time.Duration) (age time.Duration, ok bool) {
	return r.sourceAge + now - r.sourceAgeAt, r.term > 0
}

// Term is the source's term by the last heartbeat.
func (r *Replica) Term() uint64 { return r.term }

// Take gives what is to be done, in order, since it was last called.
func (r *Replica) Take() []Action {
	actions := r.actions
	r.actions = nil
	return actions
}

func (r *Replica) emit(a Action) { r.actions = append(r.actions, a) }

// SetServers takes in which servers there are.
func (r *Replica) SetServers(now time.Duration, servers []Server) {
	r.start(now)
	r.candidates.set(servers)
	if r.phase != replicaIdle && !r.candidates.contains(r.server) {
		r.disconnect(now, ReasonServerRemoved, nil)
	}
	r.connect(now)
}

// Connected tells that an attempt's stream is open.
func (r *Replica) Connected(now time.Duration, attempt uint64) {
	if attempt != r.attempt || r.phase != replicaConnecting {
		return
	}
	r.lastMessageAt = now
	r.resume(now, false)
}

// Disconnected tells that an attempt's stream has ended, or could not be opened.
func (r *Replica) Disconnected(now time.Duration, attempt uint64, cause error) {
	if attempt != r.attempt || r.phase == replicaIdle {
		return
	}
	r.disconnect(now, ReasonStreamEnded, cause)
	r.connect(now)
}

// start sets the clocks by the first event.
func (r *Replica) start(now time.Duration) {
	if !r.started {
		r.started, r.persistAt = true, now+r.settings.PersistInterval
	}
}

// connect tries the best server if there is no stream.
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

// disconnect ends the stream and avoids its server for a while, except where it was not at fault.
func (r *Replica) disconnect(now time.Duration, why DisconnectReason, cause error) {
	r.savePartialRepair()
	switch why {
	case ReasonPreferredServer, ReasonServerRemoved:
	case ReasonSourceSilent:
		r.candidates.avoid(now, r.server.ID, r.settings.MaxBackoff)
	default:
		r.candidates.recordFailure(now, r.server.ID)
	}
	r.counts.Disconnects++
	r.emit(Disconnect{r.server, &DisconnectError{r.server.ID, why, now - r.lastMessageAt, cause}})
	r.phase = replicaIdle
}

// savePartialRepair has the next repair begin with what this one has fetched.
func (r *Replica) savePartialRepair() {
	if r.repair != nil {
		r.partialRepair, r.repair = r.repair.partial(), nil
	}
}

// resume asks for everything behind the replica's position; or, for a repair, to compare buckets.
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

// refuse reports a message that does not fit, and has the buckets compared; at once, or when the
// server wants to be asked again.
func (r *Replica) refuse(now time.Duration, err error) {
	r.counts.Refused++
	r.emit(ReportError{err})
	if r.phase != replicaRetrying {
		r.resume(now, true)
	}
}

// Tick takes in that time has passed.
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
		r.resumesWithoutProgress = 0 // the server asked for it
		r.resume(now, false)
	case r.shouldReturn(now):
		r.disconnect(now, ReasonPreferredServer, nil)
	}
	r.connect(now)
	r.persist(now)
}

// awaitingAnswer tells whether the server owes an answer, or the rest of one.
func (r *Replica) awaitingAnswer() bool {
	return r.phase == replicaResuming || r.phase == replicaRepairing
}

// silenceTimeout is how long the server may be silent now.
func (r *Replica) silenceTimeout() time.Duration {
	if r.phase == replicaRepairing || len(r.sums) > 0 {
		return r.settings.RepairSilenceTimeout
	}
	return r.settings.SilenceTimeout
}

// shouldReturn tells that the replica has been on another server than its first for long enough,
// and could go back.
func (r *Replica) shouldReturn(now time.Duration) bool {
	best, _, ok := r.candidates.best(now)
	return ok && r.phase == replicaLive && best.ID != r.server.ID && now >= r.returnAt
}

// persist has the state written, now and then.
func (r *Replica) persist(now time.Duration) {
	if r.unpersisted && now >= r.persistAt {
		r.unpersisted, r.persistAt = false, now+r.settings.PersistInterval
		r.emit(Persist{r.state.Clone()})
	}
}

// Wake is when Tick is to be called next, if nothing happens before.
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
		// a preferred server is tried again with the first Tick after its time
		wake = r.lastMessageAt + r.silenceTimeout()
	default:
		wake = min(r.lastMessageAt+r.silenceTimeout(), r.lastProgressAt+r.settings.ProgressTimeout)
	}
	if r.unpersisted {
		wake = min(wake, r.persistAt)
	}
	return wake
}
