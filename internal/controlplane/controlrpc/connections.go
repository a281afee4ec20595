package controlrpc

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"mothcleat/internal/controlplane/controlpb"
)

// maxMessageBytes is the size of the largest message that can be sent or received. A snapshot is
// sent as one message.
const maxMessageBytes = 64 << 20

// Addresses overrides the addresses at which this process reaches others, by their names. A process
// without an entry is reached at the address that it announces.
type Addresses map[string]string

// resolve returns the address at which to reach a process that announces an address.
func (a Addresses) resolve(name, announced string) string {
	if override, ok := a[name]; ok {
		return override
	}
	return announced
}

// connections holds the connections to other processes, by address. Each connection is opened when
// it is first used. The methods are safe for concurrent use.
type connections struct {
	observer *Observer // nil: none

	mu        sync.Mutex
	byAddress map[string]*grpc.ClientConn
	closed    bool
}

// fleetClient returns a client of the Fleet service at an address.
func (c *connections) fleetClient(address string) (controlpb.FleetClient, error) {
	conn, err := c.connection(address)
	if err != nil {
		return nil, err
	}
	return controlpb.NewFleetClient(conn), nil
}

// connection returns the connection to an address. It returns context.Canceled after close.
func (c *connections) connection(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, context.Canceled
	}
	if conn := c.byAddress[address]; conn != nil {
		return conn, nil
	}
	conn, err := dial(address, c.observer)
	if err != nil {
		return nil, err
	}
	if c.byAddress == nil {
		c.byAddress = map[string]*grpc.ClientConn{}
	}
	c.byAddress[address] = conn
	return conn, nil
}

// close closes all connections, and prevents new ones.
func (c *connections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.byAddress {
		_ = conn.Close()
	}
}

// dial returns a connection that is opened when it is first used. A lost connection is reopened
// with a backoff of at most about half a second.
func dial(address string, observer *Observer) (*grpc.ClientConn, error) {
	options := append(observer.dialOptions(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  50 * time.Millisecond,
				Multiplier: 1.6,
				Jitter:     0.2,
				MaxDelay:   500 * time.Millisecond,
			},
			MinConnectTimeout: 500 * time.Millisecond,
		}),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(maxMessageBytes),
			grpc.MaxCallSendMsgSize(maxMessageBytes),
		),
	)
	return grpc.NewClient("passthrough:///"+address, options...)
}

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
