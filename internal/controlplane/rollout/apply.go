package rollout

import (
	"slices"
	"time"

	"mothcleat/internal/controlplane/configstate"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/failpoint"
	"mothcleat/internal/monotonic"
)

// appliedRefs identifies the contents of one call of Item.Use.
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

// apply passes contents that are effective and stored here to their items, and logs changes of
// whether this process is fenced.
func (a *Agent) apply() {
	a.applying.Lock()
	defer a.applying.Unlock()
	for _, due := range a.collectDue() {
		target, overlapping, err := a.readContents(due.item, due.refs)
		if err != nil {
			a.log.Error("fleet: versions: a stored content can no longer be read", "item", due.name,
				"error", err)
			a.markLost(due.refs.target.Digest)
			continue
		}
		a.markApplied(due)
		failpoint.At("version-before-force")
		done := func() { a.setInForce(due.name, due.refs.target) }
		due.item.Use(target, overlapping, applicationOrder(due.refs), done)
	}
}

// collectDue returns the applications that are due. It reads no contents, because Current would
// have to wait for mu.
func (a *Agent) collectDue() (applications []application) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := monotonic.Now()
	for _, name := range a.holder.Items() {
		if due, ok := a.nextApplication(now, name); ok {
			applications = append(applications, due)
		}
	}
	a.logFencing(now)
	return applications
}

// nextApplication returns the application that is due for an item; ok is false if none is. The
// caller holds mu.
func (a *Agent) nextApplication(now time.Duration, name string) (due application, ok bool) {
	target, overlapping, complete, ok := a.holder.NextToApply(now, name)
	item := a.items[name]
	if !ok || !complete || item == nil {
		return application{}, false
	}
	refs := appliedRefs{target, overlapping}
	if last, known := a.applied[name]; known && last.equal(refs) {
		return application{}, false
	}
	return application{name, item, refs}, true
}

// markApplied records that an application was passed to its item.
func (a *Agent) markApplied(due application) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applied[due.name] = due.refs
}

// markLost records that a content is lost, so that it is fetched again.
func (a *Agent) markLost(digest string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.ContentLost(digest)
}

// applicationOrder returns the order for Item.Use. A version without overlapping ones comes after
// the same version with overlapping ones.
func applicationOrder(refs appliedRefs) uint64 {
	order := 2 * refs.target.Number
	if len(refs.overlapping) == 0 {
		order++
	}
	return order
}

// setInForce records that a version of an item is in force from now on.
func (a *Agent) setInForce(name string, target configversion.Ref) {
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

// logFencing logs each change of whether this process is fenced. The caller holds mu.
func (a *Agent) logFencing(now time.Duration) {
	why := a.holder.FencedReason(now)
	fenced := why != ""
	if fenced == a.fenced {
		return
	}
	a.fenced = fenced
	if fenced {
		a.log.Warn("fleet: fenced: this gateway operates under no version", "why", why)
	} else {
		a.log.Info("fleet: readmitted: this gateway operates again")
	}
}

// readContents returns the contents of a target and of the versions that overlap with it.
func (a *Agent) readContents(item Item, refs appliedRefs) (
	target *configstate.Version, overlapping []*configstate.Version, err error,
) {
	if target, err = a.readContent(item, refs.target); err != nil {
		return nil, nil, err
	}
	for _, ref := range refs.overlapping {
		version, err := a.readContent(item, ref)
		if err != nil {
			return nil, nil, err
		}
		overlapping = append(overlapping, version)
	}
	return target, overlapping, nil
}

// readContent returns a content that was checked, nil for this process's own configuration.
func (a *Agent) readContent(item Item, ref configversion.Ref) (*configstate.Version, error) {
	if ref.Digest == "" {
		return nil, nil
	}
	return a.versions.read(item, ref.Digest)
}
