package configversion

import (
	"fmt"
	"slices"
	"time"

	"mothcleat/internal/controlplane/lease"
)

// propose starts the roll-out of a new version and returns its number.
func (m *Machine) propose(at time.Duration, who lease.Member, op *Command) (uint64, error) {
	switch {
	case !proposalIsValid(op):
		return 0, ErrInvalidCommand
	case m.items[op.Item] == nil && len(m.items) >= maxItems:
		return 0, fmt.Errorf("versions: %d items, no more than %d are kept", len(m.items), maxItems)
	}
	last := m.newestVersion(op.Item)
	if last == nil { // what every gateway has by its own configuration
		last = &Version{Item: op.Item, State: StateComplete, Stage: StageAll, CommittedAt: at, StageStartedAt: at, EffectiveFrom: at, ProposedBy: who, Number: 1}
		m.items[op.Item] = append(m.items[op.Item], last)
		if op.Number == 0 {
			op.Number = 1
		}
	}
	switch {
	case last.State == StateRollingOut || last.State == StatePaused:
		return 0, fmt.Errorf("%w: %s %d is %s", ErrRolloutInProgress, last.Item, last.Number, last.State)
	case op.Number != last.Number:
		return 0, fmt.Errorf("versions: %s is at %d, not %d: look again", op.Item, last.Number, op.Number)
	}
	v := &Version{Item: op.Item, Number: last.Number + 1, Digest: op.Digest, Size: op.Size, State: StateRollingOut, Stage: op.Stage, Pilots: op.Pilots,
		CommittedAt: at, StageStartedAt: at, EffectiveFrom: at + op.Lead, ProposedBy: who, ProposedWallTime: op.WallTime}
	m.appendVersion(v)
	if op.Stage == StageAll {
		m.completeRollout(at, op.WallTime, v)
	}
	return v.Number, nil
}

// proposalIsValid reports whether the fields of a propose can be taken in.
func proposalIsValid(op *Command) bool {
	switch {
	case !itemPattern.MatchString(op.Item), !digestPattern.MatchString(op.Digest):
		return false
	case op.Size < 0, op.Size > MaxContentSize:
		return false
	case op.Lead < 0, op.Lead > maxLead:
		return false
	case op.Stage == StageAll:
		return true
	}
	return (op.Stage == StageOne || op.Stage == StageTenth) && len(op.Pilots) > 0
}

// appendVersion appends a version, and drops the oldest where too many are kept and nobody acts on them any more.
func (m *Machine) appendVersion(v *Version) {
	all := append(m.items[v.Item], v)
	for len(all) > maxVersionsPerItem && !all[0].usableAt(v.CommittedAt) {
		all = all[1:]
	}
	m.items[v.Item] = all
}

// completeRollout moves a version to its last stage and ends all earlier ones.
func (m *Machine) completeRollout(at time.Duration, wall int64, v *Version) {
	for _, old := range m.items[v.Item] {
		if old.Number < v.Number && old.EndedAt == 0 {
			old.EndedAt, old.ExpiresAt, old.EndedWallTime = at, at+m.config.withDrift(m.config.TTL), wall
			if old.State != StateWithdrawn {
				old.State = StateSuperseded
			}
		}
	}
	v.State, v.Stage, v.Pilots, v.StageStartedAt, v.Why = StateComplete, StageAll, nil, at, ""
}

// advanceStage moves a roll-out to a stage.
func (m *Machine) advanceStage(at time.Duration, v *Version, op *Command) error {
	switch {
	case v.State != StateRollingOut && v.State != StatePaused:
		return fmt.Errorf("versions: %s %d is %s", v.Item, v.Number, v.State)
	case op.Term != 0 && v.State == StatePaused:
		return fmt.Errorf("versions: %s %d is held: a person says whether it goes on", v.Item, v.Number)
	case op.Stage == StageAll:
		m.completeRollout(at, op.WallTime, v)
	case op.Stage == StageTenth || op.Stage == StageOne:
		if len(op.Pilots) == 0 {
			return ErrInvalidCommand
		}
		// Who was to act on it goes on doing so.
		for _, id := range op.Pilots {
			if !slices.Contains(v.Pilots, id) {
				v.Pilots = append(v.Pilots, id)
			}
		}
		slices.Sort(v.Pilots)
		v.State, v.Stage, v.StageStartedAt, v.Why = StateRollingOut, op.Stage, at, ""
	default:
		return ErrInvalidCommand
	}
	return nil
}

// withdraw ends a version. Numbers only grow: what was there before comes back as a new one, for all.
func (m *Machine) withdraw(at time.Duration, who lease.Member, v *Version, op *Command) (uint64, error) {
	if v != m.newestVersion(v.Item) || v.State == StateWithdrawn || v.Number == 1 {
		return 0, fmt.Errorf("versions: %s %d is %s: only the newest can be withdrawn", v.Item, v.Number, v.State)
	}
	var before *Version
	for _, old := range m.items[v.Item] {
		if old.Number < v.Number && (old.State == StateComplete || old.State == StateSuperseded) {
			before = old
		}
	}
	if before == nil {
		return 0, unknownVersionError(v.Item, v.Number-1)
	}
	v.State, v.Why = StateWithdrawn, truncateReason(op.Why)
	next := &Version{Item: v.Item, Number: v.Number + 1, Digest: before.Digest, Size: before.Size, CommittedAt: at, EffectiveFrom: at, ProposedBy: who, ProposedWallTime: op.WallTime, Restores: before.Number}
	m.appendVersion(next)
	m.completeRollout(at, op.WallTime, next)
	return next.Number, nil
}

// expireSuperseded ends what all who may hold a permit have left behind them.
func (m *Machine) expireSuperseded(at time.Duration) {
	for item := range m.items {
		w := m.newestComplete(item)
		if w == nil {
			continue
		}
		behind := false
		for _, s := range m.members {
			behind = behind || s.InForce[item] < w.Number
		}
		if behind {
			continue
		}
		for _, v := range m.items[item] {
			if v.Number < w.Number && v.ExpiresAt > at {
				v.ExpiresAt = at
			}
		}
	}
}
