package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/platform"
)

const (
	// returnOutage is how long the store is away before it returns from a copy.
	returnOutage = 900 * time.Millisecond
	// rewriteDelay is how long after the return the operator and the servers write again
	// what was lost.
	rewriteDelay = time.Second
	// lostWrites is the number of writes after the copy that concern no instance.
	lostWrites = 40
)

// returnPlatform is a memoryPlatform whose store returns from copies, and an operator and a
// server that write what was lost again.
type returnPlatform struct {
	*memoryPlatform
	fleet []*Gateway
	// routes is the number of routes of the last version, which is its number.
	routes   int
	sequence int
	// lost are the writes that are to be made again after a return.
	lost map[string]string
}

func newReturnPlatform(t *testing.T, instances int) *returnPlatform {
	p := &returnPlatform{memoryPlatform: newMemoryPlatform(t), lost: make(map[string]string)}
	p.addRoute(t)
	first := netip.MustParseAddrPort("10.0.0.1:8102")
	for number := 1; number <= instances; number++ {
		p.fleet = append(p.fleet, p.startInstance(t, number, first))
	}
	time.Sleep(15 * time.Second)
	return p
}

// put writes a record that is written again after a return.
func (p *returnPlatform) put(t *testing.T, key, value string) {
	t.Helper()
	p.write(t, key, value)
	p.lost[key] = value
}

// addRoute publishes the next version, which adds a route.
func (p *returnPlatform) addRoute(t *testing.T) {
	t.Helper()
	p.routes++
	var prefixes []string
	for n := range p.routes {
		prefixes = append(prefixes, routePrefix(n+1))
	}
	p.publishRoutes(t, p.routes, prefixes...)
	i, err := p.client.Get(p.ctx, platform.ConfigurationKey)
	if err != nil {
		t.Fatal(err)
	}
	p.lost[platform.ConfigurationKey] = string(i.Value)
}

func routePrefix(n int) string { return fmt.Sprintf("/r%d/", n) }

// putServer writes the record of a server, as its next heartbeat does.
func (p *returnPlatform) putServer(t *testing.T, id string, draining bool) {
	t.Helper()
	p.sequence++
	p.put(t, standin.ServerKey(id), string(standin.Server{
		Service: "s1", Address: "10.9.0.1:80", DataCentre: "z1", Draining: draining, Sequence: p.sequence,
	}.Record()))
}

// returnFrom lets the store be away and return from a copy.
func (p *memoryPlatform) returnFrom(c *standin.Copy) {
	p.store.StartOutage(returnOutage, false, false)
	time.Sleep(returnOutage)
	p.store.Restore(c)
}

// writeOther makes writes that concern no instance.
func (p *returnPlatform) writeOther(t *testing.T, n int) {
	t.Helper()
	for i := range n {
		p.write(t, fmt.Sprintf("op/other/%d", i), "{}")
	}
}

// rewrite writes what was lost again.
func (p *returnPlatform) rewrite(t *testing.T) {
	t.Helper()
	for key, value := range p.lost {
		p.write(t, key, value)
	}
}

// checkInForce checks that each instance serves the newest route and does not use a server
// that is draining.
func (p *returnPlatform) checkInForce(t *testing.T, draining string) {
	t.Helper()
	for i, g := range p.fleet {
		if got := statusOf(g, routePrefix(p.routes)); got != http.StatusOK {
			t.Errorf("instance %d: status %d for a route that was added %v ago", i+1, got, maxApplyDelay)
		}
		if uses(g, standin.ServerKey(draining)) {
			t.Errorf("instance %d uses a server that has been draining for %v", i+1, maxApplyDelay)
		}
	}
}

// Guards against instances that ignore all changes after the store has returned from an
// older copy, since its revisions begin anew below theirs or have passed them unnoticed
// (incident of 7 December: CONFIG and DRAIN).
func TestChangesAreInForceAfterStoreReturnsFromCopy(t *testing.T) {
	for _, instances := range []int{4, 31} {
		for _, play := range []struct {
			name string
			// overtake lets the new revisions pass the old ones before the instances read again.
			overtake bool
			returns  int
		}{{"below", false, 1}, {"passed", true, 1}, {"twice", false, 2}} {
			t.Run(fmt.Sprintf("%d/%s", instances, play.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := newReturnPlatform(t, instances)
					p.putServer(t, "i-drains", false)
					time.Sleep(time.Second)
					older := p.store.TakeCopy()
					time.Sleep(2 * time.Second)
					p.addRoute(t)
					p.writeOther(t, lostWrites)
					time.Sleep(2 * time.Second)
					for range play.returns {
						p.returnFrom(older)
						if play.overtake {
							p.rewrite(t)
							p.addRoute(t)
							p.writeOther(t, 2*lostWrites)
							continue
						}
						time.Sleep(rewriteDelay)
						p.rewrite(t)
					}
					time.Sleep(recoveryPeriod)
					p.addRoute(t)
					p.putServer(t, "i-drains", true)
					time.Sleep(maxApplyDelay)
					p.checkInForce(t, "i-drains")
				})
			})
		}
	}
}
