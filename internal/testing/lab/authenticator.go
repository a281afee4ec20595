package lab

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"mothcleat/internal/testing/harness"
)

// Behavior is how an authenticator treats calls.
type Behavior int

// The behaviors of an authenticator.
const (
	Answers Behavior = iota // allows and denies as it should
	Stalls                  // does not answer
	Flaps                   // denies half of the allowed customers' calls at random
	Errs                    // answers 500
	Down                    // does not listen
)

// Authenticator is the stand-in for an HTTP forward authenticator.
type Authenticator struct {
	Address string
	rec     *harness.Record

	mu        sync.Mutex
	rand      *rand.Rand
	server    *http.Server
	behavior  Behavior
	changed   chan struct{} // closed when the behavior changes
	denied    map[string]bool
	allows    map[string][]time.Duration // when each customer was allowed
	calls     int
	badTokens int // calls without the token that belongs to the customer
}

// NewAuthenticator starts an authenticator that denies the customers in denied.
func NewAuthenticator(
	rec *harness.Record,
	denied map[string]bool,
	seed uint64,
) (*Authenticator, error) {
	a := &Authenticator{rec: rec, rand: rand.New(rand.NewPCG(seed, 0xa)), denied: denied,
		allows: map[string][]time.Duration{}, changed: make(chan struct{}), Address: "127.0.0.1:0"}
	return a, a.listen()
}

func (a *Authenticator) listen() error {
	l, err := net.Listen("tcp", a.Address)
	if err != nil {
		return fmt.Errorf("authenticator: %w", err)
	}
	a.Address = l.Addr().String()
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: 5 * time.Second}
	go func(s *http.Server) { _ = s.Serve(l) }(a.server)
	return nil
}

// SetBehavior changes the authenticator's behavior. Down resets its connections; the next behavior
// makes it listen at the same address again.
func (a *Authenticator) SetBehavior(m Behavior) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.behavior
	a.behavior = m
	close(a.changed)
	a.changed = make(chan struct{})
	switch {
	case m == Down && before != Down:
		return a.server.Close()
	case m != Down && before == Down:
		return a.listen()
	}
	return nil
}

// Close stops the authenticator.
func (a *Authenticator) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.server.Close()
}

func tokenOf(customer string) string { return "token-of-" + customer }

func (a *Authenticator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	customer := r.Header.Get("X-Mothcleat-Customer")
	a.mu.Lock()
	a.calls++
	if r.Header.Get("Authorization") != "Bearer "+tokenOf(customer) ||
		strings.Contains(r.URL.String(), "token") {
		a.badTokens++
	}
	behavior, changed := a.behavior, a.changed
	deny := a.denied[customer] || behavior == Flaps && a.rand.IntN(2) == 0
	a.mu.Unlock()
	if behavior == Stalls {
		select {
		case <-changed: // answers late, after the stall
		case <-r.Context().Done():
			return
		}
	}
	switch {
	case behavior == Errs:
		w.WriteHeader(http.StatusInternalServerError)
	case deny:
		w.WriteHeader(http.StatusForbidden)
	default:
		a.mu.Lock()
		a.allows[customer] = append(a.allows[customer], a.rec.Now())
		a.mu.Unlock()
		w.Header().Set("Cache-Control", "max-age=2")
	}
}

// allowed reports whether a customer was allowed at some time between from and to.
func (a *Authenticator) allowed(customer string, from, to time.Duration) bool {
	for _, at := range a.allows[customer] {
		if at >= from && at <= to {
			return true
		}
	}
	return false
}
