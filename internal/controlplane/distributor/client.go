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

// Observer is notified of a Client's changes and heartbeats. Its methods are called by one
// goroutine, and the Client waits until they return.
type Observer interface {
	// Applied is called with the changes that were applied and the state after them. That state is
	// never modified. The first call may have no changes: it delivers the state read from disk.
	Applied(changes []distribution.Change, state *distribution.State)
	// HeartbeatReceived is called for each heartbeat of the watched server, once that server knows
	// a source. sourceAge is the time since the server applied the source's last command. current
	// is set if the replica has everything that the server had at the heartbeat before.
	HeartbeatReceived(sourceAge time.Duration, current bool)
}

// ClientOptions configure a Client.
type ClientOptions struct {
	// Link provides the list of voters and the connections to them.
	Link     *controlrpc.Client
	Settings distribution.ReplicaSettings
	// Places are the places of the voters, by name. A voter without one is near no replica.
	Places map[string]distribution.Place
	// File is the path of the state file; empty to keep none.
	File string
	Log  *slog.Logger
}

const (
	// voterRefreshInterval is how often the list of voters is read.
	voterRefreshInterval = time.Second
	// minTickDelay and maxTickDelay bound the time between two ticks of the replica.
	minTickDelay = 5 * time.Millisecond
	maxTickDelay = 250 * time.Millisecond
)

// Client keeps a replica of the replicated control state, which it receives from one voter at a
// time.
type Client struct {
	options ClientOptions
	file    stateFile
	clock   clock
	status  atomic.Pointer[ReplicaStatus]
	state   atomic.Pointer[distribution.State]
	// bytes counts the bytes of the received responses.
	bytes atomic.Uint64

	// replica and the fields below belong to Run's goroutine.
	replica  *distribution.Replica
	observer Observer
	events   chan attemptEvent
	// attempt is nil if no stream is open or being opened.
	attempt *attempt
	saver   saver
	// persisted is set if a state of this process or an earlier one is on disk or is about to be
	// written.
	persisted bool
}

// NewClient returns a client. It does nothing until Run is called.
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

// Status returns the status of the replica after the last event. It is safe for concurrent use.
func (c *Client) Status() ReplicaStatus {
	status := *c.status.Load()
	status.ReceivedBytes = c.bytes.Load()
	return status
}

// State returns the state of the replica, or nil before the first one. It is safe for concurrent
// use, and the state is never modified.
func (c *Client) State() *distribution.State { return c.state.Load() }

// Run maintains the replica until the context ends, and then writes the state to disk.
func (c *Client) Run(ctx context.Context, observer Observer) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.observer = observer
	state := c.load()
	c.replica = distribution.NewReplica(c.options.Settings, state, random)
	c.persisted = !state.Empty()
	if c.persisted {
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

// load returns the state that an earlier process wrote to disk, or an empty one.
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

// shutdown ends the stream and writes the last state.
func (c *Client) shutdown() {
	c.cancelAttempt()
	c.saver.stop(c.replica.State())
}

// tickDelay returns the time until the replica's next tick, between minTickDelay and maxTickDelay.
func (c *Client) tickDelay() time.Duration {
	return min(max(c.replica.NextTick()-c.clock.now(), minTickDelay), maxTickDelay)
}

// setServers passes the voters that have an address to the replica.
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

// executeActions carries out the replica's pending actions and publishes its status.
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
		c.options.Log.Warn("fleet: error in the distribution of the control state",
			"error", a.Err)
	}
}

// saveFirstState writes the first state of a process that started without one. It does not wait
// for the next Persist action, so that the next process finds a state even if this one is killed
// soon.
func (c *Client) saveFirstState(state *distribution.State) {
	if !c.persisted {
		c.persisted = true
		c.saver.save(state)
	}
}

// logDisconnect logs why the replica leaves a server. The level is debug for a return to the
// preferred server, info for any other reason.
func (c *Client) logDisconnect(reason error) {
	level := slog.LevelInfo
	var disconnect *distribution.DisconnectError
	if errors.As(reason, &disconnect) && disconnect.Reason == distribution.ReasonPreferredServer {
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

// handleResponse passes a response to the replica, and a heartbeat of the current attempt to the
// observer.
func (c *Client) handleResponse(attempt uint64, response *distributionpb.WatchResponse) {
	now := c.clock.now()
	c.replica.Received(now, attempt, response)
	heartbeat := response.GetHeartbeat()
	if heartbeat == nil || c.attempt == nil || c.attempt.number != attempt {
		return
	}
	position, err := distribution.PositionFromProto(heartbeat.Position)
	if err != nil {
		return // the replica has reported the error
	}
	if age, ok := c.replica.SourceAge(now); ok {
		c.observer.HeartbeatReceived(age, c.isCurrent(position))
	}
	c.attempt.announced = position
}

// isCurrent reports whether the replica has everything that its server had at the heartbeat before,
// or is at the position of the new heartbeat. The position of the new heartbeat alone would be too
// strict: a heartbeat may arrive before the delta that leads to its position.
func (c *Client) isCurrent(position distribution.Position) bool {
	mine, announced := c.replica.Position(), c.attempt.announced
	if !c.replica.Live() || mine.Epoch == 0 {
		return false
	}
	return mine == position || announced.Epoch > 0 && mine.Compare(announced) >= 0
}
