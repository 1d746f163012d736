package scatter

import (
	"time"

	"lentilward.org/schema/domain"
)

const (
	// maxHedgedShare is the share of the parts of a search that may be hedged, and
	// maxHedgedShareWhileBusy while calls wait in the queues of the servers: where more
	// are late, hedges would only make the queues longer. A few hedges are always
	// permitted.
	maxHedgedShare          = 0.4
	maxHedgedShareWhileBusy = 0.08
	minMaxHedges            = 3
)

// startDueCalls starts the hedges and retries that are due.
func (r *run) startDueCalls(now time.Time) {
	var due []int
	for i := range r.parts {
		p := &r.parts[i]
		if p.closed || p.nextCallAt.IsZero() || p.nextCallAt.After(now) {
			continue
		}
		p.nextCallAt = time.Time{}
		for _, c := range p.calls {
			c.markOverdue()
		}
		due = append(due, i)
	}
	for _, i := range r.delegateHedges(due, now) {
		r.startCall(i, now)
	}
}

// exhausted reports whether no other call is permitted for a part.
func (p *part) exhausted(route *domain.Route) bool {
	return p.startedCalls >= maxCallsPerPart || p.attempts >= route.MaxAttempts || p.maxAttempts > 0 && p.attempts >= p.maxAttempts
}

// mayHedge reports whether another part may be hedged. Those of a gatherer that has not
// answered do not count: it may be lost.
func (r *run) mayHedge(p *part) bool {
	if p.gathering && (p.delegation == nil || !p.delegation.answered) {
		return true
	}
	share := maxHedgedShare
	if r.task.Admission != nil && r.task.Admission.IsBusy() {
		share = maxHedgedShareWhileBusy
	}
	return r.cappedHedges < max(minMaxHedges, int(share*float64(len(r.parts))))
}
