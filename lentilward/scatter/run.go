package scatter

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/memory"
	"lentilward.org/lentilward/suspect"
	"lentilward.org/schema/domain"
)

const (
	// recheckDelay is the delay until a hedge or retry that was not possible is
	// tried again.
	recheckDelay = 12 * time.Millisecond
	// maxCallsPerPart bounds the calls for one part, including those refused.
	maxCallsPerPart = 6
	// deadlineMargin is how long before the caller's deadline a request is given up,
	// so that the answer still reaches the caller. For short requests the margin is
	// at most the time of the request divided by deadlineMarginDivisor.
	deadlineMargin        = 15 * time.Millisecond
	deadlineMarginDivisor = 4
)

// run is the state of one request. One goroutine owns it; calls and gatherers
// report to it through channels.
type run struct {
	engine *Engine
	policy *Policy
	task   Task
	// fingerprint identifies the request among those that are suspected to crash servers.
	fingerprint uint64
	// hasRun is set once a server has answered the request with success. It outlives the run,
	// unlike the request, while servers are watched.
	hasRun *atomic.Bool
	// deadline is when the request is given up. From earlyAnswerAt on it is
	// answered as soon as enough parts have replied.
	deadline, earlyAnswerAt time.Time
	// callDeadline is the deadline of the calls. It does not change, also if deadline is
	// moved, since calls read it.
	callDeadline time.Time
	parts        []part
	// repliedParts counts the parts that have replied, pendingParts those that
	// still may.
	repliedParts, pendingParts int
	results                    chan callResult
	wokenParts                 chan int
	stats                      Stats
	// replyTimes has the reply times of the parts that were called directly.
	replyTimes []time.Duration
	// reported is set once the load that the request has met is reported for the last
	// time. firstReportAt is when the first report is due; zero if it is made.
	reported      bool
	firstReportAt time.Time
	// notRunCalls counts the calls that have certainly not run.
	notRunCalls int
	// cappedHedges counts the hedges that maxHedgedShare bounds.
	cappedHedges int
	// starvedAt is when to refuse the request if nothing was sent because servers name limits;
	// zero if that was checked.
	starvedAt time.Time
	// dialContext bounds the connection attempts of the request; cancelDials ends
	// them.
	dialContext  context.Context
	cancelDials  context.CancelFunc
	timer        *time.Timer
	delegations  []*delegation
	gatherEvents chan gatherEvent
	// handover is set if holders run the search, or this instance as one of them.
	handover *Handover
	handed   []*handedParts
	// refusal is set once a holder has refused the search.
	refusal *domain.Refusal
	// restricted is set if several instances may run the search, so that they must use
	// the same servers.
	restricted *serverOrder
	// mayCallBeyond is set if this instance may call one server of a shard that is beyond
	// these, where they have used up the limits that they name.
	mayCallBeyond bool
	// minHedgeDelay bounds the hedge delay from below.
	minHedgeDelay time.Duration
	// slackShare returns the share of the slack of the retry budget that calls may use.
	slackShare func() float64
}

// callResult is the result of a call: a reply or an error.
type callResult struct {
	call  *call
	reply *domain.Reply
	err   error
}

func newRun(ctx context.Context, e *Engine, t Task) *run {
	deadline := t.Deadline()
	r := &run{
		engine: e, policy: e.policy.Load(), task: t, hasRun: new(atomic.Bool),
		fingerprint: suspect.RequestFingerprint(t.Request, t.TenantName()), deadline: deadline.Add(-min(deadlineMargin, deadline.Sub(t.Begin)/deadlineMarginDivisor)),
		parts: make([]part, len(t.Services)), pendingParts: len(t.Services),
		results: make(chan callResult, len(t.Services)*maxCallsPerPart), wokenParts: make(chan int, len(t.Services)),
		gatherEvents: make(chan gatherEvent, 2*len(t.Services)+6*maxGatherers), slackShare: e.BudgetShare,
	}
	r.dialContext, r.cancelDials = context.WithCancel(context.WithoutCancel(ctx))
	r.endBeforeStop()
	r.callDeadline = r.deadline
	r.planReports()
	r.earlyAnswerAt = r.deadline
	if r.policy.EarlyAnswer && len(t.Route.Shards) > 0 && t.Route.TargetLatency > 0 {
		earlyAnswerAt := t.Begin.Add(t.Route.TargetLatency - r.answerMargin(time.Now()))
		if earlyAnswerAt.Before(r.deadline) {
			r.earlyAnswerAt = earlyAnswerAt
		}
	}
	return r
}

// endBeforeStop moves the deadline to the last answer of an engine that is stopping.
func (r *run) endBeforeStop() {
	if stopAt := r.engine.stopAt.Load(); stopAt != nil && stopAt.Before(r.deadline) {
		r.deadline = *stopAt
	}
}

// loop runs the request until it is answered or refused.
func (r *run) loop(ctx context.Context) (*domain.Answer, *domain.Refusal) {
	now := time.Now()
	if !r.task.Trial {
		r.handover = r.engine.PlanHandover(&r.task)
	}
	for i, s := range r.task.Services {
		r.parts[i].service = s
		if r.handover == nil {
			s.Budget.RecordFirstCall(now)
		}
	}
	if refusal := r.checkFeasible(now); refusal != nil {
		return nil, refusal
	}
	if r.handover != nil {
		r.handOver(now)
	}
	// The holders decide whether there is room for the searches that they run.
	if len(r.handed) == 0 {
		if refusal := r.checkServerLimits(now); refusal != nil {
			return nil, refusal
		}
		if refusal := r.checkLimit(now); refusal != nil {
			return nil, refusal
		}
	}
	r.starvedAt = r.task.Begin.Add(r.deadline.Sub(r.task.Begin) / 2)
	if target := r.task.Route.TargetLatency; target > 0 {
		r.starvedAt = r.task.Begin.Add(target)
	}
	if r.handover == nil {
		r.delegate(now)
	}
	for i := range r.parts {
		if !r.parts[i].gathering {
			r.startCall(i, now)
		}
	}
	r.timer = time.NewTimer(0)
	defer r.timer.Stop()
	stopping := r.engine.stopping
	for {
		now = time.Now()
		done, answer, refusal := r.conclude(now)
		r.reportLoad(now, done)
		if done {
			return answer, refusal
		}
		if refusal := r.refuseStarved(now); refusal != nil {
			return nil, refusal
		}
		wakeAt := r.nextWakeup()
		r.timer.Reset(wakeAt.Sub(now))
		select {
		case e := <-r.results:
			r.handleResult(e, time.Now())
			r.handleQueuedResults()
		case i := <-r.wokenParts:
			r.resumeWaiting(i)
		case e := <-r.gatherEvents:
			r.handleGatherEvent(e, time.Now())
		case <-r.timer.C:
			firedAt := time.Now()
			// A call that was due already says nothing of the timer.
			if wakeAt.After(now) {
				r.engine.lateness.observe(wakeAt, firedAt)
			}
			r.startDueCalls(firedAt)
			r.advanceHandovers(firedAt)
		case <-stopping:
			stopping = nil
			r.endBeforeStop()
		case <-ctx.Done():
			r.abort()
			return nil, &domain.Refusal{Reason: domain.Abandoned, Outcome: r.outcome(), Message: "caller disconnected"}
		}
	}
}

// resumeWaiting starts the call of a part whose waiter was woken.
func (r *run) resumeWaiting(i int) {
	r.parts[i].waiter, r.parts[i].awaitsConnection = nil, false
	r.startCall(i, time.Now())
}

// handleQueuedResults handles the results that are already queued.
func (r *run) handleQueuedResults() {
	for {
		select {
		case e := <-r.results:
			r.handleResult(e, time.Now())
		default:
			return
		}
	}
}

// nextWakeup returns when the next call, the early answer or the deadline is due.
func (r *run) nextWakeup() time.Time {
	at := r.deadline
	if r.repliedParts >= r.minParts() && r.earlyAnswerAt.Before(at) {
		at = r.earlyAnswerAt
	}
	if reportAt := r.nextReport(); !reportAt.IsZero() && reportAt.Before(at) {
		at = reportAt
	}
	if !r.starvedAt.IsZero() && r.starvedAt.Before(at) {
		at = r.starvedAt
	}
	for i := range r.parts {
		p := &r.parts[i]
		if !p.closed && !p.nextCallAt.IsZero() && p.nextCallAt.Before(at) {
			at = p.nextCallAt
		}
	}
	for _, h := range r.handed {
		if !h.nextStepAt.IsZero() && h.nextStepAt.Before(at) {
			at = h.nextStepAt
		}
	}
	return at
}

// startCall starts one more call for a part if one is needed and the retry budget
// and the limits of calls and attempts allow it.
func (r *run) startCall(i int, now time.Time) {
	p := &r.parts[i]
	if p.closed || p.waiter != nil || p.exhausted(r.task.Route) {
		return
	}
	hedge := len(p.calls) > 0 || p.gathering
	if hedge && (!r.policy.Hedge || !r.task.Route.Idempotent || !r.mayHedge(p)) {
		return
	}
	extra := p.startedCalls > 0
	if !extra && p.awaitPermit(now) {
		return
	}
	if !extra && !hedge && r.startProbe(i, now) {
		return
	}
	charged := extra && !p.prepaid
	if charged && !p.service.Budget.Spend(now, r.slackShare(), hedge) {
		p.nextCallAt = now.Add(recheckDelay)
		return
	}
	s := r.acquireServer(p, hedge, now)
	if s == nil {
		if charged {
			p.service.Budget.Refund(now)
		}
		r.waitForSlot(i, hedge, now)
		return
	}
	p.prepaid = false
	r.launchCall(i, s, hedge, charged, now)
}

// handleResult applies the result of a call to its part and starts a retry if
// one is needed.
func (r *run) handleResult(result callResult, now time.Time) {
	p := &r.parts[result.call.partIndex]
	p.removeCall(result.call)
	switch classify(result) {
	case notSent:
		p.attempts--
		r.notRunCalls++
		if result.call.extra {
			p.service.Budget.Refund(now)
		}
	case refused:
		p.attempts--
		p.refusals++
		r.notRunCalls++
	case failed:
		if result.reply != nil {
			p.lastFailure = result.reply
		}
		if errors.Is(result.err, conn.ErrIncompleteReply) || errors.Is(result.err, conn.ErrConnectionReset) {
			r.stats.ConnectionsLost++
		}
		// Another call would find no memory either.
		if !r.task.Route.Idempotent || errors.Is(result.err, memory.ErrExhausted) {
			r.close(p)
			return
		}
		p.awaitsConnection = errors.Is(result.err, conn.ErrConnectionReset)
	case succeeded:
		if !p.closed {
			p.reply = result.reply
			r.replyTimes = append(r.replyTimes, now.Sub(*result.call.sentAt.Load()))
			r.repliedParts++
			r.close(p)
		}
		return
	}
	if p.closed || len(p.calls) > 0 || p.gathering {
		return
	}
	p.nextCallAt = time.Time{}
	if p.exhausted(r.task.Route) {
		r.close(p)
		return
	}
	r.startCall(result.call.partIndex, now)
}
