package policy

// Endpoint is an entry of the endpoint list that discovery provides.
type Endpoint struct {
	Backend   uint32
	Zone      int
	Cell      int
	State     EndpointState
	Weight    float64 // 0: unknown
	StartedAt Time    // when its process started; 0: long ago
}

// EndpointState is the state of a backend according to discovery.
type EndpointState uint8

// The states of a backend.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// ListKind is the kind of the endpoint list in a watch event.
type ListKind uint8

// The kinds of lists.
const (
	Complete       ListKind = iota
	CompleteCached          // complete, but possibly stale
	Delta                   // only the changes
	Unavailable             // no list: discovery cannot be reached
	StaleBootstrap          // an old list, used while a new gateway has no other
)

// Request is a client's request.
type Request struct {
	ID       uint64
	Class    int
	Plan     int
	Customer uint64
	Units    float64 // that it takes from the customer's quota
	Timeout  Time    // until the client stops waiting
	First    int     // the customer's gateway set: Spread consecutive gateways from number First
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
	Superseded // not written, through no fault of the backend
)

// Outcome is how an attempt ended.
type Outcome struct {
	ID          uint64
	Attempt     int // of the request, from 0
	Backend     uint32
	Result      Result
	Duration    Time
	RequestDone bool    // the client has its final answer
	MeteredUse  int     // 1 + use through all gateways in percent of the rate; 0: unknown
	ActualUnits float64 // consumed, as reported by the answer; 0: unknown
	Load        []float32
}
