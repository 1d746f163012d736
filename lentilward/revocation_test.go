package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/member"
	"lentilward.org/lentilward/proof"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

// Bounds of the tests: a withdrawal holds everywhere revokeBound after it was acknowledged,
// and an instance serves keyServingPeriod after it has lost all paths to the store.
const (
	revokeBound      = 5 * time.Second
	keyServingPeriod = 3 * time.Second
)

// keyPlatform is a memoryPlatform whose instances have the setting revocation.within and a
// boot clock of their own. They reach the backend server also while they are cut off.
type keyPlatform struct {
	*memoryPlatform
	// suspended has, by the number of the instance, for how long its machine was suspended
	// in nanoseconds: its boot clock is ahead of the bubble's by that.
	suspended [301]atomic.Int64
	version   int
}

func newKeyPlatform(t *testing.T) *keyPlatform {
	p := &keyPlatform{memoryPlatform: newMemoryPlatform(t)}
	p.configure = func(o *Options) { o.Revocation.Within, o.Apply = duration(revokeBound), duration(revokeBound) }
	servers := newMemoryNetwork(t)
	p.network, servers = servers, p.network
	p.serve(t, netip.MustParseAddrPort("10.9.0.1:80"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.respond(w, r) }))
	p.network, servers = servers, p.network
	begun := time.Now()
	p.prepare = func(number int, g *Gateway) {
		g.directory.NewServer = func(b domain.BackendServer) *balance.Server {
			pool := conn.NewPool(b.Address)
			pool.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
				return servers.dialFrom(instanceHost(number))(ctx, "tcp", address.String())
			}
			return balance.NewServer(b, pool, false)
		}
		// The clocks of machines that were booted at different times differ.
		booted := time.Duration(number) * time.Hour
		g.fence.Clock = func() (proof.Time, error) {
			return proof.Time(booted + time.Since(begun) + p.suspendedFor(number)), nil
		}
	}
	return p
}

// suspendedFor returns for how long the machine of an instance was suspended so far.
func (p *keyPlatform) suspendedFor(number int) time.Duration {
	return time.Duration(p.suspended[number].Load())
}

// publishKeys writes the next version of the configuration, with one tenant for each key.
func (p *keyPlatform) publishKeys(t *testing.T, keys ...string) {
	t.Helper()
	p.version++
	var tenants []string
	for _, key := range keys {
		tenants = append(tenants, fmt.Sprintf(`{"name":"tenant-of-%s","apiKeys":[%q]}`, key, key))
	}
	route := func(name, extra string) string {
		return fmt.Sprintf(`{"name":%q,"host":"h","prefix":"/%s/","kind":"safe","timeoutMs":1000,"targetLatencyMs":100,"maxAttempts":2,%s}`, name, name, extra)
	}
	p.write(t, platform.ConfigurationKey, fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s],"services":[{"name":"s1","maxConnections":30}],"tenants":[%s]}`,
		p.version, route("a", `"service":"s1"`), route("public", `"service":"s1","public":true`),
		route("search", `"shards":["s1"],"resultCount":5,"minSuccessShare":1`), strings.Join(tenants, ",")))
}

// startKeyFleet starts n instances and waits until they know each other.
func (p *keyPlatform) startKeyFleet(t *testing.T, n int) []*Gateway {
	first := netip.MustParseAddrPort("10.0.0.1:8102")
	var fleet []*Gateway
	for number := 1; number <= n; number++ {
		fleet = append(fleet, p.startInstance(t, number, first))
	}
	time.Sleep(15 * time.Second)
	return fleet
}

// callWithKeys sends a request with keys and returns the answer.
func callWithKeys(g *Gateway, path string, keys ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Host = "h"
	r.Header.Set("Request-Id", "q1")
	r.Header["X-Api-Key"] = keys
	w := httptest.NewRecorder()
	g.callers.ServeHTTP(w, r)
	return w
}

// fault is a fault of one instance or of the store that begins with inject and may end
// with heal.
type fault struct {
	inject func(p *keyPlatform, host string, number int)
	heal   func(p *keyPlatform, host string)
	// readDelay is for how long machines stand still before they read what has come.
	readDelay time.Duration
	// spares states that the instance still has a path to the store, through others.
	spares bool
}

var revocationFaults = map[string]fault{
	"none":                 {spares: true},
	"cut off":              {inject: func(p *keyPlatform, host string, _ int) { p.network.isolate(host) }, heal: func(p *keyPlatform, host string) { p.network.rejoin(host) }},
	"refused by the store": {inject: func(p *keyPlatform, host string, _ int) { p.store.RefuseCaller(host, 30*time.Second) }, spares: true},
	"silent connections":   {inject: func(p *keyPlatform, _ string, _ int) { p.network.silenceOpenConnections() }, spares: true},
	"store down":           {inject: func(p *keyPlatform, _ string, _ int) { p.store.StartOutage(9*time.Second, false, false) }},
	"store silent": {
		inject: func(p *keyPlatform, _ string, _ int) { p.network.isolate(storeAddress.Addr().String()) },
		heal:   func(p *keyPlatform, _ string) { p.network.rejoin(storeAddress.Addr().String()) },
	},
	"store slow":           {inject: func(p *keyPlatform, _ string, _ int) { p.store.SlowDown(118*time.Millisecond, 30*time.Second) }, spares: true},
	"throttled":            {readDelay: 90 * time.Millisecond, spares: true},
	"watches hear nothing": {inject: func(p *keyPlatform, _ string, _ int) { p.store.Compact(time.Second) }, spares: true},
	// The instance is cut off just before its watch would hear of the withdrawal again.
	"cut off while watches hear nothing": {inject: func(p *keyPlatform, host string, _ int) {
		p.store.Compact(time.Second)
		time.AfterFunc(980*time.Millisecond, func() { p.network.isolate(host) })
	}, heal: func(p *keyPlatform, host string) { p.network.rejoin(host) }},
	// The machine is suspended at once and resumes at once, as seen by the runtime's clock.
	"suspended": {inject: func(p *keyPlatform, host string, number int) {
		p.network.isolate(host)
		time.AfterFunc(300*time.Millisecond, func() { p.suspended[number].Add(int64(20 * time.Second)) })
	}, heal: func(p *keyPlatform, host string) { p.network.rejoin(host) }},
}

// Guards against an instance that runs a request with a key that was withdrawn longer than
// the bound ago, under each fault; against one that refuses a valid key although it has a
// path to the store; and against one that does not serve again after the fault.
func TestRevocationHoldsUnderFaults(t *testing.T) {
	for name, f := range revocationFaults {
		for _, role := range []string{"reads the store", "does not"} {
			for step := range 4 {
				t.Run(fmt.Sprint(name, "/", role, "/", step), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						runRevocation(t, f, role == "reads the store", time.Duration(step)*230*time.Millisecond)
					})
				})
			}
		}
	}
}

func runRevocation(t *testing.T, f fault, reader bool, delay time.Duration) {
	p := newKeyPlatform(t)
	p.network.readDelay = f.readDelay
	p.publishKeys(t, "k-stays", "k-goes")
	fleet := p.startKeyFleet(t, replicaInstances)
	number := 0
	for i, g := range fleet {
		if g.readsStore() == reader {
			number = i + 1
		}
		for _, key := range []string{"k-stays", "k-goes"} {
			if got := callWithKeys(g, "/a/", key).Code; got != http.StatusOK {
				t.Fatalf("instance %d: status %d before the fault, proof age %v", i+1, got, g.fence.Age())
			}
		}
	}
	host := instanceHost(number)
	time.Sleep(delay)
	if f.inject != nil {
		f.inject(p, host, number)
	}
	time.Sleep(50 * time.Millisecond)
	// The operator's own path to the store works, also while instances find it down.
	goneAt := p.withdraw(t, "k-stays")
	for time.Since(goneAt) < 12*time.Second {
		time.Sleep(100 * time.Millisecond)
		for i, g := range fleet {
			gone := time.Since(goneAt) + p.suspendedFor(i+1)
			if got := callWithKeys(g, "/a/", "k-goes"); gone > revokeBound && got.Code == http.StatusOK {
				t.Fatalf("instance %d: runs a request with a key that was withdrawn %v ago, proof age %v", i+1, gone, g.fence.Age())
			}
			stays := callWithKeys(g, "/a/", "k-stays")
			if stays.Code != http.StatusOK && (stays.Code != http.StatusServiceUnavailable || stays.Header().Get("Retry-After") == "") {
				t.Fatalf("instance %d: status %d for a valid key, proof age %v", i+1, stays.Code, g.fence.Age())
			}
			if f.spares && stays.Code != http.StatusOK {
				t.Fatalf("instance %d: status %d for a valid key %v after the fault, proof age %v", i+1, stays.Code, time.Since(goneAt), g.fence.Age())
			}
			if callWithKeys(g, "/public/").Code != http.StatusOK {
				t.Fatalf("instance %d: refuses a request that needs no key", i+1)
			}
		}
	}
	if f.heal != nil {
		f.heal(p, host)
	}
	time.Sleep(recoveryPeriod)
	for i, g := range fleet {
		if got := callWithKeys(g, "/a/", "k-stays").Code; got != http.StatusOK {
			t.Errorf("instance %d: status %d after the fault, proof age %v", i+1, got, g.fence.Age())
		}
		if got := callWithKeys(g, "/a/", "k-goes").Code; got != http.StatusUnauthorized {
			t.Errorf("instance %d: status %d for a withdrawn key after the fault", i+1, got)
		}
	}
}

// withdraw publishes a configuration with some keys only and returns when that was
// acknowledged. While the store is down for its callers it is retried.
func (p *keyPlatform) withdraw(t *testing.T, keys ...string) time.Time {
	t.Helper()
	for {
		ctx, cancel := context.WithTimeout(p.ctx, 200*time.Millisecond)
		_, err := p.client.Range(ctx, platform.ConfigurationKey, "")
		cancel()
		if err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	p.publishKeys(t, keys...)
	return time.Now()
}

// Guards against an instance that refuses valid keys sooner than 0.6 of the bound after it
// was cut off, at any moment between its proofs; that serves them after the bound; and that
// does not serve again as soon as it has a new proof.
func TestRevocationServesThenRefusesThenServes(t *testing.T) {
	for step := range 20 {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newKeyPlatform(t)
				p.publishKeys(t, "k1")
				fleet := p.startKeyFleet(t, replicaInstances)
				time.Sleep(time.Duration(step) * 90 * time.Millisecond)
				for number := 1; number <= len(fleet); number++ {
					p.network.isolate(instanceHost(number))
				}
				for range keyServingPeriod / (100 * time.Millisecond) {
					for i, g := range fleet {
						if got := callWithKeys(g, "/a/", "k1").Code; got != http.StatusOK {
							t.Errorf("instance %d: status %d, proof age %v", i+1, got, g.fence.Age())
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(revokeBound - keyServingPeriod)
				for i, g := range fleet {
					begunAt := time.Now()
					got := callWithKeys(g, "/a/", "k1")
					if got.Code != http.StatusServiceUnavailable || got.Header().Get("Retry-After") == "" || time.Since(begunAt) > 0 {
						t.Errorf("instance %d: status %d after %v", i+1, got.Code, time.Since(begunAt))
					}
				}
				for number := 1; number <= len(fleet); number++ {
					p.network.rejoin(instanceHost(number))
				}
				time.Sleep(recoveryPeriod)
				for i, g := range fleet {
					if got := callWithKeys(g, "/a/", "k1").Code; got != http.StatusOK {
						t.Errorf("instance %d: status %d after its return, proof age %v", i+1, got, g.fence.Age())
					}
				}
			})
		})
	}
}

// Guards against trust in keys because of what arrives without having been asked for: after
// a freeze a peer's ping, sent before it, confirms the records at hand.
func TestRevocationIgnoresUnaskedPings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newKeyPlatform(t)
		p.publishKeys(t, "k1")
		g := p.startKeyFleet(t, 2)[0]
		p.network.isolate("10.0.0.1")
		p.suspended[1].Add(int64(10 * time.Second))
		for range 10 {
			g.prober.HandleGossip(p.ctx, member.Gossip{From: blackboard.Member{Name: "n2", Address: netip.MustParseAddrPort("10.0.0.2:8102"), Revision: g.mirror.Version().Revision}, Era: g.mirror.Version().Era})
			if g.follower.Age() > 0 {
				t.Fatal("the ping does not confirm the records")
			}
			if got := callWithKeys(g, "/a/", "k1").Code; got != http.StatusServiceUnavailable {
				t.Fatalf("status %d after a freeze, proof age %v", got, g.fence.Age())
			}
			if got := callWithKeys(g, "/a/", "k-unknown").Code; got != http.StatusServiceUnavailable {
				t.Fatalf("status %d for an unknown key after a freeze, which may have been added", got)
			}
			if got := callWithKeys(g, "/none/", "k1").Code; got != http.StatusServiceUnavailable {
				t.Fatalf("status %d for an unknown route after a freeze", got)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against an instance that trusts keys because a peer answers, although the peer
// itself has lost the store.
func TestRevocationIgnoresStaleProofsOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newKeyPlatform(t)
		p.publishKeys(t, "k-goes")
		fleet := p.startKeyFleet(t, replicaInstances)
		for number := 1; number <= len(fleet); number++ {
			p.store.RefuseCaller(instanceHost(number), time.Minute)
		}
		// Watches that the store has accepted still return.
		time.Sleep(1500 * time.Millisecond)
		p.publishKeys(t, "k-other")
		goneAt := time.Now()
		for time.Since(goneAt) < 10*time.Second {
			time.Sleep(100 * time.Millisecond)
			for i, g := range fleet {
				if got := callWithKeys(g, "/a/", "k-goes").Code; time.Since(goneAt) > revokeBound && got != http.StatusServiceUnavailable {
					t.Fatalf("instance %d: status %d %v after the withdrawal", i+1, got, time.Since(goneAt))
				}
			}
		}
	})
}

// Guards against an instance that admits keys after a restart from what its peers have,
// while nobody can tell whether that is the newest, and against one that does not serve
// soon after a restart when the store is there.
func TestRevocationHoldsAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newKeyPlatform(t)
		p.publishKeys(t, "k1")
		fleet := p.startKeyFleet(t, replicaInstances)
		begunAt := time.Now()
		restarted := p.startInstance(t, 20, fleet[0].options.Load().Listen.Peers)
		for callWithKeys(restarted, "/a/", "k1").Code != http.StatusOK {
			if time.Since(begunAt) > 2*time.Second {
				t.Fatalf("no service %v after the start, proof age %v", time.Since(begunAt), restarted.fence.Age())
			}
			time.Sleep(10 * time.Millisecond)
		}
		p.store.StartOutage(time.Hour, false, false)
		// Watches that the store has accepted still return, and are proofs.
		time.Sleep(revokeBound + maxWatchWait)
		restarted = p.startInstance(t, 21, fleet[0].options.Load().Listen.Peers)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if got := callWithKeys(restarted, "/a/", "k1").Code; got != http.StatusServiceUnavailable {
				t.Fatalf("status %d from an instance that was started without the store", got)
			}
		}
		if restarted.mirror.Version().IsZero() {
			t.Fatal("the instance has no records; the test shows nothing")
		}
	})
}

// Guards against 401 for a key that was added, by an instance that has not seen the version
// that adds it, and against a key that is not in force in time.
func TestRevocationNeverRefusesAddedKeys(t *testing.T) {
	for step := range 4 {
		synctest.Test(t, func(t *testing.T) {
			p := newKeyPlatform(t)
			p.publishKeys(t, "k1")
			fleet := p.startKeyFleet(t, replicaInstances)
			time.Sleep(time.Duration(step) * 300 * time.Millisecond)
			p.network.isolate("10.0.0.3")
			p.publishKeys(t, "k1", "k-added")
			addedAt := time.Now()
			for time.Since(addedAt) < 12*time.Second {
				time.Sleep(100 * time.Millisecond)
				for i, g := range fleet {
					got := callWithKeys(g, "/a/", "k-added").Code
					if time.Since(addedAt) >= revokeBound && (got == http.StatusUnauthorized || i != 2 && got != http.StatusOK) {
						t.Fatalf("instance %d: status %d for a key that was added %v ago", i+1, got, time.Since(addedAt))
					}
				}
			}
		})
	}
}

// Guards against a valid key that is refused while all instances that read the store are
// lost at the same moment: the others then have to ask the store themselves.
func TestRevocationServesWhenAllReadersAreLost(t *testing.T) {
	for step := range 6 {
		synctest.Test(t, func(t *testing.T) {
			p := newKeyPlatform(t)
			p.publishKeys(t, "k1")
			fleet := p.startKeyFleet(t, replicaInstances)
			time.Sleep(time.Duration(step) * 170 * time.Millisecond)
			var others []*Gateway
			for i, g := range fleet {
				if g.readsStore() {
					p.network.isolate(instanceHost(i + 1))
				} else {
					others = append(others, g)
				}
			}
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				for _, g := range others {
					if got := callWithKeys(g, "/a/", "k1").Code; got != http.StatusOK {
						t.Fatalf("status %d, proof age %v", got, g.fence.Age())
					}
				}
			}
		})
	}
}

// Guards against a key that reaches a server in the first call, a retry or a hedge, and
// against a tenant that the caller states itself.
func TestRevocationKeepsKeysFromServers(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"served":  nil,
		"retried": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"hedged":  func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newKeyPlatform(t)
				configure := p.configure
				p.configure = func(o *Options) {
					configure(o)
					o.Search.Hedge = true
					o.RetryBudget.Ratio, o.RetryBudget.Window = 1, duration(time.Second)
				}
				var mu sync.Mutex
				var seen []http.Header
				respond := p.respond
				p.respond = func(w http.ResponseWriter, r *http.Request) {
					mu.Lock()
					seen = append(seen, r.Header.Clone())
					isFirst := len(seen) == 1
					mu.Unlock()
					if isFirst && first != nil {
						first(w, r)
						return
					}
					respond(w, r)
				}
				p.publishKeys(t, "k1")
				g := p.startKeyFleet(t, 2)[0]
				p.addServers(t, 2)
				calls := 0
				for path, want := range map[string]string{"/a/": "tenant-of-k1", "/search/": "tenant-of-k1", "/public/": ""} {
					mu.Lock()
					seen = nil
					mu.Unlock()
					r := httptest.NewRequest(http.MethodGet, path, nil)
					r.Host = "h"
					r.Header.Set("Request-Id", "q1")
					r.Header.Set("X-Api-Key", "k1")
					r.Header["Tenant"] = []string{"somebody", "else"}
					g.callers.ServeHTTP(httptest.NewRecorder(), r)
					mu.Lock()
					calls += len(seen)
					for _, h := range seen {
						if h.Get("Tenant") != want || len(h["Tenant"]) > 1 || h["X-Api-Key"] != nil {
							t.Errorf("%s: headers %v", path, h)
						}
					}
					mu.Unlock()
				}
				if calls < 3 || first != nil && calls == 3 {
					t.Errorf("%d calls; the test shows nothing", calls)
				}
			})
		})
	}
}

// Guards against trust in keys because of a watch without changes that was begun, after the
// instance's return, while the watches of the store heard nothing: it does not report older
// changes either (found by TestRevocationHoldsUnderRandomFaults).
func TestRevocationIgnoresWatchesThatHearNothing(t *testing.T) {
	for step := range 20 {
		synctest.Test(t, func(t *testing.T) {
			p := newKeyPlatform(t)
			p.publishKeys(t, "k-goes")
			g := p.startKeyFleet(t, 1)[0]
			period := 3*revokeBound + time.Duration(step)*110*time.Millisecond
			p.store.RefuseCaller(instanceHost(1), period)
			time.Sleep(revokeBound)
			p.publishKeys(t, "k-other")
			time.Sleep(period - revokeBound)
			p.store.Compact(time.Second)
			for range 400 {
				time.Sleep(10 * time.Millisecond)
				if got := callWithKeys(g, "/a/", "k-goes").Code; got == http.StatusOK {
					t.Fatalf("status %d, proof age %v", got, g.fence.Age())
				}
			}
			if got := callWithKeys(g, "/a/", "k-other").Code; got != http.StatusOK {
				t.Errorf("status %d for a valid key, proof age %v", got, g.fence.Age())
			}
		})
	}
}
