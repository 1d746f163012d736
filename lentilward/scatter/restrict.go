package scatter

import (
	"time"

	"lentilward.org/lentilward/balance"
)

// serverOrder restricts the servers of a search to those that every instance that may
// run it uses.
type serverOrder struct {
	home      string
	requestID string
	n         int
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
