package balance

import (
	"slices"
	"testing"
	"time"
)

// wakeOrder queues waiters of the given tenants and returns in which order they are woken.
func wakeOrder(waiters ...*Waiter) (order []string) {
	s := newTestService()
	now := time.Now()
	for i, w := range waiters {
		w.Deadline = now.Add(time.Second + time.Duration(i))
		w.TargetAt = w.Deadline
		w.Wake = func() { order = append(order, w.Tenant) }
		s.AddWaiter(w)
	}
	for range waiters {
		s.wakeNext()
	}
	return order
}

// Guards against a tenant that sends many requests at once, or retries, and delays others.
func TestTenantsThatWaitTakeTurns(t *testing.T) {
	order := wakeOrder(&Waiter{Tenant: "a"}, &Waiter{Tenant: "a"}, &Waiter{Tenant: "a"}, &Waiter{Tenant: "a"},
		&Waiter{Tenant: "b"}, &Waiter{Tenant: "b"}, &Waiter{Tenant: "c"})
	if want := []string{"a", "b", "c", "a", "b", "a", "a"}; !slices.Equal(order, want) {
		t.Errorf("woken in the order %v, want %v", order, want)
	}
}

// Guards against one instance that sees few requests of a tenant and takes it for one that
// asks for little, against a priority that counts less than the turn, and against changes
// for requests without a tenant.
func TestTurnsFollowUseAndPriority(t *testing.T) {
	order := wakeOrder(&Waiter{Tenant: "much", Use: 3}, &Waiter{Tenant: "little", Use: 0.1}, &Waiter{Tenant: "some", Use: 0.5})
	if want := []string{"little", "some", "much"}; !slices.Equal(order, want) {
		t.Errorf("by use: %v, want %v", order, want)
	}
	order = wakeOrder(&Waiter{Tenant: "a", Priority: 1}, &Waiter{Tenant: "b", Use: 3}, &Waiter{Tenant: "b", Use: 3})
	if want := []string{"b", "b", "a"}; !slices.Equal(order, want) {
		t.Errorf("by priority: %v, want %v", order, want)
	}
	if order := wakeOrder(&Waiter{Tenant: ""}, &Waiter{Tenant: "a"}, &Waiter{Tenant: ""}); !slices.Equal(order, []string{"", "a", ""}) {
		t.Errorf("without tenant: %v, want the order of the deadlines", order)
	}
}

// Guards against a tenant that asks for many times its allowance and gets nothing while
// others wait all the time.
func TestNoTenantStarvesInTheQueue(t *testing.T) {
	s := newTestService()
	served := make(map[string]int)
	add := func(tenant string, use float64) {
		w := &Waiter{Tenant: tenant, Use: use, Deadline: time.Now().Add(time.Second), TargetAt: time.Now().Add(time.Second)}
		w.Wake = func() { served[tenant]++ }
		s.AddWaiter(w)
	}
	for range 50 {
		add("much", 10)
	}
	lights := []string{"a", "b", "c", "d", "e", "f"}
	for _, tenant := range lights {
		add(tenant, 0)
		add(tenant, 0)
	}
	for i := range 140 {
		s.wakeNext()
		add(lights[i%len(lights)], 0)
	}
	if served["much"] < 140/7-4 || served["much"] > 140/7+1 {
		t.Errorf("served %v, want about an even share for all", served)
	}
	if len(s.turns.next) > 7 {
		t.Errorf("%d tenants are kept", len(s.turns.next))
	}
}
