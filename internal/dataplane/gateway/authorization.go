package gateway

import (
	"bytes"
	"context"
	"errors"
	"strings"

	"mothcleat/internal/dataplane/authz"
	"mothcleat/internal/dataplane/forwardauth"
	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/resp"
)

// Auth is whom to ask before a request goes on, and by which rules. The zero value
// asks nobody.
type Auth struct {
	Settings forwardauth.Settings
	Rules    authz.Settings
}

var (
	authCommand  = []byte("AUTH")
	helloCommand = []byte("HELLO")
	deniedReply  = []byte("-NOPERM denied\r\n")
	okReply      = []byte("+OK\r\n")
)

// setAuth takes in whom to ask from now on.
func (l *Loop) setAuth(a Auth) error {
	if a.Settings.URL == "" && l.auth == nil {
		return nil
	}
	if l.auth == nil {
		l.auth = forwardauth.NewStep(l.authContext, (*authHost)(l))
	}
	if err := l.auth.Set(a.Settings, a.Rules, l.cfg.Seed^0xa0); err != nil {
		return err
	}
	l.authEnabled.Store(l.auth.On())
	return nil
}

// authorize has a request decided on once it may go on. Until then the module knows
// nothing of it: what is denied takes no units.
func (l *Loop) authorize(r *request, what policy.Request) {
	r.awaitingAuth = &what
	q := &forwardauth.Question{
		Credential: r.client.credential, Customer: string(r.args[1]), Plan: l.cfg.Host.Plans[what.Plan],
		Class: l.cfg.Host.Classes[what.Class], Units: what.Units, Write: bytes.EqualFold(r.args[0], writeCommand),
		From: r.client.conn.RemoteAddr().String(),
	}
	if v, after := l.auth.Request(r.id, q, what.Class, what.Plan, what.Timeout); v != authz.Wait {
		l.authorized(r.id, v, after)
	}
}

// authorized takes in a request's verdict: the first and only one.
func (l *Loop) authorized(id uint64, v authz.Verdict, after authz.Time) {
	r := l.requests[id]
	if r == nil || r.awaitingAuth == nil {
		return
	}
	what := *r.awaitingAuth
	r.awaitingAuth = nil
	switch {
	case v == authz.Deny:
		l.answer(r, deniedReply)
	case v == authz.Pass && l.lifecycle.Takes(l.now()):
		now := l.now()
		what.Timeout = max(0, r.deadline-now)
		if l.acquireVersionLease(r) {
			l.applyAssignedPlan(&what)
			l.balancer.Request(now, what)
		}
	case v == authz.Later:
		l.answer(r, l.retryLaterReply(after))
	default:
		l.answer(r, l.retryLaterReply(overloadRetryAfter))
	}
}

// retryLaterReply is a refusal with advice, as far as the settings allow it.
func (l *Loop) retryLaterReply(after policy.Time) []byte {
	if !l.cfg.Settings.RetryAfter {
		after = 0
	}
	return busyReply(min(after, l.cfg.Settings.MaxRetryAfter))
}

// cancelAuthorization takes note that a request needs no verdict any more.
func (l *Loop) cancelAuthorization(r *request) {
	if r.awaitingAuth != nil {
		r.awaitingAuth = nil
		l.auth.Gone(r.id)
	}
}

// authHost is the loop as the step sees it.
type authHost Loop

func (h *authHost) Now() authz.Time { return (*Loop)(h).now() }

func (h *authHost) Post(f func()) {
	select {
	case h.events <- loopFunc(f):
	case <-h.authContext.Done():
	}
}

func (h *authHost) At(when authz.Time, f func()) { (*Loop)(h).schedule(when, loopFunc(f)) }

func (h *authHost) Decided(id uint64, v authz.Verdict, after authz.Time) {
	(*Loop)(h).authorized(id, v, after)
}

// loopFunc is something to be done on the loop's goroutine.
type loopFunc func()

func (f loopFunc) handle(*Loop) { f() }
func (f loopFunc) due(*Loop)    { f() }

// readCredential reads AUTH and HELLO, as RESP2 clients send them. What a client gives
// is not checked here: the authenticator does it with each request.
func (e *commandRead) readCredential(args [][]byte) {
	var c *forwardauth.Credential
	var err error
	hello := bytes.EqualFold(args[0], helloCommand)
	if !hello {
		switch len(args) {
		case 2:
			c, err = forwardauth.NewCredential("", string(args[1]), false)
		case 3:
			c, err = forwardauth.NewCredential(string(args[1]), string(args[2]), true)
		default:
			err = errors.New("wrong number of arguments")
		}
		e.reply = okReply
	} else {
		c, err = readHello(args[1:])
		e.reply = helloReply
	}
	if err != nil {
		e.reply, e.invalid = errorReply(err), true
		if errors.Is(err, errProtocolVersion) {
			e.reply = []byte("-NOPROTO unsupported protocol version\r\n")
		}
		return
	}
	e.credential = c
}

var errProtocolVersion = errors.New("protocol version")

// readHello reads what follows HELLO: a version, AUTH with a user and a password, and a
// name for the connection, which is of no use here.
func readHello(args [][]byte) (c *forwardauth.Credential, err error) {
	if len(args) > 0 {
		if string(args[0]) != "2" {
			return nil, errProtocolVersion
		}
		args = args[1:]
	}
	for len(args) > 0 {
		switch word := strings.ToUpper(string(args[0])); {
		case word == "AUTH" && len(args) >= 3:
			if c, err = forwardauth.NewCredential(string(args[1]), string(args[2]), true); err != nil {
				return nil, err
			}
			args = args[3:]
		case word == "SETNAME" && len(args) >= 2:
			args = args[2:]
		default:
			return nil, errors.New("syntax") // what stands there may be a secret
		}
	}
	return c, nil
}

// helloReply is what HELLO answers: pairs of names and values.
var helloReply = func() []byte {
	b := resp.AppendArray(nil, 14)
	for i, word := range []string{"server", "mothcleat", "version", "1", "proto", "", "id", "", "mode", "standalone", "role", "master", "modules", ""} {
		switch i {
		case 5:
			b = append(b, ":2\r\n"...)
		case 7:
			b = append(b, ":0\r\n"...)
		case 13:
			b = resp.AppendArray(b, 0)
		default:
			b = resp.AppendBulk(b, []byte(word))
		}
	}
	return b
}()

// newAuthContext is the context of calls to an authenticator: they end with the gateway.
func newAuthContext() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}
