package distributor

import (
	"slices"
	"sync"

	"mothcleat/internal/dataplane/registry"
)

// directSources are this process's sources that watch the registry directly. All of them use the
// same address of the registry. Its methods are safe for concurrent use.
type directSources struct {
	newSource func() (registry.Source, error)

	mu      sync.Mutex
	running []registry.Source
	// movedTo is the address of the last call of move; empty if there was none.
	movedTo string
}

// open creates a source. Calls of move apply to it until release is called.
func (d *directSources) open() (source registry.Source, release func(), err error) {
	source, err = d.newSource()
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

// close removes a source from those that move applies to.
func (d *directSources) close(source registry.Source) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running = slices.DeleteFunc(d.running, func(other registry.Source) bool {
		return other == source
	})
}

// move sets the address of the registry for all running sources and for those opened later.
func (d *directSources) move(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.movedTo = address
	for _, source := range d.running {
		source.Move(address)
	}
}
