package controlplane

import (
	"context"
	"time"
)

const (
	// stopTimeout is how long Stop waits for the transfer of the roles.
	stopTimeout = 2 * time.Second
	// releaseTimeout is the deadline for releasing allocations, and again for releasing the version
	// lease. What is not released expires.
	releaseTimeout = 500 * time.Millisecond
)

// Stop transfers the roles that this process leads, and then the leadership of the voters. It waits
// at most stopTimeout for the roles. Usage is counted until Close.
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

// Close ends the node and releases its resources. Count must not be called after Close.
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
	<-n.opened // no more fields are set
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

// closeCounter stores the usage that was counted last, and logs how many requests were not counted.
func (n *Node) closeCounter() {
	uncounted := n.uncounted.Load()
	if c := n.counter.Load(); c != nil {
		n.countEarlyUsage(c)
		if err := c.Close(); err != nil {
			n.config.Log.Error("fleet: the last usage could not be stored", "error", err)
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
		n.config.Log.Error("fleet: the end of the audit record could not be stored", "error", err)
	}
}
