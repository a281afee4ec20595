// Package forwardauth asks an HTTP authenticator whether a request may go on, as reverse proxies
// do: a GET with X-Forwarded headers, answered 2xx to allow, 401 or 403 to deny, or 429 with
// Retry-After to have the client retry later. Anything else, and no answer, is no verdict.
//
// Client makes the calls. Step joins it to the decisions of package authz on the goroutine of its
// host.
package forwardauth
