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

// hijack closes a call's connection without an answer.
func hijack(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_ = conn.Close()
}

// "Nothing was added" must be told apart from "it may have been added".
func TestCounterCalls(t *testing.T) {
	released := make(chan struct{})
	for _, c := range []struct {
		name   string
		serve  func(w http.ResponseWriter, r *http.Request)
		wait   time.Duration
		result policy.Result
		total  float64
	}{
		{"added", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "41.5") }, patience, policy.OK, 41.5},
		{"turned away", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, patience, policy.Rejected, 0},
		{"no such call", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(404) }, patience, policy.Failed, 0},
		{"no number", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "much") }, patience, policy.Failed, 0},
		{"not a number", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "NaN") }, patience, policy.Failed, 0},
		{"no end", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "+Inf") }, patience, policy.Failed, 0},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/v1/count/ff", http.StatusTemporaryRedirect)
		}, patience, policy.Failed, 0},
		{"broken after the call", func(w http.ResponseWriter, _ *http.Request) { hijack(w) }, patience, policy.Reset, 0},
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
				t.Errorf("total %g, result %d", total, result)
			}
			if made := wait(
				t,
				got,
				"a call",
			); made != "POST /v1/count/ab?add=-2.5&ttl_ms=4000" ||
				len(got) > 0 {
				t.Errorf("call %s and %d more", made, len(got))
			}
			if c.name == "no answer" {
				close(released)
			}
			s.Close()
		})
	}
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	counter := newCounterClient(&Config{Counter: strings.TrimPrefix(gone.URL, "http://")})
	_, result := counter.call(
		context.Background(),
		counterCall{url: counter.url, deadline: time.Now().Add(patience)},
	)
	if result != policy.ConnectFailed {
		t.Errorf("no listener: result %d", result)
	}
}
