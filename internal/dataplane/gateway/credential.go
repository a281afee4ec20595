package gateway

import (
	"bytes"
	"errors"
	"strings"

	"mothcleat/internal/dataplane/forwardauth"
	"mothcleat/internal/dataplane/resp"
)

var (
	authCommand  = []byte("AUTH")
	helloCommand = []byte("HELLO")

	okReply              = []byte("+OK\r\n")
	protocolVersionReply = []byte("-NOPROTO unsupported protocol version\r\n")
)

var (
	errProtocolVersion = errors.New("protocol version")
	errHelloSyntax     = errors.New("syntax") // quotes no argument, because it may be a secret
)

// readCredential parses AUTH and HELLO as RESP2 clients send them. It does not check the
// credential; the authenticator does that for each request.
func (e *commandRead) readCredential(args [][]byte) {
	var c *forwardauth.Credential
	var err error
	if bytes.EqualFold(args[0], helloCommand) {
		c, err = readHello(args[1:])
		e.reply = helloReply
	} else {
		c, err = readAuth(args[1:])
		e.reply = okReply
	}
	if err != nil {
		e.reject(err)
		if errors.Is(err, errProtocolVersion) {
			e.reply = protocolVersionReply
		}
		return
	}
	e.credential = c
}

// readAuth parses the arguments of AUTH: a password, or a user and a password.
func readAuth(args [][]byte) (*forwardauth.Credential, error) {
	switch len(args) {
	case 1:
		return forwardauth.NewCredential("", string(args[0]), false)
	case 2:
		return forwardauth.NewCredential(string(args[0]), string(args[1]), true)
	}
	return nil, errArguments
}

// readHello parses the arguments of HELLO: a protocol version, AUTH with a user and a password, and
// SETNAME with a connection name, which is ignored. It returns errProtocolVersion for a version
// other than 2.
func readHello(args [][]byte) (c *forwardauth.Credential, err error) {
	if len(args) > 0 {
		if string(args[0]) != "2" {
			return nil, errProtocolVersion
		}
		args = args[1:]
	}
	for len(args) > 0 {
		option := strings.ToUpper(string(args[0]))
		switch {
		case option == "AUTH" && len(args) >= 3:
			c, err = forwardauth.NewCredential(string(args[1]), string(args[2]), true)
			if err != nil {
				return nil, err
			}
			args = args[3:]
		case option == "SETNAME" && len(args) >= 2:
			args = args[2:]
		default:
			return nil, errHelloSyntax
		}
	}
	return c, nil
}

// helloReply is the answer to HELLO: an array of names and values.
var helloReply = newHelloReply()

func newHelloReply() []byte {
	text := func(s string) []byte { return resp.AppendBulk(nil, []byte(s)) }
	pairs := []struct {
		name  string
		value []byte
	}{
		{"server", text("mothcleat")},
		{"version", text("1")},
		{"proto", []byte(":2\r\n")},
		{"id", []byte(":0\r\n")},
		{"mode", text("standalone")},
		{"role", text("master")},
		{"modules", resp.AppendArray(nil, 0)},
	}
	b := resp.AppendArray(nil, 2*len(pairs))
	for _, p := range pairs {
		b = append(b, text(p.name)...)
		b = append(b, p.value...)
	}
	return b
}
