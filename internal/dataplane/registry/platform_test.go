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
	case n := <-from:
		return n
	case <-time.After(patience):
		t.Fatal("timed out waiting for news")
		panic("unreachable")
	}
}

// follow runs a source for a test.
func follow(t *testing.T, s Source) chan Update {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	told, ended := make(chan Update), make(chan struct{})
	go func() {
		defer close(ended)
		s.Run(ctx, func(n Update) {
			select {
			case told <- n:
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
	return told
}

// script answers calls in turn, and all later ones with the last answer.
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

// At first and after any failure the complete list is fetched, and changes from its version on;
// what is no list is no update.
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
	told := follow(t, NewPlatform(address, false, membership.NewPacer(1, 7), quiet()))
	for _, want := range []Kind{CompleteList, Delta, CompleteList, CompleteList} {
		if n := next(t, told); n.Kind != want {
			t.Errorf("%+v, want kind %d", n, want)
		}
	}
	for i, want := range []string{"", "index=4&wait=2000", "index=5&wait=2000", "", "index=7&wait=2000", "", "index=9&wait=2000"} {
		if got := <-calls; got != want {
			t.Errorf("call %d: %q, want %q", i, got, want)
		}
	}
}

// Where discovery tells only callers, nothing is called before Follow, and a failure is announced.
func TestPolledPlatform(t *testing.T) {
	address, calls := script(t, `!503`)
	p := NewPlatform(address, true, membership.NewPacer(1, 7), quiet())
	told := follow(t, p)
	if len(calls) > 0 {
		t.Error("called before it was to be followed")
	}
	p.Follow()
	p.Follow()
	if n := next(t, told); n.Kind != Unavailable {
		t.Errorf("%+v", n)
	}
}

// A move ends the watch under way; the last of several moves counts.
func TestPlatformMoves(t *testing.T) {
	old, calls := script(t, `{"revision":4,"complete":true,"members":[{"id":"old"}]}`, `hang`)
	moved, _ := script(t, `{"revision":1,"complete":true,"members":[{"id":"new"}]}`, `hang`)
	p := NewPlatform(old, false, membership.NewPacer(1, 7), quiet())
	told := follow(t, p)
	next(t, told)
	for range 2 {
		<-calls // the watch is under way
	}
	p.Move("127.0.0.1:1")
	p.Move(moved)
	if n := next(t, told); n.Kind != CompleteList || n.Members[0].ID != "new" {
		t.Errorf("%+v", n)
	}
}

// Discovery that was down does not answer calls made meanwhile, and its changes bind from its
// return on: another call is made beside a silent one, be it a watch whose wait is over or a call
// for the complete list. The first answer counts.
func TestSilentDiscoveryIsCalledInParallel(t *testing.T) {
	const list = `{"revision":4,"complete":true,"members":[{"id":"s"}]}`
	for name, held := range map[string][]bool{ // call by call
		"a list": {true, false}, "three lists": {true, true, true, false}, "a watch": {false, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // a watch's wait is seconds
			var mu sync.Mutex
			var open []context.Context // the calls that are held
			calls, given := 0, 0
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
							given++
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
			told := follow(
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
				if n := next(t, told); n.Kind != CompleteList || len(n.Members) != 1 {
					t.Errorf("%+v", n)
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if given > 0 {
				t.Errorf("%d calls were given up before another was made", given)
			}
		})
	}
}
