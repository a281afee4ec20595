// Package consul implements a registry.Source that follows a service in Consul's health and catalog
// APIs by blocking queries.
package consul

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"mothcleat/internal/dataplane/membership"
	"mothcleat/internal/dataplane/registry"
)

const tickInterval = time.Second

// Source follows one service in Consul. It implements registry.Source.
type Source struct {
	settings Settings
	token    string // "": none
	client   *http.Client
	table    *membership.Table // used only by the goroutine of Run
	log      *slog.Logger
	moved    chan []string // holds the agents of the newest Move until Run applies them
	now      func() membership.Time
}

// New returns a source. It reads the files named in the settings. Its error names the invalid
// setting, and never contains a token.
func New(settings Settings, log *slog.Logger) (*Source, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	table, err := membership.New(settings.Membership)
	if err != nil {
		return nil, err
	}
	s := &Source{
		settings: settings,
		table:    table,
		log:      log,
		moved:    make(chan []string, 1),
		now:      func() membership.Time { return time.Now().UnixMicro() },
	}
	if s.token, err = settings.readToken(); err != nil {
		return nil, err
	}
	if s.client, err = settings.newClient(); err != nil {
		return nil, err
	}
	return s, nil
}

// Check makes a call that does not wait to each agent in turn, until one answers, and returns the
// number of instances. If no agent answers, it returns the error of the last one.
func (s *Source) Check(ctx context.Context) (instances int, err error) {
	for _, agent := range s.settings.Agents {
		list, _, callErr := s.fetch(ctx, membership.HealthView, agent, 0)
		if callErr == nil {
			return len(list), nil
		}
		err = fmt.Errorf("register: agent %s: %w", agent, callErr)
	}
	return 0, err
}

// Follow does nothing: Consul answers every caller.
func (s *Source) Follow() {}

// Move makes the source follow the service at other agents, given as HOST:PORT and separated by
// commas.
func (s *Source) Move(agents string) {
	select {
	case <-s.moved:
	default:
	}
	s.moved <- strings.Split(agents, ",")
}

// Run follows the service until the context ends.
func (s *Source) Run(ctx context.Context, notify func(registry.Update)) {
	watches := watchGroup{source: s, updates: make(chan viewUpdate)}
	watches.start(ctx, s.settings.Agents)
	defer watches.stop()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	announced := false // whether the complete list was announced
	holding := false
	for {
		var changed []membership.Server
		healthListed := false
		select {
		case <-ctx.Done():
			return
		case agents := <-s.moved:
			watches.stop()
			watches.start(ctx, agents)
			continue
		case <-tick.C:
			changed = s.table.Tick(s.now())
		case u := <-watches.updates:
			if u.generation != watches.generation {
				continue
			}
			changed = s.table.Apply(s.now(), u.list)
			healthListed = u.list.View == membership.HealthView
		}
		holding = s.logHolding(holding)
		switch {
		case !announced && healthListed:
			announced = true
			all := members(s.table.Servers())
			notify(registry.Update{Kind: registry.CompleteList, Members: all})
		case announced && len(changed) > 0:
			notify(registry.Update{Kind: registry.Delta, Members: members(changed)})
		}
	}
}

// logHolding logs when the source begins or stops to hold back an empty list. It returns whether
// one is held back.
func (s *Source) logHolding(before bool) bool {
	_, holding := s.table.Holding()
	if holding == before {
		return holding
	}
	if holding {
		hold := time.Duration(s.settings.Membership.EmptyListHold) * time.Microsecond
		s.log.Warn("register: the list is empty all at once; the servers stay", "for", hold)
	} else {
		s.log.Info("register: an empty list is no longer held back")
	}
	return holding
}

// members converts servers to the form of the platform's discovery.
func members(servers []membership.Server) []registry.Member {
	phases := [...]string{
		membership.Ready:    registry.Ready,
		membership.Draining: registry.Terminating,
		membership.Gone:     registry.Gone,
	}
	list := make([]registry.Member, 0, len(servers))
	for _, s := range servers {
		list = append(list, registry.Member{
			ID:       s.Name,
			HostPort: s.Address,
			Locality: s.Zone,
			Cell:     s.Cell,
			Phase:    phases[s.Phase],
			Size:     s.Size,
			UpSince:  s.Started / 1000,
		})
	}
	return list
}
