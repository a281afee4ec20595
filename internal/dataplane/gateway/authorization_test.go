package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mothcleat/internal/dataplane/authz"
	"mothcleat/internal/dataplane/forwardauth"
	"mothcleat/internal/dataplane/policy"
)

// authCall is a question that has reached the fake authenticator.
type authCall struct {
	header http.Header
	answer chan int // the status
	gone   <-chan struct{}
}

// newAuthenticator starts an authenticator that answers as the test says.
func newAuthenticator(t testing.TB) (*httptest.Server, chan *authCall) {
	calls := make(chan *authCall, 1024)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &authCall{r.Header, make(chan int, 1), r.Context().Done()}
		calls <- c
		select {
		case status := <-c.answer:
			if status == http.StatusTooManyRequests {
				w.Header().Set("Retry-After", "1")
			}
			w.WriteHeader(status)
		case <-c.gone:
		}
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s, calls
}

const us = 1_000_000

// asking is a configuration that has lookups and orders authorised.
func asking(t testing.TB, d *fakeDiscovery, url string) Config {
	cfg := configure(t, d, nil)
	cfg.Auth = Auth{
		Settings: forwardauth.Settings{URL: url, Timeout: patience, MaxConns: 8},
		Rules: authz.Settings{
			Classes:         []bool{true, true, false},
			FailOpen:        []bool{false, true, false},
			Plans:           []bool{true, true},
			MaxWait:         60 * us,
			AllowTTL:        60 * us,
			MaxAllowTTL:     60 * us,
			MaxDenyTTL:      60 * us,
			StaleTTL:        0,
			MaxCalls:        8,
			MaxWaiting:      100,
			MaxCached:       100,
			BreakerFailures: 100,
			BreakerMinOpen:  us,
			BreakerMaxOpen:  us,
		},
	}
	return cfg
}

// askingRig starts a gateway with one backend and an authenticator.
func askingRig(
	t *testing.T,
	change func(*Config),
) (*rig, *fakeBackend, *fakeDiscovery, chan *authCall) {
	t.Helper()
	s, calls := newAuthenticator(t)
	b := newBackend(t)
	d := newFakeDiscovery(t, b.entry("s-00000001", "Ready"))
	cfg := asking(t, d, s.URL)
	if change != nil {
		change(&cfg)
	}
	return begin(t, cfg), b, d, calls
}

// An allowed request is sent, a denied one reaches no backend and takes no units, and the backend
// never sees the token.
func TestAuthenticatorVerdicts(t *testing.T) {
	r, b, _, calls := askingRig(t, nil)
	c := r.client(t)
	c.send("AUTH", "the-token")
	c.want("+OK")
	c.lookup(1, "86400000")
	ask := wait(t, calls, "a question")
	for name, want := range map[string]string{
		"Authorization": "Bearer the-token", "X-Mothcleat-Customer": "0000000000000007", "X-Mothcleat-Plan": "team",
		"X-Mothcleat-Class": "lookup", "X-Mothcleat-Units": "1", "X-Forwarded-Method": "GET", "X-Forwarded-For": "127.0.0.1",
	} {
		if got := ask.header.Get(name); got != want {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
	if len(b.got) > 0 {
		t.Error("sent on before the verdict")
	}
	ask.answer <- http.StatusOK
	call := b.next(t)
	if strings.Contains(fmt.Sprintf("%s", call.args), "the-token") {
		t.Error("the token went to a backend")
	}
	call.serve(t, "ok")
	c.value("ok")
	c.lookup(2, "86400000") // its verdict is cached
	b.next(t).serve(t, "again")
	c.value("again")

	other := r.client(t)
	other.send("HELLO", "2", "AUTH", "user", "wrong")
	other.want("*14")
	for range 25 { // the values of both keys
		other.line()
	}
	other.lookup(3, "86400000")
	ask = wait(t, calls, "a question of another user")
	if got := ask.header.Get("Authorization"); got != "Basic dXNlcjp3cm9uZw==" {
		t.Errorf("authorization %q", got)
	}
	ask.answer <- http.StatusForbidden
	other.want("-NOPERM denied")
	if len(b.got) > 0 {
		t.Error("a denied request was sent on")
	}
}

// A hung authenticator delays no request beyond its budget. A request of a class that passes
// without a verdict is sent once, though the verdict comes later.
func TestHungAuthenticatorTimesOut(t *testing.T) {
	r, b, _, calls := askingRig(t, func(c *Config) { c.Auth.Rules.MaxWait = 50_000 })
	c := r.client(t)
	c.lookup(1, "86400000")
	wait(t, calls, "a question")
	if got := c.line(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("answer %q", got)
	}
	c.send(
		"API.WRITE",
		"0000000000000007",
		"0000000000000002",
		"c=order,t=team,d=86400000,k=k1,units=1,spread=1,first=0",
		"x",
	)
	ask := wait(t, calls, "a question")
	call := b.next(t)
	ask.answer <- http.StatusOK // too late
	c.send(
		"API.WRITE",
		"0000000000000007",
		"0000000000000003",
		"c=order,t=team,d=86400000,k=k2,units=1,spread=1,first=0",
		"x",
	)
	second := b.next(t) // by a verdict, or by the late answer: either way once
	if string(second.args[2]) != "0000000000000003" {
		t.Errorf("the order was sent twice: %q", second.args)
	}
	call.serve(t, "one")
	second.serve(t, "two")
	c.value("one")
	c.value("two")
}

// Status 429 is a rejection with advice; a failing authenticator denies nothing.
func TestOtherAuthenticatorAnswers(t *testing.T) {
	r, b, _, calls := askingRig(t, nil)
	for id, c := range []struct {
		status int
		want   string
	}{{http.StatusTooManyRequests, "-BUSY 1000"}, {http.StatusInternalServerError, "-BUSY 500"}, {http.StatusFound, "-BUSY 500"}} {
		client := r.client(t)
		client.send("AUTH", fmt.Sprint("token", id))
		client.want("+OK")
		client.lookup(id, "86400000")
		wait(t, calls, "a question").answer <- c.status
		client.want(c.want)
	}
	if len(b.got) > 0 {
		t.Error("sent on")
	}
}

// While a request awaits its verdict, its client disconnects, the gateway is drained, or the
// authenticator is switched off: the request ends once, and at once.
func TestRequestEndsWhileAwaitingVerdict(t *testing.T) {
	t.Run("the client leaves", func(t *testing.T) {
		r, b, _, calls := askingRig(t, nil)
		c, other := r.client(t), r.client(t)
		c.lookup(1, "86400000")
		ask := wait(t, calls, "a question")
		c.conn.Close()
		other.send("AUTH", "x")
		other.want("+OK")
		ask.answer <- http.StatusOK
		other.lookup(1, "86400000") // the same id, free again
		for {
			select {
			case ask := <-calls:
				ask.answer <- http.StatusOK
				continue
			case call := <-b.got:
				call.serve(t, "ok")
				other.value("ok")
			case <-time.After(patience):
				t.Fatal("nothing")
			}
			break
		}
		if len(b.got) > 0 {
			t.Error("sent on for a client that had left")
		}
	})
	t.Run("switched off", func(t *testing.T) {
		r, b, d, calls := askingRig(t, nil)
		c := r.client(t)
		c.lookup(1, "86400000")
		ask := wait(t, calls, "a question")
		r.reloads(configure(t, d, nil), nil)
		b.next(t).serve(t, "ok")
		c.value("ok")
		ask.answer <- http.StatusForbidden
		c.send("AUTH", "x")
		if got := c.line(); !strings.HasPrefix(got, "-ERR unknown command") {
			t.Errorf("answer %q", got)
		}
	})
	t.Run("moved elsewhere", func(t *testing.T) {
		r, b, d, calls := askingRig(t, nil)
		c, other := r.client(t), r.client(t)
		c.lookup(1, "86400000")
		old := wait(t, calls, "a question")
		s, moved := newAuthenticator(t)
		r.reloads(asking(t, d, s.URL), nil)
		// An answer that came before the reload would be cached, and the new one would not be
		// asked.
		until(
			t,
			r.gateway,
			"the reload",
			func(g *Gateway) bool { return g.metrics.ConfigLoads.Load() == 2 },
		)
		other.send("AUTH", "x")
		other.want("+OK")
		old.answer <- http.StatusOK
		b.next(t).serve(t, "ok")
		c.value("ok")
		c.lookup(2, "86400000")
		wait(t, moved, "a question to the new one").answer <- http.StatusUnauthorized
		c.want("-NOPERM denied")
	})
	t.Run("a bad reload", func(t *testing.T) {
		r, _, _, calls := askingRig(t, nil)
		r.reloads(Config{}, errors.New("bad"))
		c := r.client(t)
		c.lookup(1, "86400000")
		wait(t, calls, "a question").answer <- http.StatusForbidden
		c.want("-NOPERM denied")
	})
	t.Run("the gateway stops", func(t *testing.T) {
		t.Parallel()
		r, b, _, calls := askingRig(t, nil)
		c := r.client(t)
		c.lookup(1, "80000000")
		wait(t, calls, "a question")
		r.stop()
		c.want("-ERR failed")
		c.closed()
		c.conn.Close()
		wait(t, r.ended, "the gateway's end")
		if len(b.got) > 0 {
			t.Error("sent on")
		}
	})
}

// Credentials that fit no header are rejected, and the answer reveals nothing of them.
func TestBadCredentials(t *testing.T) {
	r, _, _, calls := askingRig(t, nil)
	c := r.client(t)
	for _, args := range [][]string{{"AUTH"}, {"AUTH", "line\r\nbreak"}, {"AUTH", strings.Repeat("x", 60<<10)}, {"AUTH", "a:b", "c"},
		{"AUTH", ""}, {"HELLO", "2", "AUTH", "secret"}, {"HELLO", "2", "secret"}, {"HELLO", "3"}} {
		c.send(args...)
		got := c.line()
		if !strings.HasPrefix(got, "-ERR ") && !strings.HasPrefix(got, "-NOPROTO ") ||
			strings.Contains(got, "secret") ||
			strings.Contains(got, "break") {
			t.Errorf("%.20q: %q", args, got)
		}
		c.send("PING")
		c.want("+PONG")
	}
	if len(calls) > 0 {
		t.Error("asked")
	}
}

// A verdict at the same instant as a disconnect, the deadline or the end of a drain, before it or
// after it: there is one answer, and nothing is sent after it.
func TestVerdictRacesWithRequestEnd(t *testing.T) {
	s, calls := newAuthenticator(t)
	for name, end := range map[string]func(g *Gateway, r *request){
		"leave":    func(g *Gateway, r *request) { clientDisconnected{r.client}.handle(g) },
		"deadline": func(g *Gateway, r *request) { deadlineBackstop{r}.due(g) },
		"drain":    func(g *Gateway, _ *request) { g.failOpenRequests() },
		"handed": func(g *Gateway, _ *request) {
			g.lifecycle.HandOver(false) // later requests are told to retry
		},
	} {
		for _, first := range []bool{true, false} {
			b := newBackend(t)
			d := newFakeDiscovery(t)
			g, err := newGateway(asking(t, d, s.URL), quiet())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { g.cancelAuth(); g.clients.listener.Close() })
			g.backends.updateEndpoints(
				g,
				policy.Complete,
				[]member{{ID: "s-00000001", HostPort: b.listener.Addr().String(), Phase: "Ready"}},
			)
			here, there := pipe(t)
			g.clients.slots <- struct{}{}
			c := &client{
				conn:          here,
				out:           newSender(here),
				pipelineSlots: make(chan struct{}, 4),
				done:          make(chan struct{}),
			}
			g.clients.conns[c] = true
			cmd, err := g.cfg.parseCommand(
				[][]byte{[]byte("API.READ"), []byte("0000000000000007"), []byte("0000000000000001"),
					[]byte("c=lookup,t=team,d=80000000,units=1,spread=1,first=0")},
			)
			if err != nil {
				t.Fatal(err)
			}
			c.pipelineSlots <- struct{}{}
			commandRead{client: c, command: cmd, arrived: g.now()}.handle(g)
			r := c.pipeline[0]
			wait(t, calls, "a question").answer <- http.StatusOK
			verdict := wait(t, g.events, "the verdict")
			if first {
				g.handle(verdict)
			}
			end(g, r)
			g.runQueued()
			if !first {
				g.handle(verdict)
				if r.attemptsMade > 0 {
					t.Errorf("%s, then the verdict: sent on", name)
				}
			}
			if !r.answered && !(first && name == "handed") {
				t.Errorf("%s: not closed", name)
			}
			if r.awaitingAuth != nil || g.requests.open < 0 || g.requests.open > 1 {
				t.Errorf("%s: %d open", name, g.requests.open)
			}
			here.Close()
			text, _ := io.ReadAll(there)
			if n := strings.Count(
				string(text),
				"\r\n",
			); n > 1 ||
				n == 0 && name != "leave" && !(first && name == "handed") {
				t.Errorf("%s, verdict first %t: answers %q", name, first, text)
			}
		}
	}
}
