package consensus

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"

	"mothcleat/internal/controlplane/lease"
)

// Revision names one content of a list of members: the index of the log entry that led to it, and a
// digest of the content. Voters apply the same entries, so an index names the same content at each
// of them. The digest tells contents apart even where a fleet was bootstrapped again or restored
// from older copies, and its indexes have begun anew. The zero Revision names none.
type Revision struct {
	Index  uint64 `json:"index,omitempty"` // 0: of a part of the list, which only its digest names
	Digest uint64 `json:"digest"`
}

// maxMembershipChanges bounds how many changed ids a voter keeps for clients that have an earlier
// list. At 1,100 restarts an hour they reach back for almost an hour.
const maxMembershipChanges = 1024

// emptyDigest is the digest of an empty list, so that no list has the digest of the zero Revision.
const emptyDigest = 0x9e3779b97f4a7c15

// membershipChange is the ids that one log entry added, removed or replaced.
type membershipChange struct {
	revision Revision // after it
	ids      []string
}

// membershipLog is the latest changes of the members, as one voter has applied them. It is no part
// of the replicated state: a voter that restores a snapshot begins a new one.
type membershipLog struct {
	digest     uint64   // of the members now
	pending    []string // ids that changed since the last commit
	base       Revision // the earliest revision that the changes lead on from
	changes    []membershipChange
	changedIDs int // number of ids in changes
}

// reset starts the log anew, with the members as they are after an entry.
func (l *membershipLog) reset(index uint64) {
	l.base = Revision{Index: index, Digest: l.digest}
	l.pending = nil
	l.changes = nil
	l.changedIDs = 0
}

// record records that a member was added or removed.
func (l *membershipLog) record(member lease.Member, address string) {
	l.digest ^= memberDigest(member, address)
	l.pending = append(l.pending, member.ID)
}

// commit ends an entry: what has changed since the last commit makes one revision.
func (l *membershipLog) commit(index uint64) {
	if len(l.pending) == 0 {
		return
	}
	l.changes = append(l.changes, membershipChange{Revision{index, l.digest}, l.pending})
	l.changedIDs += len(l.pending)
	l.pending = nil
	for l.changedIDs > maxMembershipChanges {
		l.base = l.changes[0].revision
		l.changedIDs -= len(l.changes[0].ids)
		l.changes = l.changes[1:]
	}
}

// current returns the revision of the members now.
func (l *membershipLog) current() Revision {
	if n := len(l.changes); n > 0 {
		return l.changes[n-1].revision
	}
	return l.base
}

// since returns the ids that changed after a revision, each once and sorted. The result ok is false
// if the log does not reach back to it, or has never had it.
func (l *membershipLog) since(r Revision) (ids []string, ok bool) {
	next := 0
	if r != l.base {
		byIndex := func(c membershipChange, index uint64) int {
			return cmp.Compare(c.revision.Index, index)
		}
		at, found := slices.BinarySearchFunc(l.changes, r.Index, byIndex)
		if !found || l.changes[at].revision != r {
			return nil, false
		}
		next = at + 1
	}
	for _, c := range l.changes[next:] {
		ids = append(ids, c.ids...)
	}
	slices.Sort(ids)
	return slices.Compact(ids), true
}

// memberDigest returns a member's part of a digest. That of a list is the exclusive or of all its
// members' parts and emptyDigest.
func memberDigest(member lease.Member, address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(member.ID)) // a hash returns no errors
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte{0}, member.Incarnation))
	_, _ = h.Write([]byte(address))
	return mixBits(h.Sum64())
}

// membersDigest returns the digest of a list of members, in any order.
func membersDigest(all []MemberInfo) uint64 {
	digest := uint64(emptyDigest)
	for i := range all {
		digest ^= memberDigest(all[i].Member, all[i].Address)
	}
	return digest
}

// votersDigest returns the digest of a list of voters, in any order.
func votersDigest(all []VoterInfo) uint64 {
	digest := uint64(emptyDigest)
	for _, v := range all {
		h := fnv.New64a()
		_, _ = h.Write([]byte(v.Name + "\x00" + v.Number + "\x00" + v.Address))
		digest ^= mixBits(h.Sum64())
	}
	return digest
}

// mixBits spreads a hash over all its bits, as MurmurHash3 does: FNV alone leaves similar names
// close together.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
