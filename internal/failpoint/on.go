//go:build faults

package failpoint

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Built tells whether this program was built with failpoints.
const Built = true

// fault is what happens at a point: while a file is there, or the first time.
type fault struct {
	name, flag string
	signal     syscall.Signal
	wait       time.Duration // in place of a signal
	done       bool
}

var (
	mu      sync.Mutex
	faults  []*fault
	pace    = 1.0
	ahead   time.Duration
	leap    time.Duration
	leapAt  time.Duration
	begun   time.Duration
	once    sync.Once
	bending bool
	denied  = map[string]string{} // by name, the file by which it is asked for
)

func init() {
	for text := range strings.SplitSeq(os.Getenv("MOTHCLEAT_FAULTS"), ",") {
		if text == "" {
			continue
		}
		if err := setting(text); err != nil {
			fmt.Fprintf(os.Stderr, "MOTHCLEAT_FAULTS: %s: %v\n", text, err)
			os.Exit(1)
		}
	}
}

func setting(text string) (err error) {
	key, value, _ := strings.Cut(text, "=")
	name, flag, _ := strings.Cut(value, "@")
	switch key {
	case "kill":
		faults = append(faults, &fault{name: name, flag: flag, signal: syscall.SIGKILL})
	case "stop":
		faults = append(faults, &fault{name: name, flag: flag, signal: syscall.SIGSTOP})
	case "deny":
		denied[name] = flag
	case "slow":
		name, long, _ := strings.Cut(name, ":")
		f := &fault{name: name, flag: flag}
		f.wait, err = time.ParseDuration(long)
		faults = append(faults, f)
	case "pace":
		pace, err = strconv.ParseFloat(value, 64)
		bending = true
	case "ahead":
		ahead, err = time.ParseDuration(value)
		bending = true
	case "jump":
		if leap, err = time.ParseDuration(name); err == nil {
			leapAt, err = time.ParseDuration(flag)
		}
		bending = true
	default:
		err = fmt.Errorf("no such fault")
	}
	return err
}

// At marks a named point in the code, and injects the faults that are set for it.
func At(name string) {
	for _, f := range faults {
		if f.name == name && f.due() {
			fmt.Fprintf(os.Stderr, "fault: %v %v at %s\n", f.signal, f.wait, name)
			if f.signal == 0 {
				time.Sleep(f.wait)
				continue
			}
			here(f.signal)
		}
	}
}

// Denied tells whether the named operation has to fail: for as long as its file exists.
func Denied(name string) bool {
	flag, ok := denied[name]
	if !ok {
		return false
	}
	_, err := os.Stat(flag)
	return err == nil
}

// here has a signal take hold before this goroutine does anything else. Sent to the process it may go to any of its threads, which
// a busy machine has run later than this one goes on; sent to this thread it is taken on the way out of the call.
func here(s syscall.Signal) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := unix.Tgkill(os.Getpid(), unix.Gettid(), s); err != nil {
		panic(err)
	}
}

// due tells whether the fault is to happen now. A file asks for it once, but for one that makes slow: that lasts
// for as long as the file is there.
func (f *fault) due() bool {
	mu.Lock()
	defer mu.Unlock()
	switch {
	case f.flag == "":
		was := f.done
		f.done = true
		return !was
	case f.signal == 0:
		_, err := os.Stat(f.flag)
		return err == nil
	}
	return os.Remove(f.flag) == nil
}

// Clock returns the time that a process with the set clock faults would read.
func Clock(now time.Duration) time.Duration {
	if !bending {
		return now
	}
	once.Do(func() { begun = now })
	since := now - begun
	bent := begun + time.Duration(float64(since)*pace) + ahead
	if leapAt != 0 && since >= leapAt {
		bent += leap
	}
	return bent
}
