package admission

import "time"

// WouldAdmit is as AdmitFor and changes nothing. It also returns the permitted rate in
// searches a second, infinite without a limit.
func (a *Limit) WouldAdmit(tenant Tenant, route string, priority int, now time.Time) (limit float64, ok bool) {
	c := a.clone()
	_, ok = c.AdmitFor(tenant, route, priority, now)
	return c.limit, ok
}

// clone returns a copy that calls no function of the original.
func (a *Limit) clone() *Limit {
	c := New()
	a.mu.Lock()
	defer a.mu.Unlock()
	c.limit, c.rate, c.offered, c.highestOffered = a.limit, a.rate, a.offered, a.highestOffered
	c.credit, c.updatedAt, c.decreasedAt, c.begunAt = a.credit, a.updatedAt, a.decreasedAt, a.begunAt
	c.free, c.congestedShare = a.free, a.congestedShare
	for name, r := range a.routes {
		measured := *r
		c.routes[name] = &measured
	}
	for name, t := range a.tenants {
		rates := *t
		c.tenants[name] = &rates
	}
	return c
}
