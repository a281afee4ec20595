package consensus

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"

	"mothcleat/internal/controlplane/lease"
)

// Revision names one content of a list of members: the index of the log entry that brought it
// about, and a digest of the content. Voters apply the same entries, so an index names the same
// content at each of them; the digest says so even where a fleet was founded again, or put back
// from older folders, and its indexes have begun anew. The zero Revision names none.
type Revision struct {
	Index  uint64 `json:"index,omitempty"` // 0: of a part of the list, which only its digest names
	Digest uint64 `json:"digest"`
}

// maxMembershipChanges bounds how many changed ids a voter keeps for askers that have an earlier
// list. At 1,100 restarts an hour they reach back for almost an hour.
const maxMembershipChanges = 1024

// digestOfNone is the digest of an empty list, so that no list has the digest of the zero Revision.
const digestOfNone = 0x9e3779b97f4a7c15

// membershipChange is the ids that one log entry added, removed or replaced.
type membershipChange struct {
	revision Revision // after it
	ids      []string
}

// membershipLog is the latest changes of the members, as one voter has applied them. It is no part
// of the agreed state: a voter that restores a snapshot begins a new one.
type membershipLog struct {
	digest  uint64   // of the members now
	pending []string // ids that changed since the last commit
	base    Revision // the earliest revision that changes lead on from
	changes []membershipChange
	kept    int // ids in changes
}

// begin starts the log anew, with the members as they are after an entry.
func (l *membershipLog) begin(index uint64) {
	l.base = Revision{Index: index, Digest: l.digest}
	l.pending, l.changes, l.kept = nil, nil, 0
}

// change takes in that a member was added or removed.
func (l *membershipLog) change(who lease.Member, address string) {
	l.digest ^= digestOf(who, address)
	l.pending = append(l.pending, who.ID)
}

// commit ends an entry: what has changed since the last commit makes one revision.
func (l *membershipLog) commit(index uint64) {
	if len(l.pending) == 0 {
		return
	}
	l.changes = append(l.changes, membershipChange{Revision{index, l.digest}, l.pending})
	l.kept += len(l.pending)
	l.pending = nil
	for l.kept > maxMembershipChanges {
		l.base = l.changes[0].revision
		l.kept -= len(l.changes[0].ids)
		l.changes = l.changes[1:]
	}
}

// current is the revision of the members now.
func (l *membershipLog) current() Revision {
	if n := len(l.changes); n > 0 {
		return l.changes[n-1].revision
	}
	return l.base
}

// since returns the ids that changed after a revision, each once and sorted. ok is false if the log
// does not reach back to it, or has never had it.
func (l *membershipLog) since(r Revision) (ids []string, ok bool) {
	next := 0
	if r != l.base {
		byIndex := func(c membershipChange, index uint64) int { return cmp.Compare(c.revision.Index, index) }
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

// digestOf is a member's part of a digest: that of a list is the exclusive or of all its members'
// and digestOfNone.
func digestOf(who lease.Member, address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(who.ID)) // a hash has no errors
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte{0}, who.Incarnation))
	_, _ = h.Write([]byte(address))
	return mixed(h.Sum64())
}

// mixed spreads a hash over all its bits: fnv alone leaves like names close together.
func mixed(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
