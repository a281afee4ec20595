package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"mothcleat/internal/dataplane/policy"
)

// A new configuration moves discovery at once, though a watch is under way at the old address; the
// open request and its connection go on.
func TestReloadMovesDiscovery(t *testing.T) {
	r, before, old := oneBackend(t, nil)
	old.settled(t)
	c := r.client(t)
	c.lookup(1, "60000")
	call := before.next(t)

	after := newBackend(t)
	moved := newFakeDiscovery(t, after.entry("s-00000002", "Ready"))
	r.reloads(configure(t, moved, nil), nil)
	moved.settled(t)
	call.serve(t, "old")
	c.value("old")
	c.lookup(2, "60000")
	after.next(t).serve(t, "new")
	c.value("new")
	if len(before.got) > 0 {
		t.Error("a request went where the new list does not lead")
	}
}

// A configuration that can't be read changes nothing: the gateway goes on watching.
func TestFailedReloadKeepsConfiguration(t *testing.T) {
	r, _, d := oneBackend(t, nil)
	r.reloads(Config{}, errors.New("no such file"))
	d.settled(t)
	second := newBackend(t)
	d.tell(
		second.entry("s-00000002", "Ready"),
		strings.Replace(second.entry("s-00000001", "Gone"), "Ready", "Gone", 1),
	)
	d.settled(t)
	c := r.client(t)
	c.lookup(1, "60000")
	second.next(t).serve(t, "ok")
	c.value("ok")
}

// Calls go to the counter of the newest configuration, each with one answer.
func TestReloadMovesTheCounter(t *testing.T) {
	serve := func(total string) (*httptest.Server, chan string) {
		got := make(chan string, 8)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			got <- r.URL.Path
			fmt.Fprint(w, total)
		}))
		t.Cleanup(s.Close)
		return s, got
	}
	first, atFirst := serve("1")
	second, atSecond := serve("2")
	b := newBackend(t)
	d := newFakeDiscovery(t, b.entry("s-00000001", "Ready"))
	with := func(s *httptest.Server) Config {
		return configure(t, d, func(f map[string]any) {
			f["settings"] = json.RawMessage(
				strings.Replace(settingsText, `"counter":false`, `"counter":true`, 1),
			)
			f["counter"] = strings.TrimPrefix(s.URL, "http://")
		})
	}
	cfg := with(first)
	cfg.Host.CounterTimeout = policy.Time(patience.Microseconds())
	g, err := newGateway(cfg, quiet())
	if err != nil {
		t.Fatal(err)
	}
	defer g.clients.listener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, line := range g.counter.queues {
		go g.counter.runQueue(ctx, g, line)
	}
	actions{g}.AddToCounter(1, 1, 1e6)
	wait(t, atFirst, "a call at the first counter")
	configReloaded{with(second)}.handle(g)
	actions{g}.AddToCounter(1, 1, 1e6)
	wait(t, atSecond, "a call at the second counter")
	for _, total := range []float64{1, 2} {
		if e := wait(t, g.events, "an answer").(counterReplied); e.result != policy.OK ||
			e.total != total {
			t.Errorf("answer %+v, want the total %g", e, total)
		}
	}
}
