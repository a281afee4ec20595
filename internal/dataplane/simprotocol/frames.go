package simprotocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"mothcleat/internal/dataplane/policy"
)

const (
	headerSize    = 20
	readChunkSize = 1 << 20 // bodies are read in pieces, so that a length alone allocates little
)

// Batch is one frame of events.
type Batch struct {
	Index, Count uint32
	Now          policy.Time
	Body         []byte
}

// ReadBatch reads the next frame. It returns io.EOF at a clean end of input.
func ReadBatch(r io.Reader, into []byte) (Batch, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("batch header cut short: %w", err)
	}
	b := Batch{
		Index: binary.LittleEndian.Uint32(head[0:]),
		Count: binary.LittleEndian.Uint32(head[4:]),
		Now:   policy.Time(binary.LittleEndian.Uint64(head[12:])),
		Body:  into[:0],
	}
	for left := int(binary.LittleEndian.Uint32(head[8:])); left > 0; {
		n, at := min(left, readChunkSize), len(b.Body)
		for cap(b.Body) < at+n {
			b.Body = append(b.Body[:cap(b.Body)], 0)
		}
		b.Body = b.Body[:at+n]
		if _, err := io.ReadFull(r, b.Body[at:]); err != nil {
			return Batch{}, fmt.Errorf("batch %d cut short: %w", b.Index, err)
		}
		left -= n
	}
	return b, nil
}

// Event is one record. Only the fields of its kind are set.
type Event struct {
	Kind     EventKind
	Instance uint16

	Seed     uint64 // Provision
	Settings []byte

	ListKind  policy.ListKind // Backends
	Endpoints []policy.Endpoint

	Request policy.Request // Ingress
	Outcome policy.Outcome // Done; First and Dropped set its ID

	TimerToken uint32 // Wake

	Backend uint32 // Sampled
	Result  policy.Result
	Load    []float32

	From    int // Heard
	Message []byte

	CounterName  uint64 // Ledger
	CounterTotal float64
}

// recordReader takes fields off a record; a field that is not there sets err.
type recordReader struct {
	record []byte
	at     int
	err    error
}

func (r *recordReader) bytes(n int) []byte {
	if r.err != nil || n < 0 || n > len(r.record)-r.at {
		if r.err == nil {
			r.err = fmt.Errorf("record cut short at byte %d", r.at)
		}
		return nil
	}
	b := r.record[r.at : r.at+n]
	r.at += n
	return b
}

func (r *recordReader) u8() uint8 {
	if b := r.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *recordReader) u16() uint16 {
	if b := r.bytes(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (r *recordReader) u32() uint32 {
	if b := r.bytes(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (r *recordReader) u64() uint64 {
	if b := r.bytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (r *recordReader) f32() float64 { return float64(math.Float32frombits(r.u32())) }

func (r *recordReader) load() []float32 {
	b := r.bytes(4 * int(r.u8()))
	if len(b) == 0 {
		return nil
	}
	load := make([]float32, len(b)/4)
	for i := range load {
		load[i] = math.Float32frombits(binary.LittleEndian.Uint32(b[4*i:]))
	}
	return load
}

func (r *recordReader) result() policy.Result { return lookup(r, results, "outcome code") }

// lookup reads a code and what it stands for.
func lookup[V any](r *recordReader, table map[uint8]V, what string) V {
	code := r.u8()
	v, ok := table[code]
	if !ok && r.err == nil {
		r.err = fmt.Errorf("unknown %s %d", what, code)
	}
	return v
}

// Decode calls take with each event of a batch, in order. The event is good
// until take returns.
func (b *Batch) Decode(take func(*Event)) error {
	r := recordReader{record: b.Body}
	for i := uint32(0); i < b.Count; i++ {
		e := Event{Kind: EventKind(r.u8()), Instance: r.u16()}
		r.event(&e)
		if r.err != nil {
			return fmt.Errorf("batch %d, record %d: %w", b.Index, i, r.err)
		}
		take(&e)
	}
	if r.at != len(b.Body) {
		return fmt.Errorf("batch %d: %d bytes behind the last record", b.Index, len(b.Body)-r.at)
	}
	return nil
}

func (r *recordReader) event(e *Event) {
	switch e.Kind {
	case InstanceStarted:
		e.Seed = r.u64()
		e.Settings = r.bytes(int(r.u32()))
	case InstanceStopped:
	case EndpointsChanged:
		e.ListKind = lookup(r, listKinds, "list mode")
		r.u64() // version
		r.endpoints(e)
	case RequestReceived:
		q := &e.Request
		q.ID = r.u64()
		r.u8() // a client's repeat, a write: no decision rests on them
		q.Units = r.f32()
		q.Timeout = policy.Time(r.u32())
		q.Plan = int(r.u16())
		q.Spread = int(r.f32())
		q.Class = int(r.u16())
		q.First = int(r.f32())
		q.Customer = r.u64()
	case ResponseStarted:
		e.Outcome.ID = r.u64()
		e.Outcome.Backend = r.u32()
		e.Outcome.Attempt = int(r.u16())
		e.Outcome.Duration = policy.Time(r.u32())
	case AttemptEnded:
		o := &e.Outcome
		o.ID = r.u64()
		o.Attempt = int(r.u16())
		o.Backend = r.u32()
		o.Result = r.result()
		o.Duration = policy.Time(r.u32())
		o.RequestDone = r.u8() != 0
		o.MeteredUse = int(r.u16())
		o.TrueUnits = float64(r.u16())
		o.Load = r.load()
	case ClientGone:
		e.Outcome.ID = r.u64()
	case TimerFired:
		e.TimerToken = r.u32()
	case ProbeEnded:
		e.Backend = r.u32()
		e.Result = r.result()
		r.u32() // time taken
		e.Load = r.load()
	case PeerMessageReceived:
		e.From = int(r.u16())
		e.Message = r.bytes(int(r.u16()))
	case CounterAnswered:
		e.CounterTotal = r.f32()
		e.Result = r.result()
		e.CounterName = r.u64()
		r.u32() // time taken
	default:
		if r.err == nil {
			r.err = fmt.Errorf("unknown event code %d", e.Kind)
		}
	}
}

func (r *recordReader) endpoints(e *Event) {
	n := int(r.u32())
	if r.err == nil && n > (len(r.record)-r.at)/endpointSize {
		r.err = fmt.Errorf("list of %d entries is longer than its batch", n)
	}
	for i := 0; i < n && r.err == nil; i++ {
		m := policy.Endpoint{Backend: r.u32(), Zone: int(r.u16())}
		r.u8() // kind of machine: no decision rests on it
		m.Cell = int(r.u16())
		m.State = lookup(r, endpointStates, "readiness")
		m.Weight = r.f32()
		m.StartedAt = policy.Time(r.u64())
		e.Endpoints = append(e.Endpoints, m)
	}
}

// Reply collects the actions of one batch.
type Reply struct {
	buf      []byte
	instance uint16
}

// Begin empties the reply for the batch of that index.
func (r *Reply) Begin(index uint32) {
	r.buf = binary.LittleEndian.AppendUint32(r.buf[:0], index)
	r.buf = binary.LittleEndian.AppendUint32(r.buf, 0)
}

// SetInstance has the following actions come from an instance.
func (r *Reply) SetInstance(instance uint16) { r.instance = instance }

// Bytes ends the reply and returns its frame.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buf[4:], uint32(len(r.buf)-8))
	return r.buf
}

func (r *Reply) header(code uint8) {
	r.buf = append(r.buf, code)
	r.u16(r.instance)
}

func (r *Reply) u16(v uint16) { r.buf = binary.LittleEndian.AppendUint16(r.buf, v) }
func (r *Reply) u32(v uint32) { r.buf = binary.LittleEndian.AppendUint32(r.buf, v) }
func (r *Reply) u64(v uint64) { r.buf = binary.LittleEndian.AppendUint64(r.buf, v) }

func (r *Reply) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.u16(uint16(len(s)))
	r.buf = append(r.buf, s...)
}

// Send implements decide.Actions, as do the methods below.
func (r *Reply) Send(id uint64, backend uint32, until policy.Time) {
	r.header(sendAction)
	r.u64(id)
	r.u64(uint64(until))
	r.u32(backend)
}

// Reject writes a refusal.
func (r *Reply) Reject(id uint64, after policy.Time) {
	r.header(rejectAction)
	r.u64(id)
	r.u32(uint32(max(0, min(after, math.MaxUint32))))
}

// Fail writes a failure.
func (r *Reply) Fail(id uint64) {
	r.header(failAction)
	r.u64(id)
}

// SetTimer writes a timer.
func (r *Reply) SetTimer(at policy.Time, token uint32) {
	r.header(setTimerAction)
	r.u64(uint64(at))
	r.u32(token)
}

// Probe writes a probe.
func (r *Reply) Probe(backend uint32) {
	r.header(probeAction)
	r.u32(backend)
}

// SendToPeer writes a message to a peer.
func (r *Reply) SendToPeer(peer int, note []byte) {
	r.header(sendToPeerAction)
	r.u16(uint16(peer))
	r.text(string(note[:min(len(note), maxPeerMessageSize)]))
}

// AddToCounter writes a counter call.
func (r *Reply) AddToCounter(name uint64, add float64, life policy.Time) {
	r.header(addToCounterAction)
	r.u64(name)
	r.u32(math.Float32bits(float32(add)))
	r.u32(uint32(max(0, min(life, math.MaxUint32))))
}

// WatchEndpoints writes a subscription to discovery.
func (r *Reply) WatchEndpoints() {
	r.header(watchEndpointsAction)
	r.buf = append(r.buf, 1)
}

// Log writes a line of the report.
func (r *Reply) Log(line string) {
	r.header(logAction)
	r.text(line)
}

// InstanceFailed writes that the decision code failed.
func (r *Reply) InstanceFailed(why string) {
	r.header(instanceFailedAction)
	r.text(why)
}
