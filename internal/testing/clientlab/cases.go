package clientlab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mothcleat/internal/testing/harness"
)

const (
	crowdSize  = 300
	bodyBytes  = 64 << 10
	quickWork  = 5 * time.Millisecond
	soundWait  = 1500 * time.Millisecond
	crowdStart = 500 * time.Millisecond // after the sound clients
)

// disturbance plays bad clients against a world until its context ends, and returns figures of its
// own.
type disturbance struct {
	serve        serveFunc
	slowBackends bool // they read commands slowly
	play         func(ctx context.Context, w *world) map[string]any
}

// cases are the disturbances by name.
var cases = map[string]func() disturbance{
	"halted":       crowdOf(haltedClient),
	"short-fields": crowdOf(shortFieldsClient),
	"slow-writers": crowdOf(slowWriter),
	"slow-readers": crowdOf(slowReader),
	"flood":        floodOf(func(i int) []byte { return []byte("*1\r\n$4\r\nPING\r\n") }),
	"flood-names":  floodOf(newNameCommand),
	"flood-unsound": floodOf(func(i int) []byte {
		return fmt.Appendf(nil, "*1\r\n$8\r\n%08d\r\n", i)
	}),
	"resent":      resentCase,
	"unread":      unreadCase,
	"slow-answer": slowAnswerCase,
	"slow-server": slowServerCase,
	"new-process": newProcessCase,
}

// Names returns the names of the cases.
func Names() []string { return slices.Sorted(maps.Keys(cases)) }

// Run plays a case for a time, beside sound clients.
func Run(ctx context.Context, name string, length time.Duration) (*harness.Summary, error) {
	d := cases[name]()
	w, err := newWorld(ctx, d)
	if err != nil {
		return nil, err
	}
	defer func() { _ = w.close() }()
	peak := w.watchMemory()
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	sound := make(chan *outcomes)
	go func() { sound <- w.soundClients(ctx.Done(), soundWait) }()
	own := d.play(ctx, w)
	<-ctx.Done()
	o := <-sound
	s := &harness.Summary{Command: "clients " + name, Seconds: length.Seconds(), OK: true}
	s.Extra = map[string]any{"sound": o.figures(), "case": own, "peak_mb": peak()}
	if !w.running() {
		s.AddFailure("the gateway does not run")
	}
	if o.late+o.lost > 0 {
		s.AddFailure(fmt.Sprintf("%d sound requests late, %d lost", o.late, o.lost))
	}
	return s, nil
}

// quickAnswer answers each request after a short time with a small value.
func quickAnswer(args []string, out io.Writer) {
	time.Sleep(quickWork)
	writeValue(out, "value of "+args[2])
}

// crowdOf returns a case in which many clients connect at once and behave alike. A client whose
// connection ends does not come back.
func crowdOf(play func(ctx context.Context, w *world, c *client, i int)) func() disturbance {
	return func() disturbance {
		serve := func(args []string, out io.Writer) {
			time.Sleep(quickWork)
			if len(args) == 5 && args[4] == "long" {
				writeValue(out, strings.Repeat("v", bodyBytes))
				return
			}
			writeValue(out, "value of "+args[2])
		}
		return disturbance{serve: serve, play: func(ctx context.Context, w *world) map[string]any {
			time.Sleep(crowdStart)
			var all sync.WaitGroup
			for i := range crowdSize {
				all.Go(func() {
					c, err := w.dial()
					if err != nil {
						return
					}
					defer c.Close()
					defer context.AfterFunc(ctx, func() { _ = c.Close() })()
					play(ctx, w, c, i)
				})
			}
			all.Wait()
			return nil
		}}
	}
}

// haltedClient writes three whole large commands and most of a fourth, and stays.
func haltedClient(_ context.Context, w *world, c *client, i int) {
	var all []byte
	for range 4 {
		r := request{
			id: w.ids.next(), customer: 1000 + i, class: alertClass, wait: soundWait,
			body: strings.Repeat("b", bodyBytes),
		}
		all = append(all, encode(r.args())...)
	}
	_, _ = c.Write(all[:len(all)-100])
	_, _ = io.Copy(io.Discard, c)
}

// shortFieldsClient writes a command of very many short fields.
func shortFieldsClient(ctx context.Context, _ *world, c *client, _ int) {
	_, _ = io.WriteString(c, "*1000000\r\n")
	fields := bytes.Repeat([]byte("$1\r\na\r\n"), 1000)
	for ctx.Err() == nil {
		if _, err := c.Write(fields); err != nil {
			return
		}
	}
}

// slowWriter writes one large command after the other, each in pieces over two seconds.
func slowWriter(ctx context.Context, w *world, c *client, i int) {
	go func() { _, _ = io.Copy(io.Discard, c) }()
	const pieces = 40
	for ctx.Err() == nil {
		r := request{
			id: w.ids.next(), customer: 1000 + i, class: alertClass, wait: soundWait,
			body: strings.Repeat("b", bodyBytes),
		}
		for piece := range slices.Chunk(encode(r.args()), bodyBytes/pieces) {
			if _, err := c.Write(piece); err != nil {
				return
			}
			time.Sleep(2 * time.Second / pieces)
		}
	}
}

// slowReader asks for many large values at once and reads them slowly.
func slowReader(_ context.Context, w *world, c *client, i int) {
	_ = c.Conn.(*net.TCPConn).SetReadBuffer(16 << 10)
	go func() {
		for range 100 {
			r := request{
				id: w.ids.next(), customer: 1000 + i, class: alertClass, wait: alertLimit,
				body: "long",
			}
			if _, err := c.Write(encode(r.args())); err != nil {
				return
			}
		}
	}()
	buffer := make([]byte, 4<<10)
	for {
		if _, err := c.Read(buffer); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// newNameCommand returns a request of a new customer, which is refused or answered at once.
func newNameCommand(i int) []byte {
	r := request{
		id: fmt.Sprintf("%016x", 1<<40+i), customer: 1<<20 + i, class: lookupClass,
		wait: soundWait, plan: "small",
	}
	return encode(r.args())
}

// floodOf returns a case in which one client writes commands at full speed.
func floodOf(command func(i int) []byte) func() disturbance {
	play := func(ctx context.Context, w *world) map[string]any {
		sent := 0
		connections := 0
		for ctx.Err() == nil {
			if c, err := w.dial(); err == nil {
				connections++
				sent = c.flood(ctx, command, sent)
			}
		}
		return map[string]any{"sent": sent, "connections": connections}
	}
	return func() disturbance { return disturbance{serve: quickAnswer, play: play} }
}

// flood writes commands, the first of them with the given number, until the connection or the
// context ends. It returns the number of the next one.
func (c *client) flood(ctx context.Context, command func(i int) []byte, number int) int {
	const batch = 100
	defer c.Close()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	go func() { _, _ = io.Copy(io.Discard, c) }()
	for {
		var commands []byte
		for range batch {
			commands = append(commands, command(number)...)
			number++
		}
		if _, err := c.Write(commands); err != nil {
			return number
		}
	}
}

// resentCase has clients that send a request which is unsafe to repeat, close while it runs, and
// send it again.
func resentCase() disturbance {
	const work = time.Second
	var runs runCounter
	serve := func(args []string, out io.Writer) {
		if !strings.Contains(args[3], "c="+orderClass) {
			quickAnswer(args, out)
			return
		}
		runs.add(args[2])
		time.Sleep(work)
		writeValue(out, "done")
	}
	return disturbance{serve: serve, play: func(ctx context.Context, w *world) map[string]any {
		twice := 0
		tries := 0
		var answers []string
		for ctx.Err() == nil {
			r := request{
				id: w.ids.next(), customer: 1000 + tries, class: orderClass, wait: 2 * work,
			}
			if c, err := w.dial(); err == nil {
				_, _ = c.Write(encode(r.args()))
				time.Sleep(work / 10)
				_ = c.Close()
			}
			time.Sleep(work / 20)
			if c, err := w.dial(); err == nil {
				answer, _ := c.do(r.args(), 2*work)
				answers = append(answers, answer)
				_ = c.Close()
			}
			tries++
			if runs.of(r.id) > 1 {
				twice++
			}
		}
		return map[string]any{"tries": tries, "ran_twice": twice, "answers": answers}
	}}
}

// unreadCase has a client that writes many commands at once and closes its connection.
func unreadCase() disturbance {
	const commands = 2000
	const slack = 100 * time.Millisecond
	var mu sync.Mutex
	var closed time.Time
	after := 0
	serve := func(args []string, out io.Writer) {
		mu.Lock()
		if strings.HasPrefix(args[1], "00000000000f") && !closed.IsZero() &&
			time.Since(closed) > slack {
			after++
		}
		mu.Unlock()
		time.Sleep(10 * quickWork)
		writeValue(out, strings.Repeat("v", bodyBytes))
	}
	return disturbance{serve: serve, play: func(ctx context.Context, w *world) map[string]any {
		tries := 0
		for ctx.Err() == nil {
			mu.Lock()
			closed = time.Time{}
			mu.Unlock()
			c, err := w.dial()
			if err != nil {
				continue
			}
			var all []byte
			for range commands {
				r := request{
					id: w.ids.next(), customer: 0xf0000 + tries, class: lookupClass,
					wait: soundWait,
				}
				all = append(all, encode(r.args())...)
			}
			_ = c.SetDeadline(time.Now().Add(time.Second))
			_, _ = c.Write(all)
			_ = c.Close()
			mu.Lock()
			closed = time.Now()
			mu.Unlock()
			tries++
			time.Sleep(time.Second)
		}
		return map[string]any{"tries": tries, "forwarded_after_close": after}
	}}
}

// slowAnswerCase has a server that writes answers over some seconds.
func slowAnswerCase() disturbance {
	const (
		size   = 40 << 10
		pieces = 22
		over   = 2200 * time.Millisecond
		wait   = 3900 * time.Millisecond
	)
	serve := func(args []string, out io.Writer) {
		if !strings.Contains(args[3], "c="+alertClass) {
			quickAnswer(args, out)
			return
		}
		time.Sleep(200 * time.Millisecond)
		var whole bytes.Buffer
		writeValue(&whole, strings.Repeat("v", size))
		for piece := range slices.Chunk(whole.Bytes(), whole.Len()/pieces+1) {
			if _, err := out.Write(piece); err != nil {
				return
			}
			time.Sleep(over / pieces)
		}
	}
	return disturbance{serve: serve, play: alerts(wait, "")}
}

// slowServerCase has a server that reads large requests slowly.
func slowServerCase() disturbance {
	return disturbance{
		serve:        quickAnswer,
		slowBackends: true,
		play:         alerts(soundWait, strings.Repeat("b", bodyBytes)),
	}
}

// alerts has clients that send an alert each, one after the other.
func alerts(wait time.Duration, body string) func(ctx context.Context, w *world) map[string]any {
	return func(ctx context.Context, w *world) map[string]any {
		o := &outcomes{}
		var all sync.WaitGroup
		for i := range 4 {
			all.Go(func() {
				for ctx.Err() == nil {
					c, err := w.dial()
					if err != nil {
						continue
					}
					r := request{
						id: w.ids.next(), customer: 1000 + i, class: alertClass,
						wait: wait, body: body,
					}
					began := time.Now()
					answer, err := c.do(r.args(), wait+lateAnswer)
					o.add(answer, err, time.Since(began), wait)
					_ = c.Close()
				}
			})
		}
		all.Wait()
		return o.figures()
	}
}

// newProcessCase has new backends come up at the addresses of others that have gone. Discovery
// tells of the new one at once, and some time later that the old one has gone. A new one's fair
// share of the requests until then is a fourth.
func newProcessCase() disturbance {
	play := func(ctx context.Context, w *world) map[string]any {
		var atNew atomic.Int64
		asked := uint64(0)
		replaced := 0
		for number := backendCount; ctx.Err() == nil; number++ {
			first := w.ids.last.Load()
			if err := w.replaceBackend(number, &atNew); err != nil {
				return map[string]any{"error": err.Error()}
			}
			asked += w.ids.last.Load() - first
			replaced++
		}
		share := float64(atNew.Load()) / float64(max(1, asked))
		return map[string]any{"replaced": replaced, "share_of_new": share}
	}
	return disturbance{serve: quickAnswer, play: play}
}

// replaceBackend replaces a backend by one with another id at its address, and counts the requests
// that come to the new one before discovery tells that the old one has gone.
func (w *world) replaceBackend(number int, atNew *atomic.Int64) error {
	const (
		goneAfter = time.Second
		pause     = 200 * time.Millisecond
	)
	old := w.backends[number%backendCount]
	gone := old.member("Gone")
	old.end()
	var told atomic.Bool
	serve := func(args []string, out io.Writer) {
		if !told.Load() {
			atNew.Add(1)
		}
		quickAnswer(args, out)
	}
	next, err := newBackend(number, gone.HostPort, serve, false)
	if err != nil {
		return err
	}
	w.backends[number%backendCount] = next
	w.announce(next.member("Ready"))
	time.Sleep(goneAfter)
	told.Store(true)
	w.announce(gone)
	time.Sleep(pause)
	return nil
}
