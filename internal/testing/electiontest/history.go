package electiontest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"mothcleat/internal/controlplane/checkpoint"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/testing/testcluster"
)

// writers are clients of the rig's own: they write and read a few keys of the agreed state all the while, past all
// links but to voters that stop and die, and keep a history of every operation.
type writers struct {
	f      *testcluster.Fleet
	seed   uint64
	began  time.Time
	mu     sync.Mutex
	ops    []porcupine.Operation
	oks    []time.Duration // when operations succeeded
	unsure int
}

type input struct {
	key   string
	what  byte // 'r' read, 'w' write, 'c' write if the version is as read
	value string
	if_   uint64
}

type output struct {
	unknown bool // no answer: it may have happened, or happen yet
	ok      bool
	value   string
	version uint64
}

const keys = 3

// run works until the context ends.
func (w *writers) run(ctx context.Context, n int) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.one(ctx, i)
		}()
	}
	wg.Wait()
}

func (w *writers) one(ctx context.Context, i int) {
	r := rand.New(rand.NewPCG(w.seed, uint64(0x3177e5+i)))
	me := lease.Member{ID: fmt.Sprintf("rig-%d", i), Incarnation: w.seed<<8 | uint64(i) | 1}
	c := controlrpc.NewClient(testcluster.FleetName, me, "", w.f.Voters(), w.f.Addresses(-1), slog.New(slog.DiscardHandler))
	defer c.Close()
	last := map[string]uint64{} // versions as read
	for n := 0; ctx.Err() == nil; n++ {
		in := input{key: fmt.Sprintf("rig/%d", r.IntN(keys)), what: "rwc"[r.IntN(3)], value: fmt.Sprintf("%d.%d", i, n)}
		if in.what == 'c' {
			if in.if_ = last[in.key]; in.if_ == 0 {
				in.what = 'r'
			}
		}
		call := time.Since(w.began)
		out := w.do(ctx, c, in)
		end := time.Since(w.began)
		if in.what == 'r' && out.unknown {
			continue // it told nothing and changed nothing
		}
		op := porcupine.Operation{ClientId: i, Input: in, Call: int64(call), Output: out, Return: int64(end)}
		if out.unknown {
			op.Return = int64(1 << 62)
		}
		w.mu.Lock()
		w.ops = append(w.ops, op)
		if out.unknown {
			w.unsure++
		} else {
			w.oks = append(w.oks, end)
		}
		w.mu.Unlock()
		if !out.unknown {
			last[in.key] = out.version
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(5+r.IntN(30)) * time.Millisecond):
		}
	}
}

// do carries an operation out, and asks again in the same session for as long as there is no answer: what a client
// does whose answer got lost.
func (w *writers) do(ctx context.Context, c *controlrpc.Client, in input) output {
	one, cancel := context.WithTimeout(context.WithoutCancel(ctx), 6*time.Second)
	defer cancel()
	if in.what == 'r' {
		raw, err := c.Read(one, checkpoint.MachineName, []byte(in.key))
		var e checkpoint.Entry
		if err != nil || json.Unmarshal(raw, &e) != nil {
			return output{unknown: true}
		}
		return output{ok: true, value: e.Value, version: e.Version}
	}
	op := checkpoint.Command{Key: in.key, Value: in.value}
	if in.what == 'c' {
		op.ExpectedVersion = &in.if_
	}
	body, _ := json.Marshal(op)
	raw, err := c.Propose(one, checkpoint.MachineName, body)
	var res checkpoint.Result
	if err != nil || json.Unmarshal(raw, &res) != nil {
		return output{unknown: true}
	}
	return output{ok: res.OK, value: res.Value, version: res.Version}
}

// cell is a key as the model has it.
type cell struct {
	value   string
	version uint64 // 0: not known, as the write that made it had no answer
}

// model says what a key's history must look like: each write takes hold at one moment between its call and its
// answer, or, without an answer, at any later moment or never.
var model = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(input).key
			by[key] = append(by[key], op)
		}
		return slices.Collect(maps.Values(by))
	},
	Init:  func() []any { return []any{cell{}} },
	Step:  func(state, in, out any) []any { return step(state.(cell), in.(input), out.(output)) },
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// step gives what a key may be after an operation; nothing: the operation can't have ended so.
func step(s cell, i input, o output) []any {
	hidden := s.value != "" && s.version == 0 // the write had no answer: its version shows later
	shows := s == cell{o.value, o.version} || hidden && s.value == o.value
	switch {
	case i.what == 'r' || i.what == 'c' && !o.unknown && !o.ok:
		if shows && (i.what == 'r' || o.version != i.if_) {
			return []any{cell{o.value, o.version}}
		}
		return nil
	case i.what == 'w' && o.unknown:
		return []any{cell{value: i.value}}
	case o.unknown && hidden:
		return []any{s, cell{value: i.value}}
	case o.unknown && s.version == i.if_:
		return []any{cell{value: i.value}}
	case o.unknown:
		return []any{s}
	case i.what == 'c' && s.version != i.if_ && !hidden:
		return nil
	case !o.ok || o.value != i.value:
		return nil
	}
	return []any{cell{i.value, o.version}}
}

// judgement is what the histories come to.
type judgement struct {
	unordered int // keys whose history fits no order
	lost      int // acknowledged writes of which no version ever was there
	doubled   int // versions that two writes were given, or writes that were given two
	longest   time.Duration
	at        time.Duration // when that began
	total     time.Duration // without any operation that succeeded, beyond a second each time
}

var errSlow = errors.New("the histories could not be judged in time")

// judge holds the histories against the model.
func (w *writers) judge(began, ended time.Duration) (j judgement, err error) {
	versions := map[string]string{}
	for _, op := range w.ops {
		in, out := op.Input.(input), op.Output.(output)
		if in.what == 'r' || out.unknown || !out.ok {
			continue
		}
		name := fmt.Sprintf("%s@%d", in.key, out.version)
		if other, ok := versions[name]; ok && other != in.value {
			j.doubled++
		}
		versions[name] = in.value
	}
	// A version that a read shows has one value: that of the write which was given it.
	for _, op := range w.ops {
		in, out := op.Input.(input), op.Output.(output)
		if in.what != 'r' || out.version == 0 {
			continue
		}
		if value, ok := versions[fmt.Sprintf("%s@%d", in.key, out.version)]; ok && value != out.value {
			j.lost++
		}
	}
	for _, ops := range model.Partition(w.ops) {
		switch porcupine.CheckOperationsTimeout(model, ops, 30*time.Second) {
		case porcupine.Illegal:
			j.unordered++
		case porcupine.Unknown:
			err = errSlow
		}
	}
	last := began
	for _, at := range append(w.oks, ended) {
		gap := at - last
		if gap > j.longest {
			j.longest, j.at = gap, last
		}
		if gap > time.Second {
			j.total += gap
		}
		last = max(last, at)
	}
	return j, err
}
