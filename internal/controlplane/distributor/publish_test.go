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

func member(id, phase string) registry.Member {
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

// show returns a command's changes in short.
func show(t *testing.T, command *distributionpb.Command) string {
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

// show returns what the fleet is to agree on, in short.
func (p *pendingChanges) show(t *testing.T, replica *distribution.State) string {
	t.Helper()
	return show(t, p.command(5, replica))
}

var errUnknown = errors.New("no answer")

// A first command holds the whole list where there is nothing to tell a difference from, and later
// ones only what is other than what was agreed.
func TestCommandsHoldWhatChanged(t *testing.T) {
	p := newPendingChanges(quiet)
	expect := func(want string) {
		t.Helper()
		if got := p.show(t, nil); got != want {
			t.Errorf("%q instead of %q", got, want)
		}
	}
	a, b, c := member("a", registry.Ready), member("b", registry.Ready), member("c", registry.Ready)
	p.update(registry.Update{Kind: registry.CompleteList, Members: []registry.Member{b, a}})
	expect("whole a=Ready b=Ready")
	p.record(errUnknown)
	p.update(registry.Update{Kind: registry.Delta, Members: []registry.Member{c}})
	expect("whole a=Ready b=Ready c=Ready")
	p.record(nil)
	expect("")
	p.update(registry.Update{Kind: registry.Delta, Members: []registry.Member{a}})
	expect("") // as it was
	p.update(registry.Update{
		Kind:    registry.Delta,
		Members: []registry.Member{member("b", registry.Terminating)},
	})
	expect("b=Terminating")
	p.record(errUnknown)
	p.update(registry.Update{
		Kind:    registry.Delta,
		Members: []registry.Member{member("c", registry.Gone), member("nobody", registry.Gone)},
	})
	expect("b=Terminating -c") // what is not known to be agreed is said again
	p.record(nil)
	p.update(registry.Update{Kind: registry.Unavailable})
	expect("")
	p.update(registry.Update{Kind: registry.CompleteList, Members: []registry.Member{a, c}})
	expect("-b c=Ready") // a whole list is told as what is other
	p.record(nil)
	expect("")
	if command := p.command(5, nil); command.Term != 5 || command.Epoch == 0 {
		t.Errorf("%v", command)
	}
}

// replicaWith is a state with some servers.
func replicaWith(t *testing.T, members ...registry.Member) *distribution.State {
	t.Helper()
	s := &testServer{t: t, machine: distribution.NewMachine(openFence{})}
	var changes []*distributionpb.Change
	for _, m := range members {
		value, err := encodeServer(m)
		if err != nil {
			t.Fatal(err)
		}
		changes = append(changes,
			&distributionpb.Change{Kind: distribution.KindServer, Id: m.ID, Value: value})
	}
	s.agree(changes...)
	return s.machine.State()
}

// The first command of a term holds what is other than the owner's replica. As long as it is not
// known whether it was carried out, the next has all that it had; after some refusals it is the
// whole list.
func TestTermBeginsWithADifference(t *testing.T) {
	a, b, c := member("a", registry.Ready), member("b", registry.Ready), member("c", registry.Ready)
	replica := replicaWith(t, a, b, c)
	p := newPendingChanges(quiet)
	p.update(registry.Update{
		Kind: registry.CompleteList,
		Members: []registry.Member{
			a, member("b", registry.Terminating), member("d", registry.Ready),
		},
	})
	const difference = "b=Terminating -c d=Ready"
	if got := p.show(t, replica); got != difference {
		t.Errorf("%q", got)
	}
	if base := p.command(5, replica).Base; base.GetRevision() != replica.Position().Revision {
		t.Errorf("%v", base)
	}
	p.record(errUnknown)
	// as the replica has it: the command may not
	p.update(registry.Update{Kind: registry.Delta, Members: []registry.Member{b}})
	if got := p.show(t, replica); got != "b=Ready -c d=Ready" {
		t.Errorf("%q", got)
	}
	for range maxBaseRefusals {
		p.record(errRefused)
	}
	if got := p.show(t, replica); got != "whole a=Ready b=Ready d=Ready" {
		t.Errorf("%q", got)
	}
	p.record(nil)
	if got := p.show(t, replica); got != "" {
		t.Errorf("%q", got)
	}
}

// A whole list whose outcome is not known is followed by a whole list, whatever the replica has by
// then.
func TestCompleteListStaysComplete(t *testing.T) {
	a, b := member("a", registry.Ready), member("b", registry.Ready)
	p := newPendingChanges(quiet)
	p.update(registry.Update{Kind: registry.CompleteList, Members: []registry.Member{a}})
	p.show(t, nil)
	p.record(errUnknown)
	if got := p.show(t, replicaWith(t, a, b)); got != "whole a=Ready" {
		t.Errorf("%q", got)
	}
}

// A server of which no record can be made holds up no other.
func TestInvalidServersAreSkipped(t *testing.T) {
	var log logBuffer
	p := newPendingChanges(logTo(&log))
	long := strings.Repeat("x", distribution.MaxIDBytes+1)
	p.update(registry.Update{Kind: registry.CompleteList, Members: []registry.Member{
		member("a", registry.Ready),
		member("", registry.Ready),
		member(long, registry.Ready),
		member("\xff", registry.Ready),
		{ID: "bad-address", HostPort: "\xff", Phase: registry.Ready},
	}})
	if got := p.show(t, nil); got != "whole a=Ready" {
		t.Errorf("%q", got)
	}
	if n := strings.Count(log.String(),
		"is passed over"); n != 4 || !strings.Contains(log.String(), "bad-address") {
		t.Errorf("%d lines: %s", n, log.String())
	}
}

// What is not agreed on is proposed again after longer and longer.
func TestPublishDelay(t *testing.T) {
	d := publishDelay{minDelay: time.Second}
	now := time.Unix(0, 0)
	for i, want := range []time.Duration{
		time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second,
	} {
		d.record(now, errUnknown)
		if d.until.Sub(now) != want || d.elapsed(now) || !d.elapsed(now.Add(want)) {
			t.Errorf("failure %d: until %v", i, d.until.Sub(now))
		}
	}
	for _, err := range []error{nil, errRefused} {
		d.record(now, errUnknown)
		if d.record(now, err); !d.elapsed(now) {
			t.Errorf("after %v it waits until %v", err, d.until)
		}
	}
}

// A record holds all that a member has; a phase that is not known stays none to send to.
func TestRecordsHoldMembers(t *testing.T) {
	for _, phase := range []string{registry.Ready, registry.Terminating, "Other"} {
		want := member("a", phase)
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
		t.Error("a value that can't be read was taken")
	}
	if _, err := encodeServer(registry.Member{ID: "a", HostPort: "\xff"}); err == nil {
		t.Error("a member that can't be written was taken")
	}
}
