package scatter

import (
	"errors"
	"net/netip"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/schema/domain"
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
	// maxHolderTime bounds the time allowed on routes without a target latency.
	maxHolderTime = 500 * time.Millisecond
	// maxHoldersAsked bounds the holders that are asked to run the same parts.
	maxHoldersAsked = 2
	// directRetryDelay is when direct calls for which the retry budget had nothing left
	// are tried again.
	directRetryDelay = 50 * time.Millisecond
)

// Handover is how a search is handed to holders: instances that keep connections to the
// servers of its services.
type Handover struct {
	// Groups has the indexes of the parts that one holder runs. Parts in no group are
	// called by this instance.
	Groups [][]int
	// DataCentre is the data centre of this instance.
	DataCentre string
	// Choose chooses a holder for a group, other than those that were asked.
	Choose func(group int, asked []netip.AddrPort) (holder netip.AddrPort, far, ok bool)
	// KeepCredit reports whether the first calls of the search count for the retry budget
	// of this instance and not for that of the holder.
	KeepCredit func(group int, now time.Time) bool
	// Spend takes one more call for each part of a group from the retry budget, and
	// reports whether it was available. Refund gives it back.
	Spend  func(group int, now time.Time) bool
	Refund func(group int, now time.Time)
	// SlackShare is this instance's share of the slack of retry budgets.
	SlackShare func() float64
	// Begin is called when a holder is asked, and End when it has answered or is no
	// longer waited for.
	Begin func(holder netip.AddrPort)
	End   func(holder netip.AddrPort, o HandoverOutcome)
	// OnLate is called when a holder is late or lost and step is taken.
	OnLate func(step HandoverStep)
}

// HandoverOutcome is how a hand-over ended.
type HandoverOutcome struct {
	// Answered is set if most results have come, after the time Took; Allowed is the time
	// in which they should come.
	Answered      bool
	Took, Allowed time.Duration
	// Undecided is set if the search ended before the holder could answer.
	Undecided bool
}

// HandoverStep is what is done about a holder that is late or lost.
type HandoverStep struct {
	RequestID string
	Holder    netip.AddrPort
	After     time.Duration
	// Lost is set if the holder ended the search without all results.
	Lost bool
	// Second is the holder that is asked in its place. Direct is set if the servers are
	// called directly, and BudgetSpent if the retry budget permits neither.
	Second              netip.AddrPort
	Direct, BudgetSpent bool
}

// HandoverTerms are the additional terms on which a holder runs a search.
type HandoverTerms struct {
	// Attempts bounds the servers that are called for each part.
	Attempts int `cbor:"attempts"`
	// AnswerIn is the time after which the results must be sent.
	AnswerIn time.Duration `cbor:"answer-in"`
	// Target and Coverage are the target latency and the least share of parts.
	Target   time.Duration `cbor:"target,omitempty"`
	Coverage float64       `cbor:"coverage,omitempty"`
	// DataCentre is the data centre of the requester.
	DataCentre string `cbor:"data-centre"`
	// Credited is set if the first calls count already for the retry budget of the
	// requester.
	Credited bool `cbor:"credited,omitempty"`
}

// HolderRefusal ends a hand-over whose holder has no room. The search has not run.
type HolderRefusal struct{ RetryAfter time.Duration }

// Error returns the cause.
func (*HolderRefusal) Error() string { return "holder has no room for the search" }

// handedParts are the parts of a search that are handed to one holder, and then to
// another or called directly if that is late.
type handedParts struct {
	group int
	parts []int
	asked []*holderAsked
	// nextStepAt is when the next step is due if nothing has come; zero if none is.
	nextStepAt time.Time
	direct     bool
}

// holderAsked is one hand-over.
type holderAsked struct {
	*delegation
	address          netip.AddrPort
	askedAt          time.Time
	allowed          time.Duration
	merged           int
	failedParts      []int
	mostAt           time.Time
	ended, failed    bool
	reported, logged bool
}

// serverOrder restricts the servers of a search to those that every instance that may
// run it uses.
type serverOrder struct {
	home      string
	requestID string
	n         int
}

// handOver asks a holder for each group of parts. Parts without a holder are called
// directly.
func (r *run) handOver(now time.Time) {
	r.slackShare = r.handover.SlackShare
	r.minHedgeDelay = time.Duration(firstResultsShare * float64(r.timeForHolder(false, now)))
	isHanded := make([]bool, len(r.parts))
	for group, parts := range r.handover.Groups {
		h := &handedParts{group: group, parts: parts}
		if !r.askHolder(h, now) {
			if r.mayCallMost(h) {
				continue
			}
			// The connections to the holders may be open soon.
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
		r.restricted = &serverOrder{home: r.handover.DataCentre, requestID: r.task.Request.ID, n: r.task.Route.MaxAttempts}
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
		holder, far, ok := r.handover.Choose(h.group, asked)
		if !ok {
			return false
		}
		if r.startHandover(h, holder, far, now) {
			return true
		}
		asked = append(asked, holder)
	}
	return false
}

func (r *run) startHandover(h *handedParts, holder netip.AddrPort, far bool, now time.Time) bool {
	route, second := r.task.Route, len(h.asked) > 0
	allowed := r.timeForHolder(far, now)
	terms := &HandoverTerms{
		Attempts: route.MaxAttempts, AnswerIn: allowed, Target: route.TargetLatency, Coverage: route.MinCoverage,
		// The calls of a second holder are charged to this instance as extra calls.
		DataCentre: r.handover.DataCentre, Credited: second || r.handover.KeepCredit(h.group, now),
	}
	g := Gather{
		Request: r.task.Request, Route: route.Name, Rank: r.task.priority(), Results: route.MaxRecords,
		HedgeAfter: time.Duration(firstResultsShare * float64(allowed)), TimeLeft: r.deadline.Sub(now), Handover: terms,
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

// handleHolderEvent applies results of a holder, or the end of its run.
func (r *run) handleHolderEvent(e gatherEvent, now time.Time) {
	h := e.from.handed
	a := h.find(e.from)
	var refusal *HolderRefusal
	switch {
	case !e.ended:
		r.mergeHolderResults(h, a, e.partial, now)
	case errors.As(e.err, &refusal):
		a.cancel, a.ended, a.logged = nil, true, true
		r.endHandover(a, HandoverOutcome{Undecided: true})
		if len(h.asked) == 1 && len(r.handed) == 1 {
			r.refusal = &domain.Refusal{
				Reason: domain.Overloaded, Outcome: domain.NotRun, RetryAfter: refusal.RetryAfter, Message: "backend servers are overloaded",
			}
			return
		}
		h.nextStepAt = now
	default:
		a.cancel, a.ended = nil, true
		if r.isMissingAny(h) {
			// A holder that knows less than it should, or was lost: the next step is due.
			if !a.answered {
				r.endHandover(a, HandoverOutcome{Allowed: a.allowed})
			}
			switch {
			case !h.allEnded():
			case h.direct:
				r.resumeDirectly(h, now)
			default:
				h.nextStepAt = now
			}
		}
	}
	if !h.nextStepAt.IsZero() && !now.Before(h.nextStepAt) {
		r.advanceHandovers(now)
	}
}

func (h *handedParts) find(d *delegation) *holderAsked {
	for _, a := range h.asked {
		if a.delegation == d {
			return a
		}
	}
	return nil
}

// allEnded reports whether nothing more can come from the holders.
func (h *handedParts) allEnded() bool {
	for _, a := range h.asked {
		if !a.ended && !a.failed {
			return false
		}
	}
	return true
}

func (r *run) isMissingAny(h *handedParts) bool {
	for _, i := range h.parts {
		if !r.parts[i].closed {
			return true
		}
	}
	return false
}

// mergeHolderResults applies results of a holder.
func (r *run) mergeHolderResults(h *handedParts, a *holderAsked, p Partial, now time.Time) {
	if !isConsistent(a.parts, p) {
		return
	}
	r.stats.ConnectionsLost += p.Lost
	if r.mergeDone(a, p) {
		a.answered = true
		a.merged += len(p.Done)
		if 2*a.merged >= len(h.parts) && a.mostAt.IsZero() {
			a.mostAt = now
		}
	}
	for j, k := range p.Late {
		// An older build leaves hedges to the requester.
		part := &r.parts[a.parts[k]]
		part.markTried(p.LateServers[j])
		r.startCall(a.parts[k], now)
	}
	r.applyFailed(h, a, p)
	switch {
	case len(p.Failed) > 0 && a.failed:
		if h.allEnded() {
			h.nextStepAt = now
		}
	case a.answered:
		h.nextStepAt = time.Time{}
	}
}

// applyFailed closes the parts that the holder could not get. If the search can't succeed
// without them the next step is due: the holder may be cut off from the servers.
func (r *run) applyFailed(h *handedParts, a *holderAsked, p Partial) {
	open := 0
	for _, k := range p.Failed {
		a.failedParts = append(a.failedParts, a.parts[k])
	}
	for _, i := range a.failedParts {
		if !r.parts[i].closed {
			open++
		}
	}
	if r.repliedParts+r.pendingParts-open < r.minParts() {
		a.failed = true
	}
	if a.failed && !h.direct || !h.othersEnded(a) {
		return
	}
	for _, i := range a.failedParts {
		part := &r.parts[i]
		if !part.closed && len(part.calls) == 0 {
			part.gathering = false
			r.close(part)
		}
	}
}

// othersEnded reports whether nothing more can come from other holders.
func (h *handedParts) othersEnded(a *holderAsked) bool {
	for _, other := range h.asked {
		if other != a && !other.ended && !other.failed {
			return false
		}
	}
	return true
}

// isConsistent reports whether results are consistent and name only parts that the holder
// was asked for.
func isConsistent(parts []int, p Partial) bool {
	if len(p.Done) != len(p.Proofs) || len(p.Late) != len(p.LateServers) || len(p.Failed) != len(p.FailedServers) {
		return false
	}
	seen := make(map[int]bool, len(p.Done))
	for _, list := range [][]int{p.Done, p.Late, p.Failed} {
		for _, k := range list {
			if k < 0 || k >= len(parts) || seen[k] {
				return false
			}
			seen[k] = true
		}
	}
	return true
}

// mergeDone takes merged results. Merged results can't be split up, so they replace
// earlier ones if they have all of their parts, and are dropped if they have only some.
func (r *run) mergeDone(a *holderAsked, p Partial) bool {
	if len(p.Done) == 0 {
		return false
	}
	isDone := make(map[int]bool, len(p.Done))
	merged := &mergedParts{proofs: p.Proofs, records: p.Records}
	isNew := false
	for _, k := range p.Done {
		i := a.parts[k]
		isDone[i] = true
		merged.parts = append(merged.parts, i)
		isNew = isNew || !r.parts[i].closed || r.parts[i].reply == nil && r.parts[i].merged == nil
	}
	for _, i := range merged.parts {
		if other := r.parts[i].merged; other != nil {
			for _, j := range other.parts {
				if !isDone[j] {
					return true
				}
			}
		}
	}
	if !isNew {
		return true
	}
	for _, i := range merged.parts {
		part := &r.parts[i]
		if part.reply == nil && part.merged == nil {
			r.repliedParts++
		}
		part.gathering, part.reply, part.merged = false, nil, merged
		r.close(part)
	}
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
	if now.Sub(r.task.Begin) < r.earlyAnswerAt.Sub(now) {
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
		h.nextStepAt = now.Add(directRetryDelay)
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

// callDirectly calls servers for the parts that are missing, and reports whether there
// are any that this instance may call. The retry budget was charged for one call of each.
func (r *run) callDirectly(h *handedParts, now time.Time) bool {
	ended, any := h.allEnded(), false
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

// endHandover reports how a hand-over ended, once.
func (r *run) endHandover(a *holderAsked, o HandoverOutcome) {
	if !a.reported {
		a.reported = true
		r.handover.End(a.address, o)
	}
}

// reportHandovers reports the hand-overs that were not reported yet.
func (r *run) reportHandovers(now time.Time) {
	for _, h := range r.handed {
		for _, a := range h.asked {
			took := now.Sub(a.askedAt)
			if !a.mostAt.IsZero() {
				took = a.mostAt.Sub(a.askedAt)
			}
			r.endHandover(a, HandoverOutcome{
				Answered: a.answered, Took: took, Allowed: a.allowed,
				Undecided: !a.answered && float64(took) < secondHolderShare*float64(a.allowed),
			})
		}
	}
}

// acquireRestricted is as acquireServer among the servers that all instances use that may
// run the search, so that a request is sent to as many servers of a shard as the route
// permits.
func (r *run) acquireRestricted(p *part, hedge bool, now time.Time) *balance.Server {
	beyond := p.service.ServersBeyond(r.restricted.n, r.restricted.home, r.restricted.requestID, now)
	if p.awaitsConnection {
		return p.service.AcquireConnectedExcept(beyond, now)
	}
	s := p.service.Acquire(append(beyond[:len(beyond):len(beyond)], p.tried...), now)
	if s != nil && hedge && s.HasOverdueCall() {
		p.service.Release(s)
		return nil
	}
	if s == nil && !hedge && len(p.tried) > 0 {
		s = p.service.Acquire(beyond, now)
	}
	return s
}
