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

// killable is how the process that is killed opens its store: small enough that all work goes on
// all the time.
var killable = store.Options{SegmentBytes: 64 << 10, MaxOverlayKeys: 256, Verify: true}

const writers = 4

// value is what a writer puts with its nth batch, so that whoever reads can tell.
func value(writer, n int) []byte {
	r := rand.New(rand.NewPCG(uint64(writer), uint64(n)))
	b := binary.LittleEndian.AppendUint64(nil, uint64(n))
	for range r.IntN(40) {
		b = binary.LittleEndian.AppendUint64(b, r.Uint64())
	}
	return b
}

// Each writer's nth batch puts its counter and one of its own 50 keys, and deletes another: what
// the store holds of a writer follows from the counter alone.
func batch(writer, n int) *store.Batch {
	var b store.Batch
	b.Put(fmt.Appendf(nil, "w%d", writer), binary.LittleEndian.AppendUint64(nil, uint64(n)))
	b.Put(fmt.Appendf(nil, "w%d/%02d", writer, n%50), value(writer, n))
	b.Delete(fmt.Appendf(nil, "w%d/%02d", writer, (n+7)%50))
	return &b
}

// Write commits batches in a folder without end, several goroutines at a time, and writes a line
// for each that is durable: the writer and its number. It is the process that is killed.
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

// KillTally counts what a loop of kills found.
type KillTally struct {
	Tally
	Kills        int
	Acknowledged int // batches
}

// Kills starts a process that runs Write (command with the folder as its last argument), kills it
// at random, again and again until the time is up, and holds the store against what the process had
// acknowledged.
func Kills(
	ctx context.Context,
	seed uint64,
	dir string,
	length time.Duration,
	command ...string,
) (*KillTally, error) {
	r, t := rand.New(rand.NewPCG(seed, 2)), &KillTally{}
	promised, barren := make([]int, writers), 0
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; t.Kills++ {
		before := t.Acknowledged
		if err := t.runOnce(r, dir, promised, command); err != nil {
			return t, err
		}
		if barren++; t.Acknowledged > before {
			barren = 0
		}
		if barren == 20 { // one life may be too short for a first commit
			return t, errors.New("the process that writes acknowledges nothing")
		}
		t.check(dir, promised)
		if t.Bad() > 0 {
			break
		}
	}
	return t, ctx.Err()
}

// runOnce lets the process write for a while and kills it.
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
			break // the line that the kill cut
		}
		promised[w] = max(promised[w], n)
		t.Acknowledged++
	}
	_ = cmd.Wait()
	return nil
}

// check reads the store as the next process would.
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
				"kill %d: writer %d stands at %d, %d was acknowledged",
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
			// The newest batch up to n that touched the slot put it, if it is not the one that
			// deleted it since.
			put, del := n-(n-slot+50)%50, n-(n+7-slot+50)%50
			key := fmt.Sprintf("w%d/%02d", w, slot)
			if put >= 1 && put >= del {
				keys++
				if got[key] != string(value(w, put)) {
					t.bad(
						&t.Invented,
						"kill %d: %s is not what batch %d put there",
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
		t.bad(&t.Invented, "kill %d: %d keys, %d expected", t.Kills, len(got), keys)
		return
	}
	t.Opened++
}
