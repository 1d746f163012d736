package scatter

import (
	"net/netip"
	"time"
)

const (
	// nearMargin and farMargin are how long before the answer is due the results of a
	// holder should be sent: two hops of 0.2 or 0.9 ms, and the time until both machines
	// get to run.
	nearMargin = 3 * time.Millisecond
	farMargin  = 5 * time.Millisecond
	// targetPerHolderMargin bounds the margin for short targets.
	targetPerHolderMargin = 10
	// firstResultsShare is the share of the time allowed after which a holder sends what
	// it has, if parts are missing. It shows that the holder is alive.
	firstResultsShare = 0.4
	// secondHolderShare is the share after which another holder is asked if nothing has
	// come, and directCallShare the same share of what is left then.
	secondHolderShare = 0.55
	directCallShare   = 0.65
	// connectWaitShare is the share of the time until the answer for which a search waits
	// for a connection to a holder before servers are called directly: right after the start,
	// direct calls would open a connection for each shard.
	connectWaitShare = 0.4
	// maxHolderTime bounds the time allowed on routes without a target latency.
	maxHolderTime = 500 * time.Millisecond
	// maxHoldersAsked bounds the holders that are asked to run the same parts.
	maxHoldersAsked = 2
	// directRetryDelay is when direct calls for which the retry budget had nothing left
	// are tried again.
	directRetryDelay = 50 * time.Millisecond
)

// handOver asks a holder for each group of parts. Parts without a holder are called
// directly.
func (r *run) handOver(now time.Time) {
	r.slackShare = r.handover.SlackShare
	r.minHedgeDelay = time.Duration(firstResultsShare * float64(r.timeForHolder(false, now)))
	isHanded := make([]bool, len(r.parts))
	for group, parts := range r.handover.Groups {
		h := &handedParts{group: group, parts: parts}
		if !r.askHolder(h, now) {
			if r.mayCallMost(h) && !r.handover.IsConnecting(group) {
				continue
			}
			h.nextStepAt = now.Add(recheckDelay)
		}
		r.handed = append(r.handed, h)
		for _, i := range parts {
			isHanded[i] = true
			r.parts[i].gathering = true
		}
	}
	for i := range r.parts {
		if !isHanded[i] {
			r.parts[i].service.Budget.RecordFirstCall(now)
		}
	}
	if len(r.handed) > 0 {
		// What the queues of the servers are like shows at the holders.
		r.reported = true
		r.restrict(r.handover.DataCentre)
	}
}

// mayCallMost reports whether this instance may call as many of the services itself as
// the search needs.
func (r *run) mayCallMost(h *handedParts) bool {
	callable := len(r.parts) - len(h.parts)
	for _, i := range h.parts {
		if r.parts[i].service.MayConnect() {
			callable++
		}
	}
	return callable >= r.minParts()
}

// timeForHolder returns how long a holder may take until its results must be sent.
func (r *run) timeForHolder(far bool, now time.Time) time.Duration {
	left := r.earlyAnswerAt.Sub(now)
	margin := nearMargin
	if far {
		margin = farMargin
	}
	if target := r.task.Route.TargetLatency; target > 0 {
		return max(left-min(margin, target/targetPerHolderMargin), left/2)
	}
	return min(max(left-margin, left/2), maxHolderTime)
}

// askHolder asks a holder that was not asked yet to run parts, and reports whether one
// could be asked.
func (r *run) askHolder(h *handedParts, now time.Time) bool {
	asked := make([]netip.AddrPort, 0, 2*maxHoldersAsked)
	for _, a := range h.asked {
		asked = append(asked, a.address)
	}
	for range maxHoldersAsked {
		holder, dataCentre, ok := r.handover.Choose(h.group, asked)
		if !ok {
			return false
		}
		if r.startHandover(h, holder, dataCentre, now) {
			return true
		}
		asked = append(asked, holder)
	}
	return false
}

func (r *run) startHandover(h *handedParts, holder netip.AddrPort, dataCentre string, now time.Time) bool {
	route, second := r.task.Route, len(h.asked) > 0
	allowed := r.timeForHolder(dataCentre != r.handover.DataCentre, now)
	home := dataCentre
	if r.restricted != nil {
		home = r.restricted.home
	}
	terms := &HandoverTerms{
		Attempts: route.MaxAttempts, AnswerIn: allowed, Target: route.TargetLatency, Coverage: route.MinCoverage,
		// The calls of a second holder are charged to this instance as extra calls.
		Home: home, Credited: second || r.handover.KeepCredit(),
	}
	if r.reservesAttempt() {
		terms.Beyond = !second
		if second {
			terms.Attempts--
		}
	}
	g := Gather{
		Request: r.task.Request, Route: route.Name, Rank: r.task.priority(), Results: route.MaxRecords,
		HedgeAfter: time.Duration(firstResultsShare * float64(allowed)), TimeLeft: r.deadline.Sub(now), Handover: terms,
	}
	if r.task.Tenant != nil {
		terms.Tenant = r.task.Tenant.Name
	}
	for _, i := range h.parts {
		g.Services = append(g.Services, r.parts[i].service.Name)
	}
	a := &holderAsked{address: holder, askedAt: now, allowed: allowed}
	a.delegation = &delegation{parts: h.parts, handed: h}
	d := a.delegation
	cancel, err := r.engine.StartGather(holder, g, func(p Partial) { r.queueGatherEvent(gatherEvent{from: d, partial: p}) },
		func(err error) { r.queueGatherEvent(gatherEvent{from: d, ended: true, err: err}) })
	if err != nil {
		return false
	}
	d.cancel = cancel
	r.restrict(home)
	r.handover.Begin(holder)
	r.delegations = append(r.delegations, d)
	h.asked = append(h.asked, a)
	share := secondHolderShare
	if second {
		share = directCallShare
	}
	h.nextStepAt = now.Add(time.Duration(share * float64(allowed)))
	for _, i := range h.parts {
		p := &r.parts[i]
		if !second {
			p.startedCalls++
		}
		if !p.closed {
			p.gathering, p.delegation = true, d
		}
	}
	r.stats.Delegated += len(h.parts)
	r.stats.HoldersAsked++
	return true
}

// advanceHandovers takes the next step for parts of which nothing has come in time: it
// asks another holder, or calls servers directly, as far as the retry budget allows.
func (r *run) advanceHandovers(now time.Time) {
	for _, h := range r.handed {
		if h.nextStepAt.IsZero() || now.Before(h.nextStepAt) {
			continue
		}
		h.nextStepAt = time.Time{}
		switch {
		case !r.isMissingAny(h) || r.refusal != nil || h.direct:
		case len(h.asked) == 0:
			r.retryFirstHolder(h, now)
		default:
			r.replaceHolder(h, now)
		}
	}
}

// retryFirstHolder asks a holder if none could be asked before, and calls directly what it
// can once less than half of the time is left.
func (r *run) retryFirstHolder(h *handedParts, now time.Time) {
	if r.askHolder(h, now) {
		return
	}
	waited, left := now.Sub(r.task.Begin), r.earlyAnswerAt.Sub(now)
	if waited < left && !(r.mayCallMost(h) && float64(waited) > connectWaitShare*float64(waited+left)) {
		h.nextStepAt = now.Add(recheckDelay)
		return
	}
	for _, i := range h.parts {
		r.parts[i].service.Budget.RecordFirstCall(now)
	}
	h.direct = true
	r.callDirectly(h, now)
}

// replaceHolder asks another holder in place of one that is late or lost, or calls
// servers directly.
func (r *run) replaceHolder(h *handedParts, now time.Time) {
	last := h.asked[len(h.asked)-1]
	step := HandoverStep{RequestID: r.task.Request.ID, Holder: last.address, After: now.Sub(last.askedAt), Lost: last.ended || last.failed}
	switch {
	case !r.handover.Spend(h.group, now):
		step.BudgetSpent = true
		if last.failed && h.allEnded() {
			// The servers have failed, and nothing else may be tried.
			r.closeFailed(last)
		} else {
			h.nextStepAt = now.Add(directRetryDelay)
		}
	case len(h.asked) < maxHoldersAsked && r.policy.Hedge && r.askHolder(h, now):
		step.Second = h.asked[len(h.asked)-1].address
	default:
		h.direct = true
		step.Direct = r.callDirectly(h, now)
		if !step.Direct {
			r.handover.Refund(h.group, now)
		}
	}
	if !last.logged {
		last.logged = true
		r.handover.OnLate(step)
	}
}

// reservesAttempt reports whether the holder that is asked first may call one server beyond
// those that all instances use.
func (r *run) reservesAttempt() bool {
	return r.handover.SeesLimits && r.task.Route.MaxAttempts > 1
}

// callDirectly calls servers for the parts that are missing, and reports whether there
// are any that this instance may call. The retry budget was charged for one call of each.
func (r *run) callDirectly(h *handedParts, now time.Time) bool {
	route := r.task.Route
	ended, any := h.allEnded(), false
	if r.reservesAttempt() && len(h.asked) > 0 {
		r.restricted.n = route.MaxAttempts - 1
	}
	for _, i := range h.parts {
		p := &r.parts[i]
		if p.closed {
			continue
		}
		p.gathering = !ended
		if p.service.MayConnect() {
			any = true
			p.prepaid = true
			r.startCall(i, now)
		} else if ended {
			r.close(p)
		}
	}
	return any
}

// resumeDirectly goes on with direct calls alone once no holder can send more.
func (r *run) resumeDirectly(h *handedParts, now time.Time) {
	for _, i := range h.parts {
		p := &r.parts[i]
		if p.closed || !p.gathering {
			continue
		}
		p.gathering = false
		switch {
		case len(p.calls) > 0 || p.waiter != nil:
		case !p.service.MayConnect() || p.exhausted(r.task.Route):
			r.close(p)
		default:
			p.nextCallAt = time.Time{}
			r.startCall(i, now)
		}
	}
}
