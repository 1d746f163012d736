package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	standin "lentilward.org/lentilstand/platform"
)

// returnFaults are faults beside a return of the store from a copy. Each lets the store
// return and disturbs instances meanwhile.
var returnFaults = map[string]func(t *testing.T, p *returnPlatform, older *standin.Copy){
	// The instance has no records and lists the store just before, at and after the return.
	"instances start": func(t *testing.T, p *returnPlatform, older *standin.Copy) {
		p.startLate(t)
		time.Sleep(firstStoreReadDelay - returnOutage/2)
		p.store.StartOutage(returnOutage, false, false)
		time.Sleep(returnOutage / 2)
		p.startLate(t)
		time.Sleep(returnOutage / 2)
		p.store.Restore(older)
		p.startLate(t)
	},
	"refused by the store": func(_ *testing.T, p *returnPlatform, older *standin.Copy) {
		for number := 2; number <= len(p.fleet); number += 2 {
			p.store.RefuseCaller(instanceHost(number), time.Minute)
		}
		p.returnFrom(older)
	},
	"half can't reach the store": func(_ *testing.T, p *returnPlatform, older *standin.Copy) {
		store := storeAddress.Addr().String()
		p.network.cut(func(a, b string) bool {
			var host, number int
			if a == store {
				a, b = b, a
			}
			_, err := fmt.Sscanf(a, "10.0.%d.%d", &host, &number)
			return err == nil && b == store && number%2 == 0
		})
		p.returnFrom(older)
		time.AfterFunc(2*time.Second, func() { p.network.cut(nil) })
	},
	"connections silent": func(_ *testing.T, p *returnPlatform, older *standin.Copy) {
		p.network.silenceOpenConnections()
		p.returnFrom(older)
	},
	"watches hang": func(_ *testing.T, p *returnPlatform, older *standin.Copy) {
		store := storeAddress.Addr().String()
		p.network.isolate(store)
		p.returnFrom(older)
		p.network.rejoin(store)
	},
	"two within 300 ms": func(_ *testing.T, p *returnPlatform, older *standin.Copy) {
		p.returnFrom(older)
		time.Sleep(150 * time.Millisecond)
		p.store.StartOutage(100*time.Millisecond, false, false)
		time.Sleep(100 * time.Millisecond)
		p.store.Restore(older)
	},
	"without an outage": func(_ *testing.T, p *returnPlatform, older *standin.Copy) { p.store.Restore(older) },
}

// startLate starts another instance, which lists the store itself.
func (p *returnPlatform) startLate(t *testing.T) {
	p.fleet = append(p.fleet, p.startInstance(t, len(p.fleet)+1, netip.MustParseAddrPort("10.0.0.1:8102")))
}

// Guards against instances that do not follow the store any more, or not in time, because a
// fault of their own meets its return from an older copy.
func TestChangesAreInForceAfterAFaultBesideAReturn(t *testing.T) {
	for name, disturb := range returnFaults {
		for _, instances := range []int{4, 31} {
			t.Run(fmt.Sprintf("%s/%d", name, instances), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := newReturnPlatform(t, instances)
					p.putServer(t, "i-drains", false)
					p.writeOther(t, 10)
					time.Sleep(time.Second)
					older := p.store.TakeCopy()
					p.addRoute(t)
					p.writeOther(t, lostWrites)
					time.Sleep(2 * time.Second)
					disturb(t, p, older)
					time.Sleep(rewriteDelay)
					p.rewrite(t)
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

// Guards against an instance that mixes the pages of two eras, or that never completes a
// listing, because the store returns from a copy between two pages.
func TestListingThatSpansAReturnIsReadAnew(t *testing.T) {
	for step := range 8 {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newReturnPlatform(t, 3)
				p.writeOther(t, 240)
				time.Sleep(time.Second)
				older := p.store.TakeCopy()
				p.remove(t, "op/other/7", "op/other/239")
				p.addRoute(t)
				// A listing, which each return causes, has five pages of 118 ms each.
				p.store.SlowDown(116*time.Millisecond, 3*time.Second)
				p.store.Restore(older)
				time.Sleep(time.Duration(step+1) * 75 * time.Millisecond)
				p.store.Restore(older)
				time.Sleep(rewriteDelay)
				p.rewrite(t)
				time.Sleep(recoveryPeriod + maxApplyDelay)
				for i, g := range p.fleet {
					if got := statusOf(g, routePrefix(p.routes)); got != http.StatusOK {
						t.Errorf("instance %d: status %d for a route that is in force", i+1, got)
					}
					if n := len(g.mirror.List("op/other/")); n != 240 || g.mirror.Version().Era != p.store.Era() {
						t.Errorf("instance %d: %d records of %v, want the 240 of the copy", i+1, n, g.mirror.Version())
					}
				}
			})
		})
	}
}

// Guards against calls to the store in a loop, or many more than usual, after its return,
// and while it refuses watches from revisions that it does not have.
func TestCallsToTheStoreStayBoundedAroundAReturn(t *testing.T) {
	const period, maxCallsPerInstance = 10 * time.Second, 20
	for _, instances := range []int{4, 31} {
		for _, rewrites := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d/rewritten=%v", instances, rewrites), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := newReturnPlatform(t, instances)
					time.Sleep(time.Second)
					older := p.store.TakeCopy()
					p.addRoute(t)
					p.writeOther(t, lostWrites)
					time.Sleep(time.Second)
					p.returnFrom(older)
					before, written := p.store.Counts(), uint64(0)
					begunAt := time.Now()
					if rewrites {
						time.Sleep(rewriteDelay)
						p.rewrite(t)
						written = uint64(len(p.lost))
					}
					time.Sleep(period - time.Since(begunAt))
					after := p.store.Counts()
					calls := after.Reads + after.Writes + after.Watches - before.Reads - before.Writes - before.Watches - written
					t.Logf("%d calls", calls)
					if calls > uint64(maxCallsPerInstance*instances) {
						t.Errorf("%d calls of %d instances in %v", calls, instances, period)
					}
				})
			})
		}
	}
}
