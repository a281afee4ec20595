package gateway

import (
	"net"
	"testing"
)

// startWithMarkers starts a gateway with one backend, whose markers the test answers, and without a
// cooldown of connections, so that a duplicate can meet the next request in flight.
func startWithMarkers(t testing.TB) (*testGateway, *fakeBackend) {
	t.Helper()
	b := newFakeBackend(t)
	b.markers = make(chan *backendCall, 16)
	r := startGatewayWith(
		t,
		testConfig(t, newFakeDiscovery(t, b.memberJSON("s-00000001", "Ready")), nil),
		withCooldown(0),
	)
	return r, b
}

// sendBehindAnswer has the backend answer a first request, and returns it with a second one that is
// in flight on the same connection. Neither is hedged or retried.
func sendBehindAnswer(t testing.TB, c *testClient, b *fakeBackend) (first, second *backendCall) {
	t.Helper()
	c.sendOnce(1)
	first = b.nextCommand(t)
	first.replyValue(t, "one")
	c.wantValue("one")
	c.sendOnce(2)
	second = b.nextCommand(t)
	if second.conn != first.conn {
		t.Fatal("the second request is on another connection")
	}
	return first, second
}

// wantReuse sends a third request, which has to be served on the same connection to the backend.
func wantReuse(t testing.TB, c *testClient, b *fakeBackend, conn net.Conn) {
	t.Helper()
	c.sendOnce(3)
	third := b.nextCommand(t)
	if third.conn != conn {
		t.Error("the connection was not used again")
	}
	third.replyValue(t, "three")
	c.wantValue("three")
}

// Guards against a client that gets the value of another request: a duplicate of the answer before
// came when the next request was in flight, and was taken for its answer. The connection then stayed
// one answer behind.
func TestDuplicateOfEarlierAnswerIsNotServed(t *testing.T) {
	r, b := startWithMarkers(t)
	c := r.dialClient(t)
	first, second := sendBehindAnswer(t, c, b)
	first.replyValue(t, "one") // the duplicate
	marker := wait(t, b.markers, "a marker behind the request")
	second.replyValue(t, "two")
	c.wantValue("two")
	marker.reply(t, "+OK\r\n")
	waitUntil(t, r.gateway, "the connection to be idle", func(g *Gateway) bool {
		return len(g.backends.byNumber[1].idle) == 1
	})
	wantReuse(t, c, b, first.conn)
}

// The duplicate and the request's own answer may arrive together with the marker's reply.
func TestDuplicateBeforeAnswerAndMarker(t *testing.T) {
	r, b := startWithMarkers(t)
	c := r.dialClient(t)
	first, second := sendBehindAnswer(t, c, b)
	first.replyValue(t, "one")
	wait(t, b.markers, "a marker behind the request")
	second.reply(t, "*3\r\n$3\r\ntwo\r\n$-1\r\n$-1\r\n+OK\r\n")
	c.wantValue("two")
	c.sendOnce(3)
	b.nextCommand(t).replyValue(t, "three")
	c.wantValue("three")
}

// Two requests may have equal answers: the marker's reply shows that the second is no duplicate.
func TestEqualAnswerIsServed(t *testing.T) {
	r, b := startWithMarkers(t)
	c := r.dialClient(t)
	_, second := sendBehindAnswer(t, c, b)
	second.replyValue(t, "one")
	wait(t, b.markers, "a marker behind the request").reply(t, "+OK\r\n")
	c.wantValue("one")
	wantReuse(t, c, b, second.conn)
}

// Guards against a second run of a request that may not be repeated: the duplicate of a rejection
// was taken for that of the next request, which was then sent again.
func TestDuplicateRejectionRetriesNothing(t *testing.T) {
	r, b := startWithMarkers(t)
	c := r.dialClient(t)
	c.sendLookup(1, "60000")
	rejected := b.nextCommand(t)
	rejected.reply(t, "-BUSY\r\n")
	retry := b.nextCommand(t)
	retry.replyValue(t, "one")
	c.wantValue("one")
	c.sendOnce(2)
	second := b.nextCommand(t)
	rejected.conn = second.conn
	rejected.reply(t, "-BUSY\r\n")
	marker := wait(t, b.markers, "a marker behind the request")
	second.replyValue(t, "two")
	marker.reply(t, "+OK\r\n")
	c.wantValue("two")
	if len(b.commands) > 0 {
		t.Error("the request was sent again")
	}
}

// An equal answer with more bytes behind it can't be told from a duplicate: the connection is
// closed, and a request that may be repeated is sent again.
func TestEqualAnswerWithMoreBehindIsNotServed(t *testing.T) {
	r, b := startWithMarkers(t)
	c := r.dialClient(t)
	first, _ := sendBehindAnswer(t, c, b)
	value := "*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n"
	first.reply(t, value+"*3\r\n$3\r\ntwo\r\n$-1\r\n$-1\r\n")
	c.wantLine("-ERR failed")
	wait(t, b.disconnects, "the end of the connection")
}
