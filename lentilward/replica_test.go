package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/platform"
)

// replicaInstances is the number of instances of the tests below: more than read the
// store, so that the others get its records from them.
const replicaInstances = storeReaderCount + 3

// drainPeriod is the default of the setting drain: how long a server that has left may
// still be used.
const drainPeriod = 3 * time.Second

// startFleet starts replicaInstances instances and waits until they know each other.
func startFleet(t *testing.T, p *memoryPlatform) []*Gateway {
	p.publishRoutes(t, 1, "/a/")
	first := netip.MustParseAddrPort("10.0.0.1:8102")
	var fleet []*Gateway
	for number := 1; number <= replicaInstances; number++ {
		fleet = append(fleet, p.startInstance(t, number, first))
	}
	time.Sleep(15 * time.Second)
	readers := 0
	for _, g := range fleet {
		if g.readsStore() {
			readers++
		}
	}
	if readers < storeReaderCount || readers == len(fleet) {
		t.Fatalf("%d of %d instances read the store", readers, len(fleet))
	}
	return fleet
}

// addServers writes the records of n servers of the service s1 and waits until they are
// in use.
func (p *memoryPlatform) addServers(t *testing.T, n int) (keys []string) {
	for i := range n {
		key := standin.ServerKey(fmt.Sprintf("i-leaves-%d", i))
		p.write(t, key, string(standin.Server{Service: "s1", Address: "10.9.0.1:80", DataCentre: "z1"}.Record()))
		keys = append(keys, key)
	}
	time.Sleep(3 * time.Second)
	return keys
}

func (p *memoryPlatform) remove(t *testing.T, keys ...string) {
	if _, err := p.client.Commit(p.ctx, nil, nil, keys); err != nil {
		t.Fatal(err)
	}
}

// cutOffStore leaves the calls of all instances to the store without a reply for a time.
func (p *memoryPlatform) cutOffStore(d time.Duration) {
	p.network.isolate(storeAddress.Addr().String())
	time.Sleep(d)
	p.network.rejoin(storeAddress.Addr().String())
}

// uses reports whether an instance would call one of the servers with these keys.
func uses(g *Gateway, keys ...string) bool {
	for _, s := range g.directory.Current.Load().Services["s1"].Servers() {
		if slices.Contains(keys, standin.ServerKey(s.ID)) && !s.IsOutOfService() {
			return true
		}
	}
	return false
}

// Guards against an instance that does not read the store and keeps a server that has
// left for seconds after the drain period, because calls failed in an outage of the store
// that is over (found in a review: DRAIN).
func TestServersThatLeaveAfterAnOutageAreDroppedInTime(t *testing.T) {
	for step := range 6 {
		// The bound holds once the store has been back for four seconds.
		backFor := 4100*time.Millisecond + time.Duration(step)*300*time.Millisecond
		t.Run(backFor.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newMemoryPlatform(t)
				fleet := startFleet(t, p)
				keys := p.addServers(t, 2)
				for _, key := range keys {
					const outage = 4800 * time.Millisecond
					p.cutOffStore(outage)
					time.Sleep(backFor)
					p.remove(t, key)
					time.Sleep(drainPeriod)
					for i, g := range fleet {
						if uses(g, key) {
							t.Errorf("instance %d uses %s after the drain period", i+1, key)
						}
					}
				}
			})
		})
	}
}

// Guards against the same after many servers have left at once without an outage, which
// looks like a mass expiry.
func TestManyServersThatLeaveAtOnceAreDroppedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newMemoryPlatform(t)
		fleet := startFleet(t, p)
		keys := p.addServers(t, 8)
		p.remove(t, keys[:4]...)
		time.Sleep(drainPeriod)
		for i, g := range fleet {
			if uses(g, keys[:4]...) {
				t.Errorf("instance %d uses a server after the drain period", i+1)
			}
			if !uses(g, keys[4:]...) {
				t.Errorf("instance %d has dropped servers that are there", i+1)
			}
		}
	})
}

// Guards against dropping live servers whose records expired in an outage of the store and
// are written again two seconds after its return.
func TestServersWhoseRecordsExpireInAnOutageAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newMemoryPlatform(t)
		fleet := startFleet(t, p)
		keys := p.addServers(t, 8)
		const outage = 4800 * time.Millisecond
		time.AfterFunc(outage-time.Second, func() { p.remove(t, keys...) })
		p.cutOffStore(outage)
		for range 19 {
			time.Sleep(100 * time.Millisecond)
			for i, g := range fleet {
				for _, key := range keys {
					if !uses(g, key) {
						t.Fatalf("instance %d has dropped %s", i+1, key)
					}
				}
			}
		}
		p.addServers(t, 8)
		for i, g := range fleet {
			for _, key := range keys {
				if !uses(g, key) {
					t.Fatalf("instance %d has dropped %s, which has registered again", i+1, key)
				}
			}
		}
	})
}

// Guards against an instance that keeps an old configuration, and servers that have left,
// for seconds too long once all that read the store are lost at the same moment (found in a
// review: CONFIG and DRAIN).
func TestInstanceLearnsChangesWhenAllReadersAreLost(t *testing.T) {
	for step := range 12 {
		lostAfter := time.Duration(step) * 170 * time.Millisecond
		t.Run(lostAfter.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newMemoryPlatform(t)
				fleet := startFleet(t, p)
				leaving, draining := p.addServers(t, 1)[0], standin.ServerKey("i-drains")
				p.write(t, draining, string(standin.Server{Service: "s1", Address: "10.9.0.1:80", DataCentre: "z1"}.Record()))
				time.Sleep(5*time.Second + lostAfter)
				survivor := slices.IndexFunc(fleet, func(g *Gateway) bool { return !g.readsStore() })
				for i := range fleet {
					if i != survivor {
						p.network.isolate(fmt.Sprintf("10.0.0.%d", i+1))
					}
				}
				time.Sleep(50 * time.Millisecond)
				p.publishRoutes(t, 2, "/a/", "/b/")
				p.remove(t, leaving)
				p.write(t, draining, string(standin.Server{Service: "s1", Address: "10.9.0.1:80", DataCentre: "z1", Draining: true}.Record()))
				p.write(t, platform.WithdrawnPrefix+"z2", "{}")
				time.Sleep(min(maxApplyDelay, drainPeriod))
				g := fleet[survivor]
				if got := statusOf(g, "/b/"); got != http.StatusOK {
					t.Errorf("status %d for a route that was added %v ago, age %v", got, maxApplyDelay, g.follower.Age())
				}
				if uses(g, leaving) || uses(g, draining) {
					t.Errorf("a server that has left or drains is used after the drain period, age %v", g.follower.Age())
				}
			})
		})
	}
}
