package configversion

import (
	"encoding/json"
	"maps"
	"strings"
	"time"

	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/lease"
)

// fetchInterval is the time between two attempts to fetch one content.
const fetchInterval = 300 * time.Millisecond

// member is one gateway of the fleet.
type member struct {
	id           string
	incarnation  uint64
	pace         float64
	offset       time.Duration
	holder       *configversion.Holder
	down         bool
	stopped      bool
	stoppedUntil time.Duration
	cutUntil     time.Duration // until when it is cut off from the network
	ended        []uint64
	requestedAt  time.Duration
	content      map[string]bool // the digests of the contents in its folder
	older        bool            // its build can't read every content
	enrols       bool
	reported     map[string]uint64 // the numbers that it has reported, by item
	refused      map[string]bool
	terms        map[string]float64 // the rates by which it decides, by item
	fetching     map[string]time.Duration
	pending      []operation // decided, but not carried out yet
}

// operation is a client's request that was decided, but has not reached a server yet.
type operation struct {
	number map[string]uint64
	by     time.Duration
	rate   map[string]float64
}

func (m *member) me() lease.Member { return lease.Member{ID: m.id, Incarnation: m.incarnation} }

// clock returns the time by a member's own clock.
func (w *World) clock(m *member) time.Duration {
	return m.offset + time.Duration(float64(w.now)*m.pace)
}

// start starts a new process of a member.
func (w *World) start(m *member) {
	w.incarnations++
	if m.incarnation != 0 {
		m.ended = append(m.ended, m.incarnation)
	}
	m.incarnation, m.down, m.stopped, m.pending = w.incarnations, false, false, nil
	m.holder = configversion.NewHolder(w.rules)
	m.enrols, m.requestedAt = true, -time.Hour
	m.reported = map[string]uint64{}
	m.refused = map[string]bool{}
	m.terms = map[string]float64{}
	m.fetching = map[string]time.Duration{}
}

// reads reports whether a member's build can act on a content.
func (m *member) reads(digest string) bool { return !m.older || !strings.HasPrefix(digest, "0") }

// stepMember plays one step of a member that runs.
func (w *World) stepMember(m *member) {
	now := w.clock(m)
	if now-m.requestedAt >= w.rules.RenewInterval {
		m.requestedAt = now
		w.requestLease(m, now)
	}
	for _, r := range m.holder.MissingContents() {
		w.fetch(m, now, r)
	}
	for _, item := range m.holder.Items() {
		w.putInForce(m, now, item)
		m.report(w, item)
	}
	if !w.noOperations {
		w.decide(m, now)
	}
}

// fetch checks a content if the member has it, and otherwise fetches it from another member.
func (w *World) fetch(m *member, now time.Duration, r configversion.Ref) {
	if m.content[r.Digest] {
		why := ""
		if !m.reads(r.Digest) {
			why = "this program can't read it"
		}
		m.holder.ContentChecked(r.Digest, why)
		return
	}
	if now < m.fetching[r.Digest] {
		return
	}
	m.fetching[r.Digest] = now + fetchInterval
	from := w.members[w.r.IntN(len(w.members))]
	if !from.content[r.Digest] { // try a voter: most voters store proposed contents
		from = w.members[w.r.IntN(voters)]
	}
	if from == m || from.down || from.stopped || from.cutUntil > w.now || !from.content[r.Digest] {
		return
	}
	incarnation := m.incarnation
	w.send(from, m, func() {
		if m.incarnation == incarnation {
			m.content[r.Digest] = true
		}
	})
}

// putInForce puts an item's target in force if it may be, with the lowest rate of the target and
// the overlapping versions.
func (w *World) putInForce(m *member, now time.Duration, item string) {
	to, overlapping, forAll, ok := m.holder.NextToApply(now, item)
	if !ok || !forAll {
		return
	}
	rate := w.rates[to.Digest]
	for _, b := range overlapping {
		rate = min(rate, w.rates[b.Digest])
	}
	m.terms[item] = rate
	m.holder.SetInForce(now, item, to.Number)
}

// decide occasionally decides a request, and lets one that was decided earlier reach a server.
func (w *World) decide(m *member, now time.Duration) {
	if by := m.holder.LeasedUntil(now); by != 0 && w.r.IntN(4) == 0 {
		m.pending = append(m.pending, operation{m.holder.InForce(), by, maps.Clone(m.terms)})
	}
	if len(m.pending) > 0 && w.r.IntN(3) == 0 {
		a := m.pending[0]
		m.pending = m.pending[1:]
		w.operate(m, now, a)
	}
}

// report reports the version in force to the fleet, until that report is committed.
func (m *member) report(w *World, item string) {
	number := m.holder.InForce()[item]
	if to, _, _, _ := m.holder.NextToApply(1<<60, item); to.Number != 0 && number < to.Number {
		return
	}
	if number > m.reported[item] && w.r.IntN(4) == 0 {
		incarnation := m.incarnation
		w.apply(
			m,
			configversion.Command{Kind: configversion.KindReport, Item: item, Number: number},
			func(r configversion.Result) {
				if m.incarnation == incarnation && r.OK {
					m.reported[item] = max(m.reported[item], number)
				}
			},
		)
	}
}

// requestLease requests a member's lease, and enrols the member if necessary.
func (w *World) requestLease(m *member, sent time.Duration) {
	incarnation := m.incarnation
	if m.enrols {
		w.apply(
			m,
			configversion.Command{Kind: configversion.KindEnrol, EndedIncarnations: m.ended},
			nil,
		)
		m.enrols = false
	}
	who := m.me()
	w.send(m, nil, func() {
		t := w.log.LeaseFor(w.fleet, who)
		raw, err := json.Marshal(t)
		if err != nil {
			w.breach("unreadable", "%v", err)
		}
		w.bytes += len(raw)
		w.send(m, m, func() {
			if m.incarnation != incarnation {
				return
			}
			var t configversion.LeaseResponse
			_ = json.Unmarshal(raw, &t)
			m.enrols = m.enrols || t.MustEnrol
			m.holder.HandleLease(w.clock(m), sent, &t)
			for _, g := range t.Targets {
				if why := m.holder.RejectionReason(
					g.Item,
					g.Digest,
				); why != "" &&
					!m.refused[g.Digest] {
					m.refused[g.Digest] = true
					w.apply(
						m,
						configversion.Command{
							Kind:     configversion.KindReport,
							Item:     g.Item,
							Number:   g.Number,
							Rejected: true,
							Why:      why,
						},
						nil,
					)
				}
			}
		})
	})
}
