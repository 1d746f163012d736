package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/platform"
)

// Bounds of a server's named limit: in any limitWindow it gets at most limitFactor times
// what the limit allows and limitSlack requests, from limitSettleTime after it was first
// named.
const (
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
	limitSettleTime = 4 * time.Second
)

// limitedServer is a backend server that names a limit in its replies for a time.
type limitedServer struct {
	mu        sync.Mutex
	perSecond float64
	named     bool
	namedAt   time.Time
	arrivals  []time.Time
	// alternates makes every other reply name no limit.
	alternates bool
	// ids counts the requests by their IDs.
	ids map[string]int
}

// name makes the server name a limit from now on, or none.
func (s *limitedServer) name(perSecond float64, named bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perSecond, s.named = perSecond, named
	if named {
		s.namedAt, s.arrivals = time.Now(), nil
	}
}

func (s *limitedServer) respond(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	if s.ids == nil {
		s.ids = make(map[string]int)
	}
	s.ids[r.Header.Get("Request-Id")]++
	if s.named && !(s.alternates && len(s.arrivals)%2 == 0) {
		w.Header().Set("Server-Limit", strconv.FormatFloat(s.perSecond, 'f', -1, 64))
	}
	s.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Stamp", "s")
}

// largestWindow returns the most requests that arrived in a limitWindow once the limit
// binds.
func (s *limitedServer) largestWindow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, first := 0, 0
	for last, at := range s.arrivals {
		for at.Sub(s.arrivals[first]) > limitWindow || s.arrivals[first].Sub(s.namedAt) < limitSettleTime && first < last {
			first++
		}
		if at.Sub(s.namedAt) >= limitSettleTime {
			most = max(most, last-first+1)
		}
	}
	return most
}

// since returns the number of requests that have arrived since a time.
func (s *limitedServer) since(at time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, arrival := range s.arrivals {
		if !arrival.Before(at) {
			n++
		}
	}
	return n
}

// load sends requests to instances at a steady pace for a time, and waits for the answers.
// It returns how many were answered with each status, and the longest time that a refusal as
// not run took.
func load(fleet func() []*Gateway, pause, d time.Duration) (statuses map[int]int, slowestRefusal time.Duration) {
	return loadPath(fleet, http.MethodGet, "/a/", pause, d)
}

// loadPath is load with requests of one kind.
func loadPath(fleet func() []*Gateway, method, path string, pause, d time.Duration) (statuses map[int]int, slowestRefusal time.Duration) {
	var mu sync.Mutex
	var pending sync.WaitGroup
	statuses = make(map[int]int)
	for i, begin := 0, time.Now(); time.Since(begin) < d; i++ {
		instances := fleet()
		g := instances[i%len(instances)]
		pending.Go(func() {
			at := time.Now()
			r := httptest.NewRequest(method, path, nil)
			r.Host = "h"
			r.Header.Set("Request-Id", fmt.Sprintf("q%d", at.UnixNano()))
			w := httptest.NewRecorder()
			g.callers.ServeHTTP(w, r)
			mu.Lock()
			defer mu.Unlock()
			statuses[w.Code]++
			if w.Code == http.StatusServiceUnavailable {
				slowestRefusal = max(slowestRefusal, time.Since(at))
			}
		})
		time.Sleep(pause)
	}
	pending.Wait()
	return statuses, slowestRefusal
}

// Guards against a server that names a limit and gets far more from all instances together
// (found in an incident), also while an instance is stopped and started again.
func TestServerGetsItsNamedLimitFromAllInstances(t *testing.T) {
	for _, instances := range []int{4, 12} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newMemoryPlatform(t)
				server := &limitedServer{}
				p.respond = server.respond
				p.publishRoutes(t, 1, "/a/")
				f := startChangingFleet(t, p, instances)
				const perSecond = 20
				server.name(perSecond, true)
				go func() {
					for i := range limitSeeds {
						time.Sleep(8 * time.Second)
						f.stop(i)
						time.Sleep(stopGrace)
						f.kill(i)
						f.start(i)
					}
				}()
				statuses, slowestRefusal := load(f.serving, 5*time.Millisecond, 50*time.Second)
				bound := int(limitFactor*perSecond*limitWindow.Seconds()) + limitSlack
				most, served := server.largestWindow(), server.since(server.namedAt.Add(limitSettleTime))
				t.Logf("at most %d requests in %v, %d in all; answers %v", most, limitWindow, served, statuses)
				if most > bound {
					t.Errorf("%d requests in %v, want at most %d", most, limitWindow, bound)
				}
				if least := int(0.8 * perSecond * 46); served < least {
					t.Errorf("%d requests arrived, want at least %d: the limit is not used", served, least)
				}
				if slowestRefusal > 300*time.Millisecond {
					t.Errorf("a request was refused after %v", slowestRefusal)
				}
				server.name(0, false)
				load(f.serving, 20*time.Millisecond, 3*time.Second)
				if statuses, _ := load(f.serving, 10*time.Millisecond, 3*time.Second); statuses[http.StatusOK] < 290 {
					t.Errorf("answers %v after the server names no limit any more, want 300 of status 200", statuses)
				}
			})
		})
	}
}

// Guards against a limit of which the part of a lost instance is used by nobody.
func TestLimitIsUsedWhileAnInstanceIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newMemoryPlatform(t)
		server := &limitedServer{}
		p.respond = server.respond
		p.publishRoutes(t, 1, "/a/")
		f := startChangingFleet(t, p, 4)
		const perSecond = 40
		server.name(perSecond, true)
		load(f.serving, 5*time.Millisecond, 5*time.Second)
		f.kill(1)
		load(f.serving, 5*time.Millisecond, 20*time.Second)
		begin := time.Now()
		load(f.serving, 5*time.Millisecond, 20*time.Second)
		if served, least := server.since(begin), int(0.95*perSecond*20); served < least {
			t.Errorf("%d requests arrived in 20 s, want at least %d", served, least)
		}
	})
}

// startLimitedFleet starts instances with one limited server, and a route of either kind.
func startLimitedFleet(t *testing.T, instances int) (*changingFleet, *limitedServer) {
	p := newMemoryPlatform(t)
	server := &limitedServer{}
	p.respond = server.respond
	p.write(t, platform.ConfigurationKey, `{"version":1,"services":[{"name":"s1","maxConnections":300}],"routes":[
		{"name":"safe","host":"h","prefix":"/a/","kind":"safe","service":"s1","timeoutMs":1000,"targetLatencyMs":100,"maxAttempts":2},
		{"name":"once","host":"h","prefix":"/once/","kind":"unsafe","service":"s1","timeoutMs":1000}]}`)
	return startChangingFleet(t, p, instances), server
}

// boundOf returns the most requests that a server with a limit may get in a limitWindow.
func boundOf(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds()) + limitSlack
}

// Guards against instances that last saw an earlier, higher limit, since they had no requests
// for a while, and make the home lend by it although the server names a lower one.
func TestLimitThatFallsBindsAllInstances(t *testing.T) {
	for _, pause := range []time.Duration{5 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, server := startLimitedFleet(t, 24)
				server.name(60, true)
				load(f.serving, pause, 10*time.Second)
				server.name(2, true)
				some := func() []*Gateway { return f.serving()[:8] }
				load(some, pause, 5*time.Second)
				load(f.serving, pause, 15*time.Second)
				if most := server.largestWindow(); most > boundOf(2) {
					t.Errorf("%d requests in %v at a limit of 2 a second, want at most %d", most, limitWindow, boundOf(2))
				}
				server.name(60, true)
				load(f.serving, pause, 8*time.Second)
				begin := time.Now()
				load(f.serving, pause, 10*time.Second)
				// With a request in 100 ms less is asked for than the limit.
				if served, least := server.since(begin), 0.9*min(60, 1/pause.Seconds())*10; float64(served) < least {
					t.Errorf("%d requests in 10 s after the limit has risen to 60 a second, want at least %.0f", served, least)
				}
			})
		})
	}
}

// Guards against a server that names its limit in some replies only, so that each of the
// others would end it, and against a limit that does not bind when it is named again.
func TestLimitThatComesAndGoesIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, server := startLimitedFleet(t, 6)
		server.alternates = true
		server.name(20, true)
		load(f.serving, 5*time.Millisecond, 20*time.Second)
		if most := server.largestWindow(); most > boundOf(20) {
			t.Errorf("limit in every other reply: %d requests in %v, want at most %d", most, limitWindow, boundOf(20))
		}
		server.alternates = false
		for range 5 {
			server.name(0, false)
			load(f.serving, 5*time.Millisecond, 3*time.Second)
			server.name(20, true)
			load(f.serving, 5*time.Millisecond, 500*time.Millisecond)
			begin := time.Now()
			load(f.serving, 5*time.Millisecond, 3*time.Second)
			if n, most := server.since(begin), int(limitFactor*20*3)+limitSlack; n > most {
				t.Errorf("limit named again: %d requests in the 3 s from half a second after that, want at most %d", n, most)
			}
		}
	})
}

// Guards against requests that may run once and are sent beyond the limit, or twice.
func TestLimitBindsRequestsThatRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, server := startLimitedFleet(t, 4)
		server.name(20, true)
		statuses, slowest := loadPath(f.serving, http.MethodPost, "/once/", 5*time.Millisecond, 20*time.Second)
		if most := server.largestWindow(); most > boundOf(20) {
			t.Errorf("%d requests in %v, want at most %d", most, limitWindow, boundOf(20))
		}
		if served := statuses[http.StatusOK]; served < 0.9*20*20 || slowest > 600*time.Millisecond {
			t.Errorf("answers %v, the slowest refusal took %v", statuses, slowest)
		}
		for id, n := range server.ids {
			if n > 1 {
				t.Errorf("request %s was sent %d times", id, n)
			}
		}
	})
}

// Guards against a Retry-After after which there is still no room, although no others ask.
func TestRetryAfterOfLimitedServerIsTrue(t *testing.T) {
	for _, perSecond := range []float64{0.4, 2, 20} {
		synctest.Test(t, func(t *testing.T) {
			f, server := startLimitedFleet(t, 4)
			server.name(perSecond, true)
			load(f.serving, 5*time.Millisecond, 6*time.Second)
			refused := 0
			for i, g := range f.serving() {
				for k := range 20 {
					w := request(g, fmt.Sprintf("first-%d-%d", i, k))
					if w.Code != http.StatusServiceUnavailable {
						continue
					}
					refused++
					seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
					if err != nil || seconds <= 0 {
						t.Fatalf("limit %v: Retry-After %q", perSecond, w.Header().Get("Retry-After"))
					}
					time.Sleep(time.Duration(seconds * float64(time.Second)))
					if w := request(g, fmt.Sprintf("again-%d-%d", i, k)); w.Code != http.StatusOK {
						t.Errorf("limit %v: status %d after the Retry-After of %v s", perSecond, w.Code, seconds)
					}
					break
				}
			}
			if refused == 0 {
				t.Errorf("limit %v: no request was refused", perSecond)
			}
		})
	}
}

// request sends one request to an instance.
func request(g *Gateway, id string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, "/a/", nil)
	r.Host = "h"
	r.Header.Set("Request-Id", id)
	w := httptest.NewRecorder()
	g.callers.ServeHTTP(w, r)
	return w
}
