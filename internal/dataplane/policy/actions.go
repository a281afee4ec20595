package policy

// Actions are carried out by the host. A Balancer calls them while it handles an event; they take
// effect in the order of the calls. They must not call the Balancer, except for MayStillSend.
type Actions interface {
	// Send starts the next attempt of a request. The host gives the attempt up at until, or at the
	// client's deadline if until is 0.
	Send(id uint64, backend uint32, until Time)
	// Reject rejects a request and tells the client that a retry is harmless, and after how long
	// one may succeed; 0: no advice.
	Reject(id uint64, after Time)
	// Fail answers a request with an error that does not promise that a retry is harmless.
	Fail(id uint64)
	// SetTimer requests a call of Timer with the token at a time.
	SetTimer(at Time, token uint32)
	// Probe sends a health check to a backend.
	Probe(backend uint32)
	// SendToPeer sends a message of at most 256 bytes to a peer. It may arrive late, twice or not
	// at all. The slice is valid until the call returns.
	SendToPeer(peer int, message []byte)
	// AddToCounter adds to a named number that all gateways share and that is kept for the TTL.
	AddToCounter(name uint64, add float64, ttl Time)
	// WatchEndpoints requests the endpoint list and its further changes from discovery.
	WatchEndpoints()
	// Log writes a log line for operators.
	Log(line string)
}
