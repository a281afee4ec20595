package rollout

import (
	"context"
	"encoding/json"
	"time"

	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/failpoint"
	"mothcleat/internal/monotonic"
)

// Current returns until when this process may operate under the versions in force, by the clock of
// package monotonic, and the generation of these versions. The time is 0 if the process is fenced.
func (a *Agent) Current() (until time.Duration, generation uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.LeasedUntil(monotonic.Now()), a.generation
}

// Expired reports whether an operation that was decided on under a lease may no longer be carried
// out. until and generation are what Current returned when the decision was made.
func (a *Agent) Expired(until time.Duration, generation uint64) bool {
	failpoint.At("lease-taken")
	a.mu.Lock()
	defer a.mu.Unlock()
	now := monotonic.Now() // read after waiting for the lock
	return now >= until || generation != a.generation || a.holder.LeasedUntil(now) == 0
}

// renewLeases renews the leases until the context ends. Without a response they expire.
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

// enrol enrols this process as a holder of leases if that is due.
func (a *Agent) enrol(ctx context.Context) error {
	a.mu.Lock()
	mustEnrol, ended := a.mustEnrol, a.endedIncarnations
	a.mu.Unlock()
	if !mustEnrol {
		return nil
	}
	command := configversion.Command{Kind: configversion.KindEnrol, EndedIncarnations: ended}
	if err := a.execute(ctx, command); err != nil {
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
	var response configversion.LeaseResponse
	if err := json.Unmarshal(raw, &response); err != nil {
		return
	}
	failpoint.At("lease-renewed")
	a.handleLease(sent, &response)
}

// handleLease handles the response to the lease request that was sent at the time sent.
func (a *Agent) handleLease(sent time.Duration, response *configversion.LeaseResponse) {
	a.mu.Lock()
	a.holder.HandleLease(monotonic.Now(), sent, response)
	a.mustEnrol = a.mustEnrol || response.MustEnrol
	a.mu.Unlock()
	a.apply()
}
