package controlrpc

import (
	"context"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

// Observer is notified of a process's calls and connections, so that tests can count messages and
// bytes. A nil Observer has no effect and no cost. Stats and Wrap are called concurrently.
type Observer struct {
	Stats stats.Handler                // is notified of each call and message
	Wrap  func(conn net.Conn) net.Conn // wraps each connection, dialled or accepted
}

// ServerOptions returns the options of an observed server.
func (o *Observer) ServerOptions() []grpc.ServerOption {
	if o == nil {
		return nil
	}
	return []grpc.ServerOption{grpc.StatsHandler(o.Stats)}
}

// Listener returns a listener whose connections are observed.
func (o *Observer) Listener(l net.Listener) net.Listener {
	if o == nil {
		return l
	}
	return &observedListener{Listener: l, observer: o}
}

// dialOptions returns the options of an observed connection.
func (o *Observer) dialOptions() []grpc.DialOption {
	if o == nil {
		return nil
	}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return o.Wrap(conn), nil
	}
	return []grpc.DialOption{grpc.WithStatsHandler(o.Stats), grpc.WithContextDialer(dial)}
}

type observedListener struct {
	net.Listener
	observer *Observer
}

// Accept accepts a connection and wraps it with the observer's Wrap.
func (l *observedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.observer.Wrap(conn), nil
}
