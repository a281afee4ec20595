package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mothcleat/agree"
	"mothcleat/chronicle"
	"mothcleat/internal/duties"
	"mothcleat/internal/faultpoint"
	"mothcleat/internal/fleetlink"
	"mothcleat/internal/fleetpb"
	"mothcleat/internal/steady"
	"mothcleat/lease"
	"mothcleat/versions"
)

// Item is something that is acted on, as the process that acts on it knows it.
type Item interface {
	// Check tells why a content can't be acted on here; nil: it can.
	Check(raw []byte) error
	// Use has a content decide from now on, beside others whose terms bind as well; raw is nil for what this process has by its own
	// configuration. order grows with each call that changes anything. It calls done, from where the decisions are made, in
	// the moment in which it has changed over.
	Use(raw []byte, beside [][]byte, order uint64, done func())
}

// Agent is one process's side. Run it; its other methods may be called from any goroutine, and Acts and Over never wait for anything
// but a short lock.
type Agent struct {
	rules    versions.Rules
	client   *fleetlink.Client
	contents *Contents
	items    map[string]Item
	log      *slog.Logger

	looks   sync.Mutex
	mu      sync.Mutex
	holder  *versions.Holder
	using   map[string]string // what was given to Use last, by item
	told    map[string]uint64 // what was reported, by item
	refused map[string]bool   // digests whose refusal was reported
	gone    []uint64
	enrols  bool
	stamp   uint64 // counts what was put in force
	out     bool   // as was logged last

	others  atomic.Pointer[agree.List]
	changed func(inForce map[string]uint64) // see Follow
	head    func() *chronicle.Head
}

const (
	askWithin   = 2 * time.Second
	doWithin    = 2 * time.Second
	fetchWithin = 5 * time.Second
	fetchAgain  = 100 * time.Millisecond
	othersEach  = 3 * time.Second
	headEach    = 3 * time.Second
	tidyEach    = 10 * time.Minute
	keepOf      = 16        // newest versions of an item whose contents are kept: a withdrawal brings one back
	untouched   = time.Hour // what is being fetched or proposed
)

// New makes an agent that may act on nothing yet.
func New(r versions.Rules, client *fleetlink.Client, contents *Contents, items map[string]Item, log *slog.Logger) *Agent {
	return &Agent{rules: r, client: client, contents: contents, items: items, log: log, holder: versions.NewHolder(r), using: map[string]string{},
		told: map[string]uint64{}, refused: map[string]bool{}, enrols: true, out: true}
}

// Gone tells of boots of this process's id that run no more: nobody has to wait for their permits.
func (a *Agent) Gone(boots []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gone = boots
}

// Follow has a function called with each change of what is in force, with the agent's lock held. It is to be called before Run.
func (a *Agent) Follow(changed func(inForce map[string]uint64)) { a.changed = changed }

// Heads has the agent tell the fleet where this process's record stands. It is to be called before Run.
func (a *Agent) Heads(head func() *chronicle.Head) { a.head = head }

// heading tells it.
func (a *Agent) heading(ctx context.Context) {
	if a.head == nil {
		return
	}
	var told chronicle.Head
	each(ctx, headEach, func() {
		h := a.head()
		if h == nil || *h == told {
			return
		}
		if err := a.do(ctx, versions.Op{Do: "head", Head: h}); err == nil {
			told = *h
		}
	})
}

// tidying removes contents that no version is to be had of any more.
func (a *Agent) tidying(ctx context.Context) {
	each(ctx, tidyEach, func() {
		one, cancel := context.WithTimeout(ctx, askWithin)
		defer cancel()
		v, err := a.View(one)
		if err != nil {
			return
		}
		if err := a.contents.Tidy(kept(&v), untouched); err != nil {
			a.log.Warn("fleet: versions: contents that are of no more use can't be removed", "error", err)
		}
	})
}

// kept are the contents that are of use: of the newest versions of each item, and of those that somebody may act on.
func kept(v *versions.View) map[string]bool {
	keep, count := map[string]bool{}, map[string]int{}
	for i := len(v.Versions) - 1; i >= 0; i-- {
		one := &v.Versions[i]
		if count[one.Item]++; count[one.Item] <= keepOf || one.Until == 0 || v.At < one.Until {
			keep[one.Digest] = true
		}
	}
	return keep
}

// Acts tells until when this process may act, by the steady clock, and a stamp of what is in force; 0: it is shut out.
func (a *Agent) Acts() (until time.Duration, stamp uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Acts(steady.Now()), a.stamp
}

// Over tells whether what was decided under a permit may not be done any more.
func (a *Agent) Over(until time.Duration, stamp uint64) bool {
	faultpoint.At("permit-taken")
	now := steady.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return now >= until || stamp != a.stamp || a.holder.Acts(now) == 0
}

// Run asks until the context ends, and then says that this process acts no more.
func (a *Agent) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, do := range []func(context.Context){a.asking, a.fetching, a.reporting, a.looking, a.heading, a.tidying} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			do(ctx)
		}()
	}
	wg.Wait()
}

// Leave says that this process acts on nothing any more.
func (a *Agent) Leave(ctx context.Context) {
	if err := a.do(ctx, versions.Op{Do: "left"}); err != nil {
		a.log.Debug("fleet: versions: not told that this process leaves", "error", err)
	}
}

// each calls a function again and again until the context ends.
func each(ctx context.Context, every time.Duration, do func()) {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		do()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (a *Agent) asking(ctx context.Context) {
	me := a.client.Me()
	body, err := json.Marshal(me)
	if err != nil {
		panic(err) // plain data
	}
	each(ctx, a.rules.Every, func() {
		a.mu.Lock()
		enrols, gone := a.enrols, a.gone
		a.mu.Unlock()
		if enrols {
			if err := a.do(ctx, versions.Op{Do: "here", Gone: gone}); err != nil {
				return
			}
			a.mu.Lock()
			a.enrols = false
			a.mu.Unlock()
		}
		one, cancel := context.WithTimeout(ctx, askWithin)
		defer cancel()
		sent := steady.Now()
		raw, err := a.client.Ask(one, versions.MachineName, body)
		var t versions.Told
		if err == nil {
			err = json.Unmarshal(raw, &t)
		}
		if err != nil {
			return // what was permitted runs out
		}
		faultpoint.At("permit-told")
		a.hear(sent, &t)
	})
}

func (a *Agent) hear(sent time.Duration, t *versions.Told) {
	a.mu.Lock()
	a.holder.Hear(steady.Now(), sent, t)
	a.enrols = a.enrols || t.Enrol
	a.mu.Unlock()
	a.look()
}

// look puts in force what can be, and logs whether this process is shut out.
func (a *Agent) look() {
	type use struct {
		item   Item
		raw    []byte
		beside [][]byte
		order  uint64
		done   func()
	}
	var uses []use
	a.looks.Lock() // what is put in force goes there in its order
	defer a.looks.Unlock()
	a.mu.Lock()
	now := steady.Now()
	for _, name := range a.holder.Items() {
		to, beside, whole, ok := a.holder.Next(now, name)
		item := a.items[name]
		if !ok || !whole || item == nil {
			continue
		}
		key := fmt.Sprint(to, beside)
		if a.using[name] == key {
			continue
		}
		u := use{item: item, order: 2 * to.Number}
		if len(beside) == 0 {
			u.order++ // nobody acts on anything earlier
		}
		var err error
		if u.raw, err = a.read(to); err == nil {
			for _, r := range beside {
				var raw []byte
				if raw, err = a.read(r); err != nil {
					break
				}
				u.beside = append(u.beside, raw)
			}
		}
		if err != nil {
			a.log.Error("fleet: versions: a content can't be read any more", "item", name, "error", err)
			a.holder.Lost(to.Digest)
			continue
		}
		a.using[name] = key
		u.done = func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			was := a.holder.InForce()[name]
			a.holder.PutInForce(steady.Now(), name, to.Number)
			if a.holder.InForce()[name] != was {
				a.stamp++
				a.log.Info("fleet: version in force", "item", name, "number", to.Number, "before", was, "digest", to.Digest)
				if a.changed != nil {
					a.changed(a.holder.InForce())
				}
			}
		}
		uses = append(uses, u)
	}
	why := a.holder.Why(now)
	if out := why != ""; out != a.out {
		a.out = out
		if out {
			a.log.Warn("fleet: shut out: this gateway acts on nothing", "why", why)
		} else {
			a.log.Info("fleet: let in: this gateway acts")
		}
	}
	a.mu.Unlock()
	for _, u := range uses {
		faultpoint.At("version-before-force")
		u.item.Use(u.raw, u.beside, u.order, u.done)
	}
}

// read gives a content that was checked; nil for what this process has by its own configuration.
func (a *Agent) read(r versions.Ref) ([]byte, error) {
	if r.Digest == "" {
		return nil, nil
	}
	return a.contents.Read(r.Digest)
}

// fetching has all contents that are wanted here.
func (a *Agent) fetching(ctx context.Context) {
	each(ctx, fetchAgain, func() {
		a.mu.Lock()
		wants := a.holder.Wants()
		a.mu.Unlock()
		for _, r := range wants {
			raw, err := a.contents.Read(r.Digest)
			if errors.Is(err, fs.ErrNotExist) {
				if err = a.fetch(ctx, r, a.sources()); err == nil {
					raw, err = a.contents.Read(r.Digest)
				}
			}
			if err != nil {
				a.log.Debug("fleet: versions: a content is not to be had yet", "digest", r.Digest, "error", err)
				continue
			}
			a.checked(r.Digest, raw)
		}
		a.look()
	})
}

// checked tells whether a content can be acted on. It may be any item's.
func (a *Agent) checked(digest string, raw []byte) {
	a.mu.Lock()
	names := a.holder.ItemsOf(digest)
	a.mu.Unlock()
	why := ""
	for _, name := range names {
		item := a.items[name]
		if item == nil {
			why = fmt.Sprintf("this program does not know what %s are", name)
		} else if err := item.Check(raw); err != nil {
			why = err.Error()
		}
	}
	if faultpoint.Denied("content-read") {
		why = "this program can't read it"
	}
	if why != "" {
		a.log.Error("fleet: versions: a content can't be acted on here", "items", names, "digest", digest, "why", why)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.Checked(digest, why)
}

// sources are the other processes, in the order in which they are asked for a content: one by chance, so that a content spreads; then those
// that vote, most of whom have what was proposed; then the rest.
func (a *Agent) sources() (all []agree.Present) {
	p := a.others.Load()
	if p == nil {
		return nil
	}
	for _, i := range rand.Perm(len(p.Members)) {
		if m := p.Members[i]; m.Address != "" && m.ID != a.client.Me().ID {
			all = append(all, m)
		}
	}
	if len(all) > 1 {
		votes := func(m agree.Present) int {
			if slices.ContainsFunc(p.Voters, func(v agree.VoterAt) bool { return v.Name == m.ID }) {
				return 0
			}
			return 1
		}
		slices.SortStableFunc(all[1:], func(a, b agree.Present) int { return votes(a) - votes(b) })
	}
	return all
}

// fetch has a content from one after another until it is whole.
func (a *Agent) fetch(ctx context.Context, r versions.Ref, from []agree.Present) error {
	last := errors.New("rollout: nobody to fetch from is known")
	for _, m := range from {
		one, cancel := context.WithTimeout(ctx, fetchWithin)
		err := a.fetchFrom(one, r, m)
		cancel()
		if err == nil {
			return nil
		}
		last = fmt.Errorf("%s: %w", m.ID, err)
	}
	return last
}

func (a *Agent) fetchFrom(ctx context.Context, r versions.Ref, m agree.Present) error {
	begun := a.contents.Begun(r.Digest)
	if begun > r.Size {
		begun = 0
	}
	next, err := a.client.Content(ctx, m.ID, m.Address, r.Digest, begun)
	if err != nil {
		return err
	}
	return a.contents.Take(r, begun, next)
}

// reporting tells the fleet what is in force here, and what can't be.
func (a *Agent) reporting(ctx context.Context) {
	each(ctx, a.rules.Every/4, func() {
		var ops []versions.Op
		refuses := map[string]string{} // digests, by item
		a.mu.Lock()
		for name, number := range a.holder.InForce() {
			target := a.holder.Target(name)
			if number >= target.Number && number > a.told[name] {
				ops = append(ops, versions.Op{Do: "report", Item: name, Number: number})
			}
			if why := a.holder.Refused(name, target.Digest); why != "" && !a.refused[target.Digest] {
				ops = append(ops, versions.Op{Do: "report", Item: name, Number: target.Number, Refused: true, Why: why})
				refuses[name] = target.Digest
			}
		}
		a.mu.Unlock()
		for _, op := range ops {
			faultpoint.At("version-before-report")
			err := a.do(ctx, op)
			a.mu.Lock()
			switch {
			case err != nil:
				a.log.Debug("fleet: versions: a report was not taken", "item", op.Item, "error", err)
			case op.Refused:
				a.refused[refuses[op.Item]] = true
			default:
				a.told[op.Item] = max(a.told[op.Item], op.Number)
			}
			a.mu.Unlock()
		}
	})
}

// looking keeps up whom contents can be had from.
func (a *Agent) looking(ctx context.Context) {
	each(ctx, othersEach, func() {
		if l, err := a.list(ctx); err == nil {
			a.others.Store(&l)
		}
	})
}

func (a *Agent) list(ctx context.Context) (l agree.List, err error) {
	one, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	raw, err := a.client.Ask(one, agree.FleetName, nil)
	if err == nil {
		err = json.Unmarshal(raw, &l)
	}
	return l, err
}

// do has a command agreed.
func (a *Agent) do(ctx context.Context, op versions.Op) error {
	_, err := a.number(ctx, op)
	return err
}

func (a *Agent) number(ctx context.Context, op versions.Op) (uint64, error) {
	one, cancel := context.WithTimeout(ctx, doWithin)
	defer cancel()
	op.Wall = time.Now().UnixMicro()
	raw, err := a.client.Do(one, versions.MachineName, op.Encode())
	var r versions.Result
	if err == nil {
		err = json.Unmarshal(raw, &r)
	}
	if err == nil && !r.OK {
		err = errors.New(r.Why)
	}
	return r.Number, err
}

// View is what is agreed.
func (a *Agent) View(ctx context.Context) (v versions.View, err error) {
	raw, err := a.client.Ask(ctx, versions.MachineName, nil)
	if err == nil {
		err = json.Unmarshal(raw, &v)
	}
	return v, err
}

// Propose has a content that lies in a file go through the fleet, from a stage on. It is agreed only when a majority of the voters have
// the content, so that it is not lost with this process.
func (a *Agent) Propose(ctx context.Context, item, path string, stage versions.Stage, lead time.Duration) (uint64, error) {
	known := a.items[item]
	if known == nil {
		return 0, fmt.Errorf("rollout: this program does not know what %.40q are", item)
	}
	if i, err := os.Stat(path); err != nil {
		return 0, err
	} else if i.Size() > versions.SizeMost {
		return 0, fmt.Errorf("%s: %d bytes, %d at most", path, i.Size(), versions.SizeMost)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	if err := known.Check(raw); err != nil {
		return 0, fmt.Errorf("%s: %w", path, err)
	}
	digest, err := a.contents.Add(raw)
	if err != nil {
		return 0, err
	}
	l, err := a.list(ctx)
	if err != nil {
		return 0, err
	}
	if err := a.spread(ctx, &l, digest, int64(len(raw))); err != nil {
		return 0, err
	}
	faultpoint.At("propose-before-agree")
	v, err := a.View(ctx)
	if err != nil {
		return 0, err
	}
	op := versions.Op{Do: "propose", Item: item, Number: 1, Digest: digest, Size: int64(len(raw)), Stage: stage, Lead: lead}
	for _, one := range v.Versions {
		if one.Item == item {
			op.Number = one.Number
		}
	}
	var ids []string
	for _, m := range l.Members {
		ids = append(ids, m.ID)
	}
	if stage != versions.All {
		op.Pilots = versions.Pilots(item, op.Number+1, stage, ids)
	}
	return a.number(ctx, op)
}

// spread has a majority of the voters keep a content.
func (a *Agent) spread(ctx context.Context, l *agree.List, digest string, size int64) error {
	me := a.client.Me()
	from := &fleetpb.Member{Id: me.ID, Boot: me.Boot}
	kept := make(chan bool, len(l.Voters))
	for _, v := range l.Voters {
		if v.Name == me.ID {
			kept <- true
			continue
		}
		go func() {
			kept <- a.client.Keep(ctx, v.Name, v.Address, &fleetpb.KeepAsk{Digest: digest, Size: size, From: from}) == nil
		}()
	}
	n := 0
	for range l.Voters {
		if <-kept {
			n++
		}
		if n > len(l.Voters)/2 {
			return nil
		}
	}
	return fmt.Errorf("rollout: %d of %d voters have the content, a majority is wanted", n, len(l.Voters))
}

// Keep fetches a content that is about to be proposed, from the process that names itself.
func (a *Agent) Keep(ctx context.Context, ask *fleetpb.KeepAsk) error {
	if ask.Size < 0 || ask.Size > versions.SizeMost || !digestName.MatchString(ask.Digest) {
		return fmt.Errorf("rollout: digest %.80q, %d bytes", ask.Digest, ask.Size)
	}
	if _, err := a.contents.Read(ask.Digest); err == nil {
		return nil
	}
	l, err := a.list(ctx)
	if err != nil {
		return err
	}
	for _, m := range l.Members {
		if m.ID == ask.From.GetId() {
			return a.fetchFrom(ctx, versions.Ref{Digest: ask.Digest, Size: ask.Size}, m)
		}
	}
	return fmt.Errorf("rollout: no process %.40q", ask.From.GetId())
}

// Give sends a content that is here.
func (a *Agent) Give(digest string, from int64, send func([]byte) error) error {
	return a.contents.Give(digest, from, send)
}

// Say has a person's command about a version agreed.
func (a *Agent) Say(ctx context.Context, op versions.Op) (uint64, error) {
	if op.Do == "go-on" && op.Stage != versions.All {
		l, err := a.list(ctx)
		if err != nil {
			return 0, err
		}
		var ids []string
		for _, m := range l.Members {
			ids = append(ids, m.ID)
		}
		op.Pilots = versions.Pilots(op.Item, op.Number, op.Stage, ids)
	}
	return a.number(ctx, op)
}

// Work is the duty of guiding roll-outs.
func (a *Agent) Work(ctx context.Context, t *duties.Tenure) {
	each(ctx, a.rules.Every, func() {
		one, cancel := context.WithTimeout(ctx, askWithin)
		defer cancel()
		v, err := a.View(one)
		if err != nil {
			return
		}
		for _, op := range versions.Guide(a.rules, t.Term, &v) {
			faultpoint.At("guide-before-agree")
			// Not bound to the duty: what is refused by its term is to be seen by an owner that is one no more.
			if err := a.do(context.WithoutCancel(ctx), op); err != nil {
				a.log.Warn("fleet: versions: not agreed", "do", op.Do, "item", op.Item, "number", op.Number, "term", op.Term, "error", err)
				continue
			}
			a.log.Info("fleet: versions: "+op.Do, "item", op.Item, "number", op.Number, "stage", op.Stage, "why", op.Why, "term", op.Term)
		}
	})
}

// Here is what this process acts on.
type Here struct {
	Member  lease.Member      `json:"member"`
	InForce map[string]uint64 `json:"in_force"`
	Until   time.Duration     `json:"until"` // it may act so long from now without hearing more; 0: it is shut out
	Why     string            `json:"why,omitempty"`
	Outs    uint64            `json:"outs"` // how often it was shut out
}

// Here tells it.
func (a *Agent) Here() Here {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := steady.Now()
	h := Here{Member: a.client.Me(), InForce: a.holder.InForce(), Why: a.holder.Why(now), Outs: a.holder.Outs()}
	if until := a.holder.Acts(now); until != 0 {
		h.Until = until - now
	}
	return h
}
