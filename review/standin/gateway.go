package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// process is one process of a gateway, started by the deploy file's command.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
}

// runCommand returns the command `run` of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if found == nil {
		return "", errors.New("the deploy file has no command run")
	}
	return string(found[1]), nil
}

// startProcess starts a gateway with a configuration. dir is its folder for temporary files, and
// inherited, if it isn't nil, the clients' listening socket that the platform holds.
func startProcess(cfg map[string]any, dir, logName string, inherited *os.File) (*process, error) {
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(cfg)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, logName+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, logName+".log"))
	if err != nil {
		return nil, err
	}
	tmp := filepath.Join(dir, "tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	p := &process{
		cmd:    exec.Command("/bin/sh", "-c", command),
		exited: make(chan struct{}),
		log:    log,
	}
	p.cmd.Env = append(os.Environ(),
		"RELAY_CONFIG="+path,
		"RELAY_NAME="+cfg["name"].(string),
		"RELAY_LISTEN="+cfg["listen"].(string),
		"RELAY_DISCOVERY="+cfg["discovery"].(string),
		"TMPDIR="+tmp,
	)
	if address, ok := cfg["management"]; ok {
		p.cmd.Env = append(p.cmd.Env, "RELAY_MANAGEMENT="+address.(string))
	}
	if inherited != nil {
		p.cmd.ExtraFiles = []*os.File{inherited}
		p.cmd.Env = append(p.cmd.Env, "RELAY_INHERITED_FD=3")
	}
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
	_ = p.log.Close()
}

// running reports whether the process has not exited.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// freeAddress returns an address at a free port.
func freeAddress(network, host string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", host+":0")
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// awaitPong waits until a gateway answers PING with +PONG.
func awaitPong(address string) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			_ = conn.SetDeadline(time.Now().Add(time.Second))
			_, _ = conn.Write(encode("PING"))
			line, _ := readLine(bufio.NewReader(conn))
			_ = conn.Close()
			if line == "+PONG" {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s does not become ready", address)
}

// call makes a call at a gateway's management address.
func call(address, line string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	_, _ = fmt.Fprintf(conn, "%s\n", line)
	answer, err := readLine(bufio.NewReader(conn))
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(answer)
}
