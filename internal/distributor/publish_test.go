package distributor

import (
	"fmt"
	"strings"
	"testing"

	"mothcleat/internal/distributionpb"
	"mothcleat/internal/registry"
)

func member(id, phase string) registry.Member {
	return registry.Member{ID: id, HostPort: "127.0.0.1:1", Locality: "z1", Cell: 3, Phase: phase, Size: 1.5, UpSince: 7}
}

// show gives a command's changes in short.
func show(t *testing.T, command *distributionpb.Command) string {
	t.Helper()
	var text []string
	if command.Whole {
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

// A command holds the whole list once a term, and then only what is other than what was agreed.
func TestCommandsHoldWhatChanged(t *testing.T) {
	p := newPendingChanges(quiet)
	expect := func(want string) {
		t.Helper()
		if got := show(t, p.command(5)); got != want {
			t.Errorf("%q instead of %q", got, want)
		}
	}
	a, b, c := member("a", registry.Ready), member("b", registry.Ready), member("c", registry.Ready)
	p.take(registry.News{Kind: registry.Whole, Members: []registry.Member{b, a}})
	expect("whole a=Ready b=Ready")
	p.take(registry.News{Kind: registry.Changed, Members: []registry.Member{c}})
	expect("whole a=Ready b=Ready c=Ready") // nothing is agreed yet
	p.agreed()
	expect("")
	p.take(registry.News{Kind: registry.Changed, Members: []registry.Member{a}})
	expect("") // as it was
	p.take(registry.News{Kind: registry.Changed, Members: []registry.Member{member("b", registry.Terminating)}})
	expect("b=Terminating")
	p.take(registry.News{Kind: registry.Changed, Members: []registry.Member{member("c", registry.Gone), member("nobody", registry.Gone)}})
	expect("b=Terminating -c") // what is not known to be agreed is said again
	p.agreed()
	p.take(registry.News{Kind: registry.Unheard})
	expect("")
	p.take(registry.News{Kind: registry.Whole, Members: []registry.Member{a, c}})
	expect("-b c=Ready") // a whole list is told as what is other
	p.agreed()
	expect("")
	if command := p.command(5); command.Term != 5 || command.Epoch == 0 {
		t.Errorf("%v", command)
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
