package controlrpc

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/grpc"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// Errors of a Client, to be tested with errors.Is.
var (
	// ErrOutcomeUnknown means that a command may or may not have been applied, and that this can no
	// longer be determined because its session has expired.
	ErrOutcomeUnknown = errors.New("fleet: the session ran out before an answer came")
	// ErrSuperseded means that another process has taken this one's id. All further commands of
	// this process fail with it.
	ErrSuperseded = errors.New("fleet: superseded")
	// ErrRejected means that a request was rejected because of its content.
	ErrRejected = errors.New("fleet: refused")
	// ErrNoContent means that the queried process does not have the requested content.
	ErrNoContent = errors.New("fleet: the content is not there")
)

const (
	// attemptTimeout is the deadline of one attempt at one voter. A command that is sent again is
	// still applied only once.
	attemptTimeout = 250 * time.Millisecond
	// attemptTimeoutPerByte is added for each byte of a command: a large command would otherwise be
	// sent again while the first transmission is still in progress.
	attemptTimeoutPerByte = 2 * time.Microsecond
	// retryDelay is the pause between two attempts.
	retryDelay = 30 * time.Millisecond
	// avoidDuration is how long a voter that did not answer is avoided, even if another voter names
	// it as the leader.
	avoidDuration = 750 * time.Millisecond
)

// Client sends one process's requests to the fleet's voters and to other processes. Its methods are
// safe for concurrent use.
type Client struct {
	fleet     string
	self      lease.Member
	address   string    // at which others reach this process; may be empty
	overrides Addresses // of other processes
	log       *slog.Logger
	conns     connections

	mu         sync.Mutex
	voters     []string             // names
	addresses  map[string]string    // of voters, by name
	leader     string               // name; "": not known
	nextVoter  int                  // index of the voter to try if no leader is known
	avoidUntil map[string]time.Time // by name, of voters that did not answer
	session    clientSession
}

// NewClient returns a client for a process. The address is where others reach the process; it may
// be empty. The voters are those known initially.
func NewClient(
	fleet string, self lease.Member, address string,
	voters []*controlpb.Voter, overrides Addresses, log *slog.Logger,
) *Client {
	c := &Client{
		fleet:      fleet,
		self:       self,
		address:    address,
		overrides:  overrides,
		log:        log,
		avoidUntil: map[string]time.Time{},
		session:    clientSession{inFlight: map[uint64]bool{}},
	}
	c.SetVoters(voters)
	return c
}

// Observe sets the observer of all calls; nil: none. It must be called before the first call.
func (c *Client) Observe(o *Observer) { c.conns.observer = o }

// SetVoters replaces the known voters.
func (c *Client) SetVoters(voters []*controlpb.Voter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.voters = nil
	c.addresses = map[string]string{}
	for _, v := range voters {
		c.voters = append(c.voters, v.Name)
		c.addresses[v.Name] = c.overrides.resolve(v.Name, v.Address)
	}
}

// Close closes all connections.
func (c *Client) Close() { c.conns.close() }

// Me returns the process that the client belongs to.
func (c *Client) Me() lease.Member { return c.self }

// member returns the process in the form that messages use.
func (c *Client) member() *controlpb.Member {
	return &controlpb.Member{
		Id:          c.self.ID,
		Incarnation: c.self.Incarnation,
		Address:     c.address,
	}
}

// Fleet returns the name of the fleet.
func (c *Client) Fleet() string { return c.fleet }

// Endpoint is a voter and the address at which this process reaches it.
type Endpoint struct{ Name, Address string }

// Voters returns the known voters, in the order of the last SetVoters.
func (c *Client) Voters() []Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]Endpoint, 0, len(c.voters))
	for _, name := range c.voters {
		all = append(all, Endpoint{name, c.addresses[name]})
	}
	return all
}

// Connection returns the connection to an address, which all calls of this client share. It is
// opened when it is first used, and closed by Close.
func (c *Client) Connection(address string) (grpc.ClientConnInterface, error) {
	return c.conns.connection(address)
}

// process returns a client of the Fleet service of another process.
func (c *Client) process(id, address string) (controlpb.FleetClient, error) {
	return c.conns.fleetClient(c.overrides.resolve(id, address))
}

// Read reads a state machine. The result reflects all commands that were answered before the call.
func (c *Client) Read(ctx context.Context, machine string, body []byte) ([]byte, error) {
	answer, err := c.callLeader(ctx, attemptTimeout,
		func(ctx context.Context, voter controlpb.FleetClient) (*controlpb.Answer, error) {
			return voter.Ask(ctx,
				&controlpb.Query{Fleet: c.fleet, Machine: machine, Body: body})
		})
	if err == nil {
		err = rejection(answer)
	}
	if err != nil {
		return nil, err
	}
	return answer.Body, nil
}

// ChangeVoter adds or removes a voter.
func (c *Client) ChangeVoter(ctx context.Context, add bool, v *controlpb.Voter) error {
	answer, err := c.callLeader(ctx, attemptTimeout,
		func(ctx context.Context, voter controlpb.FleetClient) (*controlpb.Answer, error) {
			return voter.Alter(ctx, &controlpb.VoterChange{Fleet: c.fleet, Add: add, Voter: v})
		})
	if err != nil {
		return err
	}
	return rejection(answer)
}

// rejection returns ErrRejected if an answer is not OK.
func rejection(answer *controlpb.Answer) error {
	if answer.Code == controlpb.Code_OK {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrRejected, answer.Reason)
}

// callFunc is one attempt of a request at one voter.
type callFunc func(ctx context.Context, voter controlpb.FleetClient) (*controlpb.Answer, error)

// callLeader sends a request to one voter after another until one returns a final answer, or the
// context ends. Each attempt has a timeout. The request must be idempotent.
func (c *Client) callLeader(
	ctx context.Context, timeout time.Duration, call callFunc,
) (*controlpb.Answer, error) {
	lastFailure := "no voter is known"
	for {
		if name, address := c.target(); address != "" {
			voter, err := c.conns.fleetClient(address)
			if err != nil {
				return nil, err
			}
			answer, failure := c.attempt(ctx, timeout, name, voter, call)
			if failure == "" {
				return answer, nil
			}
			lastFailure = name + ": " + failure
		}
		sleep(ctx, retryDelay)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("fleet: no answer: %s: %w", lastFailure, ctx.Err())
		}
	}
}

// attempt makes one attempt at a voter, and chooses the voter of the next attempt. It returns a
// final answer, or the reason why there is none.
func (c *Client) attempt(
	ctx context.Context, timeout time.Duration,
	name string, voter controlpb.FleetClient, call callFunc,
) (answer *controlpb.Answer, failure string) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := call(ctx, voter)
	if err != nil {
		c.avoid(name)
		c.tryNext(name, "")
		return nil, err.Error()
	}
	switch answer.Code {
	case controlpb.Code_NOT_LEADER, controlpb.Code_NOT_READY:
		c.tryNext(name, answer.Leader)
		return nil, answer.Reason
	case controlpb.Code_BUSY:
		return nil, answer.Reason
	}
	c.setLeader(name)
	return answer, ""
}

// target returns the voter to try now, and its address.
func (c *Client) target() (name, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name = c.leader
	if name == "" && len(c.voters) > 0 {
		name = c.voters[c.nextVoter%len(c.voters)]
	}
	return name, c.addresses[name]
}

// avoid records that a voter did not answer.
func (c *Client) avoid(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[name] = time.Now().Add(avoidDuration)
}

// tryNext chooses the voter to try after the named voter gave no final answer: the leader that it
// reported, unless that one is avoided, or else the next voter that is not avoided.
func (c *Client) tryNext(name, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.addresses[leader]
	if known && leader != name && !c.isAvoided(leader) {
		c.leader = leader
		return
	}
	c.leader = ""
	for range c.voters {
		c.nextVoter++
		if !c.isAvoided(c.voters[c.nextVoter%len(c.voters)]) {
			return
		}
	}
}

// isAvoided reports whether a voter did not answer recently. The caller holds c.mu.
func (c *Client) isAvoided(name string) bool { return !time.Now().After(c.avoidUntil[name]) }

func (c *Client) setLeader(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = name
}
