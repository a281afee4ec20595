package scale

import (
	"math"
	"slices"
	"time"

	"mothcleat/internal/dataplane/registry"
)

// sumTraffic sums up the traffic and the resource use of the simulated gateways.
func (f *fleetRun) sumTraffic(before, after []Sample, took time.Duration) {
	r, n, seconds := f.result, float64(f.options.Gateways), took.Seconds()
	r.Seconds = seconds
	roles := map[Role]Traffic{}
	var messages Traffic
	var in, out, resident, heap, processor float64
	for i := range after {
		for role, t := range after[i].Roles {
			t = t.Minus(before[i].Roles[role])
			roles[role] = roles[role].Plus(t)
			messages = messages.Plus(t)
		}
		in += float64(after[i].ConnectionIn - before[i].ConnectionIn)
		out += float64(after[i].ConnectionOut - before[i].ConnectionOut)
		resident += float64(after[i].Usage.ResidentBytes)
		heap += float64(after[i].HeapBytes)
		processor += after[i].Usage.Since(before[i].Usage).ProcessorSeconds
		r.Gateway.RequestsPerSecond += float64(after[i].Requests-before[i].Requests) / seconds / n
		r.Gateway.GrantedOfRequests += float64(after[i].Granted - before[i].Granted)
		r.Gateway.FallbacksPerMinute += float64(
			after[i].Fallbacks-before[i].Fallbacks,
		) / seconds * 60 / n
	}
	if r.Gateway.RequestsPerSecond > 0 {
		r.Gateway.GrantedOfRequests /= r.Gateway.RequestsPerSecond * seconds * n
	}
	g := &r.Gateway
	g.Cores, g.ResidentMB, g.HeapMB = processor/seconds/n, resident/n/(1<<20), heap/n/(1<<20)
	g.BytesInPerSecond, g.BytesOutPerSecond = in/seconds/n, out/seconds/n
	g.MessagesPerSecond = float64(messages.Messages()) / seconds / n
	if messages.Bytes() > 0 {
		r.ConnectionOverhead = (in + out) / float64(messages.Bytes())
	}
	// Bytes outside of messages (headers, flow control, pings) are divided evenly among messages.
	perMessage := math.Max(0, in+out-float64(messages.Bytes())) / math.Max(1,
		float64(messages.Messages()))
	for role, t := range roles {
		r.Roles[role] = Row{
			MessagesPerSecond: float64(t.Messages()) / seconds / n,
			BytesInPerSecond: (float64(t.BytesIn) +
				perMessage*float64(t.MessagesIn)) / seconds / n,
			BytesOutPerSecond: (float64(t.BytesOut) +
				perMessage*float64(t.MessagesOut)) / seconds / n,
		}
	}
}

// sumControl sums up the resource use of the control processes.
func (f *fleetRun) sumControl(before, after []Usage, took time.Duration) {
	leader := f.control.leader()
	for i := range after {
		u := after[i].Since(before[i])
		one := Process{
			Name:      controlName(i),
			Leads:     i == leader,
			RolesHeld: f.control.rolesHeld(i),
			Cores:     u.ProcessorSeconds / took.Seconds(),
			ResidentMB: float64(
				u.ResidentBytes,
			) / (1 << 20),
			PeakMB: float64(u.PeakBytes) / (1 << 20),
			ReadBytesPerSecond: float64(
				u.ReadBytes,
			) / took.Seconds(),
			WrittenBytesPerSecond: float64(u.WrittenBytes) / took.Seconds(),
		}
		f.result.ControlProcesses = append(f.result.ControlProcesses, one)
		f.result.ControlCores += one.Cores
	}
}

// changeDelays holds the delays until changes reached gateways, in a run or one interval of it.
type changeDelays struct{ all, drains, plans []time.Duration }

// add records the delay of a change that reached one gateway.
func (d *changeDelays) add(c *change, delay time.Duration) {
	if c.version > 0 {
		d.plans = append(d.plans, delay)
		return
	}
	d.all = append(d.all, delay)
	if c.phase == registry.Terminating {
		d.drains = append(d.drains, delay)
	}
}

// sumChanges sums up the delays until changes reached gateways, and counts the lost ones.
func (f *fleetRun) sumChanges(settled []Sample) {
	r := f.result
	first := map[Arrival]int64{} // key: an arrival with At = 0
	for _, a := range f.arrivals {
		key := a
		key.At = 0
		if was, ok := first[key]; !ok || a.At < was {
			first[key] = a.At
		}
	}
	newest := map[string]string{} // last phase of each server
	var lastVersion uint64
	for _, c := range f.changes {
		if c.version > 0 {
			r.PlanVersions++
			lastVersion = max(lastVersion, c.version)
			continue
		}
		r.ServerChanges++
		newest[c.server] = c.phase
	}
	moments := map[time.Time]bool{}
	for _, c := range f.changes {
		if c.version == 0 {
			moments[c.at] = true
		}
	}
	r.ListChanges = len(moments)
	var run changeDelays
	var rack []time.Duration
	intervals := map[*Interval]*changeDelays{}
	for i := range f.changes {
		c := &f.changes[i]
		interval := intervals[f.intervalOf(c.at)]
		if interval == nil {
			interval = &changeDelays{}
			intervals[f.intervalOf(c.at)] = interval
		}
		for g := range f.options.Gateways {
			at, ok := first[Arrival{Gateway: g, Server: c.server, Phase: c.phase,
				Version: c.version}]
			delay := time.Unix(0, at).Sub(c.at)
			switch {
			case !ok && c.version == lastVersion && c.version > 0:
				r.LostVersions++
			case !ok && c.version == 0 && newest[c.server] == c.phase:
				r.LostChanges++
			case !ok: // superseded by a newer change
			default:
				run.add(c, delay)
				interval.add(c, delay)
				if c.rack {
					rack = append(rack, delay)
				}
			}
		}
	}
	r.InForce = delaysOf(run.all)
	r.Draining = delaysOf(run.drains)
	r.Rack = delaysOf(rack)
	r.PlansInForce = delaysOf(run.plans)
	for interval, delays := range intervals {
		if interval != nil {
			interval.InForce = delaysOf(delays.all)
			interval.Draining = delaysOf(delays.drains)
			interval.PlansInForce = delaysOf(delays.plans)
		}
	}
	r.Intervals = f.intervals
	r.ProposalsRefused = f.refused
	f.sumStates(settled)
	if n := r.ListChanges; n > 0 {
		list := r.Roles[RoleList]
		r.BytesPerListChange = (list.BytesInPerSecond +
			list.BytesOutPerSecond) * r.Seconds / float64(
			n,
		)
	}
}

// sumStates counts the gateways whose final state is not the expected one.
func (f *fleetRun) sumStates(settled []Sample) {
	digest, _ := f.register.Digest()
	for _, s := range settled {
		for _, g := range s.Gateways {
			if f.options.Parts.List && g.Digest != digest {
				f.result.Diverged++
			}
			if f.options.Path == PathDelta && f.options.Parts.List {
				f.result.StaleOperations = max(0, f.result.StaleOperations) + g.Stale
			}
			if f.options.Parts.Configuration && !g.MayOperate {
				f.result.GatewaysNotActing++
			}
		}
	}
}

// delaysOf returns the quantiles of the delays.
func delaysOf(all []time.Duration) Delays {
	if len(all) == 0 {
		return Delays{}
	}
	slices.Sort(all)
	at := func(p float64) float64 {
		return milliseconds(all[min(len(all)-1,
			int(p*float64(len(all))))])
	}
	return Delays{Count: len(all), P50: at(0.5), P99: at(0.99), Max: milliseconds(all[len(all)-1])}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
