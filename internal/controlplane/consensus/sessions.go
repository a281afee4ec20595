package consensus

import (
	"cmp"
	"slices"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

const (
	// SessionTTL is how long a session lasts without a command, in the fleet's time.
	SessionTTL = time.Minute
	// MaxOpenCommands is how many commands of a session may have an answer that is not
	// acknowledged.
	MaxOpenCommands = 256

	// maxRetiredPerID is how many superseded incarnations are kept per id.
	maxRetiredPerID = 32
)

// session makes sure that each command of a process is applied once: it holds the answers that the
// process has not acknowledged.
type session struct {
	number   uint64 // index of the entry that opened it
	member   lease.Member
	address  string            // of the process; "": it has none
	digest   uint64            // memberDigest of member and address
	lastSeen time.Duration     // the fleet's time of its last command
	ackedSeq uint64            // the process has received the answers up to this sequence number
	answers  map[uint64][]byte // by sequence number
}

// sessions are part of the replicated state: they are the same at all voters, except for log.
type sessions struct {
	byNumber map[uint64]*session
	byID     map[string]*session
	retired  map[string][]uint64 // superseded incarnations by id, the newest last
	log      membershipLog
}

func newSessions() *sessions {
	return &sessions{
		byNumber: map[uint64]*session{},
		byID:     map[string]*session{},
		retired:  map[string][]uint64{},
		log:      membershipLog{digest: emptyDigest},
	}
}

// open opens a session with the given number and returns the number. The newest process with an id
// takes precedence: the session of an older process ends, and that process can't open another one.
// A process that has a session already gets the number of that session.
func (s *sessions) open(
	number uint64, member lease.Member, address string, now time.Duration,
) (uint64, controlpb.Code) {
	if s.isRetired(member) {
		return 0, controlpb.Code_SUPERSEDED
	}
	if current := s.byID[member.ID]; current != nil {
		if current.member.Incarnation == member.Incarnation {
			current.lastSeen = now
			return current.number, controlpb.Code_OK
		}
		s.supersede(current)
	}
	s.add(&session{
		number:   number,
		member:   member,
		address:  address,
		lastSeen: now,
		answers:  map[uint64][]byte{},
	})
	return number, controlpb.Code_OK
}

// isRetired reports whether another process has taken over a member's id.
func (s *sessions) isRetired(member lease.Member) bool {
	return slices.Contains(s.retired[member.ID], member.Incarnation)
}

func (s *sessions) add(added *session) {
	added.digest = memberDigest(added.member, added.address)
	s.byNumber[added.number] = added
	s.byID[added.member.ID] = added
	s.log.record(added.member, added.address)
}

// supersede ends a session because another process takes over its id.
func (s *sessions) supersede(old *session) {
	incarnations := append(s.retired[old.member.ID], old.member.Incarnation)
	s.retired[old.member.ID] = incarnations[max(0, len(incarnations)-maxRetiredPerID):]
	s.remove(old)
}

func (s *sessions) remove(old *session) {
	delete(s.byNumber, old.number)
	delete(s.byID, old.member.ID)
	s.log.record(old.member, old.address)
}

// expire ends the sessions that have had no command for longer than SessionTTL.
func (s *sessions) expire(now time.Duration) {
	for _, old := range s.byNumber {
		if now-old.lastSeen > SessionTTL {
			s.remove(old)
		}
	}
}

// lookup returns the session of a command, or nil if there is none. The code is OK if the command
// can be applied, or states why not. If the command was applied before, wasApplied is true, the
// code is OK, and the answer is that of the first application.
func (s *sessions) lookup(
	number, seq uint64,
) (found *session, answer []byte, wasApplied bool, code controlpb.Code) {
	found = s.byNumber[number]
	if found == nil {
		return nil, nil, false, controlpb.Code_NO_SESSION
	}
	answer, wasApplied = found.answers[seq]
	if wasApplied {
		return found, answer, true, controlpb.Code_OK
	}
	if seq <= found.ackedSeq {
		return found, nil, false, controlpb.Code_REFUSED
	}
	if len(found.answers) >= MaxOpenCommands {
		return found, nil, false, controlpb.Code_BUSY
	}
	return found, nil, false, controlpb.Code_OK
}

// acknowledge drops the answers of all commands up to ackedSeq, because the process has received
// them.
func (s *session) acknowledge(ackedSeq uint64) {
	if ackedSeq <= s.ackedSeq {
		return
	}
	s.ackedSeq = ackedSeq
	for seq := range s.answers {
		if seq <= ackedSeq {
			delete(s.answers, seq)
		}
	}
}

// SessionInfo describes a process that has a session.
type SessionInfo struct {
	lease.Member
	Address  string        `json:"address"`
	LastSeen time.Duration `json:"seen"` // the fleet's time of its last command
}

// members returns the processes that have a session, sorted by id.
func (s *sessions) members() []SessionInfo {
	all := make([]SessionInfo, 0, len(s.byID))
	for _, one := range s.byID {
		all = append(all, SessionInfo{one.member, one.address, one.lastSeen})
	}
	slices.SortFunc(all, func(a, b SessionInfo) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// writeTo adds the sessions to a snapshot. Equal sessions give equal snapshots.
func (s *sessions) writeTo(snapshot *controlpb.Snapshot) {
	for _, one := range s.byNumber {
		snapshot.Sessions = append(snapshot.Sessions, one.encode())
	}
	slices.SortFunc(snapshot.Sessions, func(a, b *controlpb.Session) int {
		return cmp.Compare(a.Number, b.Number)
	})
	for id, incarnations := range s.retired {
		snapshot.Retired = append(snapshot.Retired,
			&controlpb.Retired{Id: id, Incarnations: incarnations})
	}
	slices.SortFunc(snapshot.Retired, func(a, b *controlpb.Retired) int {
		return cmp.Compare(a.Id, b.Id)
	})
}

// encode returns the session in the form that a snapshot holds.
func (s *session) encode() *controlpb.Session {
	encoded := &controlpb.Session{
		Number: s.number,
		Member: &controlpb.Member{
			Id:          s.member.ID,
			Incarnation: s.member.Incarnation,
			Address:     s.address,
		},
		LastSeen: uint64(s.lastSeen),
		AckedSeq: s.ackedSeq,
	}
	for seq, answer := range s.answers {
		encoded.Answers = append(encoded.Answers,
			&controlpb.CachedAnswer{Seq: seq, Answer: answer})
	}
	slices.SortFunc(encoded.Answers, func(a, b *controlpb.CachedAnswer) int {
		return cmp.Compare(a.Seq, b.Seq)
	})
	return encoded
}

// readSessions returns the sessions of a snapshot.
func readSessions(snapshot *controlpb.Snapshot) *sessions {
	s := newSessions()
	for _, encoded := range snapshot.Sessions {
		one := &session{
			number: encoded.Number,
			member: lease.Member{
				ID:          encoded.Member.GetId(),
				Incarnation: encoded.Member.GetIncarnation(),
			},
			address:  encoded.Member.GetAddress(),
			lastSeen: time.Duration(encoded.LastSeen),
			ackedSeq: encoded.AckedSeq,
			answers:  map[uint64][]byte{},
		}
		for _, cached := range encoded.Answers {
			one.answers[cached.Seq] = cached.Answer
		}
		s.add(one)
	}
	for _, retired := range snapshot.Retired {
		s.retired[retired.Id] = retired.Incarnations
	}
	return s
}
