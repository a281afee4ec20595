package simprotocol

import "mothcleat/internal/dataplane/policy"

// endpointSize is the size of an entry of an endpoint list, in bytes.
const endpointSize = 22

// Event is one record. Only the fields of its kind are set.
type Event struct {
	Kind     EventKind
	Instance uint16 // of the gateway

	// InstanceStarted
	Seed     uint64
	Settings []byte // for ParseSettings

	// EndpointsChanged
	ListKind  policy.ListKind
	Endpoints []policy.Endpoint

	Request policy.Request // RequestReceived
	Outcome policy.Outcome // AttemptEnded; in part ResponseStarted; ClientGone: only ID

	TimerToken uint32 // TimerFired

	// ProbeEnded
	Backend uint32
	Result  policy.Result // also for CounterAnswered
	Load    []float32

	// PeerMessageReceived
	From    int
	Message []byte

	// CounterAnswered
	CounterName  uint64
	CounterTotal float64
}

// event reads the fields that belong to the kind of an event.
func (r *recordReader) event(e *Event) {
	switch e.Kind {
	case InstanceStarted:
		e.Seed = r.u64()
		e.Settings = r.bytes(int(r.u32()))
	case InstanceStopped:
		// The record has no fields.
	case EndpointsChanged:
		e.ListKind = lookup(r, listKinds, "list mode")
		r.skip(8) // the list's version
		e.Endpoints = r.endpoints()
	case RequestReceived:
		r.request(&e.Request)
	case ResponseStarted:
		r.responseStarted(&e.Outcome)
	case AttemptEnded:
		r.outcome(&e.Outcome)
	case ClientGone:
		e.Outcome.ID = r.u64()
	case TimerFired:
		e.TimerToken = r.u32()
	case ProbeEnded:
		e.Backend = r.u32()
		e.Result = r.result()
		r.skip(4) // duration
		e.Load = r.load()
	case PeerMessageReceived:
		e.From = int(r.u16())
		e.Message = r.bytes(int(r.u16()))
	case CounterAnswered:
		e.CounterTotal = r.f32()
		e.Result = r.result()
		e.CounterName = r.u64()
		r.skip(4) // duration
	default:
		r.fail("unknown event code %d", e.Kind)
	}
}

func (r *recordReader) request(q *policy.Request) {
	q.ID = r.u64()
	r.skip(1) // whether it is a client's retry or a write
	q.Units = r.f32()
	q.Timeout = r.duration()
	q.Plan = int(r.u16())
	q.Spread = int(r.f32())
	q.Class = int(r.u16())
	q.First = int(r.f32())
	q.Customer = r.u64()
}

func (r *recordReader) responseStarted(o *policy.Outcome) {
	o.ID = r.u64()
	o.Backend = r.u32()
	o.Attempt = int(r.u16())
	o.Duration = r.duration()
}

func (r *recordReader) outcome(o *policy.Outcome) {
	o.ID = r.u64()
	o.Attempt = int(r.u16())
	o.Backend = r.u32()
	o.Result = r.result()
	o.Duration = r.duration()
	o.RequestDone = r.u8() != 0
	o.MeteredUse = int(r.u16())
	o.ActualUnits = float64(r.u16())
	o.Load = r.load()
}

// endpoints reads an endpoint list.
func (r *recordReader) endpoints() []policy.Endpoint {
	n := int(r.u32())
	if n > (len(r.record)-r.at)/endpointSize {
		r.fail("list of %d entries is longer than its batch", n)
	}
	var list []policy.Endpoint
	for i := 0; i < n && r.err == nil; i++ {
		list = append(list, r.endpoint())
	}
	return list
}

func (r *recordReader) endpoint() policy.Endpoint {
	var m policy.Endpoint
	m.Backend = r.u32()
	m.Zone = int(r.u16())
	r.skip(1) // machine type
	m.Cell = int(r.u16())
	m.State = lookup(r, endpointStates, "readiness")
	m.Weight = r.f32()
	m.StartedAt = policy.Time(r.u64())
	return m
}
