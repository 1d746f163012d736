package scatter

import (
	"errors"
	"time"

	"lentilward.org/schema/domain"
)

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
		// Only a search that was handed over whole, and of which nothing was called here, has
		// not run.
		isWhole := len(h.parts) == len(r.parts) && len(h.asked) == 1
		if isWhole && !h.direct && r.stats.Calls <= r.notRunCalls {
			r.refusal = &domain.Refusal{
				Reason: domain.Overloaded, Outcome: domain.NotRun, RetryAfter: refusal.RetryAfter, Message: "backend servers are overloaded",
			}
			return
		}
		if h.direct && h.allEnded() {
			r.resumeDirectly(h, now)
		} else {
			h.nextStepAt = now
		}
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
	if len(p.Done) > 0 {
		r.hasRun.Store(true)
	}
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
	case a.answered && (r.repliedParts >= r.minParts() || r.pendingParts == 0):
		h.nextStepAt = time.Time{}
	case a.answered && now.Before(a.askedAt.Add(a.allowed)):
		// The holder is alive, but may get no processor time for the other parts.
		h.nextStepAt = a.askedAt.Add(a.allowed)
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
	r.closeFailed(a)
}

// closeFailed closes the parts that a holder could not get and that are not called directly.
func (r *run) closeFailed(a *holderAsked) {
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
