package distributor

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributionpb"
)

// Observer hears what a Client takes in, from one goroutine. While a method has not returned the
// Client takes in nothing further.
type Observer interface {
	// Applied tells that changes are in force, and the state with them, which is never changed.
	Applied(changes []distribution.Change, state *distribution.State)
	// SourceHeard tells how long ago the server that is watched heard of the source, and whether
	// the replica has all that this server had by the heartbeat before.
	SourceHeard(sourceAge time.Duration, current bool)
}

// ClientOptions say how a replica is kept.
type ClientOptions struct {
	Link     *controlrpc.Client // knows the voters, and has the connections to them
	Settings distribution.ReplicaSettings
	// of the voters, by name; one that is not there is near to nobody
	Places map[string]distribution.Place
	File   string // where the last state lies; "": it is not kept
	Log    *slog.Logger
}

const (
	voterRefreshInterval = time.Second          // how often it is looked who votes now
	minTickDelay         = 5 * time.Millisecond // between two looks at the replica's clock
	maxTickDelay         = 250 * time.Millisecond
)

// Client keeps a replica of the agreed control state, from the stream of one voter at a time.
type Client struct {
	options ClientOptions
	file    stateFile
	clock   clock
	status  atomic.Pointer[ReplicaStatus]
	state   atomic.Pointer[distribution.State]
	bytes   atomic.Uint64 // received

	// Of Run's goroutine alone.
	replica   *distribution.Replica
	observer  Observer
	events    chan attemptEvent
	attempt   *attempt // nil: no stream is open or being opened
	saver     saver
	persisted bool // a state of this process, or of one before, is on disk or about to be
}

// NewClient makes a client. Run has it begin.
func NewClient(o ClientOptions) *Client {
	c := &Client{
		options: o,
		file:    stateFile{o.File, o.Settings.Fleet},
		clock:   newClock(),
		events:  make(chan attemptEvent),
	}
	c.status.Store(&ReplicaStatus{})
	return c
}

// Status is what the replica was when it last took something in. It may be called at any time,
// concurrently.
func (c *Client) Status() ReplicaStatus {
	status := *c.status.Load()
	status.ReceivedBytes = c.bytes.Load()
	return status
}

// State is what the replica has in force; nil: nothing yet. It may be called at any time,
// concurrently; what it gives is never changed.
func (c *Client) State() *distribution.State { return c.state.Load() }

// Run keeps the replica until the context ends, and then writes down what is not written yet.
func (c *Client) Run(ctx context.Context, observer Observer) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.observer = observer
	state := c.load()
	c.replica = distribution.NewReplica(c.options.Settings, state, random)
	if c.persisted = !state.Empty(); c.persisted {
		c.state.Store(state)
		observer.Applied(nil, state)
	}
	c.saver.start(c.file, c.options.Log)
	defer c.shutdown()

	voters := time.NewTicker(voterRefreshInterval)
	defer voters.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	c.setServers()
	for {
		c.executeActions(ctx)
		timer.Reset(c.tickDelay())
		select {
		case <-ctx.Done():
			return
		case event := <-c.events:
			event(c)
		case <-voters.C:
			c.setServers()
		case <-timer.C:
			c.replica.Tick(c.clock.now())
		}
	}
}

// load returns the state that the last process wrote down, or an empty one.
func (c *Client) load() *distribution.State {
	if c.file.path == "" {
		return distribution.NewState()
	}
	state, err := c.file.load()
	if err != nil {
		c.options.Log.Warn("fleet: the control state on disk is refused, and taken anew",
			"error", err)
	}
	if state == nil {
		return distribution.NewState()
	}
	return state
}

// shutdown leaves the stream and has the last state written.
func (c *Client) shutdown() {
	c.cancelAttempt()
	c.saver.stop(c.replica.State())
}

// tickDelay is how long there is nothing to do for the replica, within bounds.
func (c *Client) tickDelay() time.Duration {
	return min(max(c.replica.Wake()-c.clock.now(), minTickDelay), maxTickDelay)
}

// setServers tells the replica who votes now.
func (c *Client) setServers() {
	var servers []distribution.Server
	for _, voter := range c.options.Link.Voters() {
		if voter.Address != "" {
			place := c.options.Places[voter.Name]
			servers = append(servers,
				distribution.Server{ID: voter.Name, Address: voter.Address, Place: place})
		}
	}
	c.replica.SetServers(c.clock.now(), servers)
}

// executeActions does what the replica wants done.
func (c *Client) executeActions(ctx context.Context) {
	for actions := c.replica.Take(); len(actions) > 0; actions = c.replica.Take() {
		for _, action := range actions {
			c.execute(ctx, action)
		}
	}
	c.publishStatus()
}

func (c *Client) execute(ctx context.Context, action distribution.Action) {
	switch a := action.(type) {
	case distribution.Connect:
		c.attempt = connect(ctx, c, a)
	case distribution.SendRequest:
		if c.attempt != nil {
			c.attempt.send(a.Request)
		}
	case distribution.Disconnect:
		c.logDisconnect(a.Reason)
		c.cancelAttempt()
	case distribution.Deliver:
		state := c.replica.State()
		c.state.Store(state)
		c.observer.Applied(a.Changes, state)
		c.saveFirstState(state)
	case distribution.Persist:
		c.saver.save(a.State)
	case distribution.ReportError:
		c.options.Log.Warn("fleet: distribution of the control state", "error", a.Err)
	}
}

// saveFirstState has the first state of a process that began with nothing written at once: one that
// is killed soon after then leaves something to its next.
func (c *Client) saveFirstState(state *distribution.State) {
	if !c.persisted {
		c.persisted = true
		c.saver.save(state)
	}
}

// logDisconnect logs why a server is left. That a process ends, or another one is nearer, is
// nothing to look into.
func (c *Client) logDisconnect(reason error) {
	level := slog.LevelInfo
	var leave *distribution.DisconnectError
	if errors.As(reason, &leave) && leave.Reason == distribution.ReasonPreferredServer {
		level = slog.LevelDebug
	}
	c.options.Log.Log(context.Background(), level, "fleet: another voter is watched",
		"error", reason)
}

func (c *Client) cancelAttempt() {
	if c.attempt != nil {
		c.attempt.cancel()
		c.attempt = nil
	}
}

// received takes in what the server of an attempt said.
func (c *Client) received(attempt uint64, response *distributionpb.WatchResponse) {
	now := c.clock.now()
	c.replica.Received(now, attempt, response)
	heartbeat := response.GetHeartbeat()
	if heartbeat == nil || c.attempt == nil || c.attempt.number != attempt {
		return
	}
	position, err := distribution.PositionFromProto(heartbeat.Position)
	if err != nil {
		return // the replica has reported it
	}
	if age, ok := c.replica.SourceAge(now); ok {
		c.observer.SourceHeard(age, c.current(position))
	}
	c.attempt.announced = position
}

// current reports whether the replica has all that its server has, but for what is newer than the
// heartbeat before: amid changes a heartbeat may come ahead of the delta that leads to its
// position.
func (c *Client) current(position distribution.Position) bool {
	mine, announced := c.replica.Position(), c.attempt.announced
	if !c.replica.Live() || mine.Epoch == 0 {
		return false
	}
	return mine == position || announced.Epoch > 0 && mine.Compare(announced) >= 0
}
