package storetest

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"sync"
	"time"

	"mothcleat/internal/storage/store"
)

// killable are the store's options in the process that is killed. The sizes are so small that all
// kinds of work occur all the time.
var killable = store.Options{SegmentBytes: 64 << 10, MaxOverlayKeys: 256, Verify: true}

const writers = 4

// value returns what a writer puts with its nth batch, so that a reader can verify it.
func value(writer, n int) []byte {
	r := rand.New(rand.NewPCG(uint64(writer), uint64(n)))
	b := binary.LittleEndian.AppendUint64(nil, uint64(n))
	for range r.IntN(40) {
		b = binary.LittleEndian.AppendUint64(b, r.Uint64())
	}
	return b
}

// batch returns a writer's nth batch. It puts the writer's counter and one of its own 50 keys, and
// deletes another one, so that a writer's content follows from its counter alone.
func batch(writer, n int) *store.Batch {
	var b store.Batch
	b.Put(fmt.Appendf(nil, "w%d", writer), binary.LittleEndian.AppendUint64(nil, uint64(n)))
	b.Put(fmt.Appendf(nil, "w%d/%02d", writer, n%50), value(writer, n))
	b.Delete(fmt.Appendf(nil, "w%d/%02d", writer, (n+7)%50))
	return &b
}

// Write commits batches to a store in a folder from several goroutines until an error occurs. It
// writes a line with the writer and the batch's number for each durable batch. It runs in the
// process that is killed.
func Write(dir string, out io.Writer) error {
	s, err := store.Open(dir, killable)
	if err != nil {
		return err
	}
	var line sync.Mutex
	failed := make(chan error, writers)
	for w := range writers {
		last, err := counterOf(s, w)
		if err != nil {
			return err
		}
		go func() {
			for n := last + 1; ; n++ {
				if err := s.Commit(batch(w, n), store.Durable); err != nil {
					failed <- err
					return
				}
				line.Lock()
				fmt.Fprintf(out, "%d %d\n", w, n)
				line.Unlock()
			}
		}()
	}
	return <-failed
}

func counterOf(s *store.Store, w int) (int, error) {
	b, err := s.Get(fmt.Appendf(nil, "w%d", w))
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	if err != nil || len(b) != 8 {
		return 0, fmt.Errorf("counter %q: %w", b, err)
	}
	return int(binary.LittleEndian.Uint64(b)), nil
}

// KillTally counts the results of a loop of kills.
type KillTally struct {
	Tally
	Kills        int
	Acknowledged int // acknowledged batches
}

// Kills repeatedly starts a process that runs Write (command with the folder as its last argument),
// kills it after a random time, and compares the store with the batches that the process
// acknowledged. It ends after length.
func Kills(
	ctx context.Context,
	seed uint64,
	dir string,
	length time.Duration,
	command ...string,
) (*KillTally, error) {
	r, t := rand.New(rand.NewPCG(seed, 2)), &KillTally{}
	promised, idleRuns := make([]int, writers), 0
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; t.Kills++ {
		before := t.Acknowledged
		if err := t.runOnce(r, dir, promised, command); err != nil {
			return t, err
		}
		if idleRuns++; t.Acknowledged > before {
			idleRuns = 0
		}
		if idleRuns == 20 { // a single run may be too short for a first commit
			return t, errors.New("the writing process acknowledged nothing in 20 runs")
		}
		t.check(dir, promised)
		if t.Bad() > 0 {
			break
		}
	}
	return t, ctx.Err()
}

// runOnce lets the process write for 20 to 320 ms and kills it.
func (t *KillTally) runOnce(r *rand.Rand, dir string, promised []int, command []string) error {
	cmd := exec.Command(command[0], append(command[1:len(command):len(command)], dir)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	time.AfterFunc(
		time.Duration(20+r.IntN(300))*time.Millisecond,
		func() { _ = cmd.Process.Kill() },
	)
	for lines := bufio.NewScanner(out); lines.Scan(); {
		var w, n int
		if _, err := fmt.Sscan(lines.Text(), &w, &n); err != nil || w >= writers {
			break // the kill cut the line
		}
		promised[w] = max(promised[w], n)
		t.Acknowledged++
	}
	_ = cmd.Wait()
	return nil
}

// check opens the store and compares its content with promised, which it updates.
func (t *KillTally) check(dir string, promised []int) {
	s, err := store.Open(dir, killable)
	if err != nil {
		t.bad(&t.Unclear, "kill %d: %v", t.Kills, err)
		return
	}
	defer s.Close()
	got, err := Read(s)
	if err != nil {
		t.bad(&t.Unclear, "kill %d: %v", t.Kills, err)
		return
	}
	keys := 0
	for w := range writers {
		n, err := counterOf(s, w)
		if err != nil {
			t.bad(&t.Unclear, "kill %d: %v", t.Kills, err)
			return
		}
		if n < promised[w] {
			t.bad(
				&t.LostPromised,
				"kill %d: writer %d is at batch %d, but batch %d was acknowledged",
				t.Kills,
				w,
				n,
				promised[w],
			)
			return
		}
		promised[w] = n
		if n > 0 {
			keys++
		}
		for slot := range 50 {
			// put and del are the newest batches up to n that put and deleted the slot.
			put, del := n-(n-slot+50)%50, n-(n+7-slot+50)%50
			key := fmt.Sprintf("w%d/%02d", w, slot)
			if put >= 1 && put >= del {
				keys++
				if got[key] != string(value(w, put)) {
					t.bad(
						&t.Invented,
						"kill %d: %s doesn't have the value that batch %d put",
						t.Kills,
						key,
						put,
					)
					return
				}
			}
		}
	}
	if keys != len(got) {
		t.bad(&t.Invented, "kill %d: the store has %d keys, want %d", t.Kills, len(got), keys)
		return
	}
	t.Opened++
}
