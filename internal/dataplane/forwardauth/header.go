package forwardauth

import (
	"net/http"
	"strings"
)

// validHeaderValue reports whether a string is valid as a header's value.
func validHeaderValue(s string) bool {
	for i := range len(s) {
		control := s[i] < ' ' && s[i] != '\t'
		if control || s[i] >= 0x7f {
			return false
		}
	}
	return strings.TrimSpace(s) == s
}

// validHeaderName reports whether a string is valid as a header's name.
func validHeaderName(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}

// reservedHeader reports whether only the gateway may set a header.
func reservedHeader(name string) bool {
	name = http.CanonicalHeaderKey(name)
	switch name {
	case "Authorization", "Host", "Content-Length", "Transfer-Encoding", "Connection", "Upgrade",
		"Te", "Trailer":
		return true
	}
	return strings.HasPrefix(name, "X-Forwarded-") || strings.HasPrefix(name, "X-Mothcleat-")
}
