package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/mirror"
	"lentilward.org/lentilward/peer"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

// Bounds of the tests: a configuration must be in force maxApplyDelay after its
// acknowledgement, and recoveryPeriod after a fault of an instance has ended.
const (
	maxApplyDelay  = 3 * time.Second
	recoveryPeriod = 4 * time.Second
)

// routeTimeout is the timeout of the routes of routesRecord.
const routeTimeout = time.Second

// memoryPlatform is a store, a backend server and instances on a memoryNetwork.
type memoryPlatform struct {
	ctx     context.Context
	network *memoryNetwork
	store   *standin.Store
	client  *platform.Store
	// respond is the handler of the backend server.
	respond http.HandlerFunc
	// configure changes the settings of instances, and prepare their components, before
	// they start.
	configure func(*Options)
	prepare   func(number int, g *Gateway)
	// killFuncs end the processes of instances, by number.
	killFuncs map[int]func()
	// dataCentre returns the data centre of an instance; nil for z1.
	dataCentre func(number int) string
}

func newMemoryPlatform(t *testing.T) *memoryPlatform {
	p := &memoryPlatform{
		ctx: t.Context(), network: newMemoryNetwork(t), store: standin.New(1),
		configure: func(*Options) {}, prepare: func(int, *Gateway) {}, killFuncs: make(map[int]func()),
	}
	p.serve(t, storeAddress, p.store.Handler())
	backendServer := netip.MustParseAddrPort("10.9.0.1:80")
	p.respond = func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Stamp", "s")
	}
	p.serve(t, backendServer, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.respond(w, r) }))
	p.client = platform.NewStore(storeAddress, &http.Client{Transport: handlerTransport{p.store.Handler(), "10.250.0.1"}})
	p.write(t, standin.ServerKey("i-1"), string(standin.Server{Service: "s1", Address: backendServer.String(), DataCentre: "z1"}.Record()))
	return p
}

func (p *memoryPlatform) serve(t *testing.T, address netip.AddrPort, h http.Handler) {
	l, err := p.network.listen(address)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	t.Cleanup(func() { s.Close() })
	go s.Serve(l)
}

func (p *memoryPlatform) write(t *testing.T, key, value string) {
	t.Helper()
	if _, err := p.client.Commit(p.ctx, nil, []platform.Write{{Key: key, Value: []byte(value)}}, nil); err != nil {
		t.Fatal(err)
	}
}

// publishRoutes writes a version of the configuration that has one route for each
// prefix.
func (p *memoryPlatform) publishRoutes(t *testing.T, version int, prefixes ...string) {
	t.Helper()
	p.write(t, platform.ConfigurationKey, routesRecord(version, prefixes...))
}

// routesRecord returns the record of a configuration that has one route for each prefix.
func routesRecord(version int, prefixes ...string) string {
	routes := ""
	for i, prefix := range prefixes {
		if i > 0 {
			routes += ","
		}
		routes += fmt.Sprintf(`{"name":"r%d","host":"h","prefix":%q,"kind":"safe","service":"s1","timeoutMs":%d,"targetLatencyMs":100,"maxAttempts":2}`, i, prefix, routeTimeout.Milliseconds())
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s1","maxConnections":30}]}`, version, routes)
}

// instanceHost returns the machine of an instance: 10.0.0.<number> for the first ones.
func instanceHost(number int) string { return fmt.Sprintf("10.0.%d.%d", number/250, number%250) }

// startInstance starts an instance on its machine.
func (p *memoryPlatform) startInstance(t *testing.T, number int, seeds ...netip.AddrPort) *Gateway {
	g, _, _ := p.startStoppableInstance(t, number, seeds...)
	return g
}

// startStoppableInstance starts an instance as startInstance does. stop stops it as
// SIGTERM does; stopped is closed once it has ended.
func (p *memoryPlatform) startStoppableInstance(t *testing.T, number int, seeds ...netip.AddrPort) (_ *Gateway, stop func(), stopped chan struct{}) {
	host := instanceHost(number)
	dial := p.network.dialFrom(host)
	o := &Options{Name: fmt.Sprintf("n%d", number), DataCentre: "z1", Peers: seeds}
	if p.dataCentre != nil {
		o.DataCentre = p.dataCentre(number)
	}
	for port, address := range []*netip.AddrPort{&o.Listen.HTTP, &o.Listen.Readiness, &o.Listen.Peers, &o.Listen.Monitor} {
		*address = netip.AddrPortFrom(netip.MustParseAddr(host), uint16(8100+port))
	}
	o.Store.Address, o.Apply = storeAddress, duration(maxApplyDelay)
	o.RetryBudget.Slack, o.RetryBudget.Window, o.Stop.Grace = 50, duration(10*time.Second), duration(stopGrace)
	p.configure(o)
	g := newGateway(o, newStoreClient(storeAddress, dial), slog.New(slog.DiscardHandler), &slog.LevelVar{})
	g.listen, g.links.Dial = p.network.listen, dial
	g.directory.NewServer = func(b domain.BackendServer) *balance.Server {
		pool := conn.NewPool(b.Address)
		pool.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			return dial(ctx, "tcp", address.String())
		}
		server := balance.NewServer(b, pool, false)
		server.SetTokens(g.serverLimits.local)
		return server
	}
	p.prepare(number, g)
	processCtx, cancel := context.WithCancel(p.ctx)
	stopCtx, stop := context.WithCancel(processCtx)
	stopped = make(chan struct{})
	go func() {
		defer close(stopped)
		if err := g.Run(processCtx, stopCtx); err != nil {
			t.Error(err)
		}
	}()
	p.killFuncs[number] = func() {
		cancel()
		time.Sleep(time.Millisecond)
		p.network.disconnect(host)
		g.links.Close()
	}
	t.Cleanup(func() {
		cancel()
		<-stopped
		p.network.close()
		g.links.Close()
	})
	return g, stop, stopped
}

// statusOf returns the status of the answer to a request.
func statusOf(g *Gateway, path string) int {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Host = "h"
	r.Header.Set("Request-Id", "q1")
	w := httptest.NewRecorder()
	g.callers.ServeHTTP(w, r)
	return w.Code
}

// Guards against an instance that answers 404 for a route that was added more than
// the bound ago, because it waits on connections to the store that have gone silent.
func TestAddedRouteIsServedAfterStoreConnectionsWentSilent(t *testing.T) {
	for step := range 8 {
		silentAt := 20*time.Second + time.Duration(step)*300*time.Millisecond
		t.Run(silentAt.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newMemoryPlatform(t)
				p.publishRoutes(t, 1, "/a/")
				g := p.startInstance(t, 1)
				time.Sleep(silentAt)
				p.network.silenceOpenConnections()
				time.Sleep(recoveryPeriod - maxApplyDelay)
				p.publishRoutes(t, 2, "/a/", "/b/")
				time.Sleep(maxApplyDelay)
				if got := statusOf(g, "/b/"); got != http.StatusOK {
					t.Errorf("status %d for a route that was added %v ago", got, maxApplyDelay)
				}
			})
		})
	}
}

// Guards against an instance that depends on its peers for the configuration and
// cannot reach them for minutes after the connections to them have gone silent.
func TestAddedRouteIsServedAfterPeerConnectionsWentSilent(t *testing.T) {
	for step := range 8 {
		silentAt := 20*time.Second + time.Duration(step)*300*time.Millisecond
		t.Run(silentAt.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newMemoryPlatform(t)
				p.publishRoutes(t, 1, "/a/")
				one := p.startInstance(t, 1)
				time.Sleep(time.Second)
				refused := p.startInstance(t, 2, one.options.Load().Listen.Peers)
				time.Sleep(time.Second)
				p.store.RefuseCaller("10.0.0.2", time.Hour)
				time.Sleep(silentAt)
				p.network.silenceOpenConnections()
				time.Sleep(recoveryPeriod - maxApplyDelay)
				p.publishRoutes(t, 2, "/a/", "/b/")
				time.Sleep(maxApplyDelay)
				if got := statusOf(refused, "/b/"); got != http.StatusOK {
					t.Errorf("status %d for a route that was added %v ago", got, maxApplyDelay)
				}
			})
		})
	}
}

// Guards against an instance that ends, stops following the store or loses its
// servers because of one odd record among those of the servers.
func TestOddServerRecordsDoNotStopAnInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newMemoryPlatform(t)
		p.publishRoutes(t, 1, "/a/")
		running := p.startInstance(t, 1)
		time.Sleep(2 * time.Second)
		for i, text := range []string{
			strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000),
			strings.Repeat(`{"service":`, 50_000),
			`{"service":"s1","address":"10.9.0.1:99999","zone":"z1","version":"v","slots":3,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1}`,
			`{"service":"s1","address":"10.9.0.1:80","zone":"z1","version":"v","slots":1e300,"state":"ready","coldRemainingMs":1e300,"sequence":1e300,"born":1}`,
			`{"service":"s1","address":"10.9.0.1:80","zone":"z1","version":"v","slots":3,"state":"ready","coldRemainingMs":0,"sequence":1,"born":99999999999999999999}`,
			"\xff\xfe\x00", "", "null", "7",
		} {
			p.write(t, fmt.Sprintf("servers/odd-%d", i), text)
		}
		p.publishRoutes(t, 2, "/a/", "/b/")
		time.Sleep(time.Second)
		started := p.startInstance(t, 2)
		time.Sleep(2 * time.Second)
		for _, g := range []*Gateway{running, started} {
			if got := statusOf(g, "/b/"); got != http.StatusOK {
				t.Errorf("status %d after odd records", got)
			}
			if n := len(g.directory.Current.Load().Services["s1"].Servers()); n != 1 {
				t.Errorf("%d servers, want the one whose record is valid", n)
			}
		}
	})
}

// Guards against one peer that does not reply to a fetch of its records, and so
// keeps an instance from fetching those that other peers have.
func TestFetchFromHangingPeerDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newMemoryPlatform(t)
		p.publishRoutes(t, 1, "/a/")
		g := p.startInstance(t, 1)
		time.Sleep(2 * time.Second)
		hanging, sound := netip.MustParseAddrPort("10.0.0.2:8102"), netip.MustParseAddrPort("10.0.0.3:8102")
		newest := g.mirror.Version()
		newest.Revision += 5
		g.fetchRecords = func(ctx context.Context, address netip.AddrPort, _ blackboard.Version) (peer.RecordsReply, error) {
			if address == hanging {
				<-ctx.Done()
				return peer.RecordsReply{}, ctx.Err()
			}
			return peer.RecordsReply{Delta: mirror.Delta{Era: newest.Era, Revision: newest.Revision}}, nil
		}
		go g.prober.OnNewerVersion(p.ctx, hanging, newest)
		time.Sleep(100 * time.Millisecond)
		go g.prober.OnNewerVersion(p.ctx, sound, newest)
		time.Sleep(time.Second)
		if got := g.mirror.Version(); got != newest {
			t.Fatalf("version %v a second after a peer had announced %v", got, newest)
		}
	})
}

// Guards against 404 from an instance that can't know whether the route was added
// meanwhile, because nothing has confirmed its configuration for longer than a
// change may take to be in force.
func TestUnknownRouteIsRefusedAsNotRunWhileUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newMemoryPlatform(t)
		p.publishRoutes(t, 1, "/a/")
		g := p.startInstance(t, 1)
		time.Sleep(10 * time.Second)
		if got := statusOf(g, "/b/"); got != http.StatusNotFound {
			t.Fatalf("status %d while the configuration is confirmed", got)
		}
		p.network.silenceOpenConnections()
		p.network.refuseConnections()
		time.Sleep(maxApplyDelay)
		for range 50 {
			if got := statusOf(g, "/b/"); got != http.StatusServiceUnavailable {
				t.Fatalf("status %d with a configuration that was confirmed %v ago", got, g.follower.Age())
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}
