package gateway

import (
	"fmt"
	"testing"

	"mothcleat/decide"
	"mothcleat/internal/registry"
)

// many is a loop that knows so many members.
func many(t testing.TB, n int) (*Loop, []member) {
	t.Helper()
	l := unstarted(t, newFakeDiscovery(t))
	list := make([]member, n)
	for i := range list {
		list[i] = member{ID: fmt.Sprintf("node/q-%08x", i), HostPort: fmt.Sprintf("127.0.%d.%d:7000", i/250, i%250+1), Phase: registry.Ready, Size: 1}
	}
	l.handle(news{Kind: registry.Whole, Members: list})
	return l, list
}

// A service of 5,000 instances is taken in, and one that goes among them is gone.
func TestManyMembers(t *testing.T) {
	l, list := many(t, 5000)
	if n := len(l.backends.byID); n != 5000 {
		t.Errorf("%d backends", n)
	}
	gone := list[1234]
	gone.Phase = registry.Gone
	l.handle(news{Kind: registry.Changed, Members: []member{gone}})
	if l.backends.byID[gone.ID] != nil || len(l.backends.byID) != 4999 {
		t.Errorf("%d backends after one has gone", len(l.backends.byID))
	}
	if b := l.backends.byID[list[7].ID]; b == nil || b.state != decide.Ready {
		t.Error("another one is not ready any more")
	}
}

// BenchmarkOneChangeOfMany is what one change among 5,000 instances costs the loop.
func BenchmarkOneChangeOfMany(b *testing.B) {
	l, list := many(b, 5000)
	for i := 0; b.Loop(); i++ {
		m := list[i%len(list)]
		if i/len(list)%2 == 0 {
			m.Phase = registry.Terminating
		}
		l.handle(news{Kind: registry.Changed, Members: []member{m}})
	}
}
