package forwardauth

import (
	"context"
	"fmt"

	"mothcleat/internal/dataplane/authz"
)

// Host is the goroutine on which a Step decides.
type Host interface {
	Now() authz.Time
	// Post has f run on the host's goroutine. It may be called from any other.
	Post(f func())
	// At has f run there at a time.
	At(when authz.Time, f func())
	// Decided gives a waiting request its one verdict; retryAfter is for authz.RetryLater.
	Decided(id uint64, v authz.Verdict, retryAfter authz.Time)
}

// Step is the authorization before a request is decided on. All its methods belong to the host's
// goroutine.
type Step struct {
	host     Host
	gate     *authz.Gate
	client   *Client
	settings Settings
	ctx      context.Context // of the calls
	current  *Question       // of the request that gate decides on; nil: none
	enabled  bool
}

// NewStep makes a step that asks no authenticator until Update names one. Calls end with ctx.
func NewStep(ctx context.Context, host Host) *Step { return &Step{ctx: ctx, host: host} }

// Update applies settings. Without an authenticator the step is disabled, and all waiting requests
// are allowed. It returns an error, and changes nothing, for settings that can't be used.
func (s *Step) Update(settings Settings, rules authz.Settings, seed uint64) error {
	if settings.URL == "" {
		s.disable()
		return nil
	}
	client, err := NewClient(settings)
	if err != nil {
		return err
	}
	if err := s.updateGate(settings, rules, seed); err != nil {
		return fmt.Errorf("auth: %w", err)
	}
	if s.client != nil {
		s.client.Close()
	}
	s.client = client
	s.settings = settings
	s.enabled = true
	return nil
}

func (s *Step) disable() {
	if s.enabled {
		s.enabled = false
		s.gate.AllowAll(s.host.Now())
		s.client.Close()
	}
}

func (s *Step) updateGate(settings Settings, rules authz.Settings, seed uint64) (err error) {
	if s.gate == nil {
		s.gate, err = authz.New(rules, seed, s)
		return err
	}
	moved := settings.URL != s.settings.URL || !s.enabled
	return s.gate.Update(s.host.Now(), rules, moved)
}

// Enabled reports whether requests are to be passed to Request.
func (s *Step) Enabled() bool { return s != nil && s.enabled }

// Request decides on a request: at once, or, with authz.Pending, by Host.Decided later. timeout is
// how long its client waits.
func (s *Step) Request(
	id uint64, q *Question, class, plan int, timeout authz.Time,
) (v authz.Verdict, retryAfter authz.Time) {
	if q.Credential == nil {
		q.Credential = s.client.tokens[q.Customer]
	}
	s.current = q
	defer func() { s.current = nil }()
	question := authz.Question{ID: id, Key: q.Key(), Class: class, Plan: plan, Timeout: timeout}
	return s.gate.Request(s.host.Now(), question)
}

// Cancel records that a request needs no verdict any more.
func (s *Step) Cancel(id uint64) {
	if s.gate != nil {
		s.gate.Cancel(s.host.Now(), id)
	}
}

// Call starts a call for the current question: a gate calls only while it decides on a request. It
// implements authz.Actions.
func (s *Step) Call(number uint64, _ authz.Key) {
	client := s.client
	q := s.current
	go func() {
		answer := client.Authorize(s.ctx, q)
		s.host.Post(func() { s.gate.HandleAnswer(s.host.Now(), number, answer) })
	}()
}

// Decide passes a verdict to the host. It implements authz.Actions.
func (s *Step) Decide(id uint64, v authz.Verdict, retryAfter authz.Time) {
	s.host.Decided(id, v, retryAfter)
}

// SetTimer has the gate called at a time. It implements authz.Actions.
func (s *Step) SetTimer(at authz.Time) {
	s.host.At(at, func() { s.gate.Timer(s.host.Now()) })
}
