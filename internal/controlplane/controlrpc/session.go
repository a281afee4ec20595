package controlrpc

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mothcleat/internal/controlplane/controlpb"
)

const (
	// keepAliveInterval is the time without an answered command after which an empty command is
	// sent to keep the session alive.
	keepAliveInterval = 10 * time.Second
	// keepAliveCheckInterval is the interval between checks whether such a command is due.
	keepAliveCheckInterval = keepAliveInterval / 20
)

// clientSession is a client's session. Within a session, each command is applied at most once.
// Client.mu guards it.
type clientSession struct {
	number        uint64          // 0: no session is open
	lastSeq       uint64          // of the newest command
	inFlight      map[uint64]bool // sequence numbers of commands without an answer
	lastCommandAt time.Time
	err           error // wraps ErrSuperseded once another process has taken the id
}

// ackedSeq returns the highest sequence number up to which no command is in flight.
func (s *clientSession) ackedSeq() uint64 {
	acked := s.lastSeq
	for seq := range s.inFlight {
		acked = min(acked, seq-1)
	}
	return acked
}

// openSession opens a session if none is open.
func (c *Client) openSession(ctx context.Context) error {
	c.mu.Lock()
	isOpen := c.session.number != 0
	err := c.session.err
	c.mu.Unlock()
	if isOpen || err != nil {
		return err
	}
	answer, err := c.callLeader(ctx, attemptTimeout,
		func(ctx context.Context, voter controlpb.FleetClient) (*controlpb.Answer, error) {
			return voter.Do(ctx, &controlpb.Command{Fleet: c.fleet, Member: c.member()})
		})
	if err != nil {
		return err
	}
	if answer.Code == controlpb.Code_SUPERSEDED {
		return c.setSuperseded(answer.Reason)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session.number != answer.Session {
		c.session.number = answer.Session
		c.session.lastCommandAt = time.Now()
	}
	return nil
}

// setSuperseded records that another process has taken this one's id, and returns the error.
func (c *Client) setSuperseded(reason string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session.err == nil {
		c.session.err = fmt.Errorf("%w: %s", ErrSuperseded, reason)
		c.log.Error("fleet: requests of this process are rejected: " + reason)
	}
	return c.session.err
}

// Propose proposes a command, which is applied at most once, and returns its answer. After an error
// that is neither ErrSuperseded nor ErrRejected, the command may have been applied or may still be
// applied later.
func (c *Client) Propose(ctx context.Context, machine string, body []byte) ([]byte, error) {
	if err := c.openSession(ctx); err != nil {
		return nil, err
	}
	session, seq := c.beginCommand()
	defer c.endCommand(seq)
	timeout := attemptTimeout + attemptTimeoutPerByte*time.Duration(len(body))
	answer, err := c.callLeader(ctx, timeout,
		func(ctx context.Context, voter controlpb.FleetClient) (*controlpb.Answer, error) {
			return voter.Do(ctx, &controlpb.Command{
				Fleet:    c.fleet,
				Session:  session,
				Seq:      seq,
				AckedSeq: c.ackedSeq(),
				Machine:  machine,
				Body:     body,
				Member:   c.member(),
			})
		})
	if err != nil {
		return nil, err
	}
	switch answer.Code {
	case controlpb.Code_OK:
		c.recordCommand()
		return answer.Body, nil
	case controlpb.Code_SUPERSEDED:
		return nil, c.setSuperseded(answer.Reason)
	case controlpb.Code_NO_SESSION:
		c.forgetSession(session)
		return nil, ErrOutcomeUnknown
	}
	return nil, rejection(answer)
}

// beginCommand returns the session of a new command and its sequence number in that session.
func (c *Client) beginCommand() (session, seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session.lastSeq++
	seq = c.session.lastSeq
	c.session.inFlight[seq] = true
	return c.session.number, seq
}

func (c *Client) endCommand(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.session.inFlight, seq)
}

func (c *Client) ackedSeq() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session.ackedSeq()
}

// recordCommand records that a command was answered now, which shows that the session is alive.
func (c *Client) recordCommand() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session.lastCommandAt = time.Now()
}

// forgetSession discards an expired session. The next command opens another one.
func (c *Client) forgetSession(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session.number == number {
		c.session.number = 0
	}
}

// KeepSessionAlive keeps the session alive until the context ends, or until another process takes
// this one's id.
func (c *Client) KeepSessionAlive(ctx context.Context) {
	for ctx.Err() == nil {
		if c.keepAliveDue() {
			commandCtx, cancel := context.WithTimeout(ctx, keepAliveInterval)
			_, err := c.Propose(commandCtx, "", nil)
			cancel()
			if errors.Is(err, ErrSuperseded) {
				return
			}
		}
		sleep(ctx, keepAliveCheckInterval)
	}
}

func (c *Client) keepAliveDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.session.lastCommandAt) >= keepAliveInterval
}
