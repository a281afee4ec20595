package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/usageexport"
	"mothcleat/internal/monotonic"
)

// callTimeout is the deadline of the requests that an operator's call makes.
const callTimeout = 800 * time.Millisecond

var errNoVoter = errors.New("this process is no voter")

// operatorCall is an operator's call, with the limits of its number of arguments.
type operatorCall struct {
	minArguments int
	maxArguments int
	run          func(n *Node, ctx context.Context, arguments []string) (any, error)
}

// operatorCalls contains the calls, by name.
var operatorCalls = map[string]operatorCall{
	"here":         {0, 0, (*Node).callHere},
	"status":       {0, 0, (*Node).callStatus},
	"owners":       {0, 0, (*Node).callOwners},
	"history":      {1, 1, (*Node).callHistory},
	"exports":      {0, 0, (*Node).callExports},
	"rights":       {0, 0, (*Node).callRights},
	"budgets":      {0, 1, (*Node).callBudgets},
	"versions":     {0, noLimit, (*Node).callVersions},
	"distribution": {0, 0, (*Node).callDistribution},
	"transfer":     {2, 2, (*Node).callTransfer},
	"remove":       {1, 1, (*Node).callRemove},
	"add":          {0, 0, (*Node).callAdd},
	"snapshot":     {0, 0, (*Node).callSnapshot},
}

// noLimit is the maxArguments of a call with any number of arguments.
const noLimit = 1 << 20

// errUnknownCall is the error of a call that is unknown, or whose feature is not configured in this
// process.
var errUnknownCall = errors.New("unknown call")

// Call answers an operator's call with one line: JSON, or "fail" with the reason. It waits for the
// answers of voters, but not for the gateway's event loop.
func (n *Node) Call(ctx context.Context, argument string) string {
	result, err := n.dispatch(ctx, argument)
	var encoded []byte
	if err == nil {
		encoded, err = json.Marshal(result)
	}
	if err != nil {
		return "fail " + strings.ReplaceAll(err.Error(), "\n", " ") + "\n"
	}
	return string(encoded) + "\n"
}

func (n *Node) dispatch(ctx context.Context, argument string) (any, error) {
	words := strings.Fields(argument)
	if len(words) == 0 {
		return nil, unknownCall(argument)
	}
	call, known := operatorCalls[words[0]]
	arguments := words[1:]
	if !known || len(arguments) < call.minArguments || len(arguments) > call.maxArguments {
		return nil, unknownCall(argument)
	}
	result, err := call.run(n, ctx, arguments)
	if errors.Is(err, errUnknownCall) {
		err = unknownCall(argument)
	}
	return result, err
}

func unknownCall(argument string) error {
	return fmt.Errorf("%w %.64q; here, status, owners, history DUTY, exports, rights, "+
		"budgets [CUSTOMER], distribution, transfer DUTY ID, add, remove NAME or snapshot",
		errUnknownCall, argument)
}

// read reads a state machine, and decodes its JSON answer into result.
func (n *Node) read(ctx context.Context, machine string, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := n.client.Read(ctx, machine, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(answer, result)
}

// LocalStatus is what this process knows about itself. It is available even if no voter answers.
type LocalStatus struct {
	Member       lease.Member `json:"member"`
	Voter        bool         `json:"voter"`
	Number       string       `json:"number,omitempty"` // of the voter, in hexadecimal
	Term         uint64       `json:"term,omitempty"`
	Leader       string       `json:"leader,omitempty"`
	Leads        bool         `json:"leads,omitempty"`
	AppliedIndex uint64       `json:"applied,omitempty"`
	// Fault is why the process does not take part or does not vote; "": there is no fault.
	Fault string `json:"trouble,omitempty"`
	// Roles contains the terms of the roles that the process leads, by role.
	Roles map[string]uint64 `json:"duties"`
}

// LocalStatus returns what this process knows about itself.
func (n *Node) LocalStatus() LocalStatus {
	status := LocalStatus{Member: n.self, Roles: n.roles.HeldTerms()}
	if fault := n.fault.Load(); fault != nil {
		status.Fault = *fault
	}
	if r := n.localReplica(); r != nil {
		voter := r.Status()
		status.Voter = true
		status.Number = fmt.Sprintf("%016x", voter.Number)
		status.Term = voter.Leadership.Term
		status.Leader = voter.Leader
		status.Leads = voter.Leadership.IsLeader
		status.AppliedIndex = voter.AppliedIndex
		status.Fault += voter.Fault
	}
	return status
}

// Membership reads the fleet's members and voters from the leader.
func (n *Node) Membership(ctx context.Context) (m consensus.Membership, err error) {
	return m, n.read(ctx, consensus.MembershipName, nil, &m)
}

func (n *Node) callHere(context.Context, []string) (any, error) { return n.LocalStatus(), nil }

func (n *Node) callStatus(ctx context.Context, _ []string) (any, error) { return n.Membership(ctx) }

// callOwners returns all leases.
func (n *Node) callOwners(ctx context.Context, _ []string) (any, error) {
	var view lease.View
	err := n.read(ctx, lease.MachineName, nil, &view)
	return view, err
}

// callHistory returns the latest holders of a role's lease.
func (n *Node) callHistory(ctx context.Context, arguments []string) (any, error) {
	var view lease.View
	err := n.read(ctx, lease.MachineName, []byte(arguments[0]), &view)
	return view.History, err
}

func (n *Node) callExports(ctx context.Context, _ []string) (any, error) {
	var view usageexport.View
	err := n.read(ctx, usageexport.MachineName, nil, &view)
	return view, err
}

// callRights returns this process's allocations, and the statistics of the shards that it leads.
func (n *Node) callRights(context.Context, []string) (any, error) {
	if n.allocations == nil {
		return nil, errUnknownCall
	}
	held, stats := n.allocations.Status()
	return AllocationStatus{
		Member:      n.self,
		At:          monotonic.Now(),
		Held:        held,
		Stats:       stats,
		LeaderStats: n.shardLeaders.Stats(),
	}, nil
}

func (n *Node) callDistribution(context.Context, []string) (any, error) {
	return n.DistributionStatus(), nil
}

// callTransfer requests that the leader of a role transfer it to another gateway.
func (n *Node) callTransfer(ctx context.Context, arguments []string) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	command := lease.Command{
		Action: lease.ActionRequestTransfer,
		Role:   arguments[0],
		To:     lease.Member{ID: arguments[1]},
	}
	answer, err := n.client.Propose(ctx, lease.MachineName, command.Encode())
	if err != nil {
		return nil, err
	}
	var result lease.Result
	if err := json.Unmarshal(answer, &result); err != nil {
		return nil, err
	}
	if !result.OK {
		return nil, errors.New(result.Reason)
	}
	return "the owner is told", nil
}

// callSnapshot makes this process's replica store a snapshot, and returns the index of the last
// applied entry.
func (n *Node) callSnapshot(ctx context.Context, _ []string) (any, error) {
	r := n.localReplica()
	if r == nil {
		return nil, errNoVoter
	}
	if err := r.CreateSnapshot(ctx); err != nil {
		return nil, err
	}
	return r.Status().AppliedIndex, nil
}
