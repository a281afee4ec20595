package main

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// backend is a sound quote server: it begins each request when its last byte has come and answers
// in order, with what its case wants to come back.
type backend struct {
	world  *world
	id     string
	listen net.Listener

	work time.Duration
	// arrived is called for each request that has come whole, with the time of its first byte.
	arrived func(args []string, first time.Time)
	// reply returns the bytes that answer a request, and those that follow it later by after, if
	// any.
	reply func(b *backend, args []string) (answer, second []byte, after time.Duration)
}

var requestsRun atomic.Int64

func (w *world) addBackend(number int, work time.Duration) (*backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{world: w, id: fmt.Sprintf("s-%08x", 0x1000+number), listen: l, work: work}
	go b.accept()
	return b, nil
}

func (b *backend) accept() {
	for {
		c, err := b.listen.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

type received struct {
	args []string
	at   time.Time
}

func (b *backend) serve(c net.Conn) {
	defer c.Close()
	commands := make(chan received, 1024)
	go func() {
		defer close(commands)
		in := bufio.NewReader(c)
		for {
			if _, err := in.Peek(1); err != nil {
				return
			}
			first := time.Now()
			args, err := readCommand(in)
			if err != nil || len(args) == 0 {
				return
			}
			if args[0] == "API.READ" || args[0] == "API.WRITE" {
				requestsRun.Add(1)
				b.world.write("run %s at %s", args[2], b.id)
				if b.arrived != nil {
					b.arrived(args, first)
				}
			}
			commands <- received{args, time.Now()}
		}
	}()
	for r := range commands {
		switch r.args[0] {
		case "API.READ", "API.WRITE":
		case "CLIENT", "SELECT":
			_, _ = c.Write([]byte("+OK\r\n"))
			continue
		case "PING":
			_, _ = c.Write([]byte("+PONG\r\n"))
			continue
		default:
			_, _ = c.Write([]byte("-ERR unknown command\r\n"))
			continue
		}
		time.Sleep(time.Until(r.at.Add(b.work)))
		first, second, after := b.reply(b, r.args)
		if _, err := c.Write(first); err != nil {
			return
		}
		if second == nil {
			continue
		}
		time.Sleep(after)
		b.world.write("second answer to %s at %s", r.args[2], b.id)
		if _, err := c.Write(second); err != nil {
			return
		}
	}
}

// valueReply encodes a value as a backend answers it, without figures on use and load.
func valueReply(value string) []byte {
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}
