package scatter

import (
	"context"
	"time"

	"lentilward.org/lentilward/admission"
	"lentilward.org/lentilward/balance"
	"lentilward.org/schema/domain"
)

// lateResultsInterval is the shortest time between two messages with late results, so
// that parts that come together are sent together.
const lateResultsInterval = 5 * time.Millisecond

// runForPeer runs a search, or the parts of one group, as holder: with hedges and retries
// of its own. It emits results once all parts are in; those that it has after
// g.HedgeAfter; those that it has when the answer is due; and later ones as they come. It
// does not hand the search on.
func (e *Engine) runForPeer(ctx context.Context, g Gather, state *balance.Route, admission *admission.Limit, services []*balance.Service, emit func(Partial)) {
	begin, terms := time.Now(), g.Handover
	route := &domain.Route{
		Name: g.Route, Idempotent: true, MaxAttempts: max(1, terms.Attempts), Priority: g.Rank, MaxRecords: g.Results,
		Shards: g.Services, TargetLatency: terms.Target, MinCoverage: terms.Coverage,
	}
	hold := e.NewHold()
	defer hold.Release()
	request := *g.Request
	request.TimeLeft = g.TimeLeft
	task := Task{Request: &request, Route: route, State: state, Admission: admission, Services: services, Begin: begin, Hold: hold}
	if terms.Tenant != "" {
		// The rank of the request is the priority of the route here.
		task.Tenant = &domain.Tenant{Name: terms.Tenant}
	}
	r := newRun(ctx, e, task)
	defer r.finish()
	r.earlyAnswerAt = begin.Add(terms.AnswerIn)
	r.minHedgeDelay = g.HedgeAfter
	r.slackShare = e.HolderShare
	r.restrict(terms.Home)
	refusal := r.checkServerLimits(begin)
	if refusal == nil {
		refusal = r.checkLimit(begin)
	}
	if refusal != nil {
		emit(Partial{Last: true, Refused: true, RetryAfter: refusal.RetryAfter})
		return
	}
	for i, s := range services {
		r.parts[i].service = s
		if !terms.Credited {
			s.Budget.RecordFirstCall(begin)
		}
	}
	r.mayCallBeyond = terms.Beyond
	for i := range r.parts {
		r.startCall(i, begin)
	}
	r.hold(ctx, begin.Add(g.HedgeAfter), emit)
}

// hold runs until every part is reported, the deadline has passed or the context ends.
func (r *run) hold(ctx context.Context, firstResultsAt time.Time, emit func(Partial)) {
	reported := make([]bool, len(r.parts))
	r.timer = time.NewTimer(0)
	defer r.timer.Stop()
	flushAt, answerAt, failureSent := firstResultsAt, r.earlyAnswerAt, false
	for {
		now := time.Now()
		done := r.pendingParts == 0 || !now.Before(r.deadline)
		r.reportLoad(now, done)
		if !now.Before(answerAt) {
			// The run goes on after the answer was due.
			r.earlyAnswerAt = r.deadline
		}
		due := !now.Before(flushAt)
		// Failures are sent together with results: the requester can do nothing about few
		// of them.
		if done || due || r.hasFailed() && !failureSent {
			failureSent = r.hasFailed()
			partial, any := r.collectUnreported(reported, true, false)
			partial.Last = done
			if any || done {
				emit(partial)
			}
		}
		if done {
			return
		}
		if due {
			flushAt = now.Add(lateResultsInterval)
			if now.Before(answerAt) {
				flushAt = answerAt
			}
		}
		wakeAt := r.nextWakeup()
		if flushAt.Before(wakeAt) && (now.Before(answerAt) || r.hasUnreported(reported)) {
			wakeAt = flushAt
		}
		r.timer.Reset(wakeAt.Sub(now))
		select {
		case e := <-r.results:
			r.handleResult(e, time.Now())
			r.handleQueuedResults()
		case i := <-r.wokenParts:
			r.resumeWaiting(i)
		case <-r.timer.C:
			r.startDueCalls(time.Now())
		case <-ctx.Done():
			if context.Cause(ctx) == ErrAbandoned {
				r.abort()
			}
			return
		}
	}
}

// hasFailed reports whether so many parts have failed that the search can't succeed.
func (r *run) hasFailed() bool { return r.repliedParts+r.pendingParts < r.minParts() }

// hasUnreported reports whether parts have ended that were not reported yet.
func (r *run) hasUnreported(reported []bool) bool {
	for i := range r.parts {
		if r.parts[i].closed && !reported[i] {
			return true
		}
	}
	return false
}
