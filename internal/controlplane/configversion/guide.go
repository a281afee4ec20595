package configversion

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"mothcleat/internal/controlplane/lease"
)

// Pilots are the gateways that act on a version in a stage, by rendezvous: other ones each time.
func Pilots(item string, number uint64, stage Stage, ids []string) []string {
	n := 1
	if stage == StageTenth {
		n = (len(ids) + 9) / 10
	}
	name := item + "/" + strconv.FormatUint(number, 10)
	all := slices.Clone(ids)
	slices.SortFunc(all, func(a, b string) int { return lease.Rank(name, a, ids) - lease.Rank(name, b, ids) })
	all = all[:min(n, len(all))]
	slices.Sort(all)
	return all
}

// NextCommands gives what is to become of the roll-outs under way, by what is agreed: the next stage where one went well, a hold
// where a gateway refused it or nobody has it in force. term is that of whoever asks.
func NextCommands(r Config, term uint64, v *View) (ops []Command) {
	var ids []string
	for _, m := range v.Members {
		if !slices.Contains(ids, m.Member.ID) {
			ids = append(ids, m.Member.ID)
		}
	}
	for i := range v.Versions {
		if one := &v.Versions[i]; one.State == StateRollingOut {
			if op, ok := nextCommand(r, v, one, ids); ok {
				op.Item, op.Number, op.Term = one.Item, one.Number, term
				ops = append(ops, op)
			}
		}
	}
	return ops
}

func nextCommand(r Config, v *View, one *Version, ids []string) (op Command, ok bool) {
	began := max(one.StageStartedAt, one.EffectiveFrom)
	wanting, since, has := 0, began, 0
	for _, m := range v.Members {
		if f, refused := m.Rejected[one.Item]; refused && f.Number == one.Number {
			return Command{Kind: "hold", Why: m.Member.ID + " refuses it: " + f.Why}, true
		}
		if !slices.Contains(one.Pilots, m.Member.ID) {
			continue
		}
		if m.InForce[one.Item] < one.Number {
			wanting++
			continue
		}
		has++
		since = max(since, m.ReportedAt)
	}
	switch {
	case has > 0 && wanting == 0 && v.At-since >= r.SettleTime:
		if one.Stage == StageOne && len(ids) > 10 {
			return Command{Kind: "go-on", Stage: StageTenth, Pilots: Pilots(one.Item, one.Number, StageTenth, ids)}, true
		}
		return Command{Kind: "go-on", Stage: StageAll}, true
	case v.At-began >= r.StageTimeout:
		if has > 0 {
			return Command{Kind: "hold", Why: "not all of its stage have it in force in time"}, true
		}
		return Command{Kind: "hold", Why: "nobody has it in force in time"}, true
	}
	return op, false
}

// LaggingReplica are the processes that are not on what they are to act on, and since when that was to be.
type LaggingReplica struct {
	Member  lease.Member  `json:"member"`
	Item    string        `json:"item"`
	InForce uint64        `json:"has"` // 0: it said nothing
	Target  uint64        `json:"wants"`
	Since   time.Duration `json:"since"`
	Why     string        `json:"why,omitempty"`
}

// LaggingReplicas tells who is behind.
func LaggingReplicas(v *View) (all []LaggingReplica) {
	for _, m := range v.Members {
		wants := map[string]*Version{}
		for i := range v.Versions {
			one := &v.Versions[i]
			if one.State == StateComplete || (one.State == StateRollingOut || one.State == StatePaused) && slices.Contains(one.Pilots, m.Member.ID) {
				wants[one.Item] = one
			}
		}
		for item, one := range wants {
			if m.InForce[item] >= one.Number {
				continue
			}
			b := LaggingReplica{Member: m.Member, Item: item, InForce: m.InForce[item], Target: one.Number, Since: max(one.StageStartedAt, one.EffectiveFrom, m.Since)}
			if f := m.Rejected[item]; f.Number == one.Number {
				b.Why = f.Why
			}
			all = append(all, b)
		}
	}
	slices.SortFunc(all, func(a, b LaggingReplica) int {
		return cmp.Or(cmp.Compare(a.Member.ID, b.Member.ID), cmp.Compare(a.Member.Incarnation, b.Member.Incarnation), cmp.Compare(a.Item, b.Item))
	})
	return all
}
