package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	standin "lentilward.org/lentilstand/platform"
)

// storeFault answers the calls of one machine to the store in place of the store.
type storeFault func(store http.Handler, w http.ResponseWriter, r *http.Request)

// storeFaults are the ways in which the store may fail for one machine while it serves the
// others.
var storeFaults = map[string]storeFault{
	"refused": func(_ http.Handler, w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	},
	"limited": func(_ http.Handler, w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTooManyRequests)
	},
	"reset": func(http.Handler, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	"silent": func(_ http.Handler, _ http.ResponseWriter, r *http.Request) {
		// The end of the connection is noticed once the body was read.
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			<-r.Context().Done()
		}
	},
	"late replies": func(store http.Handler, w http.ResponseWriter, r *http.Request) {
		store.ServeHTTP(w, r)
		time.Sleep(700 * time.Millisecond)
	},
	"cut watches": func(store http.Handler, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/kv-watch" && r.FormValue("waitMs") != "1" {
			time.Sleep(300 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}
		store.ServeHTTP(w, r)
	},
	"watches without events": func(store http.Handler, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/kv-watch" {
			time.Sleep(time.Second)
			w.Header().Set(standin.StoreEraHeader, "1")
			fmt.Fprintf(w, `{"events":[],"currentRev":%s}`, r.FormValue("after"))
			return
		}
		store.ServeHTTP(w, r)
	},
}

// failStore makes the store fail for some machines from the time on at which begin is called.
func (p *memoryPlatform) failStore(t *testing.T, fault storeFault, hosts ...string) (begin func()) {
	var mu sync.Mutex
	failing := make(map[string]bool)
	store := p.store.Handler()
	p.serve(t, storeAddress, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil {
			t.Error(err)
		}
		mu.Lock()
		fails := failing[host]
		mu.Unlock()
		if fails {
			fault(store, w, r)
			return
		}
		store.ServeHTTP(w, r)
	}))
	return func() {
		mu.Lock()
		defer mu.Unlock()
		for _, host := range hosts {
			failing[host] = true
		}
	}
}

// startSmallFleet starts instances and waits until they know each other.
func (p *memoryPlatform) startSmallFleet(t *testing.T, instances int) (fleet []*Gateway) {
	p.publishRoutes(t, 1, "/a/")
	first := netip.MustParseAddrPort("10.0.0.1:8102")
	for number := 1; number <= instances; number++ {
		fleet = append(fleet, p.startInstance(t, number, first))
	}
	time.Sleep(15 * time.Second)
	return fleet
}

// lastUse returns how long after now an instance has last used one of the servers, and
// which one, within a period.
func lastUse(fleet []*Gateway, period time.Duration, keys ...string) (last time.Duration, instance int) {
	begin := time.Now()
	for time.Since(begin) < period {
		for i, g := range fleet {
			if uses(g, keys...) {
				last, instance = time.Since(begin), i+1
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return last, instance
}

// Guards against an instance that uses a server that drains or has left for longer than the
// drain period because the store fails for this instance alone (DRAIN).
func TestServersAreDroppedInTimeWhereTheStoreFailsForOneInstance(t *testing.T) {
	for name, fault := range storeFaults {
		for _, instances := range []int{2, 4, replicaInstances} {
			t.Run(fmt.Sprintf("%s, %d instances", name, instances), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := newMemoryPlatform(t)
					begin := p.failStore(t, fault, instanceHost(1), instanceHost(instances))
					if instances == 2 {
						begin = p.failStore(t, fault, instanceHost(1))
					}
					fleet := p.startSmallFleet(t, instances)
					keys := p.addServers(t, 12)
					begin()
					for step := range 8 {
						time.Sleep(3*time.Second + time.Duration(step)*370*time.Millisecond)
						key := keys[step]
						switch step % 2 {
						case 0:
							p.write(t, key, string(standin.Server{Service: "s1", Address: "10.9.0.1:80", DataCentre: "z1", Draining: true}.Record()))
						default:
							p.remove(t, key)
						}
						last, instance := lastUse(fleet, 5*time.Second, key)
						t.Logf("step %d: used until %v after by %d", step, last, instance)
						if last > drainPeriod {
							t.Errorf("instance %d uses a server %v after it drained or left", instance, last)
						}
					}
				})
			})
		}
	}
}

// Guards against calls to the store by peers, for an instance whose own calls are answered.
func TestPeersAreNotAskedToConfirmWhereTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newMemoryPlatform(t)
		var asked atomic.Int32
		p.prepare = func(_ int, g *Gateway) {
			confirm := g.peers.ConfirmRecords
			g.peers.ConfirmRecords = func(ctx context.Context) {
				asked.Add(1)
				confirm(ctx)
			}
		}
		fleet := p.startSmallFleet(t, replicaInstances)
		keys := p.addServers(t, 8)
		p.remove(t, keys[:4]...)
		if last, instance := lastUse(fleet, 5*time.Second, keys[:4]...); last > drainPeriod {
			t.Errorf("instance %d uses a server %v after it left", instance, last)
		}
		if n := asked.Load(); n > 0 {
			t.Errorf("peers were asked %d times", n)
		}
	})
}
