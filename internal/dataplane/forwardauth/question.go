package forwardauth

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"mothcleat/internal/dataplane/authz"
)

// Credential is what a client gave with AUTH: a token, or a user with a password.
type Credential struct {
	User, Secret string
	Named        bool // there is a user
}

const maxCredentialBytes = 8 << 10

// Errors of credentials.
var (
	ErrCredentialTooLong    = errors.New("credential: too long")
	ErrCredentialCharacters = errors.New("credential: characters that no header may hold")
)

// NewCredential makes a credential of what a client gave, which must fit a header.
func NewCredential(user, secret string, named bool) (*Credential, error) {
	if len(user)+len(secret) > maxCredentialBytes {
		return nil, ErrCredentialTooLong
	}
	valid := secret != "" && validHeaderValue(user) && validHeaderValue(secret)
	if !valid || strings.Contains(user, ":") {
		return nil, ErrCredentialCharacters
	}
	return &Credential{user, secret, named}, nil
}

// authorization returns the value of the Authorization header.
func (c *Credential) authorization() string {
	if c.Named {
		return "Basic " + base64.StdEncoding.EncodeToString([]byte(c.User+":"+c.Secret))
	}
	return "Bearer " + c.Secret
}

// Question is all that the authenticator is told of a request.
type Question struct {
	Credential            *Credential // nil: none was given
	Customer, Plan, Class string
	Units                 float64
	Write                 bool
	ClientAddress         string // HOST:PORT of the client's connection
}

// Key returns a digest of all that a verdict may depend on, which the address is not.
func (q *Question) Key() (k authz.Key) {
	var room [512]byte
	b := room[:0]
	add := func(text string) { // with its length, so that parts can't run into one another
		b = strconv.AppendInt(b, int64(len(text)), 10)
		b = append(b, ':')
		b = append(b, text...)
	}
	if c := q.Credential; c != nil {
		add(c.User)
		add(c.Secret)
		b = strconv.AppendBool(b, c.Named)
	}
	add(q.Customer)
	add(q.Plan)
	add(q.Class)
	b = strconv.AppendFloat(b, q.Units, 'g', -1, 64)
	sum := sha256.Sum256(b)
	copy(k[:], sum[:])
	return k
}

// setHeaders sets the headers that describe a request.
func (q *Question) setHeaders(h http.Header) {
	method := http.MethodGet
	if q.Write {
		method = http.MethodPost
	}
	h.Set("X-Forwarded-Method", method)
	h.Set("X-Forwarded-Proto", "redis")
	h.Set("X-Forwarded-Host", "mothcleat")
	h.Set("X-Forwarded-Uri", "/"+url.PathEscape(q.Class))
	if host, _, err := net.SplitHostPort(q.ClientAddress); err == nil {
		h.Set("X-Forwarded-For", host)
	}
	h.Set("X-Mothcleat-Customer", q.Customer)
	h.Set("X-Mothcleat-Plan", q.Plan)
	h.Set("X-Mothcleat-Class", q.Class)
	h.Set("X-Mothcleat-Units", strconv.FormatFloat(q.Units, 'g', -1, 64))
	h.Set("User-Agent", "mothcleat")
	if q.Credential != nil {
		h.Set("Authorization", q.Credential.authorization())
	}
}
