package controlrpc

import (
	"context"
	"errors"
	"testing"
	"time"

	"mothcleat/internal/controlplane/checkpoint"
	"mothcleat/internal/controlplane/controlpb"
)

// A command that is sent again in its session is applied only once, even if another voter has
// become the leader. Commands of another fleet are rejected.
func TestCommandIsAppliedOnceAndForOneFleetOnly(t *testing.T) {
	all, servers := startVoters(t, 3)
	c := newTestClient(t, "a", all)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	body := []byte(`{"key":"k","value":"1"}`)
	if _, err := c.Propose(ctx, checkpoint.MachineName, body); err != nil {
		t.Fatal(err)
	}
	command := &controlpb.Command{
		Fleet:   "test",
		Session: c.session.number,
		Seq:     77,
		Machine: checkpoint.MachineName,
		Member:  c.member(),
		Body:    []byte(`{"key":"k","value":"2"}`),
	}
	send := func() *controlpb.Answer {
		answer, err := c.callLeader(ctx, attemptTimeout,
			func(ctx context.Context, voter controlpb.FleetClient) (*controlpb.Answer, error) {
				return voter.Do(ctx, command)
			})
		if err != nil {
			t.Fatal(err)
		}
		return answer
	}
	first := send()
	for _, s := range servers { // the leader is among them
		s.Replica().TransferLeadership()
	}
	if second := send(); string(second.Body) != string(first.Body) {
		t.Errorf("the first answer is %s, the second %s", first.Body, second.Body)
	}
	other := NewClient("other", c.self, "", all, nil, discardLog)
	defer other.Close()
	shortCtx, cancelShort := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancelShort()
	if _, err := other.Propose(shortCtx, checkpoint.MachineName, []byte(`{}`)); err == nil {
		t.Error("a command of another fleet was accepted")
	}
}

// A newer process with the same id permanently ends the session of the older process.
func TestSuperseded(t *testing.T) {
	all, _ := startVoters(t, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	older, newer := newTestClient(t, "a", all), newTestClient(t, "a", all)
	for i, c := range []*Client{older, newer} {
		if _, err := c.Propose(ctx, "", nil); err != nil {
			t.Fatalf("client %d: %v", i, err)
		}
	}
	for range 2 {
		if _, err := older.Propose(ctx, "", nil); !errors.Is(err, ErrSuperseded) {
			t.Errorf("the older process gets %v, want ErrSuperseded", err)
		}
	}
	if _, err := newer.Propose(ctx, "", nil); err != nil {
		t.Error(err)
	}
}
