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

// writers are the rig's own clients of the control state. They continuously write and read a few
// keys and record a history of every operation. Their connections bypass all links, but the voters
// may be suspended or killed.
type writers struct {
	f          *testcluster.Fleet
	seed       uint64
	began      time.Time
	mu         sync.Mutex
	ops        []porcupine.Operation
	oks        []time.Duration // return times of answered operations
	unanswered int
}

type input struct {
	key      string
	what     byte // 'r' read, 'w' write, 'c' write if the version is as read
	value    string
	expected uint64 // for 'c': the version as read
}

type output struct {
	unknown bool // no answer: the operation may have taken effect, or may yet
	ok      bool
	value   string
	version uint64
}

// keys is the number of keys.
const keys = 3

// run runs n clients until the context ends.
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
	c := controlrpc.NewClient(testcluster.FleetName, me, "", w.f.Voters(), w.f.Addresses(-1),
		slog.New(slog.DiscardHandler))
	defer c.Close()
	last := map[string]uint64{} // versions as read
	for n := 0; ctx.Err() == nil; n++ {
		in := input{
			key:   fmt.Sprintf("rig/%d", r.IntN(keys)),
			what:  "rwc"[r.IntN(3)],
			value: fmt.Sprintf("%d.%d", i, n),
		}
		if in.what == 'c' {
			if in.expected = last[in.key]; in.expected == 0 {
				in.what = 'r'
			}
		}
		call := time.Since(w.began)
		out := w.do(ctx, c, in)
		end := time.Since(w.began)
		if in.what == 'r' && out.unknown {
			continue // the read returned nothing and changed nothing
		}
		op := porcupine.Operation{
			ClientId: i, Input: in, Call: int64(call), Output: out, Return: int64(end),
		}
		if out.unknown {
			op.Return = int64(1 << 62)
		}
		w.mu.Lock()
		w.ops = append(w.ops, op)
		if out.unknown {
			w.unanswered++
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

// do performs an operation. Without an answer the client retries it in the same session for up to
// 6 s, as clients do whose answer was lost.
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
		op.ExpectedVersion = &in.expected
	}
	body, _ := json.Marshal(op)
	raw, err := c.Propose(one, checkpoint.MachineName, body)
	var res checkpoint.Result
	if err != nil || json.Unmarshal(raw, &res) != nil {
		return output{unknown: true}
	}
	return output{ok: res.OK, value: res.Value, version: res.Version}
}

// cell is the state of a key in the model.
type cell struct {
	value   string
	version uint64 // 0: not known, because the write that made it had no answer
}

// model defines the valid histories of a key: each write takes effect at one moment between its
// call and its answer or, without an answer, at any later moment or never.
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

// step returns the possible states of a key after an operation. It returns none if the operation
// can't have had that output.
func step(s cell, i input, o output) []any {
	// The write had no answer: a later read shows its version.
	hidden := s.value != "" && s.version == 0
	shows := s == cell{o.value, o.version} || hidden && s.value == o.value
	switch {
	case i.what == 'r' || i.what == 'c' && !o.unknown && !o.ok:
		if shows && (i.what == 'r' || o.version != i.expected) {
			return []any{cell{o.value, o.version}}
		}
		return nil
	case i.what == 'w' && o.unknown:
		return []any{cell{value: i.value}}
	case o.unknown && hidden:
		return []any{s, cell{value: i.value}}
	case o.unknown && s.version == i.expected:
		return []any{cell{value: i.value}}
	case o.unknown:
		return []any{s}
	case i.what == 'c' && s.version != i.expected && !hidden:
		return nil
	case !o.ok || o.value != i.value:
		return nil
	}
	return []any{cell{i.value, o.version}}
}

// judgement is the result of judging the histories.
type judgement struct {
	unordered int           // keys whose history has no valid order
	lost      int           // reads of a version with another value than its acknowledged write
	doubled   int           // versions that two writes were assigned
	longest   time.Duration // longest time without an answered operation
	at        time.Duration // start of that time
	total     time.Duration // sum of all such times of more than a second
}

var errSlow = errors.New("checking the histories timed out")

// judge checks the histories against the model.
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
	// A read must return the value of the write that was assigned the version.
	for _, op := range w.ops {
		in, out := op.Input.(input), op.Output.(output)
		if in.what != 'r' || out.version == 0 {
			continue
		}
		if value, ok := versions[fmt.Sprintf("%s@%d", in.key, out.version)]; ok &&
			value != out.value {
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
