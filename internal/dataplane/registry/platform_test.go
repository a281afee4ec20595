package registry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mothcleat/internal/dataplane/membership"
)

const patience = 30 * time.Second

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func next(t *testing.T, from <-chan Update) Update {
	t.Helper()
	select {
	case u := <-from:
		return u
	case <-time.After(patience):
		t.Fatal("timed out waiting for an update")
		panic("unreachable")
	}
}

// follow runs a source until the end of the test and returns its updates.
func follow(t *testing.T, s Source) chan Update {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	updates, ended := make(chan Update), make(chan struct{})
	go func() {
		defer close(ended)
		s.Run(ctx, func(u Update) {
			select {
			case updates <- u:
			case <-ctx.Done():
			}
		})
	}()
	t.Cleanup(func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(patience):
			t.Error("the source did not end")
		}
	})
	return updates
}

// script starts a server that sends the answers in turn, and the last one to all later calls. An
// answer of the form "!CODE" is sent as an HTTP status, and "hang" holds the call. script returns the
// server's address and the query strings of the calls.
func script(t *testing.T, answers ...string) (string, chan string) {
	t.Helper()
	calls := make(chan string, 1024)
	var n atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		answer := answers[min(int(n.Add(1))-1, len(answers)-1)]
		if status := 0; strings.HasPrefix(answer, "!") {
			_, _ = fmt.Sscan(answer[1:], &status)
			w.WriteHeader(status)
			return
		}
		if answer == "hang" {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, answer)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return strings.TrimPrefix(s.URL, "http://"), calls
}

// At first and after each failure the complete list is fetched, and then the changes since its
// version. An answer that is not a list leads to no update.
func TestPlatformFetchesCompleteListAfterFailure(t *testing.T) {
	address, calls := script(
		t,
		`{"revision":4,"complete":true,"members":[{"id":"a"}]}`,
		`{"revision":5,"members":[{"id":"b"}]}`,
		`!500`,
		`{"revision":7,"complete":true,"members":[]}`,
		`{"revision":8,"members":[{"id`,
		`{"revision":9,"complete":true,"members":[]}`,
		`hang`,
	)
	updates := follow(t, NewPlatform(address, false, membership.NewPacer(1, 7), quiet()))
	for _, want := range []Kind{CompleteList, Delta, CompleteList, CompleteList} {
		if u := next(t, updates); u.Kind != want {
			t.Errorf("%+v, want kind %d", u, want)
		}
	}
	for i, want := range []string{"", "index=4&wait=2000", "index=5&wait=2000", "", "index=7&wait=2000", "", "index=9&wait=2000"} {
		if got := <-calls; got != want {
			t.Errorf("call %d: %q, want %q", i, got, want)
		}
	}
}

// If discovery has to be polled, it is not called before Follow, and a failure is announced.
func TestPolledPlatform(t *testing.T) {
	address, calls := script(t, `!503`)
	p := NewPlatform(address, true, membership.NewPacer(1, 7), quiet())
	updates := follow(t, p)
	if len(calls) > 0 {
		t.Error("discovery was called before Follow")
	}
	p.Follow()
	p.Follow()
	if u := next(t, updates); u.Kind != Unavailable {
		t.Errorf("%+v", u)
	}
}

// A move ends the watch under way; the last of several moves counts.
func TestPlatformMoves(t *testing.T) {
	old, calls := script(t, `{"revision":4,"complete":true,"members":[{"id":"old"}]}`, `hang`)
	moved, _ := script(t, `{"revision":1,"complete":true,"members":[{"id":"new"}]}`, `hang`)
	p := NewPlatform(old, false, membership.NewPacer(1, 7), quiet())
	updates := follow(t, p)
	next(t, updates)
	for range 2 {
		<-calls // the watch is under way
	}
	p.Move("127.0.0.1:1")
	p.Move(moved)
	if u := next(t, updates); u.Kind != CompleteList || u.Members[0].ID != "new" {
		t.Errorf("%+v", u)
	}
}

// Discovery that was down does not answer the calls made during that time, but gateways must act on
// its changes from its return on. So another call is made in parallel to an unanswered one, which may
// be a watch whose wait is over or a call for the complete list. The first answer counts.
func TestSilentDiscoveryIsCalledInParallel(t *testing.T) {
	const list = `{"revision":4,"complete":true,"members":[{"id":"s"}]}`
	for name, held := range map[string][]bool{ // call by call
		"a list": {true, false}, "three lists": {true, true, true, false}, "a watch": {false, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // a watch waits for seconds
			var mu sync.Mutex
			var open []context.Context // the calls that are held
			calls, abandoned := 0, 0
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				n := calls
				calls++
				hold := n >= len(held) || held[n]
				if hold {
					open = append(open, r.Context())
				} else if n == len(held)-1 {
					for _, c := range open {
						if c.Err() != nil {
							abandoned++
						}
					}
				}
				mu.Unlock()
				if hold {
					<-r.Context().Done()
					return
				}
				fmt.Fprint(w, list)
			}))
			t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
			updates := follow(
				t,
				NewPlatform(
					strings.TrimPrefix(s.URL, "http://"),
					false,
					membership.NewPacer(1, 7).SetPushed(2_000_000),
					quiet(),
				),
			)
			for _, h := range held {
				if h {
					continue
				}
				if u := next(t, updates); u.Kind != CompleteList || len(u.Members) != 1 {
					t.Errorf("%+v", u)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if abandoned > 0 {
				t.Errorf("%d calls were abandoned before another was made", abandoned)
			}
		})
	}
}
