package main

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/web"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

// publishTenant writes a configuration whose tenant "a" has an allowance.
func (p *memoryPlatform) publishTenant(t *testing.T, version int, rate, burst float64) *domain.Tenant {
	p.write(t, platform.ConfigurationKey, fmt.Sprintf(`{"version":%d,"tenants":[{"name":"a","apiKeys":["k"],"ratePerS":%g,"burst":%g}],
		"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"safe","service":"s1","timeoutMs":1000,"targetLatencyMs":100,"maxAttempts":2,"public":true}],
		"services":[{"name":"s1","maxConnections":30}]}`, version, rate, burst))
	return &domain.Tenant{Name: "a", RatePerSecond: rate, Burst: burst}
}

// homeOf returns the instance that all of the fleet consider the home of the tenant "a".
func homeOf(t *testing.T, fleet []*Gateway) *Gateway {
	var home netip.AddrPort
	for i, g := range fleet {
		h, ok := g.allowances.homes.Of("a")
		if !ok || i > 0 && h != home {
			t.Fatalf("home %v, others say %v", h, home)
		}
		home = h
	}
	for _, g := range fleet {
		if g.options.Load().Listen.Peers == home {
			return g
		}
	}
	t.Fatalf("home %v is no instance", home)
	return nil
}

// flood sends requests of a tenant to one instance after another, 100 a second, and returns
// how many were allowed.
func flood(t *testing.T, fleet []*Gateway, tenant *domain.Tenant, d time.Duration) (allowed int, longest time.Duration) {
	begin := time.Now()
	for i := 0; time.Since(begin) < d; i++ {
		at := time.Now()
		if _, ok := fleet[i%len(fleet)].allowances.allow(t.Context(), tenant); ok {
			allowed++
		}
		longest = max(longest, time.Since(at))
		time.Sleep(10 * time.Millisecond)
	}
	return allowed, longest
}

// Guards against frames of allowances that do not arrive, against instances that disagree
// about the home without a fault, and against a sum above the allowance while the home is
// cut off and after it has returned.
func TestAllowanceHoldsWhileTheHomeIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newMemoryPlatform(t)
		fleet := startFleet(t, p)
		tenant := p.publishTenant(t, 2, 16, 16)
		time.Sleep(10 * time.Second)
		home := homeOf(t, fleet)
		const bound = (16*5+16)*11/10 + 20
		if allowed, longest := flood(t, fleet, tenant, 5*time.Second); allowed < 80 || allowed > bound || longest > 40*time.Millisecond {
			t.Errorf("%d allowed in 5 s, a request waited %v; bound %v", allowed, longest, bound)
		}
		p.network.isolate(home.options.Load().Listen.Peers.Addr().String())
		for range 3 {
			if allowed, longest := flood(t, fleet, tenant, 5*time.Second); allowed < 30 || allowed > bound || longest > 40*time.Millisecond {
				t.Errorf("home cut off: %d allowed in 5 s, a request waited %v; bound %v", allowed, longest, bound)
			}
		}
		p.network.rejoin(home.options.Load().Listen.Peers.Addr().String())
		for range 4 {
			if allowed, _ := flood(t, fleet, tenant, 5*time.Second); allowed < 30 || allowed > bound {
				t.Errorf("home has returned: %d allowed in 5 s, bound %v", allowed, bound)
			}
		}
		if allowed, _ := flood(t, fleet, tenant, 5*time.Second); allowed < 70 || allowed > bound {
			t.Errorf("20 s later: %d allowed in 5 s, bound %v", allowed, bound)
		}
	})
}

// Guards against messages and calls where no tenant has an allowance, and against a request
// that is charged although nothing was sent.
func TestTenantsWithoutAllowanceCostNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newMemoryPlatform(t)
		p.publishRoutes(t, 1, "/a/")
		g := p.startInstance(t, 1)
		time.Sleep(8 * time.Second)
		free := &domain.Tenant{Name: "free"}
		for range 1000 {
			if _, ok := g.allowances.allow(t.Context(), free); !ok {
				t.Fatal("a tenant without an allowance was refused")
			}
		}
		if counts := g.allowances.local.Counts(); len(counts) != 0 || g.allowances.hasLimits() || len(g.allowances.lastSeen) != 0 {
			t.Errorf("state is kept for tenants without an allowance: %v", counts)
		}
		limited := p.publishTenant(t, 2, 0.1, 1)
		time.Sleep(5 * time.Second)
		for i := range 20 {
			if retryAfter, ok := g.allowances.allow(t.Context(), limited); !ok {
				t.Fatalf("request %d was refused for %v although the one before it was refused as not run", i, retryAfter)
			}
			g.callers.OnRequestEnd(web.RequestResult{Tenant: limited, Refusal: &domain.Refusal{Reason: domain.Overloaded, Outcome: domain.NotRun}})
		}
		if _, ok := g.allowances.allow(t.Context(), limited); !ok {
			t.Fatal("the last token is lost")
		}
		// The bucket holds 1.5 requests: the burst, and what the rate gives in a window.
		if retryAfter, ok := g.allowances.allow(t.Context(), limited); ok || retryAfter < 4*time.Second || retryAfter > 5*time.Second {
			t.Errorf("allowed %v, retry after %v, want 5 s", ok, retryAfter)
		}
		if tenants := g.allowances.status(); len(tenants) != 1 || tenants[0].Asked != 22 || tenants[0].Refused != 1 || tenants[0].Home == "" {
			t.Errorf("status %+v", tenants)
		}
	})
}
