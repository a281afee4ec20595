package consensus

import (
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
)

// ChangeVoter proposes to add or remove a voter by joint consensus. Its result is a Completion with
// the tag.
func (n *Node) ChangeVoter(add bool, v *controlpb.Voter, tag any) {
	if !n.acceptsRequests(tag) {
		return
	}
	current, isVoter := n.voters[v.Number]
	switch {
	case add && isVoter && current.Name == v.Name:
		n.complete(tag, nil)
		return
	case !add && !isVoter:
		n.reject(tag, controlpb.Code_REFUSED, fmt.Sprintf("%q is no voter", v.Name))
		return
	case !add && len(n.voters) == 1:
		n.reject(tag, controlpb.Code_REFUSED, "the last voter can't be removed")
		return
	case add && n.hasVoterNamed(v.Name):
		n.reject(tag, controlpb.Code_REFUSED, fmt.Sprintf(
			"%s is a voter already, by another folder: remove it first", v.Name))
		return
	}
	if err := n.proposeVoterChange(add, v); err != nil {
		n.reject(tag, controlpb.Code_NOT_READY, err.Error())
		return
	}
	n.pendingVoterChanges = append(n.pendingVoterChanges, tag)
}

// hasVoterNamed reports whether a voter has the name.
func (n *Node) hasVoterNamed(name string) bool {
	for _, v := range n.voters {
		if v.Name == name {
			return true
		}
	}
	return false
}

func (n *Node) proposeVoterChange(add bool, v *controlpb.Voter) error {
	kind := raftpb.ConfChangeRemoveNode
	if add {
		kind = raftpb.ConfChangeAddNode
	}
	context, err := proto.Marshal(v)
	if err != nil {
		return err
	}
	return n.rawNode.ProposeConfChange(&raftpb.ConfChangeV2{
		Context:    context,
		Transition: new(raftpb.ConfChangeTransitionJointImplicit),
		Changes:    []*raftpb.ConfChangeSingle{{Type: new(kind), NodeId: new(v.Number)}},
	})
}
