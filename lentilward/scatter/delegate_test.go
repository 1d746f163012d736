package scatter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/merge"
	"lentilward.org/schema/domain"
)

// farShards returns n shards whose servers are all in another data centre, each
// with the two servers.
func farShards(t *testing.T, n int, first, second func(i int) *fakeServer) []*balance.Service {
	services := make([]*balance.Service, 0, n)
	for i := range n {
		s := shard(t, fmt.Sprint("s", i), first(i), second(i))
		for _, x := range s.Servers() {
			x.Remote, x.DataCentre = true, "far"
		}
		services = append(services, s)
	}
	return services
}

// helped returns an engine whose peer is another engine near the servers. Broken
// peers end without a word.
func helped(services []*balance.Service, broken bool, cancelled *atomic.Int32) *Engine {
	e := newTestEngine(testPolicy)
	peer := newTestEngine(testPolicy)
	e.Helper = func(parts map[string]int) (netip.AddrPort, string, bool) {
		return netip.AddrPort{}, "far", parts["far"] > 0
	}
	e.Ask = func(_ netip.AddrPort, g Gather, emit func(Partial), ended func(error)) (func(bool), error) {
		ctx, cancel := context.WithCancelCause(context.Background())
		go func() {
			if broken {
				time.Sleep(10 * time.Millisecond)
				ended(errors.New("connection lost"))
				return
			}
			peer.Gather(ctx, g, &balance.Route{}, services, emit)
			ended(nil)
		}()
		return func(hard bool) {
			if cancelled != nil && hard {
				cancelled.Add(1)
			}
			if hard {
				cancel(ErrAbandoned)
			} else {
				cancel(nil)
			}
		}, nil
	}
	return e
}

func near(kind string, delay time.Duration) func(i int) *fakeServer {
	return func(i int) *fakeServer {
		name := fmt.Sprint(kind, i)
		return &fakeServer{name: name, answer: quick(name, delay)}
	}
}

func runHelped(t *testing.T, services []*balance.Service, e *Engine, least float64) {
	t.Helper()
	begin := time.Now()
	a, stats, refusal := e.Run(t.Context(), newTask(searchRoute(len(services), least), services...))
	if refusal != nil {
		t.Fatal(refusal)
	}
	if a.Missing != 0 || len(a.Proofs) != len(services) || len(a.Records) != len(services)*merge.RecordSize {
		t.Fatalf("answer %+v, stats %+v", a, stats)
	}
	seen := make(map[string]bool)
	for _, proof := range a.Proofs {
		if seen[proof] {
			t.Fatalf("proof %s stands twice", proof)
		}
		seen[proof] = true
	}
	if took := time.Since(begin); took > 180*time.Millisecond {
		t.Fatalf("took %v", took)
	}
	for _, s := range services {
		s := s.Servers()
		if n := s[0].InFlight() + s[1].InFlight(); n > 2 {
			t.Fatalf("%d calls for one part", n)
		}
	}
}

func TestPeerGathersFarParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		services := farShards(t, 5, near("a", 10*time.Millisecond), near("b", 10*time.Millisecond))
		e := helped(services, false, nil)
		runHelped(t, services, e, 1)
	})
}

// A part that is late at the peer is hedged by the asker, on the other server.
func TestLatePartOfAPeerIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		services := farShards(t, 5, func(i int) *fakeServer {
			if i == 3 {
				return near("a", time.Second)(i)
			}
			return near("a", 10*time.Millisecond)(i)
		}, near("b", 10*time.Millisecond))
		runHelped(t, services, helped(services, false, nil), 1)
	})
}

// A part that fails at the peer is tried once more by the asker.
func TestFailedPartOfAPeerIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		services := farShards(t, 5, func(i int) *fakeServer {
			if i == 2 {
				return &fakeServer{name: "bad", answer: failing(500, "Server-Stamp: x\r\n")}
			}
			return near("a", 10*time.Millisecond)(i)
		}, near("b", 10*time.Millisecond))
		runHelped(t, services, helped(services, false, nil), 1)
	})
}

func TestPartsOfALostPeerAreAskedDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		services := farShards(t, 5, near("a", 10*time.Millisecond), near("b", 10*time.Millisecond))
		runHelped(t, services, helped(services, true, nil), 1)
	})
}

// A peer that says nothing at all is not waited for.
func TestPartsOfASilentPeerAreHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		services := farShards(t, 5, near("a", 10*time.Millisecond), near("b", 10*time.Millisecond))
		e := helped(services, false, nil)
		e.Ask = func(netip.AddrPort, Gather, func(Partial), func(error)) (func(bool), error) {
			return func(bool) {}, nil
		}
		runHelped(t, services, e, 1)
	})
}

func TestPeerEndsWithTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		services := farShards(t, 5, near("a", time.Second), near("b", time.Second))
		var cancelled atomic.Int32
		e := helped(services, false, &cancelled)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, leave)
		if _, _, refusal := e.Run(ctx, newTask(searchRoute(5, 1), services...)); refusal == nil || cancelled.Load() != 1 {
			t.Fatalf("refusal %v, %d cancelled", refusal, cancelled.Load())
		}
		time.Sleep(100 * time.Millisecond)
		for _, s := range services {
			if n := s.Servers()[0].InFlight() + s.Servers()[1].InFlight(); n != 0 {
				t.Fatalf("%d calls in flight after the caller has left", n)
			}
		}
	})
}

// What does not fit what was asked is not taken for parts.
func TestOddPartialsAreNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, odd := range []Partial{
			{Done: []int{7}, Proofs: []string{"x"}},
			{Done: []int{-1}, Proofs: []string{"x"}},
			{Done: []int{0, 0}, Proofs: []string{"x", "y"}},
			{Done: []int{0}},
			{Late: []int{1}},
			{Failed: []int{1}},
		} {
			services := farShards(t, 5, near("a", 10*time.Millisecond), near("b", 10*time.Millisecond))
			e := helped(services, false, nil)
			e.Ask = func(_ netip.AddrPort, _ Gather, emit func(Partial), _ func(error)) (func(bool), error) {
				emit(odd)
				return func(bool) {}, nil
			}
			runHelped(t, services, e, 1)
		}
	})
}

// A request whose time is over goes nowhere, neither directly nor by a peer.
// (Aarwang, trouble-3, seed 949575651291: a caller that waited for 1 ms.)
func TestNoCallOnceTheTimeIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		count := func(kind string) func(i int) *fakeServer {
			return func(i int) *fakeServer {
				return &fakeServer{name: fmt.Sprint(kind, i), answer: func(r *http.Request) (time.Duration, string) {
					calls++
					return 0, reply(r, "x", "")
				}}
			}
		}
		services := farShards(t, 5, count("a"), count("b"))
		e := helped(services, false, nil)
		task := newTask(searchRoute(5, 1), services...)
		task.Request.TimeLeft = time.Millisecond
		time.Sleep(2 * time.Millisecond)
		if _, _, refusal := e.Run(t.Context(), task); refusal == nil || refusal.Outcome != domain.NotRun {
			t.Fatalf("refusal %+v", refusal)
		}
		for _, left := range []time.Duration{0, -time.Millisecond} {
			g := Gather{Request: task.Request, Results: 5, HedgeAfter: time.Millisecond, TimeLeft: left}
			for _, s := range services {
				g.Services = append(g.Services, s.Name)
			}
			newTestEngine(testPolicy).Gather(t.Context(), g, &balance.Route{}, services, func(Partial) {})
		}
		settle()
		if calls != 0 {
			t.Fatalf("%d calls", calls)
		}
	})
}
