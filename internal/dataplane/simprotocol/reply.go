package simprotocol

import (
	"encoding/binary"
	"math"

	"mothcleat/internal/dataplane/policy"
)

const (
	replyHeaderSize    = 8   // bytes: the batch's index and the size of the body
	maxPeerMessageSize = 256 // bytes
)

// Reply collects the actions of one batch. It implements policy.Actions; the zero value is ready
// for Begin.
type Reply struct {
	buf      []byte
	instance uint16
}

// Begin resets the reply for the batch with the given index.
func (r *Reply) Begin(index uint32) {
	r.buf = r.buf[:0]
	r.u32(index)
	r.u32(0) // the size of the body, which Bytes sets
}

// SetInstance sets the instance to which the following actions belong.
func (r *Reply) SetInstance(instance uint16) { r.instance = instance }

// Bytes completes the reply and returns its frame, which is valid until the next Begin.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buf[4:], uint32(len(r.buf)-replyHeaderSize))
	return r.buf
}

// Send appends the next attempt of a request.
func (r *Reply) Send(id uint64, backend uint32, until policy.Time) {
	r.header(sendAction)
	r.u64(id)
	r.u64(uint64(until))
	r.u32(backend)
}

// Reject appends the rejection of a request.
func (r *Reply) Reject(id uint64, after policy.Time) {
	r.header(rejectAction)
	r.u64(id)
	r.duration(after)
}

// Fail appends the failure of a request.
func (r *Reply) Fail(id uint64) {
	r.header(failAction)
	r.u64(id)
}

// SetTimer appends a timer.
func (r *Reply) SetTimer(at policy.Time, token uint32) {
	r.header(setTimerAction)
	r.u64(uint64(at))
	r.u32(token)
}

// Probe appends a health check.
func (r *Reply) Probe(backend uint32) {
	r.header(probeAction)
	r.u32(backend)
}

// SendToPeer appends a message to a peer.
func (r *Reply) SendToPeer(peer int, message []byte) {
	r.header(sendToPeerAction)
	r.u16(uint16(peer))
	r.text(string(message[:min(len(message), maxPeerMessageSize)]))
}

// AddToCounter appends a call to the shared counter.
func (r *Reply) AddToCounter(name uint64, add float64, ttl policy.Time) {
	r.header(addToCounterAction)
	r.u64(name)
	r.u32(math.Float32bits(float32(add)))
	r.duration(ttl)
}

// WatchEndpoints appends a subscription to service discovery.
func (r *Reply) WatchEndpoints() {
	r.header(watchEndpointsAction)
	r.buf = append(r.buf, 1)
}

// Log appends a line for the simulator's report.
func (r *Reply) Log(line string) {
	r.header(logAction)
	r.text(line)
}

// InstanceFailed appends a notice that the instance has failed, with the reason.
func (r *Reply) InstanceFailed(reason string) {
	r.header(instanceFailedAction)
	r.text(reason)
}

func (r *Reply) header(code uint8) {
	r.buf = append(r.buf, code)
	r.u16(r.instance)
}

func (r *Reply) u16(v uint16) { r.buf = binary.LittleEndian.AppendUint16(r.buf, v) }
func (r *Reply) u32(v uint32) { r.buf = binary.LittleEndian.AppendUint32(r.buf, v) }
func (r *Reply) u64(v uint64) { r.buf = binary.LittleEndian.AppendUint64(r.buf, v) }

// duration appends a duration in microseconds, clamped to the field's range.
func (r *Reply) duration(d policy.Time) { r.u32(uint32(max(0, min(d, math.MaxUint32)))) }

// text appends a string and its length. A string too long for the length field is truncated.
func (r *Reply) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.u16(uint16(len(s)))
	r.buf = append(r.buf, s...)
}
