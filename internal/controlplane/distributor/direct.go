package distributor

import (
	"slices"
	"sync"

	"mothcleat/internal/dataplane/registry"
)

// directSources are the sources of this process that watch the registry directly. They move to a
// new address together.
type directSources struct {
	make func() (registry.Source, error)

	mu      sync.Mutex
	running []registry.Source
	// movedTo is the last address given to move; empty if there was none.
	movedTo string
}

// open creates a source that moves with the others until closed is called.
func (d *directSources) open() (source registry.Source, closed func(), err error) {
	source, err = d.make()
	if err != nil {
		return nil, nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.movedTo != "" {
		source.Move(d.movedTo)
	}
	d.running = append(d.running, source)
	return source, func() { d.close(source) }, nil
}

// close removes a source from those that move.
func (d *directSources) close(source registry.Source) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running = slices.DeleteFunc(d.running, func(other registry.Source) bool {
		return other == source
	})
}

// move moves all running sources, and all that are opened later, to another address of the
// registry.
func (d *directSources) move(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.movedTo = address
	for _, source := range d.running {
		source.Move(address)
	}
}
