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

// child is a process of hollow gateways.
type child struct {
	command *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Reader
	errs    bytes.Buffer
}

const childExitTimeout = 10 * time.Second

// startChild starts a process that waits for its configuration. Nothing may outlive the rig: the
// process is killed with the thread
// that started it, so that thread is kept.
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
		select {} // the thread lives as long as the rig
	}()
	return c, <-started
}

// hollowEnvironment tells the program of a test that it is to run hollow gateways.
const simulatedEnvironment = "MOTHCLEAT_HOLLOW=1"

// send writes a line.
func (c *child) send(line []byte) error {
	_, err := c.in.Write(append(line, '\n'))
	return err
}

// sample asks for a sample.
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

// failed tells why a process does not answer.
func (c *child) failed(err error) error {
	return fmt.Errorf("hollow gateways, process %d: %w: %.500s", c.command.Process.Pid, err,
		c.errs.String())
}

// stop ends the process, by force if it takes too long.
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

// children are all processes of hollow gateways.
type children []*child

// samples asks all at once.
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

// stop ends all at once.
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

// SelfCommand is the command line that has this program run hollow gateways.
func SelfCommand(arguments ...string) ([]string, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return append([]string{self}, arguments...), nil
}
