package policy

// Actions are carried out by the host. A Balancer calls them during its events; they take effect in
// the order of the calls. They must not call the Balancer, except for MayStillSend.
type Actions interface {
	// Send starts the next attempt of a request. It is given up at until, or, if that is 0, at the
	// client's deadline.
	Send(id uint64, backend uint32, until Time)
	// Reject answers that a repetition is harmless, and after how long one may succeed; 0: no
	// advice.
	Reject(id uint64, after Time)
	// Fail answers a request without any promise.
	Fail(id uint64)
	// SetTimer asks for a Timer call with the token at a time.
	SetTimer(at Time, token uint32)
	// Probe sends a health check to a backend.
	Probe(backend uint32)
	// SendToPeer sends at most 256 bytes to a peer, where they may arrive late, twice or not at
	// all. The message is valid until the call returns.
	SendToPeer(peer int, message []byte)
	// AddToCounter adds to a named number that all gateways share, and that lives for the TTL.
	AddToCounter(name uint64, add float64, ttl Time)
	// WatchEndpoints asks discovery for the endpoint list and its changes from now on.
	WatchEndpoints()
	// Log writes a line for the engineers on call.
	Log(line string)
}
