package configversion

import (
	"fmt"
	"slices"
	"time"

	"mothcleat/internal/controlplane/lease"
)

// propose starts the roll-out of a new version and returns its number.
func (m *Machine) propose(at time.Duration, who lease.Member, op *Op) (uint64, error) {
	switch {
	case !proposalIsValid(op):
		return 0, ErrBad
	case m.items[op.Item] == nil && len(m.items) >= itemsMost:
		return 0, fmt.Errorf("versions: %d items, no more than %d are kept", len(m.items), itemsMost)
	}
	last := m.newest(op.Item)
	if last == nil { // what every gateway has by its own configuration
		last = &Version{Item: op.Item, State: Whole, Stage: All, Agreed: at, Staged: at, From: at, By: who, Number: 1}
		m.items[op.Item] = append(m.items[op.Item], last)
		if op.Number == 0 {
			op.Number = 1
		}
	}
	switch {
	case last.State == Rolling || last.State == Held:
		return 0, fmt.Errorf("%w: %s %d is %s", ErrUnder, last.Item, last.Number, last.State)
	case op.Number != last.Number:
		return 0, fmt.Errorf("versions: %s is at %d, not %d: look again", op.Item, last.Number, op.Number)
	}
	v := &Version{Item: op.Item, Number: last.Number + 1, Digest: op.Digest, Size: op.Size, State: Rolling, Stage: op.Stage, Pilots: op.Pilots,
		Agreed: at, Staged: at, From: at + op.Lead, By: who, Said: op.Wall}
	m.add(v)
	if op.Stage == All {
		m.all(at, op.Wall, v)
	}
	return v.Number, nil
}

// proposalIsValid reports whether the fields of a propose can be taken in.
func proposalIsValid(op *Op) bool {
	switch {
	case !itemName.MatchString(op.Item), !digest.MatchString(op.Digest):
		return false
	case op.Size < 0, op.Size > SizeMost:
		return false
	case op.Lead < 0, op.Lead > leadMost:
		return false
	case op.Stage == All:
		return true
	}
	return (op.Stage == One || op.Stage == Tenth) && len(op.Pilots) > 0
}

// add appends a version, and drops the oldest where too many are kept and nobody acts on them any more.
func (m *Machine) add(v *Version) {
	all := append(m.items[v.Item], v)
	for len(all) > versionsMost && !all[0].live(v.Agreed) {
		all = all[1:]
	}
	m.items[v.Item] = all
}

// all moves a version to its last stage and ends all earlier ones.
func (m *Machine) all(at time.Duration, wall int64, v *Version) {
	for _, old := range m.items[v.Item] {
		if old.Number < v.Number && old.Over == 0 {
			old.Over, old.Until, old.Ended = at, at+m.rules.withMargin(m.rules.Span), wall
			if old.State != Withdrawn {
				old.State = Past
			}
		}
	}
	v.State, v.Stage, v.Pilots, v.Staged, v.Why = Whole, All, nil, at, ""
}

// goOn moves a roll-out to a stage.
func (m *Machine) goOn(at time.Duration, v *Version, op *Op) error {
	switch {
	case v.State != Rolling && v.State != Held:
		return fmt.Errorf("versions: %s %d is %s", v.Item, v.Number, v.State)
	case op.Term != 0 && v.State == Held:
		return fmt.Errorf("versions: %s %d is held: a person says whether it goes on", v.Item, v.Number)
	case op.Stage == All:
		m.all(at, op.Wall, v)
	case op.Stage == Tenth || op.Stage == One:
		if len(op.Pilots) == 0 {
			return ErrBad
		}
		// Who was to act on it goes on doing so.
		for _, id := range op.Pilots {
			if !slices.Contains(v.Pilots, id) {
				v.Pilots = append(v.Pilots, id)
			}
		}
		slices.Sort(v.Pilots)
		v.State, v.Stage, v.Staged, v.Why = Rolling, op.Stage, at, ""
	default:
		return ErrBad
	}
	return nil
}

// withdraw ends a version. Numbers only grow: what was there before comes back as a new one, for all.
func (m *Machine) withdraw(at time.Duration, who lease.Member, v *Version, op *Op) (uint64, error) {
	if v != m.newest(v.Item) || v.State == Withdrawn || v.Number == 1 {
		return 0, fmt.Errorf("versions: %s %d is %s: only the newest can be withdrawn", v.Item, v.Number, v.State)
	}
	var before *Version
	for _, old := range m.items[v.Item] {
		if old.Number < v.Number && (old.State == Whole || old.State == Past) {
			before = old
		}
	}
	if before == nil {
		return 0, unknown(v.Item, v.Number-1)
	}
	v.State, v.Why = Withdrawn, cut(op.Why)
	next := &Version{Item: v.Item, Number: v.Number + 1, Digest: before.Digest, Size: before.Size, Agreed: at, From: at, By: who, Said: op.Wall, Restores: before.Number}
	m.add(next)
	m.all(at, op.Wall, next)
	return next.Number, nil
}

// settle ends what all who may hold a permit have left behind them.
func (m *Machine) settle(at time.Duration) {
	for item := range m.items {
		w := m.whole(item)
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
			if v.Number < w.Number && v.Until > at {
				v.Until = at
			}
		}
	}
}
