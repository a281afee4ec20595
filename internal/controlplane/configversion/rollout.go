package configversion

import (
	"fmt"
	"slices"
	"time"

	"mothcleat/internal/controlplane/lease"
)

// propose starts the rollout of a new version and returns its number.
func (m *Machine) propose(at time.Duration, member lease.Member, c *Command) (uint64, error) {
	if !proposalIsValid(c) {
		return 0, ErrInvalidCommand
	}
	if m.items[c.Item] == nil && len(m.items) >= maxItems {
		return 0, fmt.Errorf("%w: %d, no more than %d are kept", ErrTooManyItems, len(m.items),
			maxItems)
	}
	newest := m.newestVersion(c.Item)
	if newest == nil {
		newest = m.addInitialVersion(at, member, c.Item)
		if c.Number == 0 {
			c.Number = newest.Number
		}
	}
	if newest.inRollout() {
		return 0, fmt.Errorf("%w: %s %d is %s", ErrRolloutInProgress, newest.Item, newest.Number,
			newest.State)
	}
	if c.Number != newest.Number {
		return 0, fmt.Errorf("%w: %s is at %d, not %d", ErrOutdated, c.Item, newest.Number,
			c.Number)
	}
	v := &Version{
		Item:             c.Item,
		Number:           newest.Number + 1,
		Digest:           c.Digest,
		Size:             c.Size,
		State:            StateRollingOut,
		Stage:            c.Stage,
		Pilots:           c.Pilots,
		CommittedAt:      at,
		StageStartedAt:   at,
		EffectiveFrom:    at + c.Lead,
		ProposedBy:       member,
		ProposedWallTime: c.WallTime,
	}
	m.appendVersion(v)
	if c.Stage == StageAll {
		m.completeRollout(at, c.WallTime, v)
	}
	return v.Number, nil
}

// addInitialVersion adds an item with version 1, which stands for each gateway's own configuration.
func (m *Machine) addInitialVersion(at time.Duration, member lease.Member, item string) *Version {
	v := &Version{
		Item:           item,
		Number:         1,
		State:          StateComplete,
		Stage:          StageAll,
		CommittedAt:    at,
		StageStartedAt: at,
		EffectiveFrom:  at,
		ProposedBy:     member,
	}
	m.items[item] = append(m.items[item], v)
	return v
}

// proposalIsValid reports whether the fields of a proposal are valid.
func proposalIsValid(c *Command) bool {
	switch {
	case !itemPattern.MatchString(c.Item), !digestPattern.MatchString(c.Digest):
		return false
	case c.Size < 0, c.Size > MaxContentSize:
		return false
	case c.Lead < 0, c.Lead > maxLead:
		return false
	case c.Stage == StageAll:
		return true
	}
	return (c.Stage == StageOne || c.Stage == StageTenth) && len(c.Pilots) > 0
}

// appendVersion appends a version. While more than maxVersionsPerItem are retained, it drops the
// oldest one if no gateway may operate under it.
func (m *Machine) appendVersion(v *Version) {
	versions := append(m.items[v.Item], v)
	for len(versions) > maxVersionsPerItem && !versions[0].usableAt(v.CommittedAt) {
		versions = versions[1:]
	}
	m.items[v.Item] = versions
}

// completeRollout advances a version to StageAll and ends all earlier versions.
func (m *Machine) completeRollout(at time.Duration, wallTime int64, v *Version) {
	for _, old := range m.items[v.Item] {
		if old.Number >= v.Number || old.EndedAt != 0 {
			continue
		}
		old.EndedAt = at
		old.ExpiresAt = at + m.config.withDrift(m.config.TTL)
		old.EndedWallTime = wallTime
		if old.State != StateWithdrawn {
			old.State = StateSuperseded
		}
	}
	v.State = StateComplete
	v.Stage = StageAll
	v.Pilots = nil
	v.StageStartedAt = at
	v.Why = ""
}

// advanceStage advances a rollout to a stage. Only an operator may advance a paused rollout.
func (m *Machine) advanceStage(at time.Duration, v *Version, c *Command) error {
	switch {
	case !v.inRollout():
		return wrongStateError(v)
	case c.Term != 0 && v.State == StatePaused:
		return fmt.Errorf("%w: only an operator advances it", wrongStateError(v))
	case c.Stage == StageAll:
		m.completeRollout(at, c.WallTime, v)
		return nil
	case c.Stage != StageTenth && c.Stage != StageOne, len(c.Pilots) == 0:
		return ErrInvalidCommand
	}
	for _, id := range c.Pilots { // earlier pilots are kept
		if !slices.Contains(v.Pilots, id) {
			v.Pilots = append(v.Pilots, id)
		}
	}
	slices.Sort(v.Pilots)
	v.State = StateRollingOut
	v.Stage = c.Stage
	v.StageStartedAt = at
	v.Why = ""
	return nil
}

// withdraw ends the newest version and restores the newest completed one before it, for all
// gateways. Because numbers only grow, the restored content gets a new number, which withdraw
// returns.
func (m *Machine) withdraw(at time.Duration, member lease.Member, v *Version, c *Command) (uint64,
	error) {
	if v != m.newestVersion(v.Item) || v.State == StateWithdrawn || v.Number == 1 {
		return 0, fmt.Errorf("%w: only the newest can be withdrawn", wrongStateError(v))
	}
	previous := m.newestRestorable(v)
	if previous == nil {
		return 0, unknownVersionError(v.Item, v.Number-1)
	}
	v.State = StateWithdrawn
	v.Why = truncateReason(c.Why)
	next := &Version{
		Item:             v.Item,
		Number:           v.Number + 1,
		Digest:           previous.Digest,
		Size:             previous.Size,
		CommittedAt:      at,
		EffectiveFrom:    at,
		ProposedBy:       member,
		ProposedWallTime: c.WallTime,
		Restores:         previous.Number,
	}
	m.appendVersion(next)
	m.completeRollout(at, c.WallTime, next)
	return next.Number, nil
}

// newestRestorable returns the newest version before v whose rollout was completed, nil if there is
// none.
func (m *Machine) newestRestorable(v *Version) (restorable *Version) {
	for _, old := range m.items[v.Item] {
		if old.Number < v.Number && (old.State == StateComplete || old.State == StateSuperseded) {
			restorable = old
		}
	}
	return restorable
}

// expireSuperseded expires, for each item, the versions before the newest complete one, provided
// that all possible holders of leases have reported that one in force.
func (m *Machine) expireSuperseded(at time.Duration) {
	for item := range m.items {
		complete := m.newestComplete(item)
		if complete == nil || m.anyMemberLags(item, complete.Number) {
			continue
		}
		for _, v := range m.items[item] {
			if v.Number < complete.Number && v.ExpiresAt > at {
				v.ExpiresAt = at
			}
		}
	}
}

// anyMemberLags reports whether any member has not yet reported a version of an item, or a later
// one, as in force.
func (m *Machine) anyMemberLags(item string, number uint64) bool {
	for _, s := range m.members {
		if s.InForce[item] < number {
			return true
		}
	}
	return false
}
