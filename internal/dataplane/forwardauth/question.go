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

// Credential is what a client sent with AUTH: a token, or a user and a password.
type Credential struct {
	User, Secret string
	Named        bool // the client sent a user and a password
}

const maxCredentialBytes = 8 << 10

// Errors for invalid credentials.
var (
	ErrCredentialTooLong    = errors.New("credential: too long")
	ErrCredentialCharacters = errors.New("credential: contains characters not allowed in a header")
)

// NewCredential creates a credential from what a client sent. It returns an error if the credential
// is too long or has characters that are not allowed in a header.
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

// Question holds everything that is sent to the authenticator about a request.
type Question struct {
	Credential            *Credential // nil: the client sent none
	Customer, Plan, Class string
	Units                 float64
	Write                 bool
	ClientAddress         string // HOST:PORT of the client's connection
}

// Key returns a digest of everything that a verdict may depend on. The client's address is not part
// of it.
func (q *Question) Key() (k authz.Key) {
	var room [512]byte
	b := room[:0]
	add := func(text string) { // the length prefix keeps different parts from giving the same bytes
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
