package rollout

import (
	"context"
	"encoding/json"
	"time"

	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/failpoint"
	"mothcleat/internal/monotonic"
)

// Current returns until when this process may act, by the clock of package monotonic, and a
// stamp of what is in force. The time is 0 if the process is shut out.
func (a *Agent) Current() (until time.Duration, stamp uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.LeasedUntil(monotonic.Now()), a.generation
}

// Expired reports whether what was decided under a permit may no longer be done. until and stamp are
// what Acts returned at the decision.
func (a *Agent) Expired(until time.Duration, stamp uint64) bool {
	failpoint.At("permit-taken")
	now := monotonic.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return now >= until || stamp != a.generation || a.holder.LeasedUntil(now) == 0
}

// renewLeases asks for permits until the context ends. Where no answer comes, the permits that are
// held expire by themselves.
func (a *Agent) renewLeases(ctx context.Context) {
	query, err := json.Marshal(a.client.Me())
	if err != nil {
		panic(err) // a plain struct
	}
	repeat(ctx, a.config.RenewInterval, func() {
		if err := a.enrol(ctx); err != nil {
			return
		}
		a.renewLease(ctx, query)
	})
}

// enrol has the fleet count this process as one that holds permits, unless it does already.
func (a *Agent) enrol(ctx context.Context) error {
	a.mu.Lock()
	mustEnrol, gone := a.mustEnrol, a.endedIncarnations
	a.mu.Unlock()
	if !mustEnrol {
		return nil
	}
	if err := a.execute(ctx, configversion.Command{Kind: configversion.KindEnrol, EndedIncarnations: gone}); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mustEnrol = false
	return nil
}

func (a *Agent) renewLease(ctx context.Context, query []byte) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	sent := monotonic.Now()
	raw, err := a.client.Read(ctx, configversion.MachineName, query)
	if err != nil {
		return
	}
	var answer configversion.LeaseResponse
	if err := json.Unmarshal(raw, &answer); err != nil {
		return
	}
	failpoint.At("permit-told")
	a.handleLease(sent, &answer)
}

// handleLease takes in the answer to a query that was sent at the given time.
func (a *Agent) handleLease(sent time.Duration, answer *configversion.LeaseResponse) {
	a.mu.Lock()
	a.holder.HandleLease(monotonic.Now(), sent, answer)
	a.mustEnrol = a.mustEnrol || answer.MustEnrol
	a.mu.Unlock()
	a.apply()
}
