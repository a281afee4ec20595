package lifecycle

// ReaderState is what the reader of a client connection does.
type ReaderState int

// The states of a reader.
const (
	// ReaderRunning means that the reader waits for a command or reads one.
	ReaderRunning ReaderState = iota
	// ReaderHalted means that the reader has posted all commands that it has read and waits
	// between two commands.
	ReaderHalted
	// ReaderStopped means that the reader has ended. What it had read beyond the last command
	// belongs to the connection.
	ReaderStopped
	// ReaderDone means that no more commands of the connection can be read, because its input
	// can't be parsed or is ignored.
	ReaderDone
)

// Conn is the state of a client connection on which DecideConn depends.
type Conn struct {
	Reader ReaderState
	Open   int // requests without a written answer
	Held   int // commands that were read, but are not yet left to a process to answer

	HeldFull       bool // there is no memory to hold more commands
	CloseRequested bool // it closes once all commands that were read are answered
	WriteEnded     bool // nothing more can be written
	OutputPending  bool // answers are not written yet, and can't be passed on
}

// ConnAction is what a process does with a client connection.
type ConnAction int

// The actions.
const (
	// KeepConn means to do nothing until the connection's state or the process's state changes.
	KeepConn ConnAction = iota
	// StopReader means to end the reader, so that the connection can be passed on.
	StopReader
	// PassConn means to pass the connection to the successor, with all that was read from it.
	PassConn
	// RestartReader means that this process reads the connection again.
	RestartReader
	// AdmitHeld means that this process answers the held commands.
	AdmitHeld
	// HaltReader means to halt the reader before the connection is closed.
	HaltReader
	// ResumeReader means to resume a halted reader.
	ResumeReader
	// CloseConn means to shut down the write side.
	CloseConn
)

// String returns the action's name for logs.
func (a ConnAction) String() string {
	names := [...]string{
		"keep", "stop reader", "pass", "restart reader", "admit held", "halt reader",
		"resume reader", "close",
	}
	return names[a]
}

// DecideConn returns what to do with a client connection: to pass it to the successor, to keep it,
// or to answer its commands and close it. It is the only place that decides this, so that no
// connection is closed on which a command was read that no process has answered. The caller queries
// it whenever the state of the connection or of the process may have changed.
func (p *Process) DecideConn(now Time, c Conn) ConnAction {
	switch {
	case c.WriteEnded:
		return KeepConn
	case p.successorUndecided(now):
		return decideUndecided(c)
	case c.Reader == ReaderDone:
		return decideDone(c)
	case p.PassesConns():
		return decidePassing(c)
	}
	return decideServing(c)
}

// decideUndecided decides on a connection while it is not known whether a successor takes over, and
// so whether to pass or to close it.
func decideUndecided(c Conn) ConnAction {
	if c.Reader == ReaderHalted {
		return ResumeReader
	}
	return KeepConn
}

// decideDone decides on a connection of which no more commands can be read. A successor could not
// read it either, so this process answers what was read and closes it.
func decideDone(c Conn) ConnAction {
	switch {
	case c.Held > 0:
		return AdmitHeld
	case c.Open == 0 && c.CloseRequested:
		return CloseConn
	}
	return KeepConn
}

// decidePassing decides on a connection while connections are passed to a successor. A requested
// close gives way: the successor decides on that. The connection is read until its last open
// request is answered, so that the successor knows when each command arrived.
func decidePassing(c Conn) ConnAction {
	switch {
	case c.Open > 0 && !c.HeldFull:
		return KeepConn
	case c.Reader != ReaderStopped:
		return StopReader
	case c.Open > 0 || c.OutputPending:
		return KeepConn
	}
	return PassConn
}

// decideServing decides on a connection that stays with this process. One that is to close is read
// until its last open request is answered: a command that waited unread for that long would be
// lost, and its client could not send it again in time.
func decideServing(c Conn) ConnAction {
	halts := c.CloseRequested && c.Open == 0
	switch {
	case c.Held > 0:
		return AdmitHeld
	case c.Reader == ReaderStopped && c.Open == 0:
		return RestartReader
	case c.Reader == ReaderRunning && halts:
		return HaltReader
	case c.Reader == ReaderHalted && !halts:
		return ResumeReader
	case c.Reader == ReaderHalted && c.Open == 0:
		return CloseConn
	}
	return KeepConn
}
