package controlplane

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"mothcleat/internal/controlplane/configversion"
)

const proposeWithin = 2500 * time.Millisecond

// VersionsStatus is what is agreed on what to act on, and who is behind.
type VersionsStatus struct {
	configversion.View
	LaggingReplicas []configversion.LaggingReplica `json:"behind"`
}

// versions answers a call about what the fleet acts on.
func (n *Node) versions(ctx context.Context, words []string) (any, error) {
	if len(words) == 0 {
		ctx, cancel := context.WithTimeout(ctx, callWithin)
		defer cancel()
		v, err := n.agent.View(ctx)
		if err != nil {
			return nil, err
		}
		return VersionsStatus{v, configversion.LaggingReplicas(&v)}, nil
	}
	switch do, words := words[0], words[1:]; {
	case do == "here" && len(words) == 0:
		return n.agent.Status(), nil
	case do == "record" && len(words) == 1: // from a time, in microseconds since 1970
		from, err := strconv.ParseInt(words[0], 10, 64)
		if r := n.record.Load(); err == nil && r != nil {
			return r.Entries(from)
		}
		return nil, errors.Join(err, errors.New("no record is kept yet"))
	case do == "propose" && len(words) >= 4: // ITEM STAGE LEAD FILE
		lead, err := time.ParseDuration(words[2])
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, proposeWithin)
		defer cancel()
		return n.agent.Propose(ctx, words[0], strings.Join(words[3:], " "), configversion.Stage(words[1]), lead)
	case do == "shut" && len(words) >= 1: // ID WHY
		return n.agent.Execute(ctx, configversion.Command{Kind: configversion.KindFence, ID: words[0], Why: strings.Join(words[1:], " ")})
	case do == "let" && len(words) == 1:
		return n.agent.Execute(ctx, configversion.Command{Kind: configversion.KindReadmit, ID: words[0]})
	case slices.Contains([]string{"go-on", "hold", "withdraw"}, do) && len(words) >= 2: // ITEM NUMBER STAGE or WHY
		number, err := strconv.ParseUint(words[1], 10, 64)
		if err != nil {
			return nil, fmt.Errorf("number %.20q: a whole number wanted", words[1])
		}
		op := configversion.Command{Kind: configversion.CommandKind(do), Item: words[0], Number: number, Why: strings.Join(words[2:], " ")}
		if do == "go-on" {
			op.Stage, op.Why = configversion.Stage(op.Why), ""
		}
		return n.agent.Execute(ctx, op)
	}
	return nil, fmt.Errorf("unknown call versions %.64q; here, record FROM, propose ITEM STAGE LEAD FILE, go-on ITEM NUMBER STAGE, hold ITEM NUMBER WHY, withdraw ITEM NUMBER WHY, shut ID WHY or let ID", strings.Join(words, " "))
}
