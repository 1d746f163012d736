package scatter

import (
	"context"
	"time"

	"lentilward.org/lentilward/admission"
	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/merge"
	"lentilward.org/schema/domain"
)

// Gather asks a gatherer, an instance near the servers, for parts of a search. The
// gatherer calls one server of each service; the requester hedges and retries.
type Gather struct {
	Request *domain.Request
	Route   string
	Rank    int
	// Tenant is the name of the tenant; empty if the request has none.
	Tenant   string `cbor:",omitempty"`
	Results  int
	Services []string
	// HedgeAfter is the time after which the gatherer reports the parts that are
	// late.
	HedgeAfter time.Duration
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// Handover is set if the gatherer is a holder, which runs the whole search.
	Handover *HandoverTerms `cbor:"Handover,omitempty"`
}

// Partial is what a gatherer has collected since its previous Partial. Parts are
// given as indexes of Gather.Services.
type Partial struct {
	_ struct{} `cbor:",toarray"`
	// Done are the parts whose records are merged in Records. Proofs are the
	// proofs of these parts.
	Done    []int
	Proofs  []string
	Records []byte
	// Late parts may still be delivered, Failed parts will not be. LateServers and
	// FailedServers have the IDs of the servers that were called, in the same order.
	Late          []int
	LateServers   []string
	Failed        []int
	FailedServers []string
	// Lost is the number of calls whose connection was lost before a complete reply.
	Lost int

	// Last is set in the last one of a hand-over.
	Last bool `cbor:"-"`
	// Refused is set if the holder has refused the search, which has not run. RetryAfter
	// says when there may be room again.
	Refused    bool          `cbor:"-"`
	RetryAfter time.Duration `cbor:"-"`
}

// Gather runs part of a search for a requester and emits its results: one merged
// Partial at the time when the requester would hedge, or earlier if all parts are
// done, then the remaining parts as they reply. Failures are emitted at once.
//
// state and admission have what this instance measures of the route; admission, which
// may be nil, does not limit the gather, but learns from it.
func (e *Engine) Gather(ctx context.Context, g Gather, state *balance.Route, admission *admission.Limit, services []*balance.Service, emit func(Partial)) {
	if g.TimeLeft <= 0 {
		return
	}
	begin := time.Now()
	route := &domain.Route{
		Name: g.Route, Idempotent: true, MaxAttempts: 1, Priority: g.Rank, MaxRecords: g.Results, Shards: g.Services,
	}
	if g.Handover != nil {
		e.runForPeer(ctx, g, state, admission, services, emit)
		return
	}
	hold := e.NewHold()
	defer hold.Release()
	request := *g.Request
	request.TimeLeft = g.TimeLeft
	r := newRun(ctx, e, Task{Request: &request, Route: route, Tenant: gatherTenant(g.Tenant), State: state, Admission: admission, Services: services, Begin: begin, Hold: hold})
	defer r.finish()
	r.gather(ctx, begin.Add(g.HedgeAfter), emit)
}

// gather runs until every part is reported, the deadline has passed or the
// context ends.
func (r *run) gather(ctx context.Context, flushAt time.Time, emit func(Partial)) {
	reported := make([]bool, len(r.parts))
	now := time.Now()
	for i, s := range r.task.Services {
		r.parts[i].service = s
	}
	for i := range r.parts {
		r.startCall(i, now)
		r.failStarved(i, flushAt.Sub(now), now)
	}
	r.timer = time.NewTimer(0)
	defer r.timer.Stop()
	flushed := false
	for {
		now = time.Now()
		r.reportLoad(now, r.pendingParts == 0)
		due := !flushed && !now.Before(flushAt)
		if partial, any := r.collectUnreported(reported, due || flushed || r.pendingParts == 0, due); any {
			emit(partial)
		}
		flushed = flushed || due
		if r.pendingParts == 0 || !now.Before(r.deadline) {
			return
		}
		wakeAt := r.nextWakeup()
		if !flushed && flushAt.Before(wakeAt) {
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

// failStarved gives up a part at once whose servers have used up the limits that they name for
// longer than a time, so that the requester learns of it and refuses later searches.
func (r *run) failStarved(i int, allowed time.Duration, now time.Time) {
	p := &r.parts[i]
	if p.waiter == nil || p.service.TokenDelay(r.task.priority(), now) <= allowed {
		return
	}
	p.service.RemoveWaiter(p.waiter)
	p.waiter = nil
	r.close(p)
}

// collectUnreported returns what was not reported yet: failed parts always, parts
// that are done if includeDone is set, and late parts if includeLate is set.
func (r *run) collectUnreported(reported []bool, includeDone, includeLate bool) (_ Partial, any bool) {
	var partial Partial
	top := merge.NewTop(r.task.Route.MaxRecords)
	for i := range r.parts {
		p := &r.parts[i]
		switch {
		case reported[i]:
		case p.reply != nil && includeDone:
			partial.Done = append(partial.Done, i)
			partial.Proofs = append(partial.Proofs, p.reply.Proof)
			top.Add(p.reply.Body)
			reported[i] = true
		case p.closed && p.reply == nil:
			partial.Failed = append(partial.Failed, i)
			partial.FailedServers = append(partial.FailedServers, p.lastTriedServer())
			reported[i] = true
		case includeLate && p.reply == nil:
			partial.Late = append(partial.Late, i)
			partial.LateServers = append(partial.LateServers, p.lastTriedServer())
		}
	}
	if len(partial.Done) > 0 {
		partial.Records = top.Bytes()
	}
	partial.Lost, r.stats.ConnectionsLost = r.stats.ConnectionsLost, 0
	return partial, len(partial.Done)+len(partial.Failed)+len(partial.Late) > 0
}

// lastTriedServer returns the ID of the server tried last, or "" if none was.
func (p *part) lastTriedServer() string {
	if len(p.tried) == 0 {
		return ""
	}
	return p.tried[len(p.tried)-1].ID
}
