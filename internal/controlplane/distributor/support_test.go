package distributor

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/lease"
)

// Nothing is proposed while a voter answers that does not support the distribution, or as long as no
// majority is known to support it. A voter that does not answer does not prevent proposals.
func TestNothingIsProposedWithOlderVoters(t *testing.T) {
	s, other := newTestServer(t, nil), newTestServer(t, nil)
	older := controlrpc.NewServer(context.Background(), testFleet, nil, nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() { _ = older.Serve(listener) })
	voters := []*controlpb.Voter{
		{Name: "new", Address: s.address},
		{Name: "older", Address: listener.Addr().String()},
		{Name: "other", Address: other.address},
	}
	link := controlrpc.NewClient(testFleet, lease.Member{ID: "owner", Incarnation: 1}, "",
		voters, nil, discardLog)
	defer link.Close()
	var log logBuffer
	support := voterSupport{link: link, log: logTo(&log)}
	for range 2 {
		if support.ready(t.Context()) {
			t.Error("entries are proposed though a voter is older")
		}
		support.lastProbe = support.lastProbe.Add(-supportRetryInterval)
	}
	if n := strings.Count(log.String(), "voter=older"); n != 1 {
		t.Errorf("the log names the older voter %d times, want once: %s", n, log.String())
	}
	older.Stop()
	running.Wait()
	if !support.ready(t.Context()) {
		t.Error("entries are not proposed though the older voter is gone")
	}
	eventually(t, func() bool { return s.Status().Replicas == 0 })

	voters[2].Address = "127.0.0.1:1"
	link.SetVoters(voters)
	if minority := (&voterSupport{link: link, log: discardLog}); minority.ready(t.Context()) {
		t.Error("entries are proposed though only one of three voters is known to support them")
	}
}
