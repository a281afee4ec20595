package gateway

import (
	"bytes"
	"context"

	"mothcleat/internal/dataplane/authz"
	"mothcleat/internal/dataplane/forwardauth"
	"mothcleat/internal/dataplane/policy"
)

// Auth is the authenticator to ask before a request goes on, and by which rules. The zero value
// asks none.
type Auth struct {
	Settings forwardauth.Settings
	Rules    authz.Settings
}

var deniedReply = []byte("-NOPERM denied\r\n")

// authSeedMask keeps the authenticator's random numbers apart from the balancer's.
const authSeedMask = 0xa0

// newAuthContext returns the context of calls to an authenticator; they end with the gateway.
func newAuthContext() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}

// setAuth applies the settings of the authenticator. It returns an error, and changes nothing, if
// they can't be used.
func (g *Gateway) setAuth(a Auth) error {
	if a.Settings.URL == "" && g.auth == nil {
		return nil
	}
	if g.auth == nil {
		g.auth = forwardauth.NewStep(g.authContext, (*authHost)(g))
	}
	if err := g.auth.Update(a.Settings, a.Rules, g.cfg.Seed^authSeedMask); err != nil {
		return err
	}
	g.authEnabled.Store(g.auth.Enabled())
	return nil
}

// authorize has the authenticator decide whether a request may go on. Until then the balancer does
// not know of it, so a denied request takes no units.
func (g *Gateway) authorize(r *request, policyReq policy.Request) {
	r.awaitingAuth = &policyReq
	question := &forwardauth.Question{
		Credential:    r.client.credential,
		Customer:      string(r.args[1]),
		Plan:          g.cfg.Host.Plans[policyReq.Plan],
		Class:         g.cfg.Host.Classes[policyReq.Class],
		Units:         policyReq.Units,
		Write:         bytes.EqualFold(r.args[0], writeCommand),
		ClientAddress: r.client.conn.RemoteAddr().String(),
	}
	verdict, retryAfter := g.auth.Request(
		r.id, question, policyReq.Class, policyReq.Plan, policyReq.Timeout)
	if verdict != authz.Pending {
		g.authorized(r.id, verdict, retryAfter)
	}
}

// authorized applies a verdict. Only the first one for a request counts.
func (g *Gateway) authorized(id uint64, verdict authz.Verdict, retryAfter authz.Time) {
	r := g.requests.byID[id]
	if r == nil || r.awaitingAuth == nil {
		return
	}
	policyReq := *r.awaitingAuth
	r.awaitingAuth = nil
	switch {
	case verdict == authz.Deny:
		g.answer(r, deniedReply)
	case verdict == authz.Allow && g.lifecycle.AdmitsRequests(g.now()):
		now := g.now()
		policyReq.Timeout = max(0, r.deadline-now)
		if g.acquireVersionLease(r) {
			g.applyAssignedPlan(&policyReq)
			g.balancer.Request(now, policyReq)
		}
	case verdict == authz.RetryLater:
		g.answer(r, g.retryLaterReply(retryAfter))
	default:
		g.answer(r, g.retryLaterReply(overloadRetryAfter))
	}
}

// cancelAuthorization records that a request needs no verdict any more.
func (g *Gateway) cancelAuthorization(r *request) {
	if r.awaitingAuth != nil {
		r.awaitingAuth = nil
		g.auth.Cancel(r.id)
	}
}

// authHost is the gateway as the authorization step sees it. Post may be called from any
// goroutine, the other methods on the event loop's.
type authHost Gateway

func (h *authHost) Now() authz.Time { return (*Gateway)(h).now() }

func (h *authHost) Post(f func()) {
	select {
	case h.events <- loopFunc(f):
	case <-h.authContext.Done():
	}
}

func (h *authHost) At(when authz.Time, f func()) { (*Gateway)(h).schedule(when, loopFunc(f)) }

func (h *authHost) Decided(id uint64, verdict authz.Verdict, retryAfter authz.Time) {
	(*Gateway)(h).authorized(id, verdict, retryAfter)
}

// loopFunc is a function that runs on the event loop's goroutine.
type loopFunc func()

func (f loopFunc) handle(*Gateway) { f() }
func (f loopFunc) due(*Gateway)    { f() }
