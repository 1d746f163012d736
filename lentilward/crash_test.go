package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/scatter"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

const (
	// crashDelay is how long a request runs that crashes its server, and crashDowntime how
	// long the server is down then.
	crashDelay    = 150 * time.Millisecond
	crashDowntime = 3 * time.Second
	// stableWindow is the time after the third crash from which the runs of the request that
	// caused them count: maxLateRuns are permitted.
	stableWindow = 4 * time.Second
	// maxLowSeconds is how many seconds a popular request may be served rarely: a search that
	// crashes all servers at once takes them away for crashDowntime, which touches as many.
	maxLowSeconds = int(crashDowntime/time.Second) + 1
)

// crashSite is a platform whose servers crash when they run a request to a path that ends
// in "bad", also if its caller has left. They are back later as new processes.
type crashSite struct {
	*memoryPlatform
	t *testing.T

	mu      sync.Mutex
	servers []*crashServer
	crashes []time.Time
	// runs has the requests to bad paths that reached a server, by request ID.
	runs map[string]time.Time
	// loseAnswers is set while servers run requests and close the connection without an
	// answer in three of five cases.
	loseAnswers atomic.Bool
	// gathers counts the searches of which parts were run by another instance.
	gathers atomic.Int32
}

type crashServer struct {
	service    string
	address    netip.AddrPort
	dataCentre string
	generation int
	process    *http.Server
}

func newCrashSite(t *testing.T) *crashSite {
	s := &crashSite{memoryPlatform: newMemoryPlatform(t), t: t, runs: make(map[string]time.Time)}
	s.configure = func(o *Options) { o.Search.Hedge, o.Search.EarlyAnswer = true, true }
	s.prepare = func(_ int, g *Gateway) {
		newServer := g.directory.NewServer
		g.directory.NewServer = func(b domain.BackendServer) *balance.Server {
			server := newServer(b)
			server.Remote = b.DataCentre != g.options.Load().DataCentre
			return server
		}
		startGather := g.engine.StartGather
		g.engine.StartGather = func(to netip.AddrPort, request scatter.Gather, emit func(scatter.Partial), ended func(error)) (func(bool), error) {
			s.gathers.Add(1)
			return startGather(to, request, emit, ended)
		}
	}
	return s
}

// addServers adds servers of a service, in turn in the data centres.
func (s *crashSite) addServers(service string, n int, dataCentres ...string) {
	for i := range n {
		server := &crashServer{
			service: service, dataCentre: dataCentres[i%len(dataCentres)],
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 2, byte(len(s.servers))}), 80),
		}
		s.servers = append(s.servers, server)
		s.startServer(server)
	}
}

func (s *crashSite) startServer(server *crashServer) {
	l, err := s.network.listen(server.address)
	if err != nil {
		s.t.Error(err)
		return
	}
	id := fmt.Sprintf("i-%s-%d", server.address.Addr(), server.generation)
	process := &http.Server{ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError), Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasSuffix(r.URL.Path, "bad") {
				time.Sleep(20 * time.Millisecond)
				if s.loseAnswers.Load() && rand.IntN(5) < 3 {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				w.Header().Set("Server-Stamp", id)
				fmt.Fprintf(w, "%-16s", server.service)
				return
			}
			s.mu.Lock()
			if _, known := s.runs[r.Header.Get("Request-Id")]; !known {
				s.runs[r.Header.Get("Request-Id")] = time.Now()
			}
			s.mu.Unlock()
			time.Sleep(crashDelay)
			s.crash(server, crashDowntime)
		})}
	s.mu.Lock()
	server.process = process
	s.mu.Unlock()
	go process.Serve(l)
	s.write(s.t, standin.ServerKey(id), string(standin.Server{Service: server.service, Address: server.address.String(), DataCentre: server.dataCentre}.Record()))
}

// crash ends the process of a server and starts another one after the downtime.
func (s *crashSite) crash(server *crashServer, downtime time.Duration) {
	s.mu.Lock()
	process, old := server.process, standin.ServerKey(fmt.Sprintf("i-%s-%d", server.address.Addr(), server.generation))
	if process == nil {
		s.mu.Unlock()
		return
	}
	server.process = nil
	server.generation++
	s.crashes = append(s.crashes, time.Now())
	s.mu.Unlock()
	process.Close()
	time.AfterFunc(downtime, func() {
		if s.ctx.Err() == nil {
			s.startServer(server)
			s.client.Commit(s.ctx, nil, nil, []string{old})
		}
	})
}

// stopServer drains a server, ends its process and starts another one.
func (s *crashSite) stopServer(server *crashServer) {
	id := fmt.Sprintf("i-%s-%d", server.address.Addr(), server.generation)
	record := standin.Server{Service: server.service, Address: server.address.String(), DataCentre: server.dataCentre, Draining: true}
	s.write(s.t, standin.ServerKey(id), string(record.Record()))
	time.Sleep(3 * time.Second)
	s.crash(server, time.Second)
}

func (s *crashSite) crashAll(downtime time.Duration) {
	for _, server := range s.servers {
		s.crash(server, downtime)
	}
}

// startFleet starts instances in data centres in turn.
func (s *crashSite) startFleet(instances int, dataCentres ...string) []*Gateway {
	s.dataCentre = func(number int) string { return dataCentres[number%len(dataCentres)] }
	var fleet []*Gateway
	for number := 1; number <= instances; number++ {
		fleet = append(fleet, s.startInstance(s.t, number, s.seeds()...))
	}
	time.Sleep(8 * time.Second)
	return fleet
}

func (s *crashSite) seeds() []netip.AddrPort {
	return []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:8102"), netip.MustParseAddrPort("10.0.0.2:8102")}
}

// send sends a request to an instance and returns the status, or 0 if the caller has left
// before there was an answer.
func (s *crashSite) send(g *Gateway, method, path, id string, leave time.Duration) (status int) {
	ctx, cancel := context.WithTimeout(s.ctx, leave)
	defer cancel()
	r := httptest.NewRequest(method, path, nil).WithContext(ctx)
	r.Host = "h"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Milliseconds", "6000")
	w := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	g.callers.ServeHTTP(w, r)
	return w.Code
}

// popular sends one request over and over to all instances until the context ends, with a
// repeat after a failure, and returns the shares served in each second.
func (s *crashSite) popular(ctx context.Context, fleet func() []*Gateway, path string) func() []float64 {
	var mu sync.Mutex
	var sent, served []float64
	begin := time.Now()
	go func() {
		for n := 0; ctx.Err() == nil; n++ {
			instances := fleet()
			second := int(time.Since(begin) / time.Second)
			go func() {
				ok := s.send(instances[n%len(instances)], "GET", path, fmt.Sprint("p", n), 6*time.Second) == http.StatusOK ||
					s.send(instances[(n+1)%len(instances)], "GET", path, fmt.Sprint("r", n), 6*time.Second) == http.StatusOK
				mu.Lock()
				defer mu.Unlock()
				for len(sent) <= second {
					sent, served = append(sent, 0), append(served, 0)
				}
				sent[second]++
				if ok {
					served[second]++
				}
			}()
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return func() []float64 {
		mu.Lock()
		defer mu.Unlock()
		shares := make([]float64, len(sent))
		for i := range sent {
			shares[i] = served[i] / max(1, sent[i])
		}
		return shares
	}
}

const documentRoutes = `{"name":"safe","host":"h","prefix":"/safe/","kind":"safe","service":"docs","timeoutMs":6000,"targetLatencyMs":400,"maxAttempts":2},
	{"name":"unsafe","host":"h","prefix":"/unsafe/","kind":"unsafe","service":"docs","timeoutMs":6000,"targetLatencyMs":400,"maxAttempts":2}`

func (s *crashSite) publish(routes string, services ...string) {
	var list []string
	for _, name := range services {
		list = append(list, fmt.Sprintf(`{"name":%q,"maxConnections":40}`, name))
	}
	s.write(s.t, platform.ConfigurationKey, fmt.Sprintf(`{"version":1,"routes":[%s],"services":[%s]}`, routes, strings.Join(list, ",")))
}

// Guards against a document that many callers open and that stays refused, as a request that
// crashes servers, after crashes of all servers of its service, also after a restart of all
// instances (found in a review: RECOVER).
func TestPopularDocumentIsServedAfterAllServersCrashed(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes int
		gap     time.Duration
		// killWhileDown is set if the instances are killed while the servers are down,
		// instead of after that.
		killWhileDown bool
	}{
		{"once", 1, 0, false},
		{"instances too", 1, 0, true},
		{"in a row", 4, 5 * time.Second, false},
		{"as soon as they are back", 4, 4600 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCrashSite(t)
				s.addServers("docs", 6, "z1")
				s.publish(documentRoutes, "docs")
				fleet := s.startFleet(3, "z1")
				var mu sync.Mutex
				current := func() []*Gateway {
					mu.Lock()
					defer mu.Unlock()
					return slices.Clone(fleet)
				}
				ctx, cancel := context.WithCancel(s.ctx)
				defer cancel()
				shares := s.popular(ctx, current, "/safe/many")
				restart := func() {
					for number := 1; number <= len(fleet); number++ {
						s.killFuncs[number]()
					}
					time.Sleep(770 * time.Millisecond)
					mu.Lock()
					defer mu.Unlock()
					for i := range fleet {
						fleet[i] = s.startInstance(t, i+1, s.seeds()...)
					}
				}
				time.Sleep(3 * time.Second)
				for i := range c.crashes {
					if i > 0 {
						time.Sleep(c.gap)
					}
					s.crashAll(4500 * time.Millisecond)
				}
				if c.killWhileDown {
					time.Sleep(2 * time.Second)
					restart()
				}
				time.Sleep(4500 * time.Millisecond)
				back := int(3 + (time.Duration(c.crashes-1)*c.gap+4500*time.Millisecond)/time.Second)
				time.Sleep(14 * time.Second)
				if !c.killWhileDown {
					restart()
				}
				time.Sleep(20 * time.Second)
				got := shares()
				if got[1] < 0.9 || got[back+13] < 0.9 || got[len(got)-3] < 0.9 {
					t.Errorf("served in each second: %.2f, want it to be whole before the crash, 12 s after the servers are back in second %d, and at the end", got, back)
				}
			})
		})
	}
}

// Guards against a document that many callers open and that counts as one that crashes servers
// because of answers that are lost, connections that are cut, or servers that are restarted
// as planned while it is in flight on them.
func TestPopularDocumentIsNotRefusedForOtherLosses(t *testing.T) {
	for name, disturb := range map[string]func(s *crashSite){
		"answers lost": func(s *crashSite) {
			s.loseAnswers.Store(true)
			time.Sleep(10 * time.Second)
			s.loseAnswers.Store(false)
		},
		"connections cut": func(s *crashSite) {
			for range 10 {
				for _, server := range s.servers {
					s.network.cutLinks(server.address.Addr().String())
				}
				time.Sleep(time.Second)
			}
		},
		"planned restarts": func(s *crashSite) {
			for _, server := range s.servers {
				s.stopServer(server)
				time.Sleep(2 * time.Second)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCrashSite(t)
				s.addServers("docs", 6, "z1")
				s.publish(documentRoutes, "docs")
				fleet := s.startFleet(3, "z1")
				refused := 0
				for _, g := range fleet {
					onChange := g.suspects.OnChange
					g.suspects.OnChange = func(r blackboard.SuspectRequest) {
						onChange(r)
						if r.IsRefused() {
							refused++
						}
					}
				}
				ctx, cancel := context.WithCancel(s.ctx)
				defer cancel()
				shares := s.popular(ctx, func() []*Gateway { return fleet }, "/safe/many")
				time.Sleep(3 * time.Second)
				disturb(s)
				time.Sleep(10 * time.Second)
				if got := shares(); refused > 0 || got[len(got)-3] < 0.9 {
					t.Errorf("refused %d times, served in each second: %.2f", refused, got)
				}
			})
		})
	}
}

// Guards against a request that crashes servers and goes on to reach them: because its
// caller leaves before they crash, because it is sent by another instance than the one that
// serves the caller, because several come at once, or because others are served well on the
// same servers (found in a review: BUDGET).
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	const shards = 5
	var names, routes []string
	for i := range shards {
		names = append(names, fmt.Sprint("shard-", i))
		routes = append(routes, fmt.Sprintf("%q", names[i]))
	}
	search := fmt.Sprintf(`,{"name":"search","host":"h","prefix":"/search/","kind":"safe","shards":[%s],"resultCount":5,"minSuccessShare":0.6,
		"timeoutMs":6000,"targetLatencyMs":400,"maxAttempts":2}`, strings.Join(routes, ","))
	for _, c := range []struct {
		name, method, path string
		instances, copies  int
		dataCentres        []string
		leave              time.Duration
		maxConnections     int
		gathered           bool
	}{
		{"direct", "GET", "/safe/", 3, 1, []string{"z1"}, time.Minute, 40, false},
		{"direct, caller leaves", "GET", "/safe/", 3, 1, []string{"z1"}, 100 * time.Millisecond, 40, false},
		{"direct, caller leaves at once", "GET", "/safe/", 3, 1, []string{"z1"}, time.Millisecond, 40, false},
		{"direct, caller leaves just before", "GET", "/safe/", 3, 1, []string{"z1"}, crashDelay - time.Millisecond, 40, false},
		{"direct, caller leaves just after", "GET", "/safe/", 3, 1, []string{"z1"}, crashDelay + 5*time.Millisecond, 40, false},
		{"may run once", "POST", "/unsafe/", 3, 1, []string{"z1"}, time.Minute, 40, false},
		{"may run once, caller leaves", "POST", "/unsafe/", 3, 1, []string{"z1"}, 100 * time.Millisecond, 40, false},
		{"four at once", "POST", "/unsafe/", 4, 4, []string{"z1"}, time.Minute, 40, false},
		{"four at once, callers leave", "GET", "/safe/", 4, 4, []string{"z1"}, 100 * time.Millisecond, 40, false},
		{"search", "GET", "/search/", 3, 1, []string{"z1"}, time.Minute, 40, false},
		{"search, caller leaves", "GET", "/search/", 3, 1, []string{"z1"}, 100 * time.Millisecond, 40, false},
		{"gathered", "GET", "/search/", 4, 1, []string{"z1", "z2"}, time.Minute, 40, true},
		{"gathered, caller leaves", "GET", "/search/", 4, 1, []string{"z1", "z2"}, 100 * time.Millisecond, 40, true},
		{"held", "GET", "/search/", 12, 1, []string{"z1"}, time.Minute, 8, true},
		{"held, caller leaves", "GET", "/search/", 12, 1, []string{"z1"}, 100 * time.Millisecond, 8, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCrashSite(t)
				s.addServers("docs", 7, "z1")
				for i, name := range names {
					s.addServers(name, 2, c.dataCentres[(i+1)%len(c.dataCentres)])
				}
				var list []string
				for _, name := range append([]string{"docs"}, names...) {
					list = append(list, fmt.Sprintf(`{"name":%q,"maxConnections":%d}`, name, c.maxConnections))
				}
				s.write(t, platform.ConfigurationKey, fmt.Sprintf(`{"version":1,"routes":[%s],"services":[%s]}`, documentRoutes+search, strings.Join(list, ",")))
				fleet := s.startFleet(c.instances, c.dataCentres...)
				ctx, cancel := context.WithCancel(s.ctx)
				defer cancel()
				path := c.path
				if c.method == "POST" {
					path = "/safe/"
				}
				shares := s.popular(ctx, func() []*Gateway { return fleet }, path+"good")
				time.Sleep(3 * time.Second)
				var sent []string
				for round := range 12 {
					for n := range c.copies {
						id := fmt.Sprintf("bad-%d-%d", round, n)
						sent = append(sent, id)
						go s.send(fleet[(round+n)%len(fleet)], c.method, c.path+"bad", id, c.leave)
					}
					time.Sleep(4500 * time.Millisecond)
				}
				s.mu.Lock()
				defer s.mu.Unlock()
				slices.SortFunc(s.crashes, time.Time.Compare)
				if (s.gathers.Load() > 0) != c.gathered {
					t.Errorf("%d searches were run by other instances", s.gathers.Load())
				}
				if len(s.crashes) < 3 {
					t.Fatalf("%d servers crashed, want 3 at least", len(s.crashes))
				}
				var late []string
				for _, id := range sent {
					if at, ran := s.runs[id]; ran && at.After(s.crashes[2].Add(stableWindow)) {
						late = append(late, id)
					}
				}
				if len(late) > maxLateRuns {
					t.Errorf("%d of %d requests reached servers later than %v after the third crash: %v; %d servers crashed", len(late), len(sent), stableWindow, late, len(s.crashes))
				}
				got := shares()
				low := 0
				for _, share := range got[1 : len(got)-2] {
					if share < 0.8 {
						low++
					}
				}
				if low > maxLowSeconds {
					t.Errorf("a popular request on the same servers was served too rarely in %d seconds: %.2f", low, got)
				}
			})
		})
	}
}
