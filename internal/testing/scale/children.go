package scale

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// child is a process of simulated gateways.
type child struct {
	command *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Reader
	errs    bytes.Buffer
}

const childExitTimeout = 10 * time.Second

// startChild starts a process that waits for its configuration. The process must not outlive the
// rig: the kernel kills it when the thread that started it exits, so that thread is kept.
func startChild(line []string) (c *child, err error) {
	c = &child{command: exec.Command(line[0], line[1:]...)}
	c.command.Stderr = &c.errs
	c.command.Env = append(os.Environ(), simulatedEnvironment)
	c.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if c.in, err = c.command.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := c.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	c.out = bufio.NewReaderSize(out, 1<<20)
	started := make(chan error)
	go func() {
		runtime.LockOSThread()
		started <- c.command.Start()
		select {} // keeps the thread for the lifetime of the rig
	}()
	return c, <-started
}

// simulatedEnvironment makes a test binary run simulated gateways; see TestMain.
const simulatedEnvironment = "MOTHCLEAT_HOLLOW=1"

// send writes a line to the process.
func (c *child) send(line []byte) error {
	_, err := c.in.Write(append(line, '\n'))
	return err
}

// sample requests a sample from the process.
func (c *child) sample() (s Sample, err error) {
	if err := c.send([]byte(commandSample)); err != nil {
		return s, c.failed(err)
	}
	line, err := c.out.ReadBytes('\n')
	if err != nil {
		return s, c.failed(err)
	}
	return s, json.Unmarshal(line, &s)
}

// failed wraps an error of the process with its PID and the start of its standard error.
func (c *child) failed(err error) error {
	return fmt.Errorf("simulated gateways, process %d: %w: %.500s", c.command.Process.Pid, err,
		c.errs.String())
}

// stop stops the process, and kills it after childExitTimeout.
func (c *child) stop() {
	_ = c.send([]byte(commandStop))
	_ = c.in.Close()
	ended := make(chan struct{})
	go func() {
		_ = c.command.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(childExitTimeout):
		_ = c.command.Process.Kill()
		<-ended
	}
}

// children are all processes of simulated gateways.
type children []*child

// samples requests samples from all processes concurrently.
func (all children) samples() ([]Sample, error) {
	samples, errs := make([]Sample, len(all)), make([]error, len(all))
	var wg sync.WaitGroup
	for i, c := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			samples[i], errs[i] = c.sample()
		}()
	}
	wg.Wait()
	return samples, errors.Join(errs...)
}

// stop stops all processes concurrently.
func (all children) stop() {
	var wg sync.WaitGroup
	for _, c := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.stop()
		}()
	}
	wg.Wait()
}

// SelfCommand returns a command line that runs this executable with the arguments.
func SelfCommand(arguments ...string) ([]string, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return append([]string{self}, arguments...), nil
}
