package configversion

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"mothcleat/internal/controlplane/lease"
)

// maxGatewaysWithoutTenth is up to how many gateways a rollout goes from one of them to all at
// once.
const maxGatewaysWithoutTenth = 10

// Pilots returns the gateways that operate under a version in a stage before StageAll, sorted. They
// are chosen by rendezvous hashing, so that versions differ in their pilots.
func Pilots(item string, number uint64, stage Stage, ids []string) []string {
	count := 1
	if stage == StageTenth {
		count = (len(ids) + 9) / 10
	}
	key := item + "/" + strconv.FormatUint(number, 10)
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(a, b string) int {
		return lease.Rank(key, a, ids) - lease.Rank(key, b, ids)
	})
	pilots := ranked[:min(count, len(ranked))]
	slices.Sort(pilots)
	return pilots
}

// NextCommands returns the commands that the rollouts in progress need: an advance where a stage
// went well, a pause where a gateway rejected the version or the stage timed out. term is that of
// the rollout controller that asks.
func NextCommands(c Config, term uint64, v *View) (commands []Command) {
	ids := gatewayIDs(v)
	for i := range v.Versions {
		version := &v.Versions[i]
		if version.State != StateRollingOut {
			continue
		}
		if next, ok := nextCommand(c, v, version, ids); ok {
			next.Item = version.Item
			next.Number = version.Number
			next.Term = term
			commands = append(commands, next)
		}
	}
	return commands
}

// gatewayIDs returns the ids of the members, without duplicates.
func gatewayIDs(v *View) (ids []string) {
	for _, m := range v.Members {
		if !slices.Contains(ids, m.Member.ID) {
			ids = append(ids, m.Member.ID)
		}
	}
	return ids
}

// nextCommand returns the command that one rollout needs, if it needs one.
func nextCommand(c Config, v *View, version *Version, ids []string) (next Command, ok bool) {
	started := max(version.StageStartedAt, version.EffectiveFrom)
	lagging, applied := 0, 0
	lastReport := started
	for _, m := range v.Members {
		rejection, rejected := m.Rejected[version.Item]
		if rejected && rejection.Number == version.Number {
			return Command{Kind: KindPause,
				Why: m.Member.ID + " rejects it: " + rejection.Why}, true
		}
		switch {
		case !slices.Contains(version.Pilots, m.Member.ID):
		case m.InForce[version.Item] < version.Number:
			lagging++
		default:
			applied++
			lastReport = max(lastReport, m.ReportedAt)
		}
	}
	switch {
	case applied > 0 && lagging == 0 && v.At-lastReport >= c.SettleTime:
		return nextStage(version, ids), true
	case v.At-started < c.StageTimeout:
		return Command{}, false
	case applied > 0:
		return Command{Kind: KindPause, Why: "not all of its stage have it in force in time"}, true
	}
	return Command{Kind: KindPause, Why: "nobody has it in force in time"}, true
}

// nextStage returns the advance to the stage after the current one.
func nextStage(version *Version, ids []string) Command {
	if version.Stage == StageOne && len(ids) > maxGatewaysWithoutTenth {
		pilots := Pilots(version.Item, version.Number, StageTenth, ids)
		return Command{Kind: KindAdvance, Stage: StageTenth, Pilots: pilots}
	}
	return Command{Kind: KindAdvance, Stage: StageAll}
}

// LaggingReplica is a process that does not have the version in force that it is to operate under.
type LaggingReplica struct {
	Member  lease.Member  `json:"member"`
	Item    string        `json:"item"`
	InForce uint64        `json:"has"` // 0: it reported nothing
	Target  uint64        `json:"wants"`
	Since   time.Duration `json:"since"`         // the fleet's time
	Why     string        `json:"why,omitempty"` // it rejects the target
}

// LaggingReplicas returns the processes that lag behind, sorted by member and then by item.
func LaggingReplicas(v *View) (all []LaggingReplica) {
	for _, m := range v.Members {
		for item, target := range targetsOf(v, m.Member.ID) {
			if m.InForce[item] >= target.Number {
				continue
			}
			replica := LaggingReplica{
				Member:  m.Member,
				Item:    item,
				InForce: m.InForce[item],
				Target:  target.Number,
				Since:   max(target.StageStartedAt, target.EffectiveFrom, m.Since),
			}
			if rejection := m.Rejected[item]; rejection.Number == target.Number {
				replica.Why = rejection.Why
			}
			all = append(all, replica)
		}
	}
	slices.SortFunc(all, func(a, b LaggingReplica) int {
		return cmp.Or(compareMembers(a.Member, b.Member), cmp.Compare(a.Item, b.Item))
	})
	return all
}

// targetsOf returns the versions that a gateway is to operate under, by item.
func targetsOf(v *View, id string) map[string]*Version {
	targets := map[string]*Version{}
	for i := range v.Versions {
		version := &v.Versions[i]
		pilot := version.inRollout() && slices.Contains(version.Pilots, id)
		if version.State == StateComplete || pilot {
			targets[version.Item] = version
		}
	}
	return targets
}
