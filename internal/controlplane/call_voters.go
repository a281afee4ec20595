package controlplane

import (
	"context"
	"errors"
	"fmt"

	"mothcleat/internal/controlplane/controlpb"
)

// voterChanged is the answer to a call that added or removed a voter.
const voterChanged = "agreed"

// callAdd makes this process a voter.
func (n *Node) callAdd(ctx context.Context, _ []string) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := n.localReplica()
	if r == nil {
		return nil, errors.New("this process has no voter's folder: make one with " +
			"mothcleat fleet join, and start it again")
	}
	v := &controlpb.Voter{
		Number:  r.Identity().Number,
		Name:    n.config.ID,
		Address: n.config.Address,
	}
	if err := n.client.ChangeVoter(ctx, true, v); err != nil {
		return nil, err
	}
	return voterChanged, nil
}

// callRemove removes a voter by its name.
func (n *Node) callRemove(ctx context.Context, arguments []string) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v := &controlpb.Voter{Name: arguments[0]}
	membership, err := n.Membership(ctx)
	if err != nil {
		return nil, err
	}
	for _, known := range membership.Voters {
		if known.Name == v.Name {
			_, _ = fmt.Sscanf(known.Number, "%x", &v.Number)
		}
	}
	if err := n.client.ChangeVoter(ctx, false, v); err != nil {
		return nil, err
	}
	return voterChanged, nil
}
