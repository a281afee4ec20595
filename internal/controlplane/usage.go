package controlplane

import "mothcleat/internal/controlplane/metering"

// maxEarlyUsage is the largest number of requests that are kept until the counter is open.
const maxEarlyUsage = 4096

// usage contains the units of one request.
type usage struct {
	customer uint64
	units    float64
}

// Count counts units that were forwarded for a customer. Only one goroutine may call it. It
// never blocks.
func (n *Node) Count(customer uint64, units float64) {
	if c := n.counter.Load(); c != nil {
		n.countEarlyUsage(c)
		c.Count(customer, units)
		return
	}
	if n.config.ExportShards == 0 {
		return
	}
	select {
	case n.earlyUsage <- usage{customer, units}:
	default:
		n.uncounted.Add(1)
	}
}

// countEarlyUsage counts the requests that were sent before the counter was open.
func (n *Node) countEarlyUsage(c *metering.Counter) {
	for len(n.earlyUsage) > 0 {
		u := <-n.earlyUsage
		c.Count(u.customer, u.units)
	}
}

// Sent records an attempt that was sent; see gateway.OperationRecorder.
func (n *Node) Sent(first bool, units float64) {
	if r := n.recorder.Load(); r != nil {
		r.Sent(first, units)
	}
}

// Rejected records a request that was rejected; see gateway.OperationRecorder.
func (n *Node) Rejected(fenced bool) {
	if r := n.recorder.Load(); r != nil {
		r.Rejected(fenced)
	}
}
