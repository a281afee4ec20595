package policy

// Endpoint is an entry of discovery's endpoint list.
type Endpoint struct {
	Backend   uint32
	Zone      int
	Cell      int
	State     EndpointState
	Weight    float64 // 0: not known
	StartedAt Time    // of its process; 0: long ago
}

// EndpointState is what discovery says of a backend.
type EndpointState uint8

// The states of a backend.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// ListKind tells what the endpoint list of a watch event is.
type ListKind uint8

// The kinds of lists.
const (
	Complete       ListKind = iota
	CompleteCached          // complete, but it may be stale
	Delta                   // only what has changed
	Unavailable             // there is no list: discovery cannot be reached
	StaleBootstrap          // an old list that stands in while a new gateway has no other
)

// Request is a client's request.
type Request struct {
	ID       uint64
	Class    int
	Plan     int
	Customer uint64
	Units    float64 // of the customer's quota
	Timeout  Time    // how long the client waits from now
	First    int     // the customer's gateways: Spread of them in a row from the number First
	Spread   int
}

// Result is how an attempt, a probe or a call of the shared counter ended.
type Result uint8

// The results. Rejected, ConnectFailed and Superseded prove that nothing was executed.
const (
	OK Result = iota
	Failed
	Rejected // the backend sheds load
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Superseded // not written, for no fault of the backend
)

// Outcome is how an attempt ended.
type Outcome struct {
	ID          uint64
	Attempt     int // of the request, from 0
	Backend     uint32
	Result      Result
	Duration    Time
	RequestDone bool    // the client has its final answer
	MeteredUse  int     // 1 + percent of the rate used through all gateways; 0: not known
	ActualUnits float64 // consumed, if the answer says so; 0: not known
	Load        []float32
}
