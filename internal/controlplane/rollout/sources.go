package rollout

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/monotonic"
)

// sourceSample is the number of sampled processes to fetch contents from, in addition to the
// voters.
const sourceSample = 8

// sourceSet has the processes that contents may be fetched from, and when this list was queried.
type sourceSet struct {
	members []consensus.MemberInfo
	voters  []consensus.VoterInfo
	at      time.Duration // by the clock of package monotonic
}

// refreshSources queries the processes to fetch contents from, unless a query succeeded within the
// last sourceRefreshInterval. If the query fails, the earlier list is kept.
func (a *Agent) refreshSources(ctx context.Context) {
	known := a.sourceSet.Load()
	if known != nil && len(known.members) > 0 && monotonic.Now()-known.at < sourceRefreshInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sourceQueryTimeout)
	defer cancel()
	query := consensus.MembershipQuery{Scope: consensus.ScopeSample, Sample: sourceSample,
		Seed: rand.Uint64()}
	raw, err := a.client.Read(ctx, consensus.MembershipName, query.Encode())
	if err != nil {
		a.log.Debug("fleet: versions: failed to query the processes to fetch from", "error", err)
		return
	}
	answer, err := consensus.ParseMembershipAnswer(raw)
	if err != nil {
		a.log.Warn("fleet: versions: failed to query the processes to fetch from", "error", err)
		return
	}
	a.sourceSet.Store(&sourceSet{answer.Members, answer.Voters, monotonic.Now()})
}

// sources returns the other processes in the order in which to fetch from them: first a random one,
// to spread the load of a new content; then the voters, because most of them have a proposed
// content; then the others.
func (a *Agent) sources() (sources []consensus.MemberInfo) {
	known := a.sourceSet.Load()
	if known == nil {
		return nil
	}
	for _, i := range rand.Perm(len(known.members)) {
		if m := known.members[i]; m.Address != "" && m.ID != a.client.Me().ID {
			sources = append(sources, m)
		}
	}
	if len(sources) > 1 {
		rank := func(m consensus.MemberInfo) int {
			if slices.ContainsFunc(known.voters,
				func(v consensus.VoterInfo) bool { return v.Name == m.ID }) {
				return 0
			}
			return 1
		}
		slices.SortStableFunc(sources[1:], func(a, b consensus.MemberInfo) int {
			return rank(a) - rank(b)
		})
	}
	return sources
}
