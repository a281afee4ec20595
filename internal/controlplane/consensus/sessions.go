package consensus

import (
	"cmp"
	"slices"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

const (
	// SessionTTL is for how long a session lasts without a command, in the fleet's time.
	SessionTTL = time.Minute
	// MaxOpenCommands is how many commands of a session may be without their answer known to have come.
	MaxOpenCommands = 256

	retiredMost = 32 // boots kept of an id
)

// session is one process's right to have each command applied once.
type session struct {
	number  uint64
	member  lease.Member
	address string // where it is reached; "": nowhere
	digest  uint64 // digestOf both
	seen    time.Duration
	floor   uint64
	answers map[uint64][]byte // of commands above the floor
}

// sessions are part of the agreed state: every voter has the same.
type sessions struct {
	byNumber map[uint64]*session
	byID     map[string]*session
	retired  map[string][]uint64 // boots that another has followed
	log      membershipLog
}

func newSessions() *sessions {
	return &sessions{map[uint64]*session{}, map[string]*session{}, map[string][]uint64{}, membershipLog{digest: digestOfNone}}
}

// open begins a session under a number. The newest process of an id goes first: an older one's session ends,
// and it can't open another. The same process asking twice gets the session that it has.
func (s *sessions) open(number uint64, who lease.Member, address string, at time.Duration) (uint64, controlpb.Code) {
	if slices.Contains(s.retired[who.ID], who.Incarnation) {
		return 0, controlpb.Code_SUPERSEDED
	}
	if old := s.byID[who.ID]; old != nil {
		if old.member.Incarnation == who.Incarnation {
			old.seen = at
			return old.number, controlpb.Code_OK
		}
		s.retire(old)
	}
	n := &session{number: number, member: who, address: address, seen: at, answers: map[uint64][]byte{}}
	s.add(n)
	return number, controlpb.Code_OK
}

func (s *sessions) add(n *session) {
	n.digest = digestOf(n.member, n.address)
	s.byNumber[n.number], s.byID[n.member.ID] = n, n
	s.log.change(n.member, n.address)
}

// retire ends a session that another process of its id has followed.
func (s *sessions) retire(old *session) {
	boots := append(s.retired[old.member.ID], old.member.Incarnation)
	s.retired[old.member.ID] = boots[max(0, len(boots)-retiredMost):]
	s.drop(old)
}

func (s *sessions) drop(old *session) {
	delete(s.byNumber, old.number)
	delete(s.byID, old.member.ID)
	s.log.change(old.member, old.address)
}

// expire ends the sessions that nothing was heard of.
func (s *sessions) expire(at time.Duration) {
	for _, old := range s.byNumber {
		if at-old.seen > SessionTTL {
			s.drop(old)
		}
	}
}

// known tells what becomes of a command; had tells that it was applied before, with what answer.
func (s *sessions) known(number, seq uint64) (in *session, answer []byte, had bool, code controlpb.Code) {
	in = s.byNumber[number]
	if in == nil {
		return nil, nil, false, controlpb.Code_NO_SESSION
	}
	if answer, had = in.answers[seq]; had {
		return in, answer, true, controlpb.Code_OK
	}
	if seq <= in.floor {
		return in, nil, false, controlpb.Code_REFUSED // its answer has come, by its own session's word
	}
	if len(in.answers) >= MaxOpenCommands {
		return in, nil, false, controlpb.Code_BUSY
	}
	return in, nil, false, controlpb.Code_OK
}

// settle drops the answers that the session's process has had.
func (n *session) settle(floor uint64) {
	if floor <= n.floor {
		return
	}
	n.floor = floor
	for seq := range n.answers {
		if seq <= floor {
			delete(n.answers, seq)
		}
	}
}

// SessionInfo is one process with a session.
type SessionInfo struct {
	lease.Member
	Address  string        `json:"address"`
	LastSeen time.Duration `json:"seen"` // the fleet's time of its last command
}

// members are the processes with a session, by id.
func (s *sessions) members() []SessionInfo {
	all := make([]SessionInfo, 0, len(s.byID))
	for _, n := range s.byID {
		all = append(all, SessionInfo{n.member, n.address, n.seen})
	}
	slices.SortFunc(all, func(a, b SessionInfo) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// write puts the sessions into a snapshot, in an order of their own.
func (s *sessions) write(to *controlpb.Snapshot) {
	for _, n := range s.byNumber {
		w := &controlpb.Session{Number: n.number, Member: &controlpb.Member{Id: n.member.ID, Incarnation: n.member.Incarnation, Address: n.address}, LastSeen: uint64(n.seen), AckedSeq: n.floor}
		for seq, answer := range n.answers {
			w.Answers = append(w.Answers, &controlpb.CachedAnswer{Seq: seq, Answer: answer})
		}
		slices.SortFunc(w.Answers, func(a, b *controlpb.CachedAnswer) int { return cmp.Compare(a.Seq, b.Seq) })
		to.Sessions = append(to.Sessions, w)
	}
	slices.SortFunc(to.Sessions, func(a, b *controlpb.Session) int { return cmp.Compare(a.Number, b.Number) })
	for id, boots := range s.retired {
		to.Retired = append(to.Retired, &controlpb.Retired{Id: id, Incarnations: boots})
	}
	slices.SortFunc(to.Retired, func(a, b *controlpb.Retired) int { return cmp.Compare(a.Id, b.Id) })
}

func readSessions(from *controlpb.Snapshot) *sessions {
	s := newSessions()
	for _, w := range from.Sessions {
		n := &session{number: w.Number, member: lease.Member{ID: w.Member.GetId(), Incarnation: w.Member.GetIncarnation()}, address: w.Member.GetAddress(),
			seen: time.Duration(w.LastSeen), floor: w.AckedSeq, answers: map[uint64][]byte{}}
		for _, k := range w.Answers {
			n.answers[k.Seq] = k.Answer
		}
		s.add(n)
	}
	for _, r := range from.Retired {
		s.retired[r.Id] = r.Incarnations
	}
	return s
}
