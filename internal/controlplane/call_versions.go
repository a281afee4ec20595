package controlplane

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"mothcleat/internal/controlplane/configversion"
)

// VersionsStatus describes the versions of the configuration, and the members that lag behind.
type VersionsStatus struct {
	configversion.View
	LaggingReplicas []configversion.LaggingReplica `json:"behind"`
}

// callVersions answers a call about versions. It returns errUnknownCall in a process without
// versions.
func (n *Node) callVersions(ctx context.Context, words []string) (any, error) {
	if n.agent == nil {
		return nil, errUnknownCall
	}
	if len(words) == 0 {
		return n.versionsStatus(ctx)
	}
	arguments := words[1:]
	switch words[0] {
	case "here":
		if len(arguments) == 0 {
			return n.agent.Status(), nil
		}
	case "record":
		if len(arguments) == 1 {
			return n.recordEntries(arguments[0])
		}
	case "propose":
		if len(arguments) >= 4 {
			return n.proposeVersion(ctx, arguments)
		}
	case string(configversion.KindFence):
		if len(arguments) >= 1 {
			return n.agent.Execute(ctx, configversion.Command{
				Kind: configversion.KindFence,
				ID:   arguments[0],
				Why:  strings.Join(arguments[1:], " "),
			})
		}
	case string(configversion.KindReadmit):
		if len(arguments) == 1 {
			return n.agent.Execute(ctx, configversion.Command{
				Kind: configversion.KindReadmit,
				ID:   arguments[0],
			})
		}
	case string(configversion.KindAdvance),
		string(configversion.KindPause),
		string(configversion.KindWithdraw):
		if len(arguments) >= 2 {
			return n.changeRollout(ctx, configversion.CommandKind(words[0]), arguments)
		}
	}
	return nil, fmt.Errorf("unknown call versions %.64q; here, record FROM, "+
		"propose ITEM STAGE LEAD FILE, go-on ITEM NUMBER STAGE, hold ITEM NUMBER WHY, "+
		"withdraw ITEM NUMBER WHY, shut ID WHY or let ID", strings.Join(words, " "))
}

func (n *Node) versionsStatus(ctx context.Context) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	view, err := n.agent.View(ctx)
	if err != nil {
		return nil, err
	}
	return VersionsStatus{view, configversion.LaggingReplicas(&view)}, nil
}

// recordEntries returns the entries of the audit record since a time, in microseconds since 1970.
func (n *Node) recordEntries(from string) (any, error) {
	start, err := strconv.ParseInt(from, 10, 64)
	r := n.recorder.Load()
	if err != nil || r == nil {
		return nil, errors.Join(err, errors.New("no record is kept yet"))
	}
	return r.Entries(start)
}

// proposeVersion proposes a version. The arguments are an item, a stage, a lead time and the words
// of a file path.
func (n *Node) proposeVersion(ctx context.Context, arguments []string) (any, error) {
	item := arguments[0]
	stage := configversion.Stage(arguments[1])
	lead, err := time.ParseDuration(arguments[2])
	if err != nil {
		return nil, err
	}
	path := strings.Join(arguments[3:], " ")
	key := proposalKey(arguments, path)
	return n.proposals.do(ctx, n.ctx, key, func(ctx context.Context) (uint64, error) {
		return n.agent.Propose(ctx, item, path, stage, lead)
	})
}

// changeRollout advances, pauses or withdraws a version. The arguments are an item, the number of
// the version, and either the stage to advance to or the words of a reason.
func (n *Node) changeRollout(
	ctx context.Context, kind configversion.CommandKind, arguments []string,
) (any, error) {
	number, err := strconv.ParseUint(arguments[1], 10, 64)
	if err != nil {
		return nil, fmt.Errorf("number %.20q: a whole number wanted", arguments[1])
	}
	command := configversion.Command{Kind: kind, Item: arguments[0], Number: number}
	text := strings.Join(arguments[2:], " ")
	if kind == configversion.KindAdvance {
		command.Stage = configversion.Stage(text)
	} else {
		command.Why = text
	}
	return n.agent.Execute(ctx, command)
}
