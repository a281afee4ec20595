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

// A new configuration moves discovery to another address at once, even during a watch at the old
// address. An open request and its connection are not affected.
func TestReloadMovesDiscovery(t *testing.T) {
	r, before, old := startWithOneBackend(t, nil)
	old.awaitWatch(t)
	c := r.dialClient(t)
	c.sendLookup(1, "60000")
	call := before.nextCommand(t)

	after := newFakeBackend(t)
	moved := newFakeDiscovery(t, after.memberJSON("s-00000002", "Ready"))
	r.reloadWith(testConfig(t, moved, nil), nil)
	moved.awaitWatch(t)
	call.replyValue(t, "old")
	c.wantValue("old")
	c.sendLookup(2, "60000")
	after.nextCommand(t).replyValue(t, "new")
	c.wantValue("new")
	if len(before.commands) > 0 {
		t.Error("a request was sent to a backend that is not on the new list")
	}
}

// A configuration that can't be read changes nothing: the gateway continues to watch discovery.
func TestFailedReloadKeepsConfiguration(t *testing.T) {
	r, _, d := startWithOneBackend(t, nil)
	r.reloadWith(Config{}, errors.New("no such file"))
	d.awaitWatch(t)
	second := newFakeBackend(t)
	d.publish(
		second.memberJSON("s-00000002", "Ready"),
		strings.Replace(second.memberJSON("s-00000001", "Gone"), "Ready", "Gone", 1),
	)
	d.awaitWatch(t)
	c := r.dialClient(t)
	c.sendLookup(1, "60000")
	second.nextCommand(t).replyValue(t, "ok")
	c.wantValue("ok")
}

// After a reload, calls go to the new configuration's counter. Each call has one result.
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
	b := newFakeBackend(t)
	d := newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready"))
	with := func(s *httptest.Server) Config {
		return testConfig(t, d, func(f map[string]any) {
			f["settings"] = json.RawMessage(
				strings.Replace(settingsText, `"counter":false`, `"counter":true`, 1),
			)
			f["counter"] = strings.TrimPrefix(s.URL, "http://")
		})
	}
	cfg := with(first)
	cfg.Host.CounterTimeout = policy.Time(waitTimeout.Microseconds())
	g, err := newGateway(cfg, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer g.clients.listener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, queue := range g.counter.queues {
		go g.counter.runQueue(ctx, g, queue)
	}
	actions{g}.AddToCounter(1, 1, 1e6)
	wait(t, atFirst, "a call of the first counter")
	configReloaded{with(second)}.handle(g)
	actions{g}.AddToCounter(1, 1, 1e6)
	wait(t, atSecond, "a call of the second counter")
	for _, total := range []float64{1, 2} {
		if e := wait(t, g.events, "a result").(counterReplied); e.result != policy.OK ||
			e.total != total {
			t.Errorf("result %+v, want the total %g", e, total)
		}
	}
}
