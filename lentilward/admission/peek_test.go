package admission

import (
	"math"
	"reflect"
	"testing"
	"time"
)

// Guards against a question about the limit that takes credit, counts as a search, or ends
// the limit, and against another answer than AdmitFor gives.
func TestWouldAdmitChangesNothing(t *testing.T) {
	a, now, tenant := New(), time.Now(), Tenant{Name: "a", Use: 2}
	if limit, ok := a.WouldAdmit(tenant, "r", 0, now); !ok || !math.IsInf(limit, 1) || len(a.routes)+len(a.tenants) > 0 || !a.begunAt.IsZero() {
		t.Fatalf("unused limit: %v, %v, routes %v", limit, ok, a.routes)
	}
	a.OnLimit = func(bool, float64) { t.Error("the limit was changed") }
	for range 8 {
		a.AdmitFor(tenant, "r", 0, now)
	}
	a.limit, a.credit = 2, 1
	for i := range 40 {
		now = now.Add(100 * time.Millisecond)
		before := a.clone()
		limit, ok := a.WouldAdmit(tenant, "r", 0, now)
		before.Jitter, before.OnLimit = nil, nil
		after := a.clone()
		after.Jitter, after.OnLimit = nil, nil
		if !reflect.DeepEqual(before, after) {
			t.Fatalf("step %d: the limit has changed", i)
		}
		if _, want := a.AdmitFor(tenant, "r", 0, now); ok != want || math.Abs(limit-a.limit) > 1e-9 {
			t.Fatalf("step %d: WouldAdmit %v at %v, AdmitFor %v at %v", i, ok, limit, want, a.limit)
		}
	}
}
