package forwardauth

import (
	"context"
	"fmt"

	"mothcleat/internal/dataplane/authz"
)

// Host is the goroutine on which decisions are made.
type Host interface {
	Now() authz.Time
	// Post has f run on the host's goroutine. It may be called from any other.
	Post(f func())
	// At has f run there at a time.
	At(when authz.Time, f func())
	// Decided gives a request that waited its one verdict.
	Decided(id uint64, v authz.Verdict, after authz.Time)
}

// Step is the step before a request is decided on. All its methods belong to the
// host's goroutine.
type Step struct {
	host     Host
	gate     *authz.Gate
	client   *Client
	settings Settings
	ctx      context.Context
	current  *Question // of the request at hand
	enabled  bool
}

// NewStep makes a step that asks nobody until Set tells whom.
func NewStep(ctx context.Context, host Host) *Step { return &Step{ctx: ctx, host: host} }

// Update takes in settings: on at the first that name an authenticator, off again
// with those that name none. Those who wait are served in either case. An error
// leaves all as it was.
func (s *Step) Update(set Settings, rules authz.Settings, seed uint64) error {
	if set.URL == "" {
		if s.enabled {
			s.enabled = false
			s.gate.AllowAll(s.host.Now())
			s.client.Close()
		}
		return nil
	}
	client, err := NewClient(set)
	if err != nil {
		return err
	}
	if s.gate == nil {
		if s.gate, err = authz.New(rules, seed, s); err != nil {
			return fmt.Errorf("auth: %w", err)
		}
	} else if err := s.gate.Update(s.host.Now(), rules, set.URL != s.settings.URL || !s.enabled); err != nil {
		return fmt.Errorf("auth: %w", err)
	}
	if s.client != nil {
		s.client.Close()
	}
	s.client, s.settings, s.enabled = client, set, true
	return nil
}

// Enabled tells whether requests are to be put to Request.
func (s *Step) Enabled() bool { return s != nil && s.enabled }

// Request decides on a request, or has it wait for Decided.
func (s *Step) Request(id uint64, q *Question, class, plan int, grace authz.Time) (authz.Verdict, authz.Time) {
	if q.Credential == nil {
		q.Credential = s.client.tokens[q.Customer]
	}
	s.current = q
	defer func() { s.current = nil }()
	return s.gate.Request(s.host.Now(), authz.Question{ID: id, Key: q.Key(), Class: class, Plan: plan, Timeout: grace})
}

// Cancel tells that a request needs no verdict any more.
func (s *Step) Cancel(id uint64) {
	if s.gate != nil {
		s.gate.Cancel(s.host.Now(), id)
	}
}

// Call begins a call for the question at hand: a gate asks only while it decides
// on a request.
func (s *Step) Call(number uint64, _ authz.Key) {
	client, q := s.client, s.current
	go func() {
		answer := client.Authorize(s.ctx, q)
		s.host.Post(func() { s.gate.HandleAnswer(s.host.Now(), number, answer) })
	}()
}

// Decide passes a verdict on.
func (s *Step) Decide(id uint64, v authz.Verdict, after authz.Time) { s.host.Decided(id, v, after) }

// SetTimer has the gate called when a budget is spent.
func (s *Step) SetTimer(at authz.Time) {
	s.host.At(at, func() { s.gate.Timer(s.host.Now()) })
}
