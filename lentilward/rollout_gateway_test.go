package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	standin "lentilward.org/lentilstand/platform"
)

// versionedServers are servers of two versions behind whole instances.
type versionedServers struct {
	p     *memoryPlatform
	calls map[string]*atomic.Int32
}

// startVersion starts three servers of a version of a service, of whose replies a share are
// failures. Their calls are counted by service and version.
func (v *versionedServers) startVersion(t *testing.T, service, version string, network byte, failures float64) {
	calls := &atomic.Int32{}
	v.calls[service+version] = calls
	for n := range 3 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, network, byte(n + 1)}), 80)
		v.p.serve(t, address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			time.Sleep(10 * time.Millisecond)
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.Header().Set("Server-Stamp", "s")
			if rand.Float64() < failures {
				w.WriteHeader(http.StatusInternalServerError)
			}
		}))
		v.p.write(t, standin.ServerKey(fmt.Sprint(service, version, "-", n)), serverRecord(service, version, n, address, "ready"))
	}
}

// serverRecord returns the record of a server, in a data centre of its own.
func serverRecord(service, version string, n int, address netip.AddrPort, state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z%d","version":%q,"slots":3,"state":%q,"coldRemainingMs":0,"sequence":1,"born":1}`,
		service, address, n+1, version, state)
}

// Guards against orders that whole instances do not carry out, on their network with the
// stand-in of the store, and against orders that take effect without the settings.
func TestWholeInstancesCarryOutOrders(t *testing.T) {
	for _, c := range []struct {
		name     string
		share    float64
		failures float64
		want     string
	}{
		{"good", 0.1, 0, "completed"},
		{"bad", 0.1, 0.5, "rolled_back"},
		{"without settings", 0, 0.5, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newMemoryPlatform(t)
				p.configure = func(o *Options) {
					o.Rollouts.ExposureShare, o.Rollouts.ExposureSlack, o.Rollouts.Rollback = c.share, 50, duration(5*time.Second)
				}
				if _, err := p.client.Commit(p.ctx, nil, nil, []string{standin.ServerKey("i-1")}); err != nil {
					t.Fatal(err)
				}
				v := &versionedServers{p: p, calls: make(map[string]*atomic.Int32)}
				v.startVersion(t, "s1", "v1", 1, 0)
				p.publishRoutes(t, 1, "/")
				var instances []*Gateway
				for n := range 3 {
					instances = append(instances, p.startInstance(t, n+1, netip.MustParseAddrPort("10.0.0.1:8102")))
				}
				time.Sleep(8 * time.Second)
				failed := atomic.Int32{}
				end := time.Now().Add(20 * time.Second)
				go func() {
					for time.Now().Before(end) {
						time.Sleep(25 * time.Millisecond)
						go func() {
							if statusOf(instances[rand.IntN(3)], "/x") != http.StatusOK {
								failed.Add(1)
							}
						}()
					}
				}()
				time.Sleep(2 * time.Second)
				v.startVersion(t, "s1", "v2", 2, c.failures)
				time.Sleep(200 * time.Millisecond)
				if n := v.calls["s1v2"].Load(); c.share > 0 && n > 0 {
					t.Errorf("%d calls before the order", n)
				}
				p.write(t, "op/rollout/s1", `{"service":"s1","targetVersion":"v2","durationS":12}`)
				time.Sleep(12 * time.Second)
				status := ""
				if item, err := p.client.Get(p.ctx, "status/rollout/s1"); err == nil {
					status = string(item.Value)
				}
				if c.want == "" && status != "" || !strings.Contains(status, c.want) {
					t.Errorf("status %s, want %q", status, c.want)
				}
				exposed, old := v.calls["s1v2"].Load(), v.calls["s1v1"].Load()
				if c.want == "rolled_back" && exposed > 98 {
					t.Errorf("%d requests were exposed", exposed)
				}
				time.Sleep(3 * time.Second)
				t.Logf("status %s: %d calls of v2, %d of v1, %d requests failed", status, exposed, old, failed.Load())
				if n := v.calls["s1v1"].Load(); c.want == "completed" && n > old {
					t.Errorf("%d calls to the old servers after the end", n-old)
				}
				if n := v.calls["s1v2"].Load(); c.want == "rolled_back" && n > exposed {
					t.Errorf("%d calls to the new servers after the end", n-exposed)
				}
				if n := failed.Load(); c.share > 0 && n > 2 {
					t.Errorf("%d requests failed", n)
				}
				if c.share > 0 {
					answer := httptest.NewRecorder()
					instances[0].serveRollouts(http.NotFoundHandler()).ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/rollouts", nil))
					var views []rolloutView
					if err := json.Unmarshal(answer.Body.Bytes(), &views); err != nil || len(views) != 1 || views[0].Target != "v2" || views[0].Reason == "" {
						t.Errorf("rollouts are shown as %s, error %v", answer.Body, err)
					}
				}
			})
		})
	}
}

// Guards against orders that get into each other's way, or into that of a withdrawn data
// centre, a server that drains and a shard that is replaced: searches over three services
// with an order each, of which one is for a bad version. The third has no requests any
// more after 4 s; its good version has some twenty replies by then, which suffice.
func TestSeveralOrdersAtOnceWhileServersChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newMemoryPlatform(t)
		p.configure = func(o *Options) {
			o.Rollouts.ExposureShare, o.Rollouts.ExposureSlack, o.Rollouts.Rollback = 0.1, 50, duration(5*time.Second)
			o.Search.Hedge = true
		}
		v := &versionedServers{p: p, calls: make(map[string]*atomic.Int32)}
		if _, err := p.client.Commit(p.ctx, nil, nil, []string{standin.ServerKey("i-1")}); err != nil {
			t.Fatal(err)
		}
		publish := func(version int, shards string) {
			p.write(t, "op/config", fmt.Sprintf(`{"version":%d,"routes":[{"name":"all","host":"h","prefix":"/","kind":"safe","shards":[%s],
				"resultCount":5,"minSuccessShare":1,"timeoutMs":2000,"targetLatencyMs":1000,"maxAttempts":3}],"services":[
				{"name":"s1","maxConnections":30},{"name":"s2","maxConnections":30},{"name":"s3","maxConnections":30},{"name":"s4","maxConnections":30}]}`,
				version, shards))
		}
		services := []string{"s1", "s2", "s3", "s4"}
		for n, s := range services {
			v.startVersion(t, s, "v1", byte(10+n), 0)
		}
		publish(1, `"s1","s2","s3"`)
		var instances []*Gateway
		for n := range 3 {
			instances = append(instances, p.startInstance(t, n+1, netip.MustParseAddrPort("10.0.0.1:8102")))
		}
		time.Sleep(8 * time.Second)
		failed, sent := atomic.Int32{}, atomic.Int32{}
		end := time.Now().Add(17 * time.Second)
		go func() {
			for time.Now().Before(end) {
				time.Sleep(25 * time.Millisecond)
				go func() {
					sent.Add(1)
					if statusOf(instances[rand.IntN(3)], "/x") != http.StatusOK {
						failed.Add(1)
					}
				}()
			}
		}()
		time.Sleep(time.Second)
		for n, s := range services[:3] {
			failures := 0.0
			if s == "s2" {
				failures = 0.4
			}
			v.startVersion(t, s, "v2", byte(20+n), failures)
			p.write(t, "op/rollout/"+s, fmt.Sprintf(`{"service":%q,"targetVersion":"v2","durationS":12}`, s))
		}
		time.Sleep(2 * time.Second)
		p.write(t, standin.ServerKey("s1v1-0"), serverRecord("s1", "v1", 0, netip.MustParseAddrPort("10.9.10.1:80"), "draining"))
		time.Sleep(time.Second)
		p.write(t, "op/evacuate/z3", "{}")
		time.Sleep(time.Second)
		publish(2, `"s1","s2","s4"`)
		time.Sleep(8 * time.Second)
		for s, want := range map[string]string{"s1": "completed", "s2": "rolled_back", "s3": "completed"} {
			item, err := p.client.Get(p.ctx, "status/rollout/"+s)
			if err != nil || !strings.Contains(string(item.Value), want) {
				t.Errorf("status of %s is %s, want %q, error %v", s, item.Value, want, err)
			}
			t.Logf("%s: %s, %d calls of v2, %d of v1", s, item.Value, v.calls[s+"v2"].Load(), v.calls[s+"v1"].Load())
		}
		if n := v.calls["s2v2"].Load(); n > 98 {
			t.Errorf("%d requests were exposed", n)
		}
		time.Sleep(4 * time.Second)
		if n := failed.Load(); n > sent.Load()/100 {
			t.Errorf("%d of %d requests failed", n, sent.Load())
		}
	})
}
