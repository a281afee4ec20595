package distributor

import (
	"slices"
	"sync"

	"mothcleat/internal/dataplane/registry"
)

// directSources are the sources of this process that ask the register itself, which move together.
type directSources struct {
	make func() (registry.Source, error)

	mu      sync.Mutex
	running []registry.Source
	movedTo string // the last address; "": none was told
}

// open makes a source that moves with the others until closed is called.
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

// close has a source move no more.
func (d *directSources) close(source registry.Source) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running = slices.DeleteFunc(d.running, func(other registry.Source) bool {
		return other == source
	})
}

// move has the register followed at another address, by all that run and all that are opened later.
func (d *directSources) move(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.movedTo = address
	for _, source := range d.running {
		source.Move(address)
	}
}
