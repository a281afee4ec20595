package forwardauth

import (
	"context"
	"fmt"

	"mothcleat/internal/dataplane/authz"
)

// Host represents the goroutine on which a Step decides.
type Host interface {
	Now() authz.Time
	// Post runs f on the host's goroutine. It may be called from any goroutine.
	Post(f func())
	// At runs f on the host's goroutine at the given time.
	At(when authz.Time, f func())
	// Decided gives a waiting request its only verdict; retryAfter applies to authz.RetryLater
	// only.
	Decided(id uint64, v authz.Verdict, retryAfter authz.Time)
}

// Step authorizes requests before the gateway decides on them. All its methods must be called on
// the host's goroutine.
type Step struct {
	host     Host
	gate     *authz.Gate
	client   *Client
	settings Settings
	ctx      context.Context // for the calls
	current  *Question       // that the gate is deciding on; nil: none
	enabled  bool
}

// NewStep creates a step that calls no authenticator until Update names one. Canceling ctx ends all
// calls.
func NewStep(ctx context.Context, host Host) *Step { return &Step{ctx: ctx, host: host} }

// Update applies settings. Without an authenticator the step is disabled, and all waiting requests
// are allowed. Update returns an error and changes nothing if the settings are invalid.
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

// Enabled reports whether requests must be passed to Request. A nil Step is not enabled.
func (s *Step) Enabled() bool { return s != nil && s.enabled }

// Request decides on a request. It returns the verdict at once, or authz.Pending if Host.Decided
// will be called with it later. timeout is how long the client waits.
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

// Cancel records that a request no longer needs a verdict.
func (s *Step) Cancel(id uint64) {
	if s.gate != nil {
		s.gate.Cancel(s.host.Now(), id)
	}
}

// Call starts a call for the current question. A gate starts calls only while it decides on a
// request, so the current question is the one with the given key. Call implements authz.Actions.
func (s *Step) Call(number uint64, _ authz.Key) {
	client := s.client
	q := s.current
	go func() {
		answer := client.Authorize(s.ctx, q)
		s.host.Post(func() { s.gate.HandleAnswer(s.host.Now(), number, answer) })
	}()
}

// Decide passes a verdict to the host. Decide implements authz.Actions.
func (s *Step) Decide(id uint64, v authz.Verdict, retryAfter authz.Time) {
	s.host.Decided(id, v, retryAfter)
}

// SetTimer schedules a call of the gate's Timer. SetTimer implements authz.Actions.
func (s *Step) SetTimer(at authz.Time) {
	s.host.At(at, func() { s.gate.Timer(s.host.Now()) })
}
