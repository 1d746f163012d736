package balance

const (
	// maxUseTurns bounds by how many turns a tenant goes later that asks for many times its
	// allowance, so that it is served in the end.
	maxUseTurns = 2
	// maxTenants bounds the tenants whose turns are kept.
	maxTenants = 256
)

// tenantTurns shares the slots of a service evenly among the tenants that wait: each one
// has one turn after the other. Requests without a tenant go by deadline alone.
type tenantTurns struct {
	// current is the turn of the last waiter that was woken, next has the next turn of each
	// tenant that had a later one.
	current float64
	next    map[string]float64
}

// turn returns when it is a waiter's turn. A tenant goes later the more of its allowance it
// asks for over all instances, since one instance sees few of its requests. The turn does
// not move with those of later waiters, so that none waits for ever.
func (t *tenantTurns) turn(w *Waiter) float64 {
	if w.Tenant == "" {
		return w.addedIn
	}
	return max(w.addedIn, t.next[w.Tenant]) + min(maxUseTurns, max(0, w.Use))
}

// take records that a waiter was woken.
func (t *tenantTurns) take(w *Waiter) {
	if w.Tenant == "" {
		return
	}
	if t.next == nil {
		t.next = make(map[string]float64)
	}
	own := max(w.addedIn, t.next[w.Tenant])
	t.current = max(t.current, own)
	if len(t.next) >= maxTenants {
		for tenant, next := range t.next {
			if next <= t.current {
				delete(t.next, tenant)
			}
		}
	}
	t.next[w.Tenant] = own + 1
}

// giveBack records that a waiter that was woken made no call.
func (t *tenantTurns) giveBack(w *Waiter) {
	if next, ok := t.next[w.Tenant]; ok {
		t.next[w.Tenant] = next - 1
	}
}

// reset forgets the turns once nobody waits.
func (t *tenantTurns) reset() { t.current, t.next = 0, nil }
