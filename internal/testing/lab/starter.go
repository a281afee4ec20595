package lab

import (
	"os/exec"
	"runtime"
	"syscall"
)

const prSetChildSubreaper = 36

// starter starts commands one after another from one thread that never ends, and
// has processes whose parent has ended become children of the rig.
func runStarter(next func() (*exec.Cmd, chan error)) {
	runtime.LockOSThread()
	_, _, _ = syscall.RawSyscall(syscall.SYS_PRCTL, prSetChildSubreaper, 1, 0)
	for {
		cmd, done := next()
		done <- cmd.Start()
	}
}
