package scale

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc/stats"

	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/checkpoint"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/endpointlist"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/usageexport"
)

// Traffic counts messages and bytes between a gateway and other processes: In to the gateway, Out
// from it.
type Traffic struct {
	MessagesIn  int64 `json:"messages_in"`
	MessagesOut int64 `json:"messages_out"`
	BytesIn     int64 `json:"bytes_in"`
	BytesOut    int64 `json:"bytes_out"`
}

// Plus returns the sum t + o.
func (t Traffic) Plus(o Traffic) Traffic {
	return Traffic{
		t.MessagesIn + o.MessagesIn,
		t.MessagesOut + o.MessagesOut,
		t.BytesIn + o.BytesIn,
		t.BytesOut + o.BytesOut,
	}
}

// Minus returns the difference t - o.
func (t Traffic) Minus(o Traffic) Traffic {
	return Traffic{
		t.MessagesIn - o.MessagesIn,
		t.MessagesOut - o.MessagesOut,
		t.BytesIn - o.BytesIn,
		t.BytesOut - o.BytesOut,
	}
}

// Messages returns the number of messages in both directions.
func (t Traffic) Messages() int64 { return t.MessagesIn + t.MessagesOut }

// Bytes returns the number of bytes in both directions.
func (t Traffic) Bytes() int64 { return t.BytesIn + t.BytesOut }

// Meter counts messages and their bytes by role, and the bytes of whole connections. It is safe for
// concurrent use.
type Meter struct {
	mu    sync.Mutex
	roles map[Role]Traffic

	connectionIn, connectionOut atomic.Int64
}

// NewMeter returns a meter with all counts at zero.
func NewMeter() *Meter { return &Meter{roles: map[Role]Traffic{}} }

// Observer returns the hooks by which a process of the fleet reports its traffic to the meter.
func (m *Meter) Observer() *controlrpc.Observer {
	return &controlrpc.Observer{Stats: m, Wrap: m.wrap}
}

// Roles returns the traffic so far by role; bytes are those of the messages alone.
func (m *Meter) Roles() map[Role]Traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := map[Role]Traffic{}
	for role, t := range m.roles {
		all[role] = t
	}
	return all
}

// Connections returns the bytes of all connections, including headers and everything else outside
// of messages.
func (m *Meter) Connections() (in, out int64) {
	return m.connectionIn.Load(), m.connectionOut.Load()
}

// call is one RPC in progress.
type call struct {
	method string
	role   atomic.Pointer[Role]
}

type callKey struct{}

// TagRPC attaches the method of the RPC to its context.
func (m *Meter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, callKey{}, &call{method: info.FullMethodName})
}

// TagConn does nothing: the bytes of connections are counted by wrap.
func (m *Meter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing: the bytes of connections are counted by wrap.
func (m *Meter) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC counts a received or sent message.
func (m *Meter) HandleRPC(ctx context.Context, event stats.RPCStats) {
	c, ok := ctx.Value(callKey{}).(*call)
	if !ok {
		return
	}
	switch e := event.(type) {
	case *stats.InPayload:
		m.count(c.roleOf(e.Payload), Traffic{MessagesIn: 1, BytesIn: int64(e.WireLength)})
	case *stats.OutPayload:
		m.count(c.roleOf(e.Payload), Traffic{MessagesOut: 1, BytesOut: int64(e.WireLength)})
	}
}

func (m *Meter) count(role Role, t Traffic) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roles[role] = m.roles[role].Plus(t)
}

// roleOf returns the role that a call belongs to, by its method and its first counted message.
func (c *call) roleOf(message any) Role {
	if known := c.role.Load(); known != nil {
		return *known
	}
	role := roleOfMethod(c.method)
	switch m := message.(type) {
	case *controlpb.Query:
		role = roleOfMachine(m.Machine, nil)
	case *controlpb.Command:
		role = roleOfMachine(m.Machine, m.Body)
	case *controlpb.WatchRequest:
		role = roleOfMachine(m.Machine, nil)
	}
	c.role.Store(&role)
	return role
}

const (
	serviceFleet        = "/mothcleat.fleet.Fleet/"
	serviceDistribution = "/mothcleat.distribution.Distribution/"
)

// roleOfMethod returns the role of a method that serves a single role.
func roleOfMethod(method string) Role {
	switch method {
	case serviceFleet + "Renew", serviceFleet + "Borrow":
		return RoleAllocation
	case serviceFleet + "Content",
		serviceFleet + "Keep",
		serviceFleet + "ContentDelta",
		serviceFleet + "ContentBuckets":
		return RoleConfiguration
	case serviceFleet + "Collect":
		return RoleMetering
	case serviceFleet + "Pass", serviceFleet + "Prove":
		return RoleElection
	case serviceDistribution + "Watch":
		return RoleList
	}
	return RoleOther
}

var auditOperation = []byte(`"do":"head"`)

// roleOfMachine returns the role of a replicated state machine; body is a command to it, or nil.
func roleOfMachine(machine string, body []byte) Role {
	switch machine {
	case endpointlist.MachineName:
		return RoleList
	case configversion.MachineName:
		if bytes.Contains(body, auditOperation) {
			return RoleAudit
		}
		return RoleConfiguration
	case allocation.MachineName:
		return RoleAllocation
	case usageexport.MachineName, checkpoint.MachineName:
		return RoleMetering
	case lease.MachineName:
		return RoleElection
	case consensus.MembershipName,
		"": // membership of the fleet, and keep-alives of sessions
		return RoleMembership
	}
	return RoleOther
}

// wrap returns a connection that counts its bytes in the meter.
func (m *Meter) wrap(conn net.Conn) net.Conn { return &countedConn{Conn: conn, meter: m} }

type countedConn struct {
	net.Conn
	meter *Meter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.connectionIn.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.connectionOut.Add(int64(n))
	return n, err
}
