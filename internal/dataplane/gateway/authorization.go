package gateway

import (
	"bytes"
	"context"

	"mothcleat/internal/dataplane/authz"
	"mothcleat/internal/dataplane/forwardauth"
	"mothcleat/internal/dataplane/policy"
)

// Auth holds the settings of the authenticator that decides on each request, and its rules. The
// zero value disables authorization.
type Auth struct {
	Settings forwardauth.Settings
	Rules    authz.Settings
}

var deniedReply = []byte("-NOPERM denied\r\n")

// authSeedMask makes the authenticator's random numbers differ from the balancer's.
const authSeedMask = 0xa0

// newAuthContext returns the context of calls to an authenticator. It is cancelled when the gateway
// ends.
func newAuthContext() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}

// setAuth applies the settings of the authenticator. If they are not usable, it returns an error
// and leaves the previous settings in force.
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

// authorize asks the authenticator whether a request is allowed. The balancer receives the request
// only after the verdict, so a denied request takes no units.
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

// authorized applies a verdict. Only the first verdict for a request has an effect.
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

// cancelAuthorization cancels a request's wait for a verdict.
func (g *Gateway) cancelAuthorization(r *request) {
	if r.awaitingAuth != nil {
		r.awaitingAuth = nil
		g.auth.Cancel(r.id)
	}
}

// authHost implements the gateway's interface to the authorization step. Post may be called from
// any goroutine, the other methods only on the event loop's goroutine.
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
