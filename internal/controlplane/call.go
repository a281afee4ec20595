package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/allocator"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/usageexport"
	"mothcleat/internal/monotonic"
)

const callWithin = 800 * time.Millisecond // an operator's call

// ask reads a part of the agreed state.
func (n *Node) ask(ctx context.Context, machine string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	raw, err := n.client.Read(ctx, machine, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

// LocalStatus is what this process knows of itself, whoever else can be asked.
type LocalStatus struct {
	Member       lease.Member      `json:"member"`
	Voter        bool              `json:"voter"`
	Number       string            `json:"number,omitempty"`
	Term         uint64            `json:"term,omitempty"`
	Leader       string            `json:"leader,omitempty"`
	Leads        bool              `json:"leads,omitempty"`
	AppliedIndex uint64            `json:"applied,omitempty"`
	Fault        string            `json:"trouble,omitempty"`
	Roles        map[string]uint64 `json:"duties"`
}

// LocalStatus tells it.
func (n *Node) LocalStatus() LocalStatus {
	h := LocalStatus{Member: n.me, Roles: n.duties.HeldTerms()}
	if why := n.trouble.Load(); why != nil {
		h.Fault = *why
	}
	if s := n.server.Load(); s != nil && s.Replica() != nil {
		st := s.Replica().Status()
		h.Voter, h.Number, h.Term, h.Leader, h.Leads, h.AppliedIndex = true, fmt.Sprintf("%016x", st.Number), st.Leadership.Term, st.Leader, st.Leadership.IsLeader, st.AppliedIndex
		h.Fault += st.Fault
	}
	return h
}

// Call answers an operator's call: one line of JSON, or "fail" with why. It waits for voters, not for the gateway.
func (n *Node) Call(ctx context.Context, argument string) string {
	words := strings.Fields(argument)
	var what any
	var err error
	switch {
	case len(words) == 1 && words[0] == "here":
		what = n.LocalStatus()
	case len(words) == 1 && words[0] == "status":
		what, err = n.Membership(ctx)
	case len(words) == 1 && words[0] == "owners":
		var v lease.View
		err = n.ask(ctx, lease.MachineName, nil, &v)
		what = v
	case len(words) == 2 && words[0] == "history":
		var v lease.View
		if err = n.ask(ctx, lease.MachineName, []byte(words[1]), &v); err == nil {
			what = v.History
		}
	case len(words) == 1 && words[0] == "exports":
		var v usageexport.View
		err = n.ask(ctx, usageexport.MachineName, nil, &v)
		what = v
	case len(words) == 1 && words[0] == "rights" && n.rights != nil:
		held, did := n.rights.Status()
		what = AllocationStatus{n.me, monotonic.Now(), held, did, n.divide.Stats()}
	case len(words) <= 2 && len(words) > 0 && words[0] == "budgets":
		what, err = n.books(ctx, words[1:])
	case n.agent != nil && len(words) > 0 && words[0] == "versions":
		what, err = n.versions(ctx, words[1:])
	case len(words) == 1 && words[0] == "distribution":
		what = n.DistributionStatus()
	case len(words) == 3 && words[0] == "transfer":
		what, err = n.transfer(ctx, words[1], words[2])
	case len(words) == 2 && words[0] == "remove":
		what, err = n.alter(ctx, false, words[1])
	case len(words) == 1 && words[0] == "add":
		what, err = n.alter(ctx, true, n.cfg.ID)
	case len(words) == 1 && words[0] == "snapshot":
		s := n.server.Load()
		if s == nil || s.Replica() == nil {
			err = errors.New("this process is no voter")
		} else if err = s.Replica().CreateSnapshot(ctx); err == nil {
			what = s.Replica().Status().AppliedIndex
		}
	default:
		err = fmt.Errorf("unknown call %.64q; here, status, owners, history DUTY, exports, rights, budgets [CUSTOMER], distribution, transfer DUTY ID, add, remove NAME or snapshot", argument)
	}
	var raw []byte
	if err == nil {
		raw, err = json.Marshal(what)
	}
	if err != nil {
		return "fail " + strings.ReplaceAll(err.Error(), "\n", " ") + "\n"
	}
	return string(raw) + "\n"
}

// AllocationStatus is what this process holds of the budgets, and what it divides.
type AllocationStatus struct {
	Member      lease.Member                      `json:"member"`
	At          time.Duration                     `json:"at"` // by the clock that goes on while a process is stopped
	Held        []allocation.HolderStatus         `json:"held"`
	Stats       allocator.ClientStats             `json:"did"`
	LeaderStats map[string]allocation.LeaderStats `json:"divides"`
}

// books are all budgets as they are agreed.
func (n *Node) books(ctx context.Context, customer []string) (some []allocation.View, err error) {
	wanted := uint64(0)
	if len(customer) > 0 {
		if wanted, err = strconv.ParseUint(customer[0], 16, 64); err != nil {
			return nil, fmt.Errorf("customer %.32q: up to 16 hexadecimal digits wanted", customer[0])
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	raw, err := n.client.Read(ctx, allocation.MachineName, nil)
	if err != nil {
		return nil, err
	}
	all, err := allocation.ReadViews(raw)
	if err != nil {
		return nil, err
	}
	l, err := n.Membership(ctx)
	if err != nil {
		return nil, err
	}
	here := map[lease.Member]bool{}
	for _, m := range l.Members {
		here[m.Member] = true
	}
	some = []allocation.View{}
	for _, v := range all {
		if len(customer) > 0 && v.Budget != wanted {
			continue
		}
		for i := range v.Allocations {
			v.Allocations[i].Ended = !here[v.Allocations[i].Member]
		}
		some = append(some, v)
	}
	return some, nil
}

// transfer has a duty go to another gateway: its owner hands it on when it hears of that.
func (n *Node) transfer(ctx context.Context, duty, to string) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	raw, err := n.client.Propose(ctx, lease.MachineName, lease.Op{Action: lease.ActionRequestTransfer, Role: duty, To: lease.Member{ID: to}}.Encode())
	if err != nil {
		return nil, err
	}
	var r lease.Result
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, err
	}
	if !r.OK {
		return nil, errors.New(r.Reason)
	}
	return "the owner is told", nil
}

// alter has a voter less, or this process's one more.
func (n *Node) alter(ctx context.Context, add bool, name string) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	v := &controlpb.Voter{Name: name}
	if add {
		s := n.server.Load()
		if s == nil || s.Replica() == nil {
			return nil, errors.New("this process has no voter's folder: make one with mothcleat fleet join, and start it again")
		}
		v.Number, v.Address = s.Replica().Identity().Number, n.cfg.Address
	} else {
		l, err := n.Membership(ctx)
		if err != nil {
			return nil, err
		}
		for _, known := range l.Voters {
			if known.Name == name {
				_, _ = fmt.Sscanf(known.Number, "%x", &v.Number)
			}
		}
	}
	if err := n.client.ChangeVoter(ctx, add, v); err != nil {
		return nil, err
	}
	return "agreed", nil
}
