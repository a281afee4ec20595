package distributor

import (
	"log/slog"

	"mothcleat/internal/controlplane/distribution"
)

// saver writes states to disk on its own goroutine. A state that is still waiting when save is
// called again is replaced by the newer one and never written.
type saver struct {
	file stateFile
	log  *slog.Logger
	// states holds the newest state that waits to be written. It is nil if no file is configured.
	states chan *distribution.State
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

// save schedules a state to be written and never blocks. Only one goroutine may call it.
func (s *saver) save(state *distribution.State) {
	if s.states == nil {
		return
	}
	select {
	case <-s.states: // discard an older state that is still waiting
	default:
	}
	s.states <- state
}

// stop writes the last state and returns after run has ended. save must not be called afterwards.
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
