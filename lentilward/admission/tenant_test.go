package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a tenant that takes the capacity of others by sending many times as much
// or by retrying at once, against one that gets nothing, and against one with a request in
// ten seconds that is served less than others. The limit is half of what is sent.
func TestCapacityIsSharedAmongTenants(t *testing.T) {
	for _, c := range []struct {
		name    string
		use     float64
		retries int
	}{{"much more than its allowance", 4, 0}, {"more than an even share", 0.8, 0}, {"retries three times at once", 1.5, 3}} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			a := New()
			a.Jitter = func(d time.Duration) time.Duration { return d / 2 }
			now := time.Now()
			asked, served := make(map[string]int), make(map[string]int)
			// Each second the large tenant sends 8 requests, each of ten others 0.8 and a
			// small one 0.1.
			const small, perSecond = "small", 8 + 10*0.8 + 0.1
			for range int(600 * perSecond) {
				now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
				a.mu.Lock()
				a.advance(now)
				a.limit = perSecond / 2
				a.mu.Unlock()
				tenant, use, attempts := "large", c.use, 1+c.retries
				if x := random.Float64() * perSecond; x >= 16 {
					tenant, use, attempts = small, 0.1, 1
				} else if x >= 8 {
					tenant, use, attempts = fmt.Sprint("other", random.IntN(10)), 0.5, 1
				}
				asked[tenant]++
				for range attempts {
					if _, ok := a.AdmitFor(Tenant{Name: tenant, Use: use}, "r", 0, now); ok {
						served[tenant]++
						break
					}
				}
			}
			total := [2]int{}
			for tenant := range asked {
				total[0] += served[tenant]
				total[1] += asked[tenant]
			}
			overall := float64(total[0]) / float64(total[1])
			share := func(tenant string) float64 { return float64(served[tenant]) / float64(asked[tenant]) }
			t.Logf("served: overall %.2f, large %.2f, other %.2f, small %.2f", overall, share("large"), share("other3"), share(small))
			if share("large") < overall/4 || share("other3") < overall || share(small) < overall {
				t.Errorf("large %.2f, other %.2f, small %.2f of their requests served, overall %.2f", share("large"), share("other3"), share(small), overall)
			}
		})
	}
}
