package lab

import (
	"os/exec"
	"runtime"
	"syscall"
)

const prSetChildSubreaper = 36

// runStarter starts commands one after another from one thread that never exits. It also makes the
// rig the reaper of processes whose parent has exited.
func runStarter(next func() (*exec.Cmd, chan error)) {
	runtime.LockOSThread()
	_, _, _ = syscall.RawSyscall(syscall.SYS_PRCTL, prSetChildSubreaper, 1, 0)
	for {
		cmd, done := next()
		done <- cmd.Start()
	}
}
