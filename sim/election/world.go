// Package election plays voters and members of a fleet in virtual time: the real agree, lease and standing, with
// links that lose, delay, double and cut, processes that stop, die and come back, disks that forget what was not
// synced, and clocks of different pace. One seed has one history.
package election

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/checkpoint"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

const (
	ms       = time.Millisecond
	tick     = 40 * ms
	election = 10
	duty     = "duty"
)

// Options say what is played.
type Options struct {
	Seed    uint64        `json:"seed"`
	Voters  int           `json:"voters"`
	Members int           `json:"members"`
	For     time.Duration `json:"for"`
	Quiet   bool          `json:"quiet"` // no faults
	Keep    uint64        `json:"keep"`  // entries; 0: 24
}

// Breach is a promise that was not kept.
type Breach struct {
	What string `json:"what"` // two_owners, late_effects, lost_acked, doubled, stale_read or diverged
	How  string `json:"how"`
	At   string `json:"at"`
}

// Result is what a play came to.
type Result struct {
	Breach   *Breach        `json:"breach,omitempty"`
	Events   int            `json:"events"`
	Acked    int            `json:"acked"`
	Effects  int            `json:"effects"`
	Terms    uint64         `json:"terms"` // of the duty
	Leaders  int            `json:"leaders"`
	Faults   map[string]int `json:"faults"`
	Messages int            `json:"messages"` // between voters
	Bytes    int            `json:"bytes"`
	Free     time.Duration  `json:"free"` // the longest that nobody held the duty
	States   map[string]bool
}

// World is one play.
type World struct {
	o      Options
	now    time.Duration
	r      *rand.Rand
	events eventHeap
	order  uint64
	procs  []*proc // voters, then members
	cut    map[[2]int]bool
	loss   float64
	late   time.Duration
	calm   time.Duration // no faults before
	res    Result

	log      map[uint64]string // what was applied at each index, by whoever applied it first
	acked    map[string]bool
	gate     lease.Gate // of a receiver outside the log
	admitted uint64
	terms    map[uint64]lease.Member
	firsts   map[uint64]uint64 // entry of a term's first effect
	leaders  map[uint64]bool
	heldAt   time.Duration
}

// proc is a voter or a member.
type proc struct {
	w       *World
	n       int
	up      bool
	stopped bool
	life    int           // counts its processes
	pace    float64       // of its clock
	shift   time.Duration // of it
	inbox   []func()      // what came while it lay stopped, or its disk was at work
	busy    bool

	voter  *voter
	member *member
}

func (p *proc) clock() time.Duration { return p.shift + time.Duration(float64(p.w.now)*p.pace) }

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// at has something happen after a while.
func (w *World) at(after time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + after, w.order, do})
}

// on has a process do something after a while by its clock, if it is still the same process then; while it lies
// stopped that waits.
func (p *proc) on(after time.Duration, do func()) {
	life := p.life
	p.w.at(time.Duration(float64(after)/p.pace), func() { p.run(life, do) })
}

func (p *proc) run(life int, do func()) {
	switch {
	case !p.up || p.life != life:
	case p.stopped || p.busy:
		p.inbox = append(p.inbox, func() { p.run(life, do) })
	default:
		do()
		p.work()
	}
}

// wake does what waited.
func (p *proc) wake() {
	for len(p.inbox) > 0 && p.up && !p.stopped && !p.busy {
		next := p.inbox[0]
		p.inbox = p.inbox[1:]
		next()
	}
}

// send has something happen at another process, if the link lets it through.
func (w *World) send(from, to *proc, do func()) {
	if w.cut[[2]int{from.n, to.n}] || w.r.Float64() < w.loss {
		return
	}
	times := 1
	if w.r.IntN(50) == 0 {
		times = 2
	}
	for range times {
		life := to.life
		delay := 200*time.Microsecond + time.Duration(w.r.Int64N(int64(2*ms+w.late)))
		w.at(delay, func() {
			// A link that is cut swallows what is on its way, too.
			if !w.cut[[2]int{from.n, to.n}] {
				to.run(life, do)
			}
		})
	}
}

func (w *World) breach(what, format string, args ...any) {
	if w.res.Breach == nil {
		w.res.Breach = &Breach{what, fmt.Sprintf(format, args...), w.now.String()}
	}
}

// Play plays a world. A panic of what it plays is a breach.
func Play(o Options) (res Result) {
	if o.Keep == 0 {
		o.Keep = 24
	}
	w := &World{o: o, r: rand.New(rand.NewPCG(o.Seed, 0x0114e5)), cut: map[[2]int]bool{}, log: map[uint64]string{}, acked: map[string]bool{},
		terms: map[uint64]lease.Member{}, firsts: map[uint64]uint64{}, leaders: map[uint64]bool{}}
	w.res.Faults, w.res.States = map[string]int{}, map[string]bool{}
	var voters []*controlpb.Voter
	for i := range o.Voters {
		voters = append(voters, &controlpb.Voter{Number: uint64(i + 1), Name: fmt.Sprintf("v%d", i)})
	}
	for i := range o.Voters + o.Members {
		// Any two clocks go at paces that the margin covers.
		p := &proc{w: w, n: i, pace: 0.945 + 0.115*w.r.Float64(), shift: time.Duration(w.r.Int64N(int64(time.Hour)))}
		w.procs = append(w.procs, p)
		if i < o.Voters {
			saved, err := consensus.BootstrapState("sim", voters)
			if err != nil {
				panic(err)
			}
			p.voter = &voter{p: p, number: uint64(i + 1), disk: disk{saved: saved}}
		} else {
			p.member = &member{p: p, id: fmt.Sprintf("m%d", i)}
		}
	}
	for _, p := range w.procs {
		p.start()
	}
	if !o.Quiet {
		w.schedule()
	}
	defer func() {
		if why := recover(); why != nil {
			w.breach("panic", "%v", why)
			res = w.res
		}
	}()
	for len(w.events) > 0 && w.res.Breach == nil {
		e := heap.Pop(&w.events).(event)
		if e.at > o.For {
			break
		}
		w.now = e.at
		w.res.Events++
		e.do()
		w.look()
	}
	if w.res.Breach == nil {
		w.end()
	}
	w.res.Acked, w.res.Leaders = len(w.acked), len(w.leaders)
	return w.res
}

// look tells whether two hold the duty at this moment, of those that would act on it.
func (w *World) look() {
	holders := 0
	for _, p := range w.procs[w.o.Voters:] {
		if !p.up || p.stopped {
			continue
		}
		if _, ok := p.member.holder.Holds(p.clock()); ok {
			holders++
		}
	}
	if holders > 1 {
		w.breach("two_owners", "%d members hold the duty", holders)
	}
	if holders > 0 {
		w.heldAt = w.now
	} else if w.now > 3*time.Second {
		w.res.Free = max(w.res.Free, w.now-w.heldAt)
	}
}

// end holds the voters' states against what was acknowledged.
func (w *World) end() {
	var best *voter
	for _, p := range w.procs[:w.o.Voters] {
		if v := p.voter; v.node != nil && (best == nil || v.node.AppliedIndex() > best.node.AppliedIndex()) {
			best = v
		}
	}
	if best == nil {
		return
	}
	l := best.machines["ledger"].(*ledger)
	if uint64(len(w.acked)) > 0 && best.node.AppliedIndex() < w.newest() {
		return // nobody that runs holds all: a majority is down at the end
	}
	for word := range w.acked {
		if !l.has[word] {
			w.breach("lost_acked", "%s was acknowledged, and is not there", word)
			return
		}
	}
}

// newest is the newest entry that anybody applied.
func (w *World) newest() (n uint64) {
	for i := range w.log {
		n = max(n, i)
	}
	return n
}

// ledger is a machine that keeps words, each once, and tells the judge what is applied.
type ledger struct {
	v     *voter
	words []string
	has   map[string]bool
}

func (l *ledger) Apply(at time.Duration, index uint64, who lease.Member, body []byte) []byte {
	word := string(body)
	if l.has[word] {
		l.v.p.w.breach("doubled", "%s was applied twice", word)
	}
	l.words = append(l.words, word)
	l.has[word] = true
	l.v.saw(index, word)
	return fmt.Appendf(nil, "%d", len(l.words))
}

func (l *ledger) Query(time.Duration, []byte) []byte { return fmt.Appendf(nil, "%d", len(l.words)) }

func (l *ledger) Snapshot() []byte {
	raw, err := json.Marshal(l.words)
	if err != nil {
		panic(err)
	}
	return raw
}

func (l *ledger) Restore(raw []byte) error {
	l.words, l.has = nil, map[string]bool{}
	err := json.Unmarshal(raw, &l.words)
	for _, word := range l.words {
		l.has[word] = true
	}
	return err
}

// witnessed is standing with the judge beside it.
type witnessed struct {
	*checkpoint.Machine
	v *voter
}

func (m witnessed) Apply(at time.Duration, index uint64, who lease.Member, body []byte) []byte {
	answer := m.Machine.Apply(at, index, who, body)
	var op checkpoint.Op
	var res checkpoint.Result
	if json.Unmarshal(body, &op) == nil && json.Unmarshal(answer, &res) == nil && res.OK {
		m.v.saw(index, fmt.Sprintf("%s %d %s", op.Key, op.Term, who))
		m.v.p.w.effect(index, op.Term, who)
	}
	return answer
}

// saw tells the judge what this voter applied at an index: every voter the same.
func (v *voter) saw(index uint64, what string) {
	if other, ok := v.p.w.log[index]; ok && other != what {
		v.p.w.breach("diverged", "entry %d is %q at voter %d, and %q at another", index, what, v.number, other)
	}
	v.p.w.log[index] = what
}

// effect takes in that an agreed effect counts.
func (w *World) effect(index, term uint64, who lease.Member) {
	if was, ok := w.terms[term]; ok && was != who {
		w.breach("two_owners", "effects of %s and %s under term %d", was, who, term)
	}
	w.terms[term] = who
	w.res.Terms = max(w.res.Terms, term)
	for later, first := range w.firsts {
		if later > term && first < index {
			w.breach("late_effects", "an effect under term %d at entry %d, after one under term %d", term, index, later)
		}
	}
	if first, ok := w.firsts[term]; !ok || index < first {
		w.firsts[term] = index
	}
}

// disk is what a voter's folder holds, and what of it a power cut would take.
type disk struct {
	saved   consensus.StoredState
	waiting []consensus.Ready // written, not synced
}

func (d *disk) write(w consensus.Ready) {
	d.waiting = append(d.waiting, w)
	if w.MustSync {
		d.sync()
	}
}

// sync has all that was written on disk.
func (d *disk) sync() {
	for _, w := range d.waiting {
		if w.HardState != nil {
			d.saved.HardState = w.HardState
		}
		if w.Snapshot != nil {
			d.saved.Snapshot = w.Snapshot
		}
		if w.ReplaceLog {
			d.saved.Entries = nil
		}
		for _, e := range w.Entries {
			for len(d.saved.Entries) > 0 && d.saved.Entries[len(d.saved.Entries)-1].GetIndex() >= e.GetIndex() {
				d.saved.Entries = d.saved.Entries[:len(d.saved.Entries)-1]
			}
			d.saved.Entries = append(d.saved.Entries[:len(d.saved.Entries):len(d.saved.Entries)], e)
		}
		for len(d.saved.Entries) > 0 && d.saved.Entries[0].GetIndex() < w.FirstIndex {
			d.saved.Entries = d.saved.Entries[1:]
		}
		witness := map[uint64]consensus.Promise{}
		for of, p := range d.saved.Promises {
			witness[of] = p
		}
		for of, p := range w.Promises {
			witness[of] = p
		}
		d.saved.Promises = witness
	}
	d.waiting = nil
}

func copyOf(s consensus.StoredState) consensus.StoredState {
	c := s
	c.HardState = proto.Clone(s.HardState).(*raftpb.HardState)
	c.Entries = append([]*raftpb.Entry(nil), s.Entries...)
	return c
}

// silent drops what the log's library says.
type silent struct{}

func (silent) Debug(...any)                   {}
func (silent) Debugf(string, ...any)          {}
func (silent) Info(...any)                    {}
func (silent) Infof(string, ...any)           {}
func (silent) Warning(...any)                 {}
func (silent) Warningf(string, ...any)        {}
func (silent) Error(...any)                   {}
func (silent) Errorf(string, ...any)          {}
func (silent) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (silent) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (silent) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (silent) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

var _ raft.Logger = silent{}
