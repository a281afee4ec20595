package distribution

import (
	"math"
	"math/rand/v2"
	"time"

	"mothcleat/internal/controlplane/distributionpb"
)

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// Replica is a gateway's side: the decisions of a client of the distribution. Whoever drives it calls a method for
// each thing that happens, then carries out what Take gives, in order, and calls Tick when Wake says so.
//
// Its state only ever moves to a later position, and only to content that has that position's digest.
type Replica struct {
	settings   ReplicaSettings
	random     *rand.Rand
	state      *State
	candidates candidates
	actions    []Action

	server  Server // of the stream, or of the attempt to open one
	attempt uint64
	phase   replicaPhase
	since   time.Duration // of the attempt
	heard   time.Duration // the last message, or the attempt
	resumes int           // on this stream, without progress
	retryAt time.Duration // phase replicaRetrying
	moved   time.Duration // the last progress of a Resume or a repair
	nearAt  time.Duration // when a preferred server is to be tried again

	behindSince time.Duration // the server was behind since; never: it is not
	lagging     Position      // of the last heartbeat, if it was ahead of the state
	target      Position      // of the digests
	sums        Sums          // those that have come
	repair      *Repair
	base        *State // what an unfinished repair came to

	sourceAge   time.Duration // by the last heartbeat
	sourceAgeAt time.Duration
	sourceHops  int           // servers that were left in a row because they had no news of the source
	sourceHopAt time.Duration // before it none is left for that
	term        uint64

	dirty     bool
	persistAt time.Duration
	begun     bool
	counts    ReplicaCounts
}

// ReplicaCounts count what a Replica took in.
type ReplicaCounts struct {
	Deltas      uint64 `json:"deltas"`  // applied
	Resumes     uint64 `json:"resumes"` // asked for
	Repairs     uint64 `json:"repairs"` // finished
	Buckets     uint64 `json:"buckets"` // fetched
	Refused     uint64 `json:"refused"` // messages that did not fit
	Divergences uint64 `json:"divergences"`
	Leaves      uint64 `json:"leaves"`
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

// NewReplica makes a replica that has a state: that of its file, or NewState(). The randomness is for jitter alone.
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

// SourceAge is how long ago the source was heard of, by the last heartbeat and the time since; false without one.
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

func (r *Replica) do(a Action) { r.actions = append(r.actions, a) }

// SetServers takes in which servers there are.
func (r *Replica) SetServers(now time.Duration, servers []Server) {
	r.begin(now)
	r.candidates.set(servers)
	if r.phase != replicaIdle && !r.candidates.has(r.server) {
		r.leave(now, LeftRemoved, nil)
	}
	r.connect(now)
}

// Connected tells that an attempt's stream is open.
func (r *Replica) Connected(now time.Duration, attempt uint64) {
	if attempt != r.attempt || r.phase != replicaConnecting {
		return
	}
	r.heard = now
	r.resume(now, false)
}

// Disconnected tells that an attempt's stream has ended, or could not be opened.
func (r *Replica) Disconnected(now time.Duration, attempt uint64, cause error) {
	if attempt != r.attempt || r.phase == replicaIdle {
		return
	}
	r.leave(now, LeftDisconnected, cause)
	r.connect(now)
}

// begin sets the clocks by the first event.
func (r *Replica) begin(now time.Duration) {
	if !r.begun {
		r.begun, r.persistAt = true, now+r.settings.PersistEvery
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
	r.server, r.phase, r.since, r.heard = server, replicaConnecting, now, now
	r.resumes, r.behindSince, r.lagging = 0, never, Position{}
	r.nearAt = now + r.settings.ReturnAfter/2 + time.Duration(r.random.Int64N(int64(r.settings.ReturnAfter)+1))
	r.do(Connect{r.attempt, server})
}

// leave ends the stream and avoids its server for a while, except where it was not at fault.
func (r *Replica) leave(now time.Duration, why LeaveReason, cause error) {
	r.keepPartial()
	switch why {
	case LeftForNearer, LeftRemoved:
	case LeftSourceSilent:
		r.candidates.avoid(now, r.server.ID, r.settings.MaxBackoff)
	default:
		r.candidates.failed(now, r.server.ID)
	}
	r.counts.Leaves++
	r.do(Leave{r.server, &LeaveError{r.server.ID, why, now - r.heard, cause}})
	r.phase = replicaIdle
}

// keepPartial has the next repair begin with what this one has fetched.
func (r *Replica) keepPartial() {
	if r.repair != nil {
		r.base, r.repair = r.repair.partial(), nil
	}
}

// resume asks for everything behind the replica's position; or, for a repair, to compare buckets.
func (r *Replica) resume(now time.Duration, repair bool) {
	if r.resumes >= r.settings.MaxResumes {
		r.leave(now, LeftNoProgress, nil)
		r.connect(now)
		return
	}
	r.keepPartial()
	r.resumes++
	r.moved, r.sums = now, nil
	r.counts.Resumes++
	r.phase, r.lagging = replicaResuming, Position{}
	r.do(SendRequest{resumeRequest(&distributionpb.Resume{
		Fleet: r.settings.Fleet, Replica: r.settings.ID, Incarnation: r.settings.Incarnation,
		Position: r.state.Position().Proto(), Repair: repair,
	})})
}

// refuse reports a message that does not fit, and has the buckets compared; at once, or when the server wants to
// be asked again.
func (r *Replica) refuse(now time.Duration, err error) {
	r.counts.Refused++
	r.do(Report{err})
	if r.phase != replicaRetrying {
		r.resume(now, true)
	}
}

// Tick takes in that time has passed.
func (r *Replica) Tick(now time.Duration) {
	r.begin(now)
	switch {
	case r.phase == replicaIdle:
	case r.phase == replicaConnecting && now-r.since >= r.settings.ConnectWithin:
		r.leave(now, LeftUnreached, nil)
	case r.phase != replicaConnecting && now-r.heard >= r.silentAfter():
		r.leave(now, LeftSilent, nil)
	case r.answers() && now-r.moved >= r.settings.AnswerWithin:
		r.leave(now, LeftNoProgress, nil)
	case r.phase == replicaRetrying && now >= r.retryAt:
		r.resumes = 0 // the server asked for it
		r.resume(now, false)
	case r.nearer(now):
		r.leave(now, LeftForNearer, nil)
	}
	r.connect(now)
	r.persist(now)
}

// answers tells whether the server owes an answer, or the rest of one.
func (r *Replica) answers() bool { return r.phase == replicaResuming || r.phase == replicaRepairing }

// silentAfter is how long the server may be silent now.
func (r *Replica) silentAfter() time.Duration {
	if r.phase == replicaRepairing || len(r.sums) > 0 {
		return r.settings.RepairSilent
	}
	return r.settings.SilentAfter
}

// nearer tells that the replica has been on another server than its first for long enough, and could go back.
func (r *Replica) nearer(now time.Duration) bool {
	best, _, ok := r.candidates.best(now)
	return ok && r.phase == replicaLive && best.ID != r.server.ID && now >= r.nearAt
}

// persist has the state written, now and then.
func (r *Replica) persist(now time.Duration) {
	if r.dirty && now >= r.persistAt {
		r.dirty, r.persistAt = false, now+r.settings.PersistEvery
		r.do(Persist{r.state.Clone()})
	}
}

// Wake is when Tick is to be called next, if nothing happens before.
func (r *Replica) Wake() time.Duration {
	wake := never
	switch r.phase {
	case replicaIdle:
		_, wake, _ = r.candidates.best(r.since)
	case replicaConnecting:
		wake = r.since + r.settings.ConnectWithin
	case replicaRetrying:
		wake = min(r.retryAt, r.heard+r.silentAfter())
	case replicaLive:
		wake = r.heard + r.silentAfter() // a preferred server is tried again with the first Tick after its time
	default:
		wake = min(r.heard+r.silentAfter(), r.moved+r.settings.AnswerWithin)
	}
	if r.dirty {
		wake = min(wake, r.persistAt)
	}
	return wake
}
