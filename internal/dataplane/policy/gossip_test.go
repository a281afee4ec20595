package policy

import (
	"slices"
	"testing"
)

func TestGossipSharesOneBucket(t *testing.T) {
	a, b := newPair(t)
	for range 4 {
		a.serve(0, 0, 9, 2)
	}
	gossipTo(a, b)
	if b.serve(0, 0, 9, 2) {
		t.Error("the second gateway granted the burst a second time")
	}
}

func TestLateRepeatedAndLostMessages(t *testing.T) {
	a, b := newPair(t)
	var messages [][]byte
	for range 3 {
		a.serve(0, 1, 9, 4)
		c := a.customers[9]
		messages = append(messages, (&usageEntry{
			id: 9, plan: 1, spread: 2, consumed: toWireUnits(c.consumed), remaining: 0.5,
		}).appendTo(a.newPeerMessage()))
	}
	b.ReceivePeerMessage(b.time, 0, messages[0])
	level := b.customers[9].bucket.level
	b.ReceivePeerMessage(b.time, 0, messages[2]) // the second one is lost
	assertNear(t, "level after 8 more units", b.customers[9].bucket.level, level-8)
	b.ReceivePeerMessage(b.time, 0, messages[2])
	b.ReceivePeerMessage(b.time, 0, messages[1])
	assertNear(t, "level after a repeated and a late message", b.customers[9].bucket.level, level-8)
}

func TestMalformedPeerMessagesAreIgnored(t *testing.T) {
	_, b := newPair(t)
	good := (&usageEntry{id: 9, plan: 0, spread: 2}).appendTo(messageHeader(1, 0, 0))
	bad := slices.Clone(good)
	bad[0]++
	plan := (&usageEntry{id: 9, plan: 200, spread: 2}).appendTo(messageHeader(1, 0, 0))
	tooLong := append(slices.Clone(good), 0)
	for _, message := range [][]byte{nil, {1}, good[:len(good)-1], tooLong, bad, plan} {
		b.ReceivePeerMessage(b.time, 0, message)
	}
	for _, from := range []int{-1, 1, 2} {
		b.ReceivePeerMessage(b.time, from, good)
	}
	if len(b.customers) != 0 {
		t.Error("a malformed message created a customer's record")
	}
}

func TestQuotaFractionFollowsDemand(t *testing.T) {
	a, b := newPair(t)
	for range 6 {
		a.serve(0, 1, 9, 1)
	}
	for range 2 {
		b.serve(0, 1, 9, 1)
	}
	gossipTo(b, a)
	if fraction := a.quotaFraction(a.customers[9]); fraction < 0.7 || fraction > 0.8 {
		t.Errorf("fraction %g, want 0.7 to 0.8", fraction)
	}
	a.time += 30 * second
	a.serve(0, 1, 9, 1)
	if fraction := a.quotaFraction(a.customers[9]); fraction < 0.99 {
		t.Errorf("fraction %g after 30 s without use at the peer, want at least 0.99", fraction)
	}
}

func TestRestartGrantsNoSecondBurst(t *testing.T) {
	a, b := newPair(t)
	for range 4 {
		a.serve(0, 0, 9, 2)
	}
	gossipTo(a, b)
	gossipTo(a, b)
	restarted, err := New(a.settings, 8, &actionRecorder{})
	if err != nil {
		t.Fatal(err)
	}
	r := wrapBalancer(t, restarted, b.time)
	r.UpdateEndpoints(r.time, CompleteCached, endpointList(4))
	b.ReceivePeerMessage(b.time, 0, restarted.newPeerMessage()) // announces its start
	gossipTo(b, r)
	if r.serve(0, 0, 9, 2) {
		t.Error("the restarted gateway granted the spent burst again")
	}
}
