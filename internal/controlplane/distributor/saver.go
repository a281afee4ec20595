package distributor

import (
	"log/slog"

	"mothcleat/internal/controlplane/distribution"
)

// saver writes states to disk on a goroutine of its own: the newest that it was given counts.
type saver struct {
	file   stateFile
	log    *slog.Logger
	states chan *distribution.State // nil: nothing is kept
	done   chan struct{}
}

func (s *saver) start(file stateFile, log *slog.Logger) {
	if file.path == "" {
		return
	}
	s.file, s.log = file, log
	s.states, s.done = make(chan *distribution.State, 1), make(chan struct{})
	go s.run()
}

// save has a state written soon; it never waits. It is called from one goroutine.
func (s *saver) save(state *distribution.State) {
	if s.states == nil {
		return
	}
	select {
	case <-s.states: // an older one that was not begun yet
	default:
	}
	s.states <- state
}

// stop has the last state written, and returns when it is.
func (s *saver) stop(last *distribution.State) {
	if s.states == nil {
		return
	}
	s.save(last)
	close(s.states)
	<-s.done
}

func (s *saver) run() {
	defer close(s.done)
	var saved distribution.Position
	for state := range s.states {
		if state.Empty() || state.Position() == saved {
			continue
		}
		if err := s.file.save(state); err != nil {
			s.log.Error("fleet: the control state can't be kept on disk", "error", err)
			continue
		}
		saved = state.Position()
	}
}
