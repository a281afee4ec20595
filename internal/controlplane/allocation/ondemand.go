package allocation

import (
	"math"
	"time"

	"mothcleat/internal/controlplane/controlpb"
)

const (
	// roundRetryDelay is the delay before a request that waits for a round is to be sent again.
	roundRetryDelay = 30 * time.Millisecond

	// grantSmoothing is the weight of the newest request in budgetState.meanGrant.
	grantSmoothing = 0.1
)

// Reasons in responses, for logs.
const (
	reasonWrongShard = "the request is invalid, or not for this shard"
	reasonTransfer   = "the leadership of the shard is being transferred"
	reasonLaterTerm  = "a leader of a later term is known"
)

// GrantOnDemand grants units of the pool to a waiting request, all of them or none. If AwaitRound
// is set in the response, there are enough units, but a round has to reduce the carryover first.
func (l *Leader) GrantOnDemand(now time.Duration,
	request *controlpb.OnDemandRequest) *controlpb.OnDemandResponse {
	limit := shareOf(request.Limit)
	if request.Role != l.role || !limit.valid() || limit.isZero() || !(request.Units > 0) {
		return &controlpb.OnDemandResponse{Code: controlpb.Code_REFUSED, Reason: reasonWrongShard}
	}
	if l.closing {
		return &controlpb.OnDemandResponse{Code: controlpb.Code_NOT_LEADER, Reason: reasonTransfer}
	}
	b := l.budget(request.Budget, limit, int(request.MaxMembers))
	record := l.memberRecord(now, memberOf(request.Member))
	started := l.startTime(now, record, request.Age)
	l.updateLimit(request.Budget, b, limit, request.LimitVersion, started)
	free := l.pool(now, b)
	b.meanGrant += (request.Units - b.meanGrant) * grantSmoothing
	remaining := b.bucket.level - request.Units
	if remaining >= 0 && remaining < math.Max(b.carryover, b.proposedCarryover) {
		l.dirty[request.Budget] = true
		b.deferredGrant = math.Max(b.deferredGrant, request.Units)
		return &controlpb.OnDemandResponse{Term: l.term, AwaitRound: true,
			RetryAfter: int64(roundRetryDelay)}
	}
	if remaining < 0 {
		l.stats.OnDemandDenials++
		retryAfter := time.Duration(0)
		if free.Rate > 0 {
			retryAfter = time.Duration(-remaining / free.Rate * float64(time.Second))
		}
		return &controlpb.OnDemandResponse{Term: l.term, RetryAfter: int64(max(0, retryAfter))}
	}
	l.stats.OnDemandGrants++
	b.bucket.level = remaining
	if remaining-b.carryover < b.meanGrant {
		l.dirty[request.Budget] = true // the carryover may have to be reduced
	}
	return &controlpb.OnDemandResponse{Granted: true, Term: l.term}
}
