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

// authCall is a call that the fake authenticator has received.
type authCall struct {
	header   http.Header
	status   chan int        // of the response; the test sends it
	canceled <-chan struct{} // closed once the gateway has given up the call
}

// newFakeAuthenticator starts an authenticator that passes its calls to the test, which answers
// them.
func newFakeAuthenticator(t testing.TB) (*httptest.Server, chan *authCall) {
	calls := make(chan *authCall, 1024)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &authCall{r.Header, make(chan int, 1), r.Context().Done()}
		calls <- c
		select {
		case status := <-c.status:
			if status == http.StatusTooManyRequests {
				w.Header().Set("Retry-After", "1")
			}
			w.WriteHeader(status)
		case <-c.canceled:
		}
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s, calls
}

const secondUS = 1_000_000 // one second in microseconds

// authConfig returns a configuration under which requests of the classes lookup and order are
// authorized.
func authConfig(t testing.TB, d *fakeDiscovery, url string) Config {
	cfg := testConfig(t, d, nil)
	cfg.Auth = Auth{
		Settings: forwardauth.Settings{URL: url, Timeout: waitTimeout, MaxConns: 8},
		Rules: authz.Settings{
			Classes:         []bool{true, true, false},
			FailOpen:        []bool{false, true, false},
			Plans:           []bool{true, true},
			MaxWait:         60 * secondUS,
			AllowTTL:        60 * secondUS,
			MaxAllowTTL:     60 * secondUS,
			MaxDenyTTL:      60 * secondUS,
			StaleTTL:        0,
			MaxCalls:        8,
			MaxWaiting:      100,
			MaxCached:       100,
			BreakerFailures: 100,
			BreakerMinOpen:  secondUS,
			BreakerMaxOpen:  secondUS,
		},
	}
	return cfg
}

// startAuthGateway starts a gateway with one backend and an authenticator.
func startAuthGateway(
	t *testing.T,
	change func(*Config),
) (*testGateway, *fakeBackend, *fakeDiscovery, chan *authCall) {
	t.Helper()
	s, calls := newFakeAuthenticator(t)
	b := newFakeBackend(t)
	d := newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready"))
	cfg := authConfig(t, d, s.URL)
	if change != nil {
		change(&cfg)
	}
	return startGateway(t, cfg), b, d, calls
}

// An allowed request is sent to a backend. A denied one reaches no backend and consumes no units.
// No backend receives the token.
func TestAuthenticatorVerdicts(t *testing.T) {
	r, b, _, calls := startAuthGateway(t, nil)
	c := r.dialClient(t)
	c.send("AUTH", "the-token")
	c.wantLine("+OK")
	c.sendLookup(1, "86400000")
	authCall := wait(t, calls, "an authenticator call")
	for name, want := range map[string]string{
		"Authorization": "Bearer the-token", "X-Mothcleat-Customer": "0000000000000007", "X-Mothcleat-Plan": "team",
		"X-Mothcleat-Class": "lookup", "X-Mothcleat-Units": "1", "X-Forwarded-Method": "GET", "X-Forwarded-For": "127.0.0.1",
	} {
		if got := authCall.header.Get(name); got != want {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
	if len(b.commands) > 0 {
		t.Error("the request was sent to a backend before the verdict")
	}
	authCall.status <- http.StatusOK
	call := b.nextCommand(t)
	if strings.Contains(fmt.Sprintf("%s", call.args), "the-token") {
		t.Error("a backend received the token")
	}
	call.replyValue(t, "ok")
	c.wantValue("ok")
	c.sendLookup(2, "86400000") // its verdict is cached
	b.nextCommand(t).replyValue(t, "again")
	c.wantValue("again")

	other := r.dialClient(t)
	other.send("HELLO", "2", "AUTH", "user", "wrong")
	other.wantLine("*14")
	for range 25 { // the rest of the reply to HELLO
		other.readLine()
	}
	other.sendLookup(3, "86400000")
	authCall = wait(t, calls, "a call for another user")
	if got := authCall.header.Get("Authorization"); got != "Basic dXNlcjp3cm9uZw==" {
		t.Errorf("header Authorization: %q", got)
	}
	authCall.status <- http.StatusForbidden
	other.wantLine("-NOPERM denied")
	if len(b.commands) > 0 {
		t.Error("a denied request was sent to a backend")
	}
}

// An authenticator that does not answer delays no request beyond MaxWait. A request of a fail-open
// class is then sent once, even if the verdict arrives later.
func TestHungAuthenticatorTimesOut(t *testing.T) {
	r, b, _, calls := startAuthGateway(t, func(c *Config) { c.Auth.Rules.MaxWait = 50_000 })
	c := r.dialClient(t)
	c.sendLookup(1, "86400000")
	wait(t, calls, "an authenticator call")
	if got := c.readLine(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("reply %q, want -BUSY", got)
	}
	c.send(
		"API.WRITE",
		"0000000000000007",
		"0000000000000002",
		"c=order,t=team,d=86400000,k=k1,units=1,spread=1,first=0",
		"x",
	)
	authCall := wait(t, calls, "an authenticator call")
	call := b.nextCommand(t)
	authCall.status <- http.StatusOK // too late
	c.send(
		"API.WRITE",
		"0000000000000007",
		"0000000000000003",
		"c=order,t=team,d=86400000,k=k2,units=1,spread=1,first=0",
		"x",
	)
	second := b.nextCommand(t) // allowed by its own verdict or by the late one
	if string(second.args[2]) != "0000000000000003" {
		t.Errorf("the first order was sent twice: %q", second.args)
	}
	call.replyValue(t, "one")
	second.replyValue(t, "two")
	c.wantValue("one")
	c.wantValue("two")
}

// Status 429 leads to a rejection with the Retry-After of the response. Other failures of the
// authenticator lead to a rejection as well, not to a denial.
func TestOtherAuthenticatorAnswers(t *testing.T) {
	r, b, _, calls := startAuthGateway(t, nil)
	for id, c := range []struct {
		status int
		want   string
	}{{http.StatusTooManyRequests, "-BUSY 1000"}, {http.StatusInternalServerError, "-BUSY 500"}, {http.StatusFound, "-BUSY 500"}} {
		client := r.dialClient(t)
		client.send("AUTH", fmt.Sprint("token", id))
		client.wantLine("+OK")
		client.sendLookup(id, "86400000")
		wait(t, calls, "an authenticator call").status <- c.status
		client.wantLine(c.want)
	}
	if len(b.commands) > 0 {
		t.Error("a request was sent to a backend without a verdict")
	}
}

// A request that awaits its verdict ends at once, and only once, when its client disconnects, the
// gateway shuts down, or a reload switches the authenticator off or moves it.
func TestRequestEndsWhileAwaitingVerdict(t *testing.T) {
	t.Run("the client disconnects", func(t *testing.T) {
		r, b, _, calls := startAuthGateway(t, nil)
		c, other := r.dialClient(t), r.dialClient(t)
		c.sendLookup(1, "86400000")
		authCall := wait(t, calls, "an authenticator call")
		c.conn.Close()
		other.send("AUTH", "x")
		other.wantLine("+OK")
		authCall.status <- http.StatusOK
		other.sendLookup(1, "86400000") // the same id, which is free again
		for {
			select {
			case authCall := <-calls:
				authCall.status <- http.StatusOK
				continue
			case call := <-b.commands:
				call.replyValue(t, "ok")
				other.wantValue("ok")
			case <-time.After(waitTimeout):
				t.Fatal("timed out waiting for the second client's request")
			}
			break
		}
		if len(b.commands) > 0 {
			t.Error("a request was sent for a client that had disconnected")
		}
	})
	t.Run("switched off", func(t *testing.T) {
		r, b, d, calls := startAuthGateway(t, nil)
		c := r.dialClient(t)
		c.sendLookup(1, "86400000")
		authCall := wait(t, calls, "an authenticator call")
		r.reloadWith(testConfig(t, d, nil), nil)
		b.nextCommand(t).replyValue(t, "ok")
		c.wantValue("ok")
		authCall.status <- http.StatusForbidden
		c.send("AUTH", "x")
		if got := c.readLine(); !strings.HasPrefix(got, "-ERR unknown command") {
			t.Errorf("reply %q, want an unknown command", got)
		}
	})
	t.Run("moved to another URL", func(t *testing.T) {
		r, b, d, calls := startAuthGateway(t, nil)
		c, other := r.dialClient(t), r.dialClient(t)
		c.sendLookup(1, "86400000")
		old := wait(t, calls, "an authenticator call")
		s, moved := newFakeAuthenticator(t)
		r.reloadWith(authConfig(t, d, s.URL), nil)
		// The reload comes first: a verdict before it would be cached, and the new authenticator
		// would not be called.
		waitUntil(
			t,
			r.gateway,
			"the reload",
			func(g *Gateway) bool { return g.metrics.ConfigLoads.Load() == 2 },
		)
		other.send("AUTH", "x")
		other.wantLine("+OK")
		old.status <- http.StatusOK
		b.nextCommand(t).replyValue(t, "ok")
		c.wantValue("ok")
		c.sendLookup(2, "86400000")
		wait(t, moved, "a call of the new authenticator").status <- http.StatusUnauthorized
		c.wantLine("-NOPERM denied")
	})
	t.Run("failed reload", func(t *testing.T) {
		r, _, _, calls := startAuthGateway(t, nil)
		r.reloadWith(Config{}, errors.New("bad"))
		c := r.dialClient(t)
		c.sendLookup(1, "86400000")
		wait(t, calls, "an authenticator call").status <- http.StatusForbidden
		c.wantLine("-NOPERM denied")
	})
	t.Run("the gateway shuts down", func(t *testing.T) {
		t.Parallel()
		r, b, _, calls := startAuthGateway(t, nil)
		c := r.dialClient(t)
		c.sendLookup(1, "80000000")
		wait(t, calls, "an authenticator call")
		r.beginShutdown()
		c.wantLine("-ERR failed")
		c.wantClosed()
		c.conn.Close()
		wait(t, r.exited, "the gateway's end")
		if len(b.commands) > 0 {
			t.Error("the request was sent to a backend without a verdict")
		}
	})
}

// Credentials that do not fit in an HTTP header are rejected, and the reply reveals no part of
// them.
func TestBadCredentials(t *testing.T) {
	r, _, _, calls := startAuthGateway(t, nil)
	c := r.dialClient(t)
	for _, args := range [][]string{{"AUTH"}, {"AUTH", "line\r\nbreak"}, {"AUTH", strings.Repeat("x", 60<<10)}, {"AUTH", "a:b", "c"},
		{"AUTH", ""}, {"HELLO", "2", "AUTH", "secret"}, {"HELLO", "2", "secret"}, {"HELLO", "3"}} {
		c.send(args...)
		got := c.readLine()
		if !strings.HasPrefix(got, "-ERR ") && !strings.HasPrefix(got, "-NOPROTO ") ||
			strings.Contains(got, "secret") ||
			strings.Contains(got, "break") {
			t.Errorf("%.20q: %q", args, got)
		}
		c.send("PING")
		c.wantLine("+PONG")
	}
	if len(calls) > 0 {
		t.Error("the authenticator was called with a rejected credential")
	}
}

// A verdict races with the client's disconnect, the deadline, the end of the shutdown or a
// handover, in both orders: the client gets at most one reply, and nothing is sent to a backend
// after it.
func TestVerdictRacesWithRequestEnd(t *testing.T) {
	s, calls := newFakeAuthenticator(t)
	for name, end := range map[string]func(g *Gateway, r *request){
		"disconnect": func(g *Gateway, r *request) { clientDisconnected{r.client}.handle(g) },
		"deadline":   func(g *Gateway, r *request) { deadlineBackstop{r}.due(g) },
		"shutdown":   func(g *Gateway, _ *request) { g.failOpenRequests() },
		"handover": func(g *Gateway, _ *request) {
			g.lifecycle.HandOver(false) // later requests are rejected with a retry delay
		},
	} {
		for _, first := range []bool{true, false} {
			b := newFakeBackend(t)
			d := newFakeDiscovery(t)
			g, err := newGateway(authConfig(t, d, s.URL), discardLogger())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { g.cancelAuth(); g.clients.listener.Close() })
			g.backends.updateEndpoints(
				g,
				policy.Complete,
				[]member{{ID: "s-00000001", HostPort: b.listener.Addr().String(), Phase: "Ready"}},
			)
			here, there := newConnPair(t)
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
			wait(t, calls, "an authenticator call").status <- http.StatusOK
			verdict := wait(t, g.events, "the verdict")
			if first {
				g.handle(verdict)
			}
			end(g, r)
			g.runQueued()
			if !first {
				g.handle(verdict)
				if r.attemptsMade > 0 {
					t.Errorf("%s, then the verdict: the request was sent to a backend", name)
				}
			}
			if !r.answered && !(first && name == "handover") {
				t.Errorf("%s: the request has no answer", name)
			}
			if r.awaitingAuth != nil || g.requests.open < 0 || g.requests.open > 1 {
				t.Errorf("%s: %d open requests, or one still awaits its verdict", name, g.requests.open)
			}
			here.Close()
			text, _ := io.ReadAll(there)
			if n := strings.Count(
				string(text),
				"\r\n",
			); n > 1 ||
				n == 0 && name != "disconnect" && !(first && name == "handover") {
				t.Errorf("%s, verdict first %t: replies %q", name, first, text)
			}
		}
	}
}
