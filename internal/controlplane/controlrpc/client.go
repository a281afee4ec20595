package controlrpc

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// Errors of a Client, to be told apart by errors.Is.
var (
	// ErrOutcomeUnknown: the command may have been applied, or not, and can't be asked about any more.
	ErrOutcomeUnknown = errors.New("fleet: the session ran out before an answer came")
	// ErrSuperseded: another process has taken this one's id. Nothing is done for this one any more.
	ErrSuperseded = errors.New("fleet: superseded")
	// ErrRejected: by what the command asks for.
	ErrRejected = errors.New("fleet: refused")
	// ErrNoContent: the process that was asked for a content doesn't have it.
	ErrNoContent = errors.New("fleet: the content is not there")
)

const (
	tryWithin = 250 * time.Millisecond // for one voter to answer; asked again, a command is still applied once
	// tryPerByte is what a voter is given beside for the size of a command: a large one that is late would be sent again
	// on top of itself.
	tryPerByte = 2 * time.Microsecond
	shunFor    = 750 * time.Millisecond // a voter that did not answer is not taken for the leader by others' word
	pause      = 30 * time.Millisecond  // between two tries
	touchEach  = 10 * time.Second       // a session says that it lives
)

// Client asks the fleet's voters, for one process. Its methods may be called concurrently.
type Client struct {
	fleet     string
	me        lease.Member
	address   string
	addresses Addresses
	log       *slog.Logger
	conns     conns

	mu      sync.Mutex
	voters  []string // names
	at      map[string]string
	leader  string // name; "": not known
	next    int    // voter to try when no leader is known
	session uint64 // 0: none is open
	seq     uint64
	out     map[uint64]bool // commands without an answer
	over    error           // ErrSuperseded, from then on
	touched time.Time
	shunned map[string]time.Time
}

// NewClient makes a client. at has the voters' addresses by name, as they are known at first; address is where this
// process is reached itself.
func NewClient(fleet string, me lease.Member, address string, voters []*controlpb.Voter, addresses Addresses, log *slog.Logger) *Client {
	c := &Client{fleet: fleet, me: me, address: address, addresses: addresses, log: log, out: map[uint64]bool{},
		shunned: map[string]time.Time{}}
	c.SetVoters(voters)
	return c
}

// Observe has an observer told of all calls; nil: none. It is to be called before the first call.
func (c *Client) Observe(o *Observer) { c.conns.observer = o }

// SetVoters takes in who votes now.
func (c *Client) SetVoters(voters []*controlpb.Voter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.voters, c.at = nil, map[string]string{}
	for _, v := range voters {
		c.voters = append(c.voters, v.Name)
		c.at[v.Name] = c.addresses.of(v.Name, v.Address)
	}
}

// Close ends all connections.
func (c *Client) Close() { c.conns.close() }

// Me is the process that it asks for.
func (c *Client) Me() lease.Member { return c.me }

// Fleet is the name of the fleet that it asks.
func (c *Client) Fleet() string { return c.fleet }

// Endpoint is a voter and where it is reached from here.
type Endpoint struct{ Name, Address string }

// Voters are the voters as they are known now, in the order in which they were told.
func (c *Client) Voters() []Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]Endpoint, 0, len(c.voters))
	for _, name := range c.voters {
		all = append(all, Endpoint{name, c.at[name]})
	}
	return all
}

// Connection gives the connection to an address, which all calls of this client share. It is opened when it is first
// used, and closed by Close.
func (c *Client) Connection(address string) (grpc.ClientConnInterface, error) {
	return c.conns.connection(address)
}

// target is the voter to ask now.
func (c *Client) target() (name, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if name = c.leader; name == "" && len(c.voters) > 0 {
		name = c.voters[c.next%len(c.voters)]
	}
	return name, c.at[name]
}

// missed takes in that a voter did not help, and who leads by its word. silent: it did not answer at all.
func (c *Client) missed(name, leader string, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if silent {
		c.shunned[name] = time.Now().Add(shunFor)
	}
	if _, ok := c.at[leader]; ok && leader != name && time.Now().After(c.shunned[leader]) {
		c.leader = leader
		return
	}
	c.leader = ""
	for range c.voters {
		c.next++
		if time.Now().After(c.shunned[c.voters[c.next%len(c.voters)]]) {
			return
		}
	}
}

func (c *Client) helped(name string) {
	c.mu.Lock()
	c.leader = name
	c.mu.Unlock()
}

// each asks one voter after another until one gives a final answer, or the context ends. The call must be one that
// may be made again.
func (c *Client) each(ctx context.Context, call func(ctx context.Context, to controlpb.FleetClient) (*controlpb.Answer, error)) (*controlpb.Answer, error) {
	return c.eachWithin(ctx, tryWithin, call)
}

// eachWithin is each with another time for one voter to answer.
func (c *Client) eachWithin(ctx context.Context, within time.Duration, call func(ctx context.Context, to controlpb.FleetClient) (*controlpb.Answer, error)) (*controlpb.Answer, error) {
	last := "no voter is known"
	for {
		name, address := c.target()
		if address != "" {
			to, err := c.conns.to(address)
			if err != nil {
				return nil, err
			}
			one, cancel := context.WithTimeout(ctx, within)
			a, err := call(one, to)
			cancel()
			switch {
			case err != nil:
				last = fmt.Sprintf("%s: %v", name, err)
				c.missed(name, "", true)
			case a.Code == controlpb.Code_NOT_LEADER:
				last = fmt.Sprintf("%s: %s", name, a.Reason)
				c.missed(name, a.Leader, false)
			case a.Code == controlpb.Code_NOT_READY || a.Code == controlpb.Code_BUSY:
				last = fmt.Sprintf("%s: %s", name, a.Reason)
				if a.Code == controlpb.Code_NOT_READY {
					c.missed(name, a.Leader, false)
				}
			default:
				c.helped(name)
				return a, nil
			}
		}
		wait(ctx, pause)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("fleet: no answer: %s: %w", last, ctx.Err())
		}
	}
}

// open opens a session if none is open.
func (c *Client) open(ctx context.Context) error {
	c.mu.Lock()
	open, over := c.session != 0, c.over
	c.mu.Unlock()
	if open || over != nil {
		return over
	}
	a, err := c.each(ctx, func(ctx context.Context, to controlpb.FleetClient) (*controlpb.Answer, error) {
		return to.Do(ctx, &controlpb.Command{Fleet: c.fleet, Member: c.member()})
	})
	if err != nil {
		return err
	}
	if a.Code == controlpb.Code_SUPERSEDED {
		return c.superseded(a.Reason)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != a.Session {
		c.session, c.touched = a.Session, time.Now()
	}
	return nil
}

func (c *Client) member() *controlpb.Member {
	return &controlpb.Member{Id: c.me.ID, Incarnation: c.me.Incarnation, Address: c.address}
}

func (c *Client) superseded(why string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over == nil {
		c.over = fmt.Errorf("%w: %s", ErrSuperseded, why)
		c.log.Error("fleet: this process is refused: " + why)
	}
	return c.over
}

// Propose has a command applied, once, and gives its answer. An error that is neither ErrSuperseded nor ErrRefused
// leaves open whether it was, or will be.
func (c *Client) Propose(ctx context.Context, machine string, body []byte) ([]byte, error) {
	if err := c.open(ctx); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.seq++
	seq, session := c.seq, c.session
	c.out[seq] = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.out, seq)
		c.mu.Unlock()
	}()
	within := tryWithin + tryPerByte*time.Duration(len(body))
	a, err := c.eachWithin(ctx, within, func(ctx context.Context, to controlpb.FleetClient) (*controlpb.Answer, error) {
		return to.Do(ctx, &controlpb.Command{Fleet: c.fleet, Session: session, Seq: seq, AckedSeq: c.floor(), Machine: machine, Body: body, Member: c.member()})
	})
	if err != nil {
		return nil, err
	}
	switch a.Code {
	case controlpb.Code_OK:
		c.mu.Lock()
		c.touched = time.Now()
		c.mu.Unlock()
		return a.Body, nil
	case controlpb.Code_SUPERSEDED:
		return nil, c.superseded(a.Reason)
	case controlpb.Code_NO_SESSION:
		c.mu.Lock()
		if c.session == session {
			c.session = 0
		}
		c.mu.Unlock()
		return nil, ErrOutcomeUnknown
	}
	return nil, fmt.Errorf("%w: %s", ErrRejected, a.Reason)
}

// floor is up to which command all answers have come.
func (c *Client) floor() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	floor := c.seq
	for seq := range c.out {
		floor = min(floor, seq-1)
	}
	return floor
}

// Read reads what a machine has, after all that was answered before.
func (c *Client) Read(ctx context.Context, machine string, body []byte) ([]byte, error) {
	a, err := c.each(ctx, func(ctx context.Context, to controlpb.FleetClient) (*controlpb.Answer, error) {
		return to.Ask(ctx, &controlpb.Query{Fleet: c.fleet, Machine: machine, Body: body})
	})
	if err == nil && a.Code != controlpb.Code_OK {
		err = fmt.Errorf("%w: %s", ErrRejected, a.Reason)
	}
	if err != nil {
		return nil, err
	}
	return a.Body, nil
}

// ChangeVoter has one voter more or less.
func (c *Client) ChangeVoter(ctx context.Context, add bool, v *controlpb.Voter) error {
	a, err := c.each(ctx, func(ctx context.Context, to controlpb.FleetClient) (*controlpb.Answer, error) {
		return to.Alter(ctx, &controlpb.VoterChange{Fleet: c.fleet, Add: add, Voter: v})
	})
	if err == nil && a.Code != controlpb.Code_OK {
		err = fmt.Errorf("%w: %s", ErrRejected, a.Reason)
	}
	return err
}

// KeepSessionAlive keeps the session open until the context ends.
func (c *Client) KeepSessionAlive(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		due := time.Since(c.touched) >= touchEach
		c.mu.Unlock()
		if due {
			one, cancel := context.WithTimeout(ctx, touchEach)
			_, err := c.Propose(one, "", nil)
			cancel()
			if errors.Is(err, ErrSuperseded) {
				return
			}
		}
		wait(ctx, touchEach/20)
	}
}

// Watch calls do with a machine's state, and again each time that it has changed, until the context ends. Any
// voter may tell: the state may be older than what another answers.
func (c *Client) Watch(ctx context.Context, machine string, do func(state []byte)) {
	c.mu.Lock()
	i := int(c.me.Incarnation % 1024) // the watchers are spread over the voters
	c.mu.Unlock()
	for ; ctx.Err() == nil; i++ {
		c.mu.Lock()
		address := ""
		if len(c.voters) > 0 {
			address = c.at[c.voters[i%len(c.voters)]]
		}
		c.mu.Unlock()
		if to, err := c.conns.to(address); err == nil && address != "" {
			c.watch(ctx, to, machine, do)
		}
		wait(ctx, 4*pause)
	}
}

// watch follows one voter for as long as it is heard.
func (c *Client) watch(ctx context.Context, to controlpb.FleetClient, machine string, do func(state []byte)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(newsEvery+tryWithin, cancel)
	defer silent.Stop()
	s, err := to.Watch(ctx, &controlpb.WatchRequest{Fleet: c.fleet, Machine: machine})
	if err != nil {
		return
	}
	for {
		news, err := s.Recv()
		if err != nil {
			return
		}
		silent.Reset(newsEvery + tryWithin)
		do(news.Body)
	}
}

// Collect asks a process for its use that was not collected yet.
func (c *Client) Collect(ctx context.Context, id, address string, had map[uint64]uint64, take func(*controlpb.Part) error) error {
	to, err := c.conns.to(c.addresses.of(id, address))
	if err != nil {
		return err
	}
	ask := &controlpb.CollectRequest{Fleet: c.fleet}
	for boot, period := range had {
		ask.Collected = append(ask.Collected, &controlpb.Collected{Incarnation: boot, Period: period})
	}
	s, err := to.Collect(ctx, ask)
	if err != nil {
		return err
	}
	for {
		p, err := s.Recv()
		if err != nil {
			return err
		}
		if err := take(p); err != nil {
			return err
		}
	}
}

// Renew asks the owner of a shard of the budgets, a process with an address.
func (c *Client) Renew(ctx context.Context, id, address string, ask *controlpb.RenewRequest) (*controlpb.RenewResponse, error) {
	to, err := c.conns.to(c.addresses.of(id, address))
	if err != nil {
		return nil, err
	}
	ask.Fleet = c.fleet
	return to.Renew(ctx, ask)
}

// Borrow asks the owner of a shard for units.
func (c *Client) Borrow(ctx context.Context, id, address string, ask *controlpb.OnDemandRequest) (*controlpb.OnDemandResponse, error) {
	to, err := c.conns.to(c.addresses.of(id, address))
	if err != nil {
		return nil, err
	}
	ask.Fleet, ask.Member = c.fleet, c.member()
	return to.Borrow(ctx, ask)
}

// Content asks a process for the content of a version, from a place on. The function that it gives returns one piece after another; an
// error ends it, io.EOF where there is no more.
func (c *Client) Content(ctx context.Context, id, address, digest string, from int64) (func() ([]byte, error), error) {
	to, err := c.conns.to(c.addresses.of(id, address))
	if err != nil {
		return nil, err
	}
	s, err := to.Content(ctx, &controlpb.ContentAsk{Fleet: c.fleet, Digest: digest, From: from})
	if err != nil {
		return nil, err
	}
	return func() ([]byte, error) {
		p, err := s.Recv()
		return p.GetData(), err
	}, nil
}

// ContentDelta asks a process for what leads to the content of a version from one of some that are here. ErrNoContent is
// returned where the content is not there.
func (c *Client) ContentDelta(ctx context.Context, id, address string, request *controlpb.ContentDeltaRequest) (*controlpb.ContentDeltaResponse, error) {
	to, err := c.conns.to(c.addresses.of(id, address))
	if err != nil {
		return nil, err
	}
	request.Fleet = c.fleet
	answer, err := to.ContentDelta(ctx, request)
	if status.Code(err) == codes.NotFound {
		err = ErrNoContent
	}
	return answer, err
}

// ContentBuckets asks a process for some buckets of a content's records.
func (c *Client) ContentBuckets(ctx context.Context, id, address string, request *controlpb.ContentBucketsRequest) (*controlpb.ContentBucketsResponse, error) {
	to, err := c.conns.to(c.addresses.of(id, address))
	if err != nil {
		return nil, err
	}
	request.Fleet = c.fleet
	return to.ContentBuckets(ctx, request)
}

// Keep asks a process to keep a content that this one has.
func (c *Client) Keep(ctx context.Context, id, address string, ask *controlpb.KeepAsk) error {
	to, err := c.conns.to(c.addresses.of(id, address))
	if err != nil {
		return err
	}
	ask = &controlpb.KeepAsk{Fleet: c.fleet, Item: ask.Item, Digest: ask.Digest, Size: ask.Size, From: ask.From}
	a, err := to.Keep(ctx, ask)
	if err == nil && a.Code != controlpb.Code_OK {
		err = fmt.Errorf("%w: %s", ErrRejected, a.Reason)
	}
	return err
}
