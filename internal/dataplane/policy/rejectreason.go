package policy

// RejectReason is why a request was rejected.
type RejectReason uint8

// The reasons. ReasonLocalShare is the one that costs a customer units it has bought: this
// gateway's share is empty while the whole bucket, as far as known here, holds the request.
const (
	ReasonLocalShare       RejectReason = iota
	ReasonQuota                         // the whole bucket is empty, as far as known here
	ReasonSharedBucket                  // so is the shared bucket, which the plan may use
	ReasonConcurrencyLimit              // the plan allows no more attempts in flight
	ReasonOverload                      // the back end's capacity is used up
	ReasonCeiling                       // this gateway's part of the ceiling is used up
	ReasonNoBackend                     // no backend may be sent the request
	ReasonAttemptLimit                  // all attempts that may be made have failed
	ReasonTooLate                       // it had waited too long before it arrived
)

// rejectReasonNames are the names of the reasons in the gateway's record of rejections.
var rejectReasonNames = [...]string{
	ReasonLocalShare:       "slice",
	ReasonQuota:            "store",
	ReasonSharedBucket:     "bank0",
	ReasonConcurrencyLimit: "open",
	ReasonOverload:         "load",
	ReasonCeiling:          "ceiling",
	ReasonNoBackend:        "no backend",
	ReasonAttemptLimit:     "attempts",
	ReasonTooLate:          "late",
}

// String returns the reason's name in the gateway's record of rejections.
func (r RejectReason) String() string { return rejectReasonNames[r] }

// OnReject has f called with the reason for each rejection, just before the rejection. It serves
// diagnosis.
func (lb *Balancer) OnReject(f func(id uint64, reason RejectReason)) { lb.onReject = f }

// RemainingQuota returns how many units are left in a customer's whole bucket, as far as known
// here, and how many of them may be consumed here, at the last event. The bucket of a customer that
// is not known is full. Like OnReject it serves diagnosis.
func (lb *Balancer) RemainingQuota(customer uint64) (whole, here float64, known bool) {
	c := lb.customers[customer]
	if c == nil {
		return 0, 0, false
	}
	lb.refill(c)
	return c.bucket.level, lb.available(c), true
}

// reject rejects a request, with advice on when to retry as far as the settings allow it.
func (lb *Balancer) reject(id uint64, retryAfter Time, reason RejectReason) {
	if lb.onReject != nil {
		lb.onReject(id, reason)
	}
	if !lb.settings.RetryAfter {
		retryAfter = 0
	}
	lb.actions.Reject(id, max(0, min(retryAfter, lb.settings.MaxRetryAfter)))
}

// emptyReason returns why a request is outside its customer's quota.
func (lb *Balancer) emptyReason(r *request) RejectReason {
	c := r.customer
	p := &lb.settings.Plans[r.Plan]
	switch {
	case r.deniedByHome && !p.mayExceedQuota():
		return ReasonQuota
	case r.deniedByHome:
		return ReasonSharedBucket
	case p.Rate == 0 || lb.available(c) >= r.Units:
		return ReasonConcurrencyLimit
	case c.bucket.level >= r.Units || lb.isRemote(c):
		return ReasonLocalShare
	case p.mayExceedQuota():
		return ReasonSharedBucket
	}
	return ReasonQuota
}
