package main

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an instance that uses a server that has left for longer than the period in which
// it is not in touch, because its connections, or only those to the store, went silent before it
// could read of it (DRAIN).
func TestServerThatLeftBeforeConnectionsWentSilentIsDroppedInTime(t *testing.T) {
	silences := map[string]func(*memoryPlatform){
		"all":   func(p *memoryPlatform) { p.network.silenceOpenConnections() },
		"store": func(p *memoryPlatform) { p.network.silenceOpenConnectionsOf(storeAddress.Addr().String()) },
	}
	for name, silence := range silences {
		for _, instances := range []int{1, 2, 4, replicaInstances} {
			for step := range 6 {
				t.Run(fmt.Sprintf("%s, %d instances, step %d", name, instances, step), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						p := newMemoryPlatform(t)
						p.configure = func(o *Options) { o.Drain = duration(drainPeriod) }
						fleet := p.startSmallFleet(t, instances)
						keys := p.addServers(t, 12)
						time.Sleep(5*time.Second + time.Duration(step)*370*time.Millisecond)
						// Readers wait after a change for further ones.
						p.publishRoutes(t, 2, "/a/")
						time.Sleep(20 * time.Millisecond)
						p.remove(t, keys[0])
						time.Sleep(20 * time.Millisecond)
						silence(p)
						last, instance := lastUse(fleet, 8*time.Second, keys[0])
						t.Logf("used until %v after by %d", last, instance)
						if last > recoveryPeriod {
							t.Errorf("instance %d uses the server %v after the connections went silent", instance, last)
						}
					})
				})
			}
		}
	}
}
