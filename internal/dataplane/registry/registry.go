// Package registry brings news of the servers from a register, whichever it is.
// Sources do their own I/O on goroutines of their own; the receiver sees one kind
// of news.
package registry

import "context"

// Member is a server as a register has it, in the platform's form.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"` // when it last started, Unix time in milliseconds; 0: long ago
}

// The phases of a member. One that is not known is none to send to.
const (
	Ready       = "Ready"
	Terminating = "Terminating" // finishes what it has, wants nothing new
	Gone        = "Gone"        // among changes only
)

// List is the list of members, or what changed of it.
type List struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Kind tells what news is.
type Kind uint8

// News is a whole list, only what changed, or that nothing could be had.
const (
	CompleteList Kind = iota
	Delta
	Unavailable
)

// Update is what a source has to tell. The members are the receiver's.
type Update struct {
	Kind    Kind
	Members []Member
}

// Source is a register that is followed.
type Source interface {
	// Run brings news until the context ends. It calls tell from one goroutine at
	// a time; what tell has returned from was heard before what it is called with next.
	Run(ctx context.Context, tell func(Update))
	// Follow has the list followed from now on, where the register tells only who
	// asks; elsewhere it does nothing. It may be called at any time, from one goroutine.
	Follow()
	// Move has the list followed at another address; what is under way at the old one
	// ends first, and the list is taken whole. It may be called at any time, from one
	// goroutine.
	Move(address string)
}
