package scatter

import (
	"errors"
	"net/netip"
	"slices"
	"time"
)

const (
	// minDelegatedParts is the minimum number of parts for which a gatherer saves
	// more than it costs.
	minDelegatedParts = 3
	// gathererExtraDelay is how much longer the requester waits for a partial result
	// from the gatherer than for a call of its own before it hedges.
	gathererExtraDelay = 12 * time.Millisecond
	// maxGatherers bounds the gatherers of one search.
	maxGatherers = 4
)

// ErrAbandoned is the cause with which a gather is cancelled when the caller of
// the requester has disconnected.
var ErrAbandoned = errors.New("caller disconnected")

// mergedParts is the merged result of the parts of one Partial.
type mergedParts struct {
	proofs  []string
	records []byte
	// parts has the indexes of the parts if a holder has merged them.
	parts []int
}

// delegation is the part of a search that one gatherer collects.
type delegation struct {
	// parts has the indexes of the parts that the gatherer was asked for.
	parts []int
	// answered is set once the gatherer has sent a partial result.
	answered bool
	// cancel is nil once the gather has ended.
	cancel func(abandoned bool)
	// handed is set if the gatherer is a holder that runs the whole search.
	handed *handedParts
}

// gatherEvent is a partial result from a gatherer, or the end of its gather.
type gatherEvent struct {
	from    *delegation
	partial Partial
	ended   bool
	err     error
}

// delegate lets gatherers collect the parts that have no server in this data centre.
// Their records are then sent between the data centres merged, instead of separately
// for each part. Each gatherer gets the parts that have a server in its data centre,
// and of the data centres the one with most of the parts that are left goes first.
func (r *run) delegate(now time.Time) {
	route := r.task.Route
	if len(route.Shards) < minDelegatedParts || route.MaxAttempts < 2 || !r.policy.Hedge {
		return
	}
	remote := make(map[int][]string)
	for i := range r.parts {
		if dataCentres := r.parts[i].service.RemoteDataCentres(nil, now); len(dataCentres) > 0 {
			remote[i] = dataCentres
		}
	}
	for len(r.delegations) < maxGatherers && len(remote) >= minDelegatedParts {
		gatherer, parts := r.chooseGatherer(remote)
		if len(parts) < minDelegatedParts {
			return
		}
		for _, i := range parts {
			delete(remote, i)
		}
		if !r.startGather(gatherer, parts, r.task.State.HedgeDelay(route.TargetLatency, now), now) {
			return
		}
	}
}

// chooseGatherer chooses a gatherer for parts, given as indexes with the data centres of
// their servers. It returns the gatherer with the parts that it can collect.
func (r *run) chooseGatherer(remote map[int][]string) (gatherer netip.AddrPort, parts []int) {
	partCounts := make(map[string]int)
	for _, dataCentres := range remote {
		for _, d := range dataCentres {
			partCounts[d]++
		}
	}
	gatherer, dataCentre, ok := r.engine.ChooseGatherer(partCounts)
	if !ok {
		return gatherer, nil
	}
	for i := range r.parts {
		if slices.Contains(remote[i], dataCentre) {
			parts = append(parts, i)
		}
	}
	return gatherer, parts
}

// delegateHedges lets a gatherer hedge several parts that are late at the same time, so
// that their records cross between the data centres merged. It returns the parts that
// are left to be hedged by direct calls.
func (r *run) delegateHedges(due []int, now time.Time) []int {
	route := r.task.Route
	if r.handover != nil || r.restricted != nil {
		// A holder never hands on, and others have no connections for more.
		return due
	}
	if len(due) < minDelegatedParts || len(route.Shards) < minDelegatedParts || !r.policy.Hedge || len(r.delegations) >= 2*maxGatherers {
		return due
	}
	remote := make(map[int][]string)
	for _, i := range due {
		p := &r.parts[i]
		if len(p.calls) == 0 || p.gathering || p.waiter != nil || p.exhausted(route) {
			continue
		}
		if dataCentres := p.service.RemoteDataCentres(p.tried, now); len(dataCentres) > 0 {
			remote[i] = dataCentres
		}
	}
	if len(remote) < minDelegatedParts {
		return due
	}
	gatherer, candidates := r.chooseGatherer(remote)
	var parts []int
	for _, i := range candidates {
		if r.mayHedge(&r.parts[i]) && r.parts[i].service.Budget.Spend(now, r.engine.BudgetShare(), true) {
			parts = append(parts, i)
			r.cappedHedges++
		}
	}
	hedgeDelay := r.task.State.HedgeDelay(route.TargetLatency, now)
	if len(parts) < minDelegatedParts || !r.startGather(gatherer, parts, hedgeDelay/2, now) {
		for _, i := range parts {
			r.parts[i].service.Budget.Refund(now)
			r.cappedHedges--
		}
		return due
	}
	r.stats.Hedges += len(parts)
	return slices.DeleteFunc(due, func(i int) bool { return slices.Contains(parts, i) })
}

// startGather asks a gatherer for parts and reports whether it could be asked. The
// gatherer reports parts that are late after hedgeAfter.
func (r *run) startGather(gatherer netip.AddrPort, parts []int, hedgeAfter time.Duration, now time.Time) bool {
	route := r.task.Route
	g := Gather{
		Request: r.task.Request, Route: route.Name, Rank: r.task.priority(), Tenant: r.task.TenantName(), Results: route.MaxRecords,
		HedgeAfter: hedgeAfter, TimeLeft: r.deadline.Sub(now),
	}
	for _, i := range parts {
		g.Services = append(g.Services, r.parts[i].service.Name)
	}
	d := &delegation{parts: parts}
	cancel, err := r.engine.StartGather(gatherer, g, func(p Partial) { r.queueGatherEvent(gatherEvent{from: d, partial: p}) },
		func(error) { r.queueGatherEvent(gatherEvent{from: d, ended: true}) })
	if err != nil {
		return false
	}
	d.cancel = cancel
	r.delegations = append(r.delegations, d)
	for _, i := range parts {
		p := &r.parts[i]
		p.gathering, p.delegation = true, d
		p.startedCalls++
		p.attempts++
		p.nextCallAt = now.Add(g.HedgeAfter + gathererExtraDelay)
	}
	r.stats.Delegated += len(parts)
	return true
}

// cancelGathers cancels the gathers that have not ended.
func (r *run) cancelGathers(abandoned bool) {
	for _, d := range r.delegations {
		if d.cancel != nil {
			d.cancel(abandoned)
			d.cancel = nil
		}
	}
}

// queueGatherEvent queues an event from the gatherer without blocking. Events
// beyond the number that a correct gatherer sends are dropped.
func (r *run) queueGatherEvent(e gatherEvent) {
	select {
	case r.gatherEvents <- e:
	default:
	}
}

// handleGatherEvent applies a partial result from a gatherer. It retries failed
// parts and hedges late ones directly. Once the gather has ended, it calls servers
// directly for all parts that are still missing.
func (r *run) handleGatherEvent(e gatherEvent, now time.Time) {
	if e.from.handed != nil {
		r.handleHolderEvent(e, now)
		return
	}
	parts := e.from.parts
	if e.ended {
		e.from.cancel = nil
		for _, i := range parts {
			r.resumePart(i, "", now)
		}
		return
	}
	if !r.isValidPartial(parts, e.partial) {
		return
	}
	e.from.answered = true
	r.stats.ConnectionsLost += e.partial.Lost
	if len(e.partial.Done) > 0 {
		r.hasRun.Store(true)
	}
	merged := &mergedParts{proofs: e.partial.Proofs, records: e.partial.Records}
	newParts := 0
	for _, k := range e.partial.Done {
		if !r.parts[parts[k]].closed {
			newParts++
		}
	}
	for _, k := range e.partial.Done {
		p := &r.parts[parts[k]]
		p.gathering = false
		if newParts == 0 {
			continue
		}
		// A merged result cannot be split up again, so it replaces the direct
		// replies to its parts.
		p.reply, p.merged = nil, merged
		if !p.closed {
			r.repliedParts++
			r.close(p)
		}
	}
	for j, k := range e.partial.Failed {
		r.resumePart(parts[k], e.partial.FailedServers[j], now)
	}
	for j, k := range e.partial.Late {
		i := parts[k]
		r.parts[i].markTried(e.partial.LateServers[j])
		r.parts[i].nextCallAt = time.Time{}
		r.startCall(i, now)
	}
}

// isValidPartial reports whether a partial result is consistent and names only
// parts that its gatherer was asked for and that were not merged before.
func (r *run) isValidPartial(parts []int, p Partial) bool {
	if len(p.Done) != len(p.Proofs) || len(p.Late) != len(p.LateServers) || len(p.Failed) != len(p.FailedServers) {
		return false
	}
	seen := make(map[int]bool)
	for _, list := range [][]int{p.Done, p.Late, p.Failed} {
		for _, k := range list {
			if k < 0 || k >= len(parts) || seen[k] || r.parts[parts[k]].merged != nil {
				return false
			}
			seen[k] = true
		}
	}
	return true
}

// resumePart calls servers directly for a part that the gatherer will not
// deliver. server is the ID of the one that the gatherer has tried, if any.
func (r *run) resumePart(i int, server string, now time.Time) {
	p := &r.parts[i]
	if !p.gathering {
		return
	}
	p.gathering = false
	p.markTried(server)
	if p.closed || len(p.calls) > 0 {
		return
	}
	if p.exhausted(r.task.Route) {
		r.close(p)
		return
	}
	p.nextCallAt = time.Time{}
	r.startCall(i, now)
}

// markTried adds the server with this ID to those tried.
func (p *part) markTried(id string) {
	for _, s := range p.service.Servers() {
		if s.ID == id {
			p.tried = append(p.tried, s)
		}
	}
}
