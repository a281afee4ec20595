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

// Built reports whether this program was built with failpoints.
const Built = true

// fault is a signal or a delay that is injected at a failpoint.
type fault struct {
	name        string
	triggerFile string // the fault requires this file; "": the first pass of the point triggers it
	signal      syscall.Signal
	delay       time.Duration // used if signal is 0
	done        bool
}

// clockFaults are the faults of the process's clock.
type clockFaults struct {
	enabled   bool
	rate      float64
	offset    time.Duration
	jump      time.Duration
	jumpAfter time.Duration // since the clock was first read; 0: no jump
	startOnce sync.Once
	startedAt time.Duration // when the clock was first read
}

var (
	mu     sync.Mutex // guards done of all faults
	faults []*fault
	clock  = clockFaults{rate: 1}
	// deniedUntil maps the name of an operation to the file that denies it while the file exists.
	deniedUntil = map[string]string{}
)

func init() {
	for text := range strings.SplitSeq(os.Getenv("MOTHCLEAT_FAULTS"), ",") {
		if text == "" {
			continue
		}
		if err := parseSetting(text); err != nil {
			fmt.Fprintf(os.Stderr, "MOTHCLEAT_FAULTS: %s: %v\n", text, err)
			os.Exit(1)
		}
	}
}

// parseSetting adds the fault that one setting of the variable describes.
func parseSetting(text string) (err error) {
	key, value, _ := strings.Cut(text, "=")
	name, file, _ := strings.Cut(value, "@")
	switch key {
	case "kill":
		faults = append(faults, &fault{name: name, triggerFile: file, signal: syscall.SIGKILL})
	case "stop":
		faults = append(faults, &fault{name: name, triggerFile: file, signal: syscall.SIGSTOP})
	case "deny":
		deniedUntil[name] = file
	case "slow":
		name, delay, _ := strings.Cut(name, ":")
		f := &fault{name: name, triggerFile: file}
		f.delay, err = time.ParseDuration(delay)
		faults = append(faults, f)
	case "pace":
		clock.rate, err = strconv.ParseFloat(value, 64)
		clock.enabled = true
	case "ahead":
		clock.offset, err = time.ParseDuration(value)
		clock.enabled = true
	case "jump":
		clock.jump, err = time.ParseDuration(name)
		if err == nil {
			clock.jumpAfter, err = time.ParseDuration(file)
		}
		clock.enabled = true
	default:
		err = fmt.Errorf("unknown kind of fault %q", key)
	}
	return err
}

// At marks a named point in the code, and injects the faults that are set for it.
func At(name string) {
	for _, f := range faults {
		if f.name == name && f.due() {
			fmt.Fprintf(os.Stderr, "fault: %v %v at %s\n", f.signal, f.delay, name)
			if f.signal == 0 {
				time.Sleep(f.delay)
				continue
			}
			signalThisThread(f.signal)
		}
	}
}

// Denied reports whether the named operation has to fail, which it does while its file exists.
func Denied(name string) bool {
	file, ok := deniedUntil[name]
	if !ok {
		return false
	}
	_, err := os.Stat(file)
	return err == nil
}

// signalThisThread delivers a signal before this goroutine does anything else. The kernel may
// deliver a signal for the process to any thread, and on a busy machine that may happen after this
// thread has continued. A signal for this thread is delivered when the system call returns.
func signalThisThread(s syscall.Signal) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := unix.Tgkill(os.Getpid(), unix.Gettid(), s); err != nil {
		panic(err)
	}
}

// due reports whether to inject the fault now. A trigger file triggers a signal once, because due
// removes it then. It triggers a delay at each pass while it exists.
func (f *fault) due() bool {
	mu.Lock()
	defer mu.Unlock()
	switch {
	case f.triggerFile == "":
		first := !f.done
		f.done = true
		return first
	case f.signal == 0:
		_, err := os.Stat(f.triggerFile)
		return err == nil
	default:
		return os.Remove(f.triggerFile) == nil
	}
}

// Clock returns the time that the process reads with its clock faults when the real time is now.
func Clock(now time.Duration) time.Duration {
	if !clock.enabled {
		return now
	}
	clock.startOnce.Do(func() { clock.startedAt = now })
	elapsed := now - clock.startedAt
	faulty := clock.startedAt + time.Duration(float64(elapsed)*clock.rate) + clock.offset
	if clock.jumpAfter != 0 && elapsed >= clock.jumpAfter {
		faulty += clock.jump
	}
	return faulty
}
