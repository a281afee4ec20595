package configversion

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"mothcleat/internal/controlplane/lease"
)

// maxGatewaysWithoutTenthStage is the largest number of gateways for which rollouts skip
// StageTenth.
const maxGatewaysWithoutTenthStage = 10

// Pilots returns the ids, sorted, of the gateways that operate under a version in a stage before
// StageAll. Rendezvous hashing chooses them, so that different versions have different pilots.
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
// succeeded, a pause where a gateway rejected the version or the stage timed out. term is the term
// of the calling rollout controller.
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

// nextCommand returns the command that one rollout needs; ok is false if it needs none.
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
	if version.Stage == StageOne && len(ids) > maxGatewaysWithoutTenthStage {
		pilots := Pilots(version.Item, version.Number, StageTenth, ids)
		return Command{Kind: KindAdvance, Stage: StageTenth, Pilots: pilots}
	}
	return Command{Kind: KindAdvance, Stage: StageAll}
}

// LaggingReplica is a process that does not yet have its target version in force.
type LaggingReplica struct {
	Member  lease.Member  `json:"member"`
	Item    string        `json:"item"`
	InForce uint64        `json:"has"` // 0 if it reported nothing
	Target  uint64        `json:"wants"`
	Since   time.Duration `json:"since"`         // by the fleet's clock
	Why     string        `json:"why,omitempty"` // why it rejects the target
}

// LaggingReplicas returns the lagging processes, sorted by member and then by item.
func LaggingReplicas(v *View) (replicas []LaggingReplica) {
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
			replicas = append(replicas, replica)
		}
	}
	slices.SortFunc(replicas, func(a, b LaggingReplica) int {
		return cmp.Or(compareMembers(a.Member, b.Member), cmp.Compare(a.Item, b.Item))
	})
	return replicas
}

// targetsOf returns the target versions of a gateway, by item.
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
