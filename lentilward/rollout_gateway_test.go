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

// startVersion starts three servers of a version, of whose replies a share are failures.
func (v *versionedServers) startVersion(t *testing.T, version string, network byte, failures float64) {
	calls := &atomic.Int32{}
	v.calls[version] = calls
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
		v.p.write(t, standin.ServerKey(fmt.Sprint(version, "-", n)), fmt.Sprintf(
			`{"service":"s1","address":%q,"zone":"z1","version":%q,"slots":3,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1}`, address, version))
	}
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
				v.startVersion(t, "v1", 1, 0)
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
				v.startVersion(t, "v2", 2, c.failures)
				time.Sleep(200 * time.Millisecond)
				if n := v.calls["v2"].Load(); c.share > 0 && n > 0 {
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
				exposed, old := v.calls["v2"].Load(), v.calls["v1"].Load()
				if c.want == "rolled_back" && exposed > 98 {
					t.Errorf("%d requests were exposed", exposed)
				}
				time.Sleep(3 * time.Second)
				t.Logf("status %s: %d calls of v2, %d of v1, %d requests failed", status, exposed, old, failed.Load())
				if n := v.calls["v1"].Load(); c.want == "completed" && n > old {
					t.Errorf("%d calls to the old servers after the end", n-old)
				}
				if n := v.calls["v2"].Load(); c.want == "rolled_back" && n > exposed {
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
