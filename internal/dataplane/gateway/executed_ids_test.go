package gateway

import (
	"strings"
	"testing"
)

// wantUnsafeRejected sends a request that may have run already, and a lookup: only the latter may
// reach the backend.
func (r *testGateway) wantUnsafeRejected(t *testing.T, b *fakeBackend, id int) {
	t.Helper()
	again := r.dialClient(t)
	again.sendOnce(id)
	if got := again.readLine(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("reply %q to a request that may have run, want an error", got)
	}
	again.sendLookup(id+1, "60000")
	call := b.nextCommand(t)
	if string(call.args[0]) != "API.READ" {
		t.Fatal("a request that is not idempotent was sent twice")
	}
	call.replyValue(t, "ok")
	again.wantValue("ok")
}

// A request that is not idempotent does not run twice when it comes again after its client has
// closed, neither while the first one runs nor after it.
func TestUnsafeRequestSentAgainAfterCloseRunsOnce(t *testing.T) {
	r, b, _ := startWithOneBackend(t, nil)
	c := r.dialClient(t)
	c.sendOnce(1)
	call := b.nextCommand(t)
	c.conn.Close()
	waitUntil(t, r.gateway, "the end of the request", func(g *Gateway) bool {
		return g.requests.open == 0 && g.requests.lastID == 1
	})
	r.wantUnsafeRejected(t, b, 1)
	call.replyValue(t, "done")
	waitUntil(t, r.gateway, "the end of the attempt", func(g *Gateway) bool {
		return len(g.requests.byID) == 0
	})
	r.wantUnsafeRejected(t, b, 1)
	onEventLoop(t, r.gateway, func(g *Gateway) bool {
		g.requests.executed.expire(g.now() + executedIDLifetime)
		if len(g.requests.executed.until)+len(g.requests.executed.order) > 0 {
			t.Error("an id is remembered for ever")
		}
		return true
	})
}

// A request that is not idempotent and was sent by the old process of an upgrade does not run again
// at the new one, whether its client has left before the upgrade or leaves after it.
func TestUnsafeRequestOfPredecessorRunsOnce(t *testing.T) {
	b, h, d, old := startUpgradable(t)
	early, late := old.dialClient(t), old.dialClient(t)
	early.sendOnce(10)
	calls := []*backendCall{b.nextCommand(t)}
	late.sendOnce(20)
	calls = append(calls, b.nextCommand(t))
	early.conn.Close()
	waitUntil(t, old.gateway, "the close", func(g *Gateway) bool { return g.requests.open == 1 })
	successor := h.startProcess(t, d)
	late.conn.Close()
	for _, id := range []int{10, 20} {
		successor.wantUnsafeRejected(t, b, id)
	}
	for _, call := range calls {
		call.replyValue(t, "done")
	}
}
