package scatter

import "time"

// finish removes the waiters of the request, cancels the gathers and detaches the
// calls that are still in flight.
func (r *run) finish() {
	r.cancelDials()
	r.cancelGathers(false)
	now := time.Now()
	r.reportHandovers(now)
	for i := range r.parts {
		p := &r.parts[i]
		if p.waiter != nil {
			p.service.RemoveWaiter(p.waiter)
		}
		for _, c := range p.calls {
			c.detach(now)
		}
	}
}

// abort ends all calls and gathers at once, since the caller has disconnected.
func (r *run) abort() {
	r.cancelGathers(true)
	for i := range r.parts {
		for _, c := range r.parts[i].calls {
			c.abort()
		}
	}
}
