package controlrpc

import (
	"context"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

// Observer is told what a process's calls carry, so that a rig can count it. A nil Observer counts nothing and costs nothing.
// Its fields are called concurrently.
type Observer struct {
	Stats stats.Handler                // hears of each call and message
	Wrap  func(conn net.Conn) net.Conn // sees each connection, dialled or accepted
}

// ServerOptions are what a server of the process is to be made with.
func (o *Observer) ServerOptions() []grpc.ServerOption {
	if o == nil {
		return nil
	}
	return []grpc.ServerOption{grpc.StatsHandler(o.Stats)}
}

// Listener gives a listener whose connections are observed.
func (o *Observer) Listener(l net.Listener) net.Listener {
	if o == nil {
		return l
	}
	return &observedListener{Listener: l, observer: o}
}

// dialOptions are what a connection of the process is to be dialled with.
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

// Accept waits for a connection and has it observed.
func (l *observedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.observer.Wrap(conn), nil
}
