package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The times of the case.
const (
	upgradeClients   = 10
	firstTakes       = 2 * time.Second // an alerta is wanted within 4 s
	secondBegins     = 100 * time.Millisecond
	secondWritten    = 1200 * time.Millisecond // a head may take a client 2 s
	secondLookedAt   = 200 * time.Millisecond  // after its last byte
	upgradeBegins    = 200 * time.Millisecond
	oldEndedAfterYes = 100 * time.Millisecond // SIGTERM comes within 6 s of the yes
	killedAfter      = 3700 * time.Millisecond
)

// upgrade replaces a gateway's process under load, as the platform does. Meanwhile clients write a
// second command, slowly, behind a first one that is still open. All requests must get an answer.
func upgrade(rec *record, trouble bool) (verdict, error) {
	w, err := newWorld(deployment{gateways: 2, servers: 9}, rec)
	if err != nil {
		return didNotRun, err
	}
	defer w.end()
	for _, s := range w.servers {
		s.work = func(args []string) time.Duration {
			if args[0] == "API.WRITE" {
				return firstTakes
			}
			return 100 * time.Millisecond
		}
	}
	w.holdSockets = true
	if err := w.start(); err != nil {
		return didNotRun, err
	}
	var mu sync.Mutex
	lost, unread, servedFirst := 0, 0, 0
	var clients sync.WaitGroup
	for i := range upgradeClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			first, second, read := twoCommands(rec, w, i)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case first != "served":
			case second == "":
				servedFirst++
				lost++
				if !read {
					unread++
				}
			default:
				servedFirst++
			}
		}()
	}
	if trouble {
		time.Sleep(upgradeBegins)
		if err := w.replace(0); err != nil {
			return didNotRun, err
		}
	}
	clients.Wait()
	rec.say("%d clients: first command served %d, second one without an answer %d "+
		"(of these, not read by the gateway: %d)", upgradeClients, servedFirst, lost, unread)
	switch {
	case lost > unread:
		return broken, nil
	case servedFirst < upgradeClients/2:
		return didNotRun, errTooLittle
	}
	return held, nil
}

// replace starts another process of a gateway, and ends the old one once the new one says yes.
func (w *world) replace(i int) error {
	old := w.processes[i]
	management, err := freeAddress("tcp", fmt.Sprintf("127.0.%d.1", 50+i))
	if err != nil {
		return err
	}
	w.configs[i]["management"] = management
	if err := w.startGateway(i, fmt.Sprintf("n%d-new", i)); err != nil {
		return err
	}
	for end := time.Now().Add(10 * time.Second); call(management, "check") != "ok"; {
		if time.Now().After(end) {
			return errors.New("the new process does not say yes")
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.record.say("the new process says yes")
	time.Sleep(oldEndedAfterYes)
	w.record.say("SIGTERM to the old process")
	old.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-old.exited:
			w.record.say("the old process has exited")
		case <-time.After(killedAfter):
			w.record.say("SIGKILL to the old process")
			old.signal(syscall.SIGKILL)
		}
	}()
	return nil
}

// twoCommands sends two commands on one connection and returns their outcomes, "" for none, and
// whether the gateway had read the second one a while after its last byte was written.
func twoCommands(rec *record, w *world, i int) (first, second string, read bool) {
	c, err := dialGateway(w.addresses[0])
	if err != nil {
		rec.add("client %d: %v", i, err)
		return "", "", false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	r1 := request{
		id: newID(), customer: uint64(200 + i), plan: "profissional",
		class: "alerta", units: 1, wait: 15 * time.Second, body: "alert",
	}
	r2 := request{
		id: newID(), customer: uint64(200 + i), plan: "profissional",
		class: "cotacao", units: 1, wait: 3 * time.Second,
	}
	rec.add("client %d asks %s as %s", i, r1.id, r1.class)
	_, _ = c.Write(r1.command(w.gateways))
	written := make(chan struct{})
	go func() {
		defer close(written)
		time.Sleep(secondBegins)
		command := r2.command(w.gateways)
		rec.add("client %d begins to write %s as %s", i, r2.id, r2.class)
		if err := writeSlowly(c, command, secondWritten); err != nil {
			rec.add("client %d can't write %s: %v", i, r2.id, err)
			return
		}
		rec.add("client %d has written the last byte of %s", i, r2.id)
		time.Sleep(secondLookedAt)
		read = nothingUnread(c.LocalAddr())
		rec.add("client %d: the gateway has read all of %s: %v", i, r2.id, read)
	}()
	answer, err := readReply(c.in)
	if err != nil {
		rec.add("client %d has no answer to %s: %v", i, r1.id, err)
		return "", "", false
	}
	first = answer.outcome()
	rec.add("client %d gets to %s: %s %s", i, r1.id, first, answer.value)
	<-written
	if answer, err = readReply(c.in); err != nil {
		rec.add("LOST: client %d has no answer to %s: %v", i, r2.id, err)
		return first, "", read
	}
	rec.add("client %d gets to %s: %s %s", i, r2.id, answer.outcome(), answer.value)
	return first, answer.outcome(), read
}

// nothingUnread reports whether the gateway's socket of a client's connection is open and holds no
// byte that the process has not read, as the system's table of sockets shows it.
func nothingUnread(client net.Addr) bool {
	address := client.(*net.TCPAddr)
	ip := address.IP.To4()
	remote := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return false
	}
	for line := range strings.SplitSeq(string(table), "\n") {
		columns := strings.Fields(line)
		if len(columns) > 4 && columns[2] == remote {
			_, unread, _ := strings.Cut(columns[4], ":")
			return strings.Trim(unread, "0") == ""
		}
	}
	return false
}
