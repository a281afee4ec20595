package forwardauth

import (
	"bufio"
	"context"
	"encoding/pem"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mothcleat/internal/dataplane/authz"
)

const testTimeout = 30 * time.Second

func client(t testing.TB, s Settings) *Client {
	t.Helper()
	if s.Timeout == 0 {
		s.Timeout = testTimeout
	}
	if s.MaxConns == 0 {
		s.MaxConns = 4
	}
	c, err := NewClient(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func question() *Question {
	return &Question{
		Credential:    &Credential{Secret: "t0ken"},
		Customer:      "0000000000000007",
		Plan:          "team",
		Class:         "order",
		Units:         2.5,
		Write:         true,
		ClientAddress: "127.0.0.1:5",
	}
}

// rawAuthenticator starts an authenticator whose answers are written by a function as raw bytes,
// one answer on each connection. It returns the authenticator's URL.
func rawAuthenticator(t testing.TB, answer func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answer(c)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String() + "/verify"
}

// Every form of answer, valid or not, gives a verdict or Unknown within the timeout.
func TestAnswersOfEveryKind(t *testing.T) {
	text := func(s string) func(net.Conn) { return func(c net.Conn) { _, _ = io.WriteString(c, s) } }
	hold := func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }
	for _, c := range []struct {
		name   string
		answer func(net.Conn)
		want   authz.Verdict
		maxAge authz.Time
	}{
		{"allow", text("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), authz.Allow, -1},
		{"allow without a body", text("HTTP/1.1 204 No Content\r\nCache-Control: private, max-age=7\r\n\r\n"), authz.Allow, 7e6},
		{"allow with no-store", text("HTTP/1.1 200 OK\r\nCache-Control: max-age=9, no-store\r\nContent-Length: 0\r\n\r\n"), authz.Allow, 0},
		{"allow with a malformed max-age", text("HTTP/1.1 200 OK\r\nCache-Control: max-age=soon\r\nContent-Length: 0\r\n\r\n"), authz.Allow, 0},
		{"deny", text("HTTP/1.1 401 No\r\nContent-Length: 0\r\n\r\n"), authz.Deny, -1},
		{"forbid", text("HTTP/1.1 403 No\r\nContent-Length: 0\r\n\r\n"), authz.Deny, -1},
		{"retry later", text("HTTP/1.1 429 No\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"), authz.RetryLater, -1},
		{"server error", text("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), authz.Unknown, -1},
		{"redirect", text("HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n"), authz.Unknown, -1},
		{"1xx ahead", text("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 403 No\r\nContent-Length: 0\r\n\r\n"), authz.Deny, -1},
		{"endless 1xx responses", func(c net.Conn) {
			for range 1000 {
				_, _ = io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n")
			}
		}, authz.Unknown, -1},
		{"malformed status line", text("HTTP/9 what\r\n\r\n"), authz.Unknown, -1},
		{"not HTTP", text("-ERR what\r\n"), authz.Unknown, -1},
		{"header too large", text("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n"), authz.Unknown, -1},
		{"reset", func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }, authz.Unknown, -1},
		{"closed", func(net.Conn) {}, authz.Unknown, -1},
		{"no answer", hold, authz.Unknown, -1},
		{"slow header", func(c net.Conn) {
			for range 1000 {
				if _, err := io.WriteString(c, "H"); err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		}, authz.Unknown, -1},
		{"endless body", func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for range 1 << 20 {
				if _, err := io.WriteString(c, "4\r\nbody\r\n"); err != nil {
					return
				}
			}
		}, authz.Allow, -1},
		{"truncated body", func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf")
		}, authz.Allow, -1},
	} {
		wait := testTimeout
		if c.name == "no answer" || c.name == "slow header" {
			wait = 100 * time.Millisecond // the call must time out
		}
		cl := client(t, Settings{URL: rawAuthenticator(t, c.answer), Timeout: wait})
		a := cl.Authorize(context.Background(), question())
		if a.Verdict != c.want || a.MaxAge != c.maxAge ||
			c.want == authz.RetryLater && a.RetryAfter != 3e6 {
			t.Errorf("%s: %+v, want verdict %d, age %d", c.name, a, c.want, c.maxAge)
		}
	}
}

// The authenticator receives the headers that reverse proxies send, once each, and the secret from
// the file. The environment's proxy settings are not used.
func TestRequestHeaders(t *testing.T) {
	t.Setenv("HTTP_PROXY", "http://127.0.0.1:1")
	got := make(chan *http.Request, 1)
	s := httptest.NewServer(
		http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r }),
	)
	defer s.Close()
	file := filepath.Join(t.TempDir(), "secret")
	if err := os.WriteFile(file, []byte("s3cret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	c := client(
		t,
		Settings{
			URL:        s.URL + "/verify?x=1",
			Headers:    map[string]string{"X-Site": "caxias"},
			SecretName: "X-Secret",
			SecretFile: file,
		},
	)
	if a := c.Authorize(context.Background(), question()); a.Verdict != authz.Allow {
		t.Fatalf("%+v", a)
	}
	r := <-got
	if r.Method != http.MethodGet || r.RequestURI != "/verify?x=1" || r.ContentLength != 0 {
		t.Errorf("%s %s, %d bytes", r.Method, r.RequestURI, r.ContentLength)
	}
	for name, want := range map[string]string{
		"X-Forwarded-Method": "POST", "X-Forwarded-Proto": "redis", "X-Forwarded-Uri": "/order", "X-Forwarded-For": "127.0.0.1",
		"X-Mothcleat-Customer": "0000000000000007", "X-Mothcleat-Plan": "team", "X-Mothcleat-Class": "order", "X-Mothcleat-Units": "2.5",
		"X-Site": "caxias", "X-Secret": "s3cret", "Authorization": "Bearer t0ken",
	} {
		if v := r.Header.Values(name); len(v) != 1 || v[0] != want {
			t.Errorf("%s: %q, want %q", name, v, want)
		}
	}
}

// Connections are reused, HTTP/2 is used over TLS if the server supports it, and a certificate of
// an unknown authority gives no verdict.
func TestConnections(t *testing.T) {
	var conns atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", fmt.Sprint(r.ProtoMajor))
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	s.EnableHTTP2 = true
	s.StartTLS()
	defer s.Close()
	ca := filepath.Join(t.TempDir(), "ca.pem")
	if err := os.WriteFile(
		ca,
		pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: s.Certificate().Raw}),
		0o600,
	); err != nil {
		t.Fatal(err)
	}
	c := client(t, Settings{URL: s.URL, CAFile: ca})
	for range 5 {
		if a := c.Authorize(
			context.Background(),
			question(),
		); a.Verdict != authz.RetryLater ||
			a.RetryAfter != 2e6 {
			t.Errorf("%+v, want RetryLater over HTTP/2", a)
		}
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections for 5 calls, want 1", n)
	}
	if a := client(
		t,
		Settings{URL: s.URL},
	).Authorize(context.Background(), question()); a.Verdict != authz.Unknown {
		t.Errorf("certificate of an unknown authority: %+v", a)
	}
}

// The tokens file gives the credentials of customers whose connections sent none. The error for an
// invalid line names the line but does not contain its text.
func TestTokensFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tokens")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("# partners\n\n0000000000000007 seven\n0000000000000008\teight\n")
	c := client(t, Settings{URL: "http://127.0.0.1:1/", TokensFile: path})
	if len(c.tokens) != 2 || c.tokens["0000000000000008"].Secret != "eight" {
		t.Errorf("%d tokens, want 2 with their secrets", len(c.tokens))
	}
	for _, bad := range []string{"7 hush", "0000000000000007 hush x", "0000000000000007 hush\n0000000000000007 hush", "0000000000000007 h\x01hush"} {
		write("\n" + bad)
		_, err := NewClient(Settings{URL: "http://127.0.0.1:1/", TokensFile: path})
		if err == nil || strings.Contains(err.Error(), "hush") ||
			!strings.Contains(err.Error(), path+":") {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

func TestBadSettings(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad")
	if err := os.WriteFile(bad, []byte("two\nlines-of-secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, s := range []Settings{
		{URL: "127.0.0.1:1"}, {URL: "ftp://x/"}, {URL: "http://"}, {URL: "http://u:lines-of-secret@x/"}, {URL: "http://x/#f"},
		{URL: "http://x/", Headers: map[string]string{"X-Forwarded-For": "1"}}, {URL: "http://x/", Headers: map[string]string{"A b": "1"}},
		{URL: "http://x/", Headers: map[string]string{"A": "1\r\nB: 2"}}, {URL: "http://x/", SecretName: "S", SecretFile: bad},
		{URL: "http://x/", SecretName: "S", SecretFile: bad + "x"}, {URL: "http://x/", CAFile: bad}, {URL: "http://x/", SecretFile: bad},
	} {
		_, err := NewClient(s)
		if err == nil || strings.Contains(err.Error(), "\n") ||
			strings.Contains(err.Error(), "lines-of-secret") {
			t.Errorf("%+v: error %v", s, err)
		}
	}
}

// Questions have equal keys if, and only if, everything that a verdict may depend on is equal.
func TestKeys(t *testing.T) {
	a := question()
	b := question()
	b.ClientAddress = "127.0.0.9:1"
	if a.Key() != b.Key() {
		t.Error("the key depends on the address")
	}
	seen := map[authz.Key]int{a.Key(): -1}
	for i, change := range []func(*Question){
		func(q *Question) { q.Credential = nil }, func(q *Question) { q.Credential.Secret = "other" },
		func(q *Question) { q.Credential = &Credential{User: "t0", Secret: "ken"} },
		func(q *Question) { q.Credential = &Credential{Secret: "t0ken", Named: true} },
		func(q *Question) { q.Customer = "0000000000000008" }, func(q *Question) { q.Plan = "tiny" },
		func(q *Question) { q.Class = "lookup" }, func(q *Question) { q.Units = 3 },
	} {
		q := question()
		change(q)
		if j, there := seen[q.Key()]; there {
			t.Errorf("questions %d and %d have equal keys", i, j)
		}
		seen[q.Key()] = i
	}
}

// Any bytes from an authenticator give an answer whose fields are within their limits.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 401\r\n\r\n", "HTTP/1.1 429 x\r\nRetry-After: 99999999999999\r\n\r\n",
		"HTTP/1.1 429 x\r\nRetry-After: Fri, 31 Dec 1999 23:59:59 GMT\r\n\r\n", "HTTP/1.1 200 OK\r\nCache-Control: max-age=-1, max-age=\"8\"\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "", "\r\n\r\n", "HTTP/1.0 200\r\n\r\nbody",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		c := client(t, Settings{URL: rawAuthenticator(t, func(c net.Conn) { _, _ = c.Write(answer) })})
		a := c.Authorize(context.Background(), question())
		switch {
		case a.Verdict < authz.Allow || a.Verdict > authz.Unknown,
			a.MaxAge < -1,
			a.MaxAge > 24*3600*1e6,
			a.RetryAfter < 0,
			a.RetryAfter > maxRetryAfter.Microseconds(),
			a.Verdict == authz.RetryLater && a.RetryAfter == 0:
			t.Errorf("%q: %+v", answer, a)
		}
	})
}
