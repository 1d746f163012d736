package scatter

import (
	"math/rand/v2"
	"slices"
	"time"

	"lentilward.org/schema/domain"
)

// minReportedParts is the number of parts called directly from which a search reports
// the load that it has met.
const minReportedParts = 3

// checkLimit refuses a search for which the servers have no room.
func (r *run) checkLimit(now time.Time) *domain.Refusal {
	if !r.reportsLoad() {
		return nil
	}
	retryAfter, ok := r.task.Admission.AdmitFor(r.tenant(), r.task.Route.Name, r.task.priority(), now)
	if ok {
		return nil
	}
	r.reported = true
	return &domain.Refusal{
		Reason: domain.Overloaded, Outcome: domain.NotRun, RetryAfter: retryAfter, Message: "backend servers are overloaded",
	}
}

const (
	// tokenWaitDivisor is the inverse of the part of the target latency for which a request
	// may wait until the limits that servers name permit its calls, and untargetedWaitDivisor
	// of its time left where it has no target. Longer queues would only make all requests
	// late: the limits do not rise with the load.
	tokenWaitDivisor      = 2
	untargetedWaitDivisor = 4
)

// checkServerLimits refuses a request at once if the servers name limits that are used up
// for so long that it would be late.
func (r *run) checkServerLimits(now time.Time) *domain.Refusal {
	allowed := r.deadline.Sub(now) / untargetedWaitDivisor
	if target := r.task.Route.TargetLatency; target > 0 {
		allowed = min(allowed, target/tokenWaitDivisor)
	}
	var delays []time.Duration
	for _, s := range r.task.Services {
		if delay := s.TokenDelay(r.task.priority(), now); delay > allowed {
			delays = append(delays, delay)
		}
	}
	lacking := r.minParts() - (len(r.task.Services) - len(delays))
	if lacking <= 0 || len(delays) == 0 {
		return nil
	}
	slices.Sort(delays)
	delay := delays[min(lacking, len(delays))-1]
	r.reported = true
	return &domain.Refusal{
		Reason: domain.Overloaded, Outcome: domain.NotRun, RetryAfter: delay + rand.N(delay/2+1),
		Message: "backend servers have got as many requests as they take",
	}
}

// refuseStarved refuses a request, once its target latency has passed or half of its time
// where it has none, of which nothing was sent because servers name limits: later requests
// that can meet their targets go first.
func (r *run) refuseStarved(now time.Time) *domain.Refusal {
	if r.starvedAt.IsZero() || now.Before(r.starvedAt) {
		return nil
	}
	r.starvedAt = time.Time{}
	if r.stats.Calls > r.notRunCalls || r.stats.Delegated > 0 {
		return nil
	}
	return r.checkServerLimits(now)
}

// reportsLoad reports whether the request is a search whose services have a limit.
func (r *run) reportsLoad() bool { return r.task.Admission != nil && len(r.task.Route.Shards) > 0 }

// planReports plans when to report the load: once when it is late enough to tell that
// the queues are long, and once when the search is done or must be answered early.
func (r *run) planReports() {
	r.reported = !r.reportsLoad()
	if r.reported {
		return
	}
	if maxMedian := r.task.Admission.MaxMedian(r.task.Route.Name); maxMedian > 0 {
		r.firstReportAt = r.task.Begin.Add(maxMedian)
	}
}

// nextReport returns when the next report is due if the search is not done before;
// zero if none is.
func (r *run) nextReport() time.Time {
	switch {
	case r.reported:
		return time.Time{}
	case !r.firstReportAt.IsZero():
		return r.firstReportAt
	}
	return r.earlyAnswerAt
}

// reportLoad makes the reports that are due. The first one is made only if it shows
// congestion; the last one tells how much.
func (r *run) reportLoad(now time.Time, done bool) {
	if r.reported {
		return
	}
	if !done && !r.firstReportAt.IsZero() && !now.Before(r.firstReportAt) {
		if median, ok := r.medianReplyTime(now); ok && median >= r.firstReportAt.Sub(r.task.Begin) {
			r.observeLoad(median, now)
		}
		r.firstReportAt = time.Time{}
	}
	if !done && now.Before(r.earlyAnswerAt) {
		return
	}
	r.reported = true
	if median, ok := r.medianReplyTime(now); ok {
		r.observeLoad(median, now)
	}
}

func (r *run) observeLoad(median time.Duration, now time.Time) {
	refused := false
	for i := range r.parts {
		p := &r.parts[i]
		refused = refused || p.reply == nil && p.merged == nil && (p.refusals > 0 || p.awaitsConnection)
	}
	refused = refused && r.repliedParts < r.minParts() && !now.Before(r.earlyAnswerAt)
	r.task.Admission.Observe(r.task.Route.Name, r.task.Route.TargetLatency, median, refused, now)
}

// medianReplyTime returns the median reply time of the parts that were called directly,
// without the time to connect. Parts without a reply count with the time that they have
// waited.
func (r *run) medianReplyTime(now time.Time) (median time.Duration, ok bool) {
	times := slices.Clone(r.replyTimes)
	for i := range r.parts {
		p := &r.parts[i]
		if p.reply != nil || p.merged != nil || p.gathering {
			continue
		}
		if len(p.calls) == 0 {
			if p.waiter != nil || p.refusals > 0 {
				times = append(times, now.Sub(r.task.Begin))
			}
		} else if sentAt := p.calls[0].sentAt.Load(); sentAt != nil {
			times = append(times, now.Sub(*sentAt))
		}
	}
	if len(times) < minReportedParts {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)/2], true
}
