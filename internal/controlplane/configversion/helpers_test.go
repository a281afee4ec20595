package configversion

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"mothcleat/internal/controlplane/lease"
)

type acceptingFence struct{}

func (acceptingFence) Fence(string, uint64, lease.Member) error { return nil }

var (
	gatewayA = lease.Member{ID: "a", Incarnation: 1}
	gatewayB = lease.Member{ID: "b", Incarnation: 2}

	digestOne = strings.Repeat("1", 64)
	digestTwo = strings.Repeat("2", 64)
)

// apply applies a command and returns its result.
func apply(t *testing.T, m *Machine, at time.Duration, member lease.Member, c Command) Result {
	t.Helper()
	var r Result
	if err := json.Unmarshal(m.Apply(at, 1, member, c.Encode()), &r); err != nil {
		t.Fatal(err)
	}
	return r
}

// mustApply applies a command that must succeed, and returns the number in its result.
func mustApply(t *testing.T, m *Machine, at time.Duration, member lease.Member, c Command) uint64 {
	t.Helper()
	r := apply(t, m, at, member, c)
	if !r.OK {
		t.Fatal(r.Why)
	}
	return r.Number
}

// enrolled returns a machine in which the members are enrolled.
func enrolled(t *testing.T, c Config, members ...lease.Member) *Machine {
	t.Helper()
	m := NewMachine(c, acceptingFence{})
	for _, member := range members {
		mustApply(t, m, 0, member, Command{Kind: KindEnrol})
	}
	return m
}

func nextCommands(c Config, m *Machine, at time.Duration) []Command {
	view := m.View(at)
	return NextCommands(c, 1, &view)
}
