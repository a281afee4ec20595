// Package forwardauth calls an HTTP authenticator to decide whether a request may proceed, as
// reverse proxies do. It sends a GET with X-Forwarded headers. A 2xx status allows the request, 401
// or 403 denies it, and 429 with Retry-After makes the client retry later. Any other response, or
// none, gives no verdict.
//
// Client makes the calls. Step connects it to the decisions of package authz on the goroutine of
// its host.
package forwardauth
