package scatter

import (
	"time"

	"lentilward.org/lentilward/balance"
)

// acquireServer takes a slot on a server that was not tried yet. A retry may go
// to a server that was tried if there is no other. A hedge does not go to a server
// with overdue calls.
func (r *run) acquireServer(p *part, hedge bool, now time.Time) *balance.Server {
	if r.restricted != nil {
		return r.acquireRestricted(p, hedge, now)
	}
	if p.awaitsConnection {
		return p.service.AcquireConnected(now)
	}
	if p.startedCalls == 0 {
		return p.service.AcquireFirst(r.task.Route.Name, now)
	}
	s := p.service.Acquire(p.tried, now)
	if s != nil && hedge && s.HasOverdueCall() {
		p.service.Cancel(s)
		return nil
	}
	if s == nil && !hedge && len(p.tried) > 0 {
		s = p.service.Acquire(nil, now)
	}
	return s
}

// startProbe makes the first call of a part together with a probe of a server that is
// ejected, and reports whether it has. The probe counts as a hedge: the part does not
// depend on its reply. Where none may be sent, or no other server has a slot, the call is
// the probe if that has been due for long.
func (r *run) startProbe(i int, now time.Time) bool {
	p := &r.parts[i]
	// A probe beside the servers that all instances use for the search could be one too many.
	if r.restricted != nil || !r.task.Route.Idempotent || !r.policy.Hedge || r.task.Route.MaxAttempts < 2 || p.awaitsConnection || !p.service.HasProbeDue(now) {
		return false
	}
	if r.mayHedge(p) && p.service.Budget.Spend(now, r.slackShare(), false) {
		if s := r.acquireServer(p, false, now); s != nil {
			r.launchCall(i, s, false, false, now)
			if probed := p.service.AcquireProbe(p.tried, true, now); probed != nil {
				r.launchCall(i, probed, true, true, now)
				return true
			}
			p.service.Budget.Refund(now)
			return true
		}
		p.service.Budget.Refund(now)
	}
	probed := p.service.AcquireProbe(p.tried, false, now)
	if probed != nil {
		r.launchCall(i, probed, false, false, now)
	}
	return probed != nil
}

// waitForSlot queues a call for which no slot is free; a hedge is tried again
// later instead. A part is given up if none of its servers is reachable.
func (r *run) waitForSlot(i int, hedge bool, now time.Time) {
	p := &r.parts[i]
	switch {
	case hedge:
		p.nextCallAt = now.Add(recheckDelay)
	case !p.service.IsReachable(now):
		if at, ok := p.service.ResumesAt(); ok && at.After(now) && at.Before(r.deadline) {
			p.nextCallAt = at
			return
		}
		r.close(p)
	default:
		r.stats.Queued++
		tenant := r.tenant()
		p.waiter = &balance.Waiter{Priority: r.task.priority(), Tenant: tenant.Name, Use: tenant.Use, TargetAt: r.earlyAnswerAt, Deadline: r.deadline, Wake: func() {
			select {
			case r.wokenParts <- i:
			default:
			}
		}}
		p.service.AddWaiter(p.waiter)
	}
}

func (r *run) launchCall(i int, s *balance.Server, hedge, extra bool, now time.Time) {
	p := &r.parts[i]
	c := &call{run: r, partIndex: i, server: s, hedge: hedge, extra: extra, begin: now}
	p.calls = append(p.calls, c)
	p.tried = append(p.tried, s)
	p.startedCalls++
	p.attempts++
	r.stats.Calls++
	if hedge {
		r.stats.Hedges++
		if !p.gathering || p.delegation != nil && p.delegation.answered {
			r.cappedHedges++
		}
	} else if extra {
		r.stats.Retries++
	}
	if r.task.Route.Idempotent {
		p.nextCallAt = now.Add(max(r.minHedgeDelay, r.task.State.HedgeDelay(r.task.Route.TargetLatency, now)))
	}
	go c.execute()
}
