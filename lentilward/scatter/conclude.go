package scatter

import (
	"fmt"
	"net/http"
	"time"

	"lentilward.org/lentilward/merge"
	"lentilward.org/schema/domain"
)

// minParts returns the number of parts that a successful answer needs.
func (r *run) minParts() int {
	if len(r.task.Route.Shards) == 0 {
		return 1
	}
	return r.task.Route.MinShards()
}

const (
	// defaultExpectedTime is how long a request of a route without a target latency
	// is expected to take.
	defaultExpectedTime = time.Second
	// stopRetryDelay is the Retry-After of requests that a stopping instance refuses:
	// other instances take them.
	stopRetryDelay = 20 * time.Millisecond
)

// wouldOutlastStop reports whether the engine is stopping and the request is unlikely
// to be answered before that. For a request that may run only once, whose outcome
// would then be unknown, it assumes twice the time.
func (r *run) wouldOutlastStop(now time.Time) bool {
	stopAt := r.engine.stopAt.Load()
	if stopAt == nil || r.deadline.Before(*stopAt) {
		return false
	}
	expected := r.task.Route.TargetLatency
	if expected <= 0 {
		expected = defaultExpectedTime
	}
	if !r.task.Route.Idempotent {
		expected *= 2
	}
	return stopAt.Sub(now) < expected
}

// checkFeasible refuses a request at once if its deadline has passed, if it would
// outlast a stop, or if too few of its services have a reachable backend server.
func (r *run) checkFeasible(now time.Time) *domain.Refusal {
	if !now.Before(r.deadline) {
		return &domain.Refusal{Reason: domain.TimedOut, Outcome: domain.NotRun, Message: "request deadline exceeded"}
	}
	if r.wouldOutlastStop(now) {
		return &domain.Refusal{
			Reason: domain.Stopping, Outcome: domain.NotRun, RetryAfter: stopRetryDelay, Message: "instance is shutting down",
		}
	}
	reachable := 0
	retryAfter := time.Duration(0)
	for i := range r.parts {
		s := r.parts[i].service
		if at, ok := s.ResumesAt(); s.IsReachable(now) || ok && at.Before(r.deadline) {
			reachable++
		} else {
			retryAfter = max(retryAfter, s.RetryAfter(now))
		}
	}
	if reachable >= r.minParts() {
		return nil
	}
	return &domain.Refusal{
		Reason: domain.NoServer, Outcome: domain.NotRun, RetryAfter: retryAfter,
		Message: fmt.Sprintf("%d of %d services have a reachable backend server, need %d", reachable, len(r.parts), r.minParts()),
	}
}

// conclude reports whether the request is done, with its answer or refusal. It is
// done once no pending part can change the result, from earlyAnswerAt on if enough
// parts have replied, and at the deadline.
func (r *run) conclude(now time.Time) (done bool, _ *domain.Answer, _ *domain.Refusal) {
	required := r.minParts()
	expired := !now.Before(r.deadline)
	switch {
	case r.refusal != nil && r.repliedParts == 0:
		return true, nil, r.refusal
	case r.pendingParts == 0 && r.repliedParts >= required, expired && r.repliedParts >= required, !now.Before(r.earlyAnswerAt) && r.repliedParts >= required:
		return true, r.buildAnswer(), nil
	case r.repliedParts+r.pendingParts < required:
		if reply := r.forwardableFailure(); reply != nil {
			return true, &domain.Answer{Reply: reply}, nil
		}
		return true, nil, r.buildRefusal(now, domain.Failed, "backend servers unreachable or failed")
	case expired:
		return true, nil, r.buildRefusal(now, domain.TimedOut, "request deadline exceeded")
	}
	return false, nil, nil
}

func (r *run) buildAnswer() *domain.Answer {
	if len(r.task.Route.Shards) == 0 {
		return &domain.Answer{Reply: r.parts[0].reply}
	}
	a := &domain.Answer{Proofs: make([]string, 0, r.repliedParts)}
	top := merge.NewTop(r.task.Route.MaxRecords)
	addedMerged := make(map[*mergedParts]bool)
	for i := range r.parts {
		reply, merged := r.parts[i].reply, r.parts[i].merged
		if merged != nil {
			if !addedMerged[merged] {
				addedMerged[merged] = true
				a.Proofs = append(a.Proofs, merged.proofs...)
				top.Add(merged.records)
			}
			continue
		}
		if reply == nil {
			a.MissingShards++
			if len(r.stats.MissingServices) < maxNamedMissing {
				r.stats.MissingServices = append(r.stats.MissingServices, r.parts[i].describeMissing())
			}
			continue
		}
		a.Proofs = append(a.Proofs, reply.Proof)
		top.Add(reply.Body)
	}
	a.Records = top.Bytes()
	r.stats.Missing = a.MissingShards
	return a
}

// maxNamedMissing bounds the missing services that Stats names.
const maxNamedMissing = 3

// describeMissing names the service of a missing part and says why the part is
// missing.
func (p *part) describeMissing() string {
	reason := "not called"
	switch {
	case p.closed:
		reason = "failed"
	case p.waiter != nil:
		reason = "waiting for a free slot"
	case len(p.calls) > 0:
		reason = "no reply yet"
	case p.gathering:
		reason = "waiting for the gatherer"
	}
	return fmt.Sprintf("%s: %s after %d calls", p.service.Name, reason, p.startedCalls)
}

// forwardableFailure returns the failed reply of a server to forward to the
// caller, or nil. A reply is not forwarded if its status implies that the request
// has not run, since that is not certain, or if it has no proof.
func (r *run) forwardableFailure() *domain.Reply {
	if len(r.task.Route.Shards) > 0 {
		return nil
	}
	failure := r.parts[0].lastFailure
	if failure == nil || failure.Proof == "" || statusImpliesNotRun(failure.Status) {
		return nil
	}
	return failure
}

func statusImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

// outcome returns what is certain about whether the request has run.
func (r *run) outcome() domain.Outcome {
	switch {
	case r.repliedParts > 0:
		return domain.Ran
	case r.stats.Calls > r.notRunCalls || r.stats.Delegated > 0:
		return domain.Unknown
	}
	return domain.NotRun
}

func (r *run) buildRefusal(now time.Time, reason domain.Reason, message string) *domain.Refusal {
	refusal := &domain.Refusal{Reason: reason, Outcome: r.outcome(), Message: message}
	if refusal.Outcome == domain.NotRun {
		for i := range r.parts {
			if r.parts[i].reply == nil {
				refusal.RetryAfter = max(refusal.RetryAfter, r.parts[i].service.RetryAfter(now))
			}
		}
	}
	if len(r.task.Route.Shards) > 0 && reason == domain.Failed {
		refusal.Reason = domain.Incomplete
		refusal.Message = fmt.Sprintf("%d of %d shards replied, need %d", r.repliedParts, len(r.parts), r.minParts())
	}
	return refusal
}
