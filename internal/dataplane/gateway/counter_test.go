package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mothcleat/internal/dataplane/policy"
)

// closeWithoutAnswer closes the connection of a call without a response.
func closeWithoutAnswer(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_ = conn.Close()
}

// The result of a call distinguishes "nothing was added" (Rejected, ConnectFailed) from "it may
// have been added" (Failed, Reset, TimedOut).
func TestCounterCalls(t *testing.T) {
	released := make(chan struct{})
	for _, c := range []struct {
		name   string
		serve  func(w http.ResponseWriter, r *http.Request)
		wait   time.Duration
		result policy.Result
		total  float64
	}{
		{"added", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "41.5") }, waitTimeout, policy.OK, 41.5},
		{"unavailable", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, waitTimeout, policy.Rejected, 0},
		{"not found", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(404) }, waitTimeout, policy.Failed, 0},
		{"text", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "much") }, waitTimeout, policy.Failed, 0},
		{"NaN", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "NaN") }, waitTimeout, policy.Failed, 0},
		{"infinite", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "+Inf") }, waitTimeout, policy.Failed, 0},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/v1/count/ff", http.StatusTemporaryRedirect)
		}, waitTimeout, policy.Failed, 0},
		{"connection closed after the call", func(w http.ResponseWriter, _ *http.Request) { closeWithoutAnswer(w) }, waitTimeout, policy.Reset, 0},
		{"no answer", func(_ http.ResponseWriter, r *http.Request) { <-released }, 200 * time.Millisecond, policy.TimedOut, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := make(chan string, 8)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got <- r.Method + " " + r.URL.String()
				c.serve(w, r)
			}))
			counter := newCounterClient(&Config{Counter: strings.TrimPrefix(s.URL, "http://")})
			call := counterCall{
				url:      counter.url,
				name:     0xab,
				amount:   -2.5,
				ttl:      4e6,
				deadline: time.Now().Add(c.wait),
			}
			total, result := counter.call(context.Background(), call)
			if total != c.total || result != c.result {
				t.Errorf("total %g, result %d; want %g, %d", total, result, c.total, c.result)
			}
			if received := wait(
				t,
				got,
				"a call",
			); received != "POST /v1/count/ab?add=-2.5&ttl_ms=4000" ||
				len(got) > 0 {
				t.Errorf("received call %s and %d more", received, len(got))
			}
			if c.name == "no answer" {
				close(released)
			}
			s.Close()
		})
	}
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	counter := newCounterClient(&Config{Counter: strings.TrimPrefix(closed.URL, "http://")})
	_, result := counter.call(
		context.Background(),
		counterCall{url: counter.url, deadline: time.Now().Add(waitTimeout)},
	)
	if result != policy.ConnectFailed {
		t.Errorf("no listener: result %d, want %d", result, policy.ConnectFailed)
	}
}
