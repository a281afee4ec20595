// Package registry brings updates of the list of servers from a service registry, whichever it is.
// Sources do their I/O on goroutines of their own; a receiver sees one kind of update.
package registry

import "context"

// Member is a server as a registry has it, in the form of the platform's discovery.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	// UpSince is when it last started, Unix time in milliseconds; 0: long ago.
	UpSince int64 `json:"up_since_ms"`
}

// The phases of a member. A member in an unknown phase is not sent to.
const (
	Ready       = "Ready"
	Terminating = "Terminating" // finishes its work and wants no new work
	Gone        = "Gone"        // in deltas only
)

// List is the list of members, or its changes since an earlier revision.
type List struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Kind is the kind of an update.
type Kind uint8

// The kinds: a complete list, what changed since the last update, or that no list is available.
const (
	CompleteList Kind = iota
	Delta
	Unavailable
)

// Update is what a source announces. The members belong to the receiver.
type Update struct {
	Kind    Kind
	Members []Member
}

// Source is a registry that is followed.
type Source interface {
	// Run announces updates until the context ends. It calls notify from one goroutine at a
	// time, in the order in which the updates apply.
	Run(ctx context.Context, notify func(Update))
	// Follow has the list followed from now on, where the registry tells only callers;
	// elsewhere it does nothing. It may be called at any time, from one goroutine.
	Follow()
	// Move has the list followed at another address. Calls to the old one end first, and a
	// complete list is fetched. It may be called at any time, from one goroutine.
	Move(address string)
}
