package consensus

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"

	"mothcleat/internal/controlplane/lease"
)

// Revision identifies one version of a list of members: the index of the log entry that led to it,
// and a digest of the list. Voters apply the same entries, so an index identifies the same list at
// each of them. The digest distinguishes lists even after a fleet was bootstrapped again or
// restored from older copies, where the same indexes occur again. The zero Revision identifies no
// list.
type Revision struct {
	Index  uint64 `json:"index,omitempty"` // 0: a part of the list, identified by its digest alone
	Digest uint64 `json:"digest"`
}

// maxMembershipChanges bounds how many changed ids a voter keeps for clients that have an earlier
// list. At 1,100 restarts an hour they cover almost an hour.
const maxMembershipChanges = 1024

// emptyDigest is the digest of an empty list, so that no list has the digest of the zero Revision.
const emptyDigest = 0x9e3779b97f4a7c15

// membershipChange lists the ids that one log entry added, removed or replaced.
type membershipChange struct {
	revision Revision // after the change
	ids      []string
}

// membershipLog holds the latest changes of the members, as one voter has applied them. It is not
// part of the replicated state: a voter that restores a snapshot starts a new one.
type membershipLog struct {
	digest     uint64   // of the current members
	pending    []string // ids that changed since the last commit
	base       Revision // the revision before the first of the changes
	changes    []membershipChange
	changedIDs int // number of ids in changes
}

// reset clears the log. The current members are those after the entry with the index.
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

// commit ends an entry: the changes since the last commit form one revision.
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

// current returns the revision of the current members.
func (l *membershipLog) current() Revision {
	if n := len(l.changes); n > 0 {
		return l.changes[n-1].revision
	}
	return l.base
}

// since returns the ids that changed after a revision, sorted and without duplicates. The result ok
// is false if the log does not reach back to the revision, or never contained it.
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

// memberDigest returns a member's part of a digest. The digest of a list is the exclusive or of
// emptyDigest and the parts of all its members.
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
