package holder

import "testing"

// Guards against more than the whole slack of a retry budget over all instances.
func TestSharesOfTheSlackAddUpToOne(t *testing.T) {
	for _, direct := range []bool{false, true} {
		f := newTestFleet(111, 225, 90)
		f.services[f.searches[0].Services[0]] = Service{MaxConnections: testMaxConnections, Direct: direct}
		sum := 0.0
		for _, m := range f.members {
			p := f.plan(m.Name, f.members)
			sum += p.SlackShare(111) + p.FallbackShare(111)
			if direct {
				sum += p.DirectUseShare() / 111
			}
		}
		t.Logf("sum of the shares %.3f", sum)
		if sum > 1.0001 || sum < 0.9 {
			t.Errorf("sum of the shares %.3f", sum)
		}
	}
}

// Guards against instances without a server that they may call themselves where
// connections would do for all.
func TestDirectCallsArePossibleForAllOrSpreadEvenly(t *testing.T) {
	for _, c := range []struct {
		instances         int
		minShare, maxMean float64
	}{{111, 1, 1}, {870, 0.05, 0.2}} {
		f := newTestFleet(c.instances, 225, 90)
		total := 0.0
		for _, m := range f.members {
			p := f.plan(m.Name, f.members)
			if p.HoldsAny() {
				continue
			}
			callable := 0
			for _, name := range f.called() {
				if limit, _, _ := p.Limit(name, m.DataCentre); limit > 0 {
					callable++
				}
			}
			share := float64(callable) / float64(len(f.called()))
			if share < c.minShare {
				t.Fatalf("%d instances: %s may call %.2f of the servers of its data centre", c.instances, m.Name, share)
			}
			total += share
		}
		if mean := total / float64(c.instances); mean > c.maxMean {
			t.Fatalf("%d instances may call %.2f of the servers on average", c.instances, mean)
		}
	}
}

// Guards against services that are called directly as well and lose their connections.
func TestServicesOfDirectRequestsKeepAConnection(t *testing.T) {
	f := newTestFleet(870, 225, 90)
	for name := range f.services {
		f.services[name] = Service{MaxConnections: testMaxConnections, Direct: true}
	}
	for _, m := range f.members[:50] {
		if limit, _, ok := f.plan(m.Name, f.members).Limit(f.searches[0].Services[0], "z2"); ok && limit < 1 {
			t.Fatalf("%s has no connection", m.Name)
		}
	}
}

// Guards against groups that share connections of a server beyond its cap, and against
// searches without a holder at any number of connections and instances.
func TestDivisionStaysUnderTheCap(t *testing.T) {
	for maxConnections := 1; maxConnections <= 400; maxConnections++ {
		for _, instances := range []int{2, 31, 111, 300, 870} {
			for dataCentres := 1; dataCentres <= 5; dataCentres++ {
				for groups := 1; groups <= 5; groups++ {
					if !IsNeeded(maxConnections, instances) {
						continue
					}
					d := Divide(maxConnections, dataCentres, instances/dataCentres+1, groups)
					if sum := d.Sum(dataCentres, groups); float64(sum) > UsableShare*float64(maxConnections) {
						t.Fatalf("%d connections, %d instances, %d data centres, %d groups: %+v, sum %d", maxConnections, instances, dataCentres, groups, d, sum)
					}
				}
			}
		}
	}
}
