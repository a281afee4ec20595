package rollout

import (
	"slices"
	"time"

	"mothcleat/internal/controlplane/configstate"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/failpoint"
	"mothcleat/internal/monotonic"
)

// appliedRefs names what was passed to Item.Use.
type appliedRefs struct {
	target      configversion.Ref
	overlapping []configversion.Ref
}

func (r appliedRefs) equal(other appliedRefs) bool {
	return r.target == other.target && slices.Equal(r.overlapping, other.overlapping)
}

// application is one call of Item.Use that is due.
type application struct {
	name string
	item Item
	refs appliedRefs
}

// apply passes what holds now and is here to its items, and logs whether this process is shut out.
func (a *Agent) apply() {
	a.applying.Lock()
	defer a.applying.Unlock()
	for _, due := range a.collectDue() {
		target, beside, err := a.readContents(due.item, due.refs)
		if err != nil {
			a.log.Error("fleet: versions: a content can't be read any more", "item", due.name, "error", err)
			a.markLost(due.refs.target.Digest)
			continue
		}
		a.markApplied(due)
		failpoint.At("version-before-force")
		due.item.Use(target, beside, applicationOrder(due.refs), func() { a.putInForce(due.name, due.refs.target) })
	}
}

// collectDue returns the applications that are due. It reads no contents: whoever asks for a permit waits for mu.
func (a *Agent) collectDue() (all []application) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := monotonic.Now()
	for _, name := range a.holder.Items() {
		if due, ok := a.nextApplication(now, name); ok {
			all = append(all, due)
		}
	}
	a.logFencing(now)
	return all
}

// nextApplication returns the application of an item that is due, if one is. Called with mu held.
func (a *Agent) nextApplication(now time.Duration, name string) (due application, ok bool) {
	target, beside, complete, ok := a.holder.NextToApply(now, name)
	item := a.items[name]
	if !ok || !complete || item == nil {
		return application{}, false
	}
	refs := appliedRefs{target, beside}
	if last, known := a.applied[name]; known && last.equal(refs) {
		return application{}, false
	}
	return application{name, item, refs}, true
}

// markApplied takes in that an application is passed to its item.
func (a *Agent) markApplied(due application) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applied[due.name] = due.refs
}

// markLost has a content be wanted again.
func (a *Agent) markLost(digest string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.ContentLost(digest)
}

// applicationOrder is the order that Item.Use gets: a version alone comes after the same version
// beside earlier ones.
func applicationOrder(refs appliedRefs) uint64 {
	order := 2 * refs.target.Number
	if len(refs.overlapping) == 0 {
		order++
	}
	return order
}

// putInForce takes in that an item's version decides from now on.
func (a *Agent) putInForce(name string, target configversion.Ref) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.holder.InForce()[name]
	a.holder.SetInForce(monotonic.Now(), name, target.Number)
	if a.holder.InForce()[name] == before {
		return
	}
	a.generation++
	a.log.Info("fleet: version in force", "item", name, "number", target.Number, "before", before,
		"digest", target.Digest)
	if a.onChange != nil {
		a.onChange(a.holder.InForce())
	}
}

// logFencing logs each change of whether this process is shut out. Called with mu held.
func (a *Agent) logFencing(now time.Duration) {
	why := a.holder.FencedReason(now)
	fenced := why != ""
	if fenced == a.fenced {
		return
	}
	a.fenced = fenced
	if fenced {
		a.log.Warn("fleet: shut out: this gateway acts on nothing", "why", why)
	} else {
		a.log.Info("fleet: let in: this gateway acts")
	}
}

// readContents returns the contents of a target and of what stands beside it.
func (a *Agent) readContents(item Item, refs appliedRefs) (target *configstate.Version, beside []*configstate.Version, err error) {
	if target, err = a.readContent(item, refs.target); err != nil {
		return nil, nil, err
	}
	for _, ref := range refs.overlapping {
		one, err := a.readContent(item, ref)
		if err != nil {
			return nil, nil, err
		}
		beside = append(beside, one)
	}
	return target, beside, nil
}

// readContent returns a content that was checked, and nil for what this process has by its own configuration.
func (a *Agent) readContent(item Item, ref configversion.Ref) (*configstate.Version, error) {
	if ref.Digest == "" {
		return nil, nil
	}
	return a.versions.read(item, ref.Digest)
}
