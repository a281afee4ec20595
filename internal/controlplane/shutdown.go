package controlplane

import (
	"context"
	"time"
)

const (
	// stopTimeout is how long Stop waits until the roles are transferred.
	stopTimeout = 2 * time.Second
	// releaseTimeout is the deadline for giving back allocations and the version lease. What is not
	// given back expires.
	releaseTimeout = 500 * time.Millisecond
)

// Stop transfers the roles that this process leads, and the leadership of the voters, and returns
// when that is done or has taken too long. Counting goes on until Close.
func (n *Node) Stop() {
	n.stopLeading()
	select {
	case <-n.stoppedLeading:
	case <-time.After(stopTimeout):
	}
	if r := n.localReplica(); r != nil {
		r.TransferLeadership()
	}
}

// Close ends everything. Nothing may be counted after it.
func (n *Node) Close() {
	n.stopLeading()
	if n.allocations != nil {
		withReleaseTimeout(n.allocations.ReleaseAll)
	}
	if n.agent != nil {
		withReleaseTimeout(n.agent.Leave)
	}
	if n.endpoints != nil {
		n.endpoints.Close()
	}
	n.cancel()
	<-n.opened // nothing is set any more
	if f := n.incarnations.Load(); f != nil {
		defer f.Close()
	}
	n.closeCounter()
	n.closeRecorder()
	if s := n.server.Load(); s != nil {
		if r := s.Replica(); r != nil {
			<-r.Done()
		}
		s.Stop()
	}
	n.client.Close()
}

func withReleaseTimeout(release func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	release(ctx)
}

// closeCounter stores what was counted last, and logs how many requests were not.
func (n *Node) closeCounter() {
	uncounted := n.uncounted.Load()
	if c := n.counter.Load(); c != nil {
		n.countEarlyUsage(c)
		if err := c.Close(); err != nil {
			n.config.Log.Error("fleet: the last use could not be kept", "error", err)
		}
	} else {
		uncounted += uint64(len(n.earlyUsage))
	}
	if uncounted > 0 {
		n.config.Log.Error("fleet: use was not counted: its folder was not open",
			"requests", uncounted)
	}
}

func (n *Node) closeRecorder() {
	r := n.recorder.Load()
	if r == nil {
		return
	}
	if err := r.Close(); err != nil {
		n.config.Log.Error("fleet: the last of the record could not be kept", "error", err)
	}
}
