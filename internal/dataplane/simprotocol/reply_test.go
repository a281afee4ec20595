package simprotocol

import (
	"bytes"
	"encoding/binary"
	"testing"
)

func TestReplyActions(t *testing.T) {
	for want, call := range map[string]func(*Reply){
		"41 0300 c4913a5d7f250800 da94810000000000 074a1203": func(r *Reply) {
			r.Send(0x8257f5d3a91c4, 0x03124a07, 0x8194da)
		},
		"42 0300 0500000000000000 e8030000": func(r *Reply) {
			r.Reject(5, 1000)
		},
		"43 0300 0500000000000000": func(r *Reply) {
			r.Fail(5)
		},
		"45 0300 7afd870000000000 4d000000": func(r *Reply) {
			r.SetTimer(0x87fd7a, 77)
		},
		"46 0300 09000000": func(r *Reply) {
			r.Probe(9)
		},
		"48 0300 0100 0400 68692037": func(r *Reply) {
			r.SendToPeer(1, []byte("hi 7"))
		},
		"49 0300 1100 74776f2073657276657273206b6e6f776e": func(r *Reply) {
			r.Log("two servers known")
		},
		"4a 0300 0200 6e6f": func(r *Reply) {
			r.InstanceFailed("no")
		},
		"4b 0300 01": func(r *Reply) {
			r.WatchEndpoints()
		},
		"4d 0300 90f6890000000000 00008040 c0c62d00": func(r *Reply) {
			r.AddToCounter(0x89f690, 4, 3000000)
		},
	} {
		var r Reply
		r.Begin(12)
		r.SetInstance(3)
		call(&r)
		body := unhex(t, want)
		head := binary.LittleEndian.AppendUint32([]byte{12, 0, 0, 0}, uint32(len(body)))
		if got := r.Bytes(); !bytes.Equal(got, append(head, body...)) {
			t.Errorf("got %x, want %s", got, want)
		}
	}
}
