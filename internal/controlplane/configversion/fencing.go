package configversion

import "time"

// maxDelayDoublings limits how often the readmission delay of a flapping gateway doubles.
const maxDelayDoublings = 6

// ReasonNoResponseYet is the reason for which a process is fenced until its first lease response.
const ReasonNoResponseYet = "no response from the fleet yet"

// fencing tracks whether a process is fenced: without a valid lease it operates under no version.
// A process that is fenced repeatedly within Config.FlapWindow is readmitted later each time.
type fencing struct {
	fleetReason string        // why the fleet granted no lease; "" if it granted one
	fenced      bool          // whether it is fenced now
	everLeased  bool          // whether it ever had a lease
	fencedAt    time.Duration // when it was last fenced; 0 if never since its first lease
	readmitAt   time.Duration // end of the readmission delay; 0 while it has not begun
	flaps       int           // consecutive times it was fenced again within Config.FlapWindow
	count       uint64        // times it was fenced since its first lease
}

// LeasedUntil returns until when this process may operate under the versions in force, 0 if it is
// fenced. Call it at the last moment before each operation.
func (h *Holder) LeasedUntil(now time.Duration) time.Duration {
	return h.updateFencing(now)
}

// updateFencing fences or readmits this process, and returns the expiry of its lease, 0 if it is
// fenced.
func (h *Holder) updateFencing(now time.Duration) time.Duration {
	f := &h.fencing
	expiry := h.leaseExpiry(now)
	switch {
	case expiry == 0 && !f.fenced:
		f.fence(now, h.config.FlapWindow)
	case expiry == 0:
		f.readmitAt = 0
	case f.fenced:
		if f.readmitAt == 0 {
			f.readmitAt = now + f.readmissionDelay(h.config)
		}
		if now < f.readmitAt {
			return 0
		}
		f.fenced = false
		f.readmitAt = 0
	}
	f.everLeased = f.everLeased || expiry != 0
	return expiry
}

func (f *fencing) fence(now, flapWindow time.Duration) {
	if f.fencedAt != 0 && now-f.fencedAt < flapWindow {
		f.flaps++
	} else {
		f.flaps = 0
	}
	f.fenced = true
	if f.everLeased {
		f.fencedAt = now
		f.count++
	}
}

// readmissionDelay returns how long a process stays fenced after it has leases again.
func (f *fencing) readmissionDelay(c Config) time.Duration {
	if f.flaps == 0 {
		return 0
	}
	return min(c.ReadmissionDelay<<min(f.flaps-1, maxDelayDoublings), c.FlapWindow/2)
}

// leaseExpiry returns until when the leases of all versions in force are valid, 0 if one is not.
func (h *Holder) leaseExpiry(now time.Duration) time.Duration {
	if !h.received || h.fencing.fleetReason != "" || now >= h.expiry {
		return 0
	}
	expiry := h.expiry
	for _, i := range h.items {
		end := i.leases[i.inForce]
		if now >= end {
			return 0
		}
		expiry = min(expiry, end)
	}
	return expiry
}

// FencedReason returns why this process is fenced, "" if it is not.
func (h *Holder) FencedReason(now time.Duration) string {
	switch {
	case h.LeasedUntil(now) != 0:
		return ""
	case !h.received:
		return ReasonNoResponseYet
	case h.fencing.fleetReason != "":
		return h.fencing.fleetReason
	case now >= h.expiry:
		return "no response from the fleet for too long"
	case now < h.fencing.readmitAt:
		return "it was fenced more than once; readmission is delayed"
	}
	for _, item := range h.Items() {
		i := h.items[item]
		if why := i.rejected[i.target.Digest]; why != "" {
			return item + ": " + why
		}
		if i.inForce != i.target.Number {
			return item + ": it lags behind"
		}
	}
	return "its version leases have expired"
}

// FencedCount returns how often this process was fenced since its first lease.
func (h *Holder) FencedCount() uint64 { return h.fencing.count }
