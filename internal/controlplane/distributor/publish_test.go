package distributor

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/dataplane/registry"
)

func newMember(id, phase string) registry.Member {
	return registry.Member{
		ID:       id,
		HostPort: "127.0.0.1:1",
		Locality: "z1",
		Cell:     3,
		Phase:    phase,
		Size:     1.5,
		UpSince:  7,
	}
}

// format returns a command's changes as short text: "whole" for a complete list, "id=phase" for a
// record that is set, "-id" for one that is deleted.
func format(t *testing.T, command *distributionpb.Command) string {
	t.Helper()
	var text []string
	if command.Complete {
		text = append(text, "whole")
	}
	for _, change := range command.Changes {
		if change.Deleted {
			text = append(text, "-"+change.Id)
			continue
		}
		m, err := decodeServer(change.Id, change.Value)
		if err != nil {
			t.Fatal(err)
		}
		text = append(text, fmt.Sprintf("%s=%s", m.ID, m.Phase))
	}
	return strings.Join(text, " ")
}

// formatNext returns the next command as short text.
func (p *pendingChanges) formatNext(t *testing.T, replica *distribution.State) string {
	t.Helper()
	return format(t, p.command(5, replica))
}

var errNoAnswer = errors.New("no answer")

// Without a replica to compare with, the first command has the complete list. Later commands have
// only what differs from the committed list.
func TestCommandsHoldWhatChanged(t *testing.T) {
	p := newPendingChanges(discardLog)
	expect := func(want string) {
		t.Helper()
		if got := p.formatNext(t, nil); got != want {
			t.Errorf("%q instead of %q", got, want)
		}
	}
	a, b, c := newMember("a", registry.Ready), newMember("b", registry.Ready), newMember("c", registry.Ready)
	p.update(registry.Update{Kind: registry.CompleteList, Members: []registry.Member{b, a}})
	expect("whole a=Ready b=Ready")
	p.recordOutcome(errNoAnswer)
	p.update(registry.Update{Kind: registry.Delta, Members: []registry.Member{c}})
	expect("whole a=Ready b=Ready c=Ready")
	p.recordOutcome(nil)
	expect("")
	p.update(registry.Update{Kind: registry.Delta, Members: []registry.Member{a}})
	expect("") // a has the same record as before
	p.update(registry.Update{
		Kind:    registry.Delta,
		Members: []registry.Member{newMember("b", registry.Terminating)},
	})
	expect("b=Terminating")
	p.recordOutcome(errNoAnswer)
	p.update(registry.Update{
		Kind:    registry.Delta,
		Members: []registry.Member{newMember("c", registry.Gone), newMember("nobody", registry.Gone)},
	})
	expect("b=Terminating -c") // the change of b is repeated, since its outcome is unknown
	p.recordOutcome(nil)
	p.update(registry.Update{Kind: registry.Unavailable})
	expect("")
	p.update(registry.Update{Kind: registry.CompleteList, Members: []registry.Member{a, c}})
	expect("-b c=Ready") // of a complete list only the differences are proposed
	p.recordOutcome(nil)
	expect("")
	if command := p.command(5, nil); command.Term != 5 || command.Epoch == 0 {
		t.Errorf("want term 5 and an epoch: %v", command)
	}
}

// stateWith returns a state with the given servers.
func stateWith(t *testing.T, members ...registry.Member) *distribution.State {
	t.Helper()
	s := &testServer{t: t, machine: distribution.NewMachine(permissiveFence{})}
	var changes []*distributionpb.Change
	for _, m := range members {
		value, err := encodeServer(m)
		if err != nil {
			t.Fatal(err)
		}
		changes = append(changes,
			&distributionpb.Change{Kind: distribution.KindServer, Id: m.ID, Value: value})
	}
	s.apply(changes...)
	return s.machine.State()
}

// The first command of a term holds what is other than the owner's replica. As long as it is not
// known whether it was carried out, the next has all that it had; after some rejections it is the
// whole list.
func TestTermBeginsWithADifference(t *testing.T) {
	a, b, c := newMember("a", registry.Ready), newMember("b", registry.Ready), newMember("c", registry.Ready)
	replica := stateWith(t, a, b, c)
	p := newPendingChanges(discardLog)
	p.update(registry.Update{
		Kind: registry.CompleteList,
		Members: []registry.Member{
			a, newMember("b", registry.Terminating), newMember("d", registry.Ready),
		},
	})
	const difference = "b=Terminating -c d=Ready"
	if got := p.formatNext(t, replica); got != difference {
		t.Errorf("%q", got)
	}
	if base := p.command(5, replica).Base; base.GetRevision() != replica.Position().Revision {
		t.Errorf("base %v, want the replica's position", base)
	}
	p.recordOutcome(errNoAnswer)
	// b now has the same record as in the replica, but the command before may have been applied.
	p.update(registry.Update{Kind: registry.Delta, Members: []registry.Member{b}})
	if got := p.formatNext(t, replica); got != "b=Ready -c d=Ready" {
		t.Errorf("%q", got)
	}
	for range maxBaseRejections {
		p.recordOutcome(errRejected)
	}
	if got := p.formatNext(t, replica); got != "whole a=Ready b=Ready d=Ready" {
		t.Errorf("%q", got)
	}
	p.recordOutcome(nil)
	if got := p.formatNext(t, replica); got != "" {
		t.Errorf("%q", got)
	}
}

// A whole list whose outcome is not known is followed by a whole list, whatever the replica has by
// then.
func TestCompleteListStaysComplete(t *testing.T) {
	a, b := newMember("a", registry.Ready), newMember("b", registry.Ready)
	p := newPendingChanges(discardLog)
	p.update(registry.Update{Kind: registry.CompleteList, Members: []registry.Member{a}})
	p.formatNext(t, nil)
	p.recordOutcome(errNoAnswer)
	if got := p.formatNext(t, stateWith(t, a, b)); got != "whole a=Ready" {
		t.Errorf("%q", got)
	}
}

// A server whose record can't be encoded is skipped and logged, and the others are published.
func TestInvalidServersAreSkipped(t *testing.T) {
	var log logBuffer
	p := newPendingChanges(logTo(&log))
	long := strings.Repeat("x", distribution.MaxIDBytes+1)
	p.update(registry.Update{Kind: registry.CompleteList, Members: []registry.Member{
		newMember("a", registry.Ready),
		newMember("", registry.Ready),
		newMember(long, registry.Ready),
		newMember("\xff", registry.Ready),
		{ID: "bad-address", HostPort: "\xff", Phase: registry.Ready},
	}})
	if got := p.formatNext(t, nil); got != "whole a=Ready" {
		t.Errorf("%q", got)
	}
	if n := strings.Count(log.String(),
		"is passed over"); n != 4 || !strings.Contains(log.String(), "bad-address") {
		t.Errorf("%d servers are logged as skipped, want 4 with bad-address: %s", n, log.String())
	}
}

// The delay after a command that was not committed doubles with each failure up to its maximum. It
// ends when a command is committed, even if the state machine rejects it.
func TestPublishDelay(t *testing.T) {
	d := publishDelay{minDelay: time.Second}
	now := time.Unix(0, 0)
	for i, want := range []time.Duration{
		time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second,
	} {
		d.recordOutcome(now, errNoAnswer)
		if d.retryAt.Sub(now) != want || d.elapsed(now) || !d.elapsed(now.Add(want)) {
			t.Errorf("failure %d: the delay is %v", i, d.retryAt.Sub(now))
		}
	}
	for _, err := range []error{nil, errRejected} {
		d.recordOutcome(now, errNoAnswer)
		if d.recordOutcome(now, err); !d.elapsed(now) {
			t.Errorf("after the outcome %v there is a delay until %v", err, d.retryAt)
		}
	}
}

// A record holds all fields of a member. An unknown phase becomes the empty phase, in which a server
// is sent no requests.
func TestRecordsHoldMembers(t *testing.T) {
	for _, phase := range []string{registry.Ready, registry.Terminating, "Other"} {
		want := newMember("a", phase)
		value, err := encodeServer(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeServer("a", value)
		if phase == "Other" {
			want.Phase = ""
		}
		if err != nil || got != want {
			t.Errorf("%+v instead of %+v: %v", got, want, err)
		}
	}
	if _, err := decodeServer("a", []byte{0xff}); err == nil {
		t.Error("a value that can't be decoded was accepted")
	}
	if _, err := encodeServer(registry.Member{ID: "a", HostPort: "\xff"}); err == nil {
		t.Error("a member that can't be encoded was accepted")
	}
}
