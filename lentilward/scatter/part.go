package scatter

import (
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/schema/domain"
)

// part is the state of the contribution of one service to the answer.
type part struct {
	service *balance.Service
	tried   []*balance.Server
	calls   []*call
	// startedCalls counts all calls, attempts those that may have run. A gather
	// counts as one of each.
	startedCalls, attempts int
	// maxAttempts bounds attempts below that of the route; 0 sets no such bound.
	maxAttempts int
	// refusals counts the calls that a server refused.
	refusals int
	// nextCallAt is when to try another call; zero if none is planned.
	nextCallAt time.Time
	waiter     *balance.Waiter
	closed     bool
	// awaitsConnection is set after a new connection was reset: a server that is full
	// does that, so the next call goes on an open connection, or waits.
	awaitsConnection bool
	// askedPermit is set once it was asked whether to wait for a permit.
	askedPermit bool
	// gathering is set while a gatherer may deliver the part, merged once it has.
	gathering  bool
	delegation *delegation
	merged     *mergedParts
	// prepaid is set while the retry budget is charged already for the next call.
	prepaid bool
	reply   *domain.Reply
	// lastFailure is the latest reply that was not a success.
	lastFailure *domain.Reply
}

// close marks a part as done: no more calls are started for it.
func (r *run) close(p *part) {
	if !p.closed {
		p.closed = true
		r.pendingParts--
	}
}

func (p *part) removeCall(c *call) {
	for i, other := range p.calls {
		if other == c {
			p.calls = append(p.calls[:i], p.calls[i+1:]...)
			return
		}
	}
}
