package controlplane

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"mothcleat/internal/controlplane/allocator"
	"mothcleat/internal/controlplane/auditrecorder"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/metering"
	"mothcleat/internal/controlplane/replica"
)

const (
	// openRetryDelay is the pause between two attempts to open the directory and the address.
	openRetryDelay = 100 * time.Millisecond
	// openLogDelay is how long attempts fail before an error is logged: until then, the previous
	// process may still use the directory or the address.
	openLogDelay = 2 * time.Second
)

// open opens the directory and the address, and retries until it succeeds: another process may
// still use them. It returns false if the node ends first.
func (n *Node) open() bool {
	start := time.Now()
	logged := false
	for n.ctx.Err() == nil {
		err := n.tryOpen()
		if err == nil {
			if logged {
				n.config.Log.Info("fleet: the folder and the address are open now")
			}
			n.fault.Store(nil)
			return true
		}
		fault := err.Error()
		n.fault.Store(&fault)
		if time.Since(start) > openLogDelay && !logged {
			logged = true
			n.logNotOpen(err)
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(openRetryDelay):
		}
	}
	return false
}

func (n *Node) logNotOpen(err error) {
	n.config.Log.Error("fleet: this process does not take part: another one with its id or folder "+
		"runs, or the folder can't be used; retrying",
		"id", n.config.ID, "incarnation", fmt.Sprintf("%x", n.self.Incarnation),
		"folder", n.config.Dir, "error", err)
}

// tryOpen opens everything in the directory and starts to serve at the address. After an error it
// leaves nothing open.
func (n *Node) tryOpen() (err error) {
	if err := os.MkdirAll(n.config.Dir, 0o700); err != nil {
		return err
	}
	var opened closers
	defer func() {
		if err != nil {
			err = errors.Join(err, opened.closeAll())
		}
	}()
	counter, err := n.openCounter(&opened)
	if err != nil {
		return err
	}
	if err := n.openIncarnations(&opened); err != nil {
		return err
	}
	recorder, err := n.openRecorder(&opened)
	if err != nil {
		return err
	}
	if err := n.serve(counter); err != nil {
		return err
	}
	if recorder != nil {
		n.recorder.Store(recorder)
		go recorder.Run(n.ctx)
	}
	if counter != nil {
		n.counter.Store(counter)
		go counter.Run(n.ctx)
	}
	return nil
}

// closers are the functions that close what an attempt has opened so far.
type closers []func() error

// closeAll calls the functions in reverse order.
func (c closers) closeAll() (err error) {
	for _, closer := range slices.Backward(c) {
		err = errors.Join(err, closer())
	}
	return err
}

// openCounter opens the usage counter. It returns nil if no usage is counted.
func (n *Node) openCounter(opened *closers) (*metering.Counter, error) {
	if n.config.ExportShards == 0 {
		return nil, nil
	}
	counter, err := metering.Open(UseDir(n.config.Dir), n.config.ID, n.self.Incarnation,
		n.config.MeteringPeriod, n.config.Log)
	if err != nil {
		return nil, err
	}
	*opened = append(*opened, counter.Close)
	return counter, nil
}

// openIncarnations opens the file of incarnations. Its lock proves that earlier incarnations of
// this gateway have ended; they are reported to the users of allocations and versions.
func (n *Node) openIncarnations(opened *closers) error {
	if n.allocations == nil && n.agent == nil {
		return nil
	}
	file, err := allocator.OpenIncarnationFile(n.config.Dir, n.self.Incarnation)
	if err != nil {
		return err
	}
	*opened = append(*opened, file.Close)
	n.incarnations.Store(file)
	if n.allocations != nil {
		n.allocations.SetEndedIncarnations(file.Ended)
	}
	if n.agent != nil {
		if err := n.contents.Create(); err != nil {
			return err
		}
		n.agent.SetEndedIncarnations(file.Ended)
	}
	return nil
}

// openRecorder opens the audit record. It returns nil if there are no versions to record.
func (n *Node) openRecorder(opened *closers) (*auditrecorder.Recorder, error) {
	if n.agent == nil {
		return nil, nil
	}
	recorder, err := auditrecorder.Open(RecordDir(n.config.Dir), n.config.ID, n.self.Incarnation,
		n.config.Log)
	if err != nil {
		return nil, err
	}
	*opened = append(*opened, recorder.Close)
	return recorder, nil
}

// serve starts this process's replica, if it has one, and serves at the address.
func (n *Node) serve(counter *metering.Counter) error {
	listener, err := net.Listen("tcp", n.config.Listen)
	if err != nil {
		return err
	}
	var usage controlrpc.UsageSource
	if counter != nil {
		usage = counter.ClosedPeriods
	}
	server := controlrpc.NewServer(n.ctx, n.config.Fleet, n.config.Addresses, usage,
		n.config.Observer.ServerOptions()...)
	if n.shardLeaders != nil {
		server.Budgets = n.shardLeaders
	}
	if n.agent != nil {
		server.Contents = n.agent
	}
	server.Register(n.streams.Register)
	if err := n.startReplica(server); err != nil {
		return errors.Join(err, listener.Close())
	}
	n.server.Store(server)
	go n.streams.Run(n.ctx)
	go func() { _ = server.Serve(n.config.Observer.Listener(listener)) }()
	return nil
}

// startReplica starts this process's replica. It also returns nil if there is no replica, or if the
// replica's storage must not be used: the rest of the node works without it.
func (n *Node) startReplica(server *controlrpc.Server) error {
	err := server.StartReplica(n.ctx, replica.Options{
		Dir:              LogDir(n.config.Dir),
		Address:          n.config.Address,
		TickInterval:     n.config.TickInterval,
		KeepEntries:      n.config.KeepEntries,
		Log:              n.config.Log,
		NewStateMachines: n.newStateMachines,
	})
	if errors.Is(err, replica.ErrCopied) {
		n.logMustNotVote(err.Error())
		return nil
	}
	if errors.Is(err, replica.ErrNotInitialized) {
		n.config.Log.Info("fleet: this process is no voter", "folder", n.config.Dir)
		if n.isConfiguredVoter() {
			n.logMustNotVote("the operators' file names this gateway as a voter, but its folder " +
				"is no voter's: it was never initialized, or was lost")
		}
		return nil
	}
	return err
}

// isConfiguredVoter reports whether the settings name this gateway as a voter.
func (n *Node) isConfiguredVoter() bool {
	for _, v := range n.config.Voters {
		if v.Name == n.config.ID {
			return true
		}
	}
	return false
}

// logMustNotVote logs why this gateway must not vote, and how an operator can repair that.
func (n *Node) logMustNotVote(reason string) {
	n.config.Log.Error("fleet: this gateway must not vote: "+reason+
		"; have another voter remove it (mothcleat fleet voters remove "+n.config.ID+
		"), remove the folder's log, create a new one with mothcleat fleet join, and add it again",
		"folder", n.config.Dir)
}
