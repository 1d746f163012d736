package scatter

import (
	"time"

	"lentilward.org/lentilward/balance"
)

// serverOrder restricts the servers of a search to the first n in an order that begins with
// those in the data centre home. Every instance that may run the search uses the same.
type serverOrder struct {
	home string
	n    int
}

// restrict restricts the servers of the search unless they are restricted already. home is
// the data centre of the holder that is asked first.
func (r *run) restrict(home string) {
	if r.restricted == nil {
		r.restricted = &serverOrder{home: home, n: r.task.Route.MaxAttempts}
	}
}

// acquireRestricted is as acquireServer among the servers that all instances use that may
// run the search, so that a request is sent to as many servers of a shard as the route
// permits.
func (r *run) acquireRestricted(p *part, hedge bool, now time.Time) *balance.Server {
	beyond := r.beyond(p, now)
	if p.startedCalls == 0 {
		if s := p.service.AcquireTrial(r.task.Route.Name, now); s != nil {
			return s
		}
	}
	if p.awaitsConnection {
		return p.service.AcquireConnectedExcept(beyond, now)
	}
	s := p.service.AcquireWithin(beyond, p.tried, now)
	if s != nil && hedge && s.HasOverdueCall() {
		p.service.Cancel(s)
		return nil
	}
	if s == nil && !hedge && len(p.tried) > 0 {
		s = p.service.AcquireWithin(beyond, nil, now)
	}
	if s == nil && r.mayCallBeyond && p.startedCalls == 0 {
		if s = p.service.AcquireBeyond(beyond, now); s != nil {
			p.maxAttempts = 1
		}
	}
	return s
}

// beyond returns the servers of a part that the search must not use.
func (r *run) beyond(p *part, now time.Time) []*balance.Server {
	if r.restricted == nil {
		return nil
	}
	return p.service.ServersBeyond(r.restricted.n, r.restricted.home, now)
}
