package balance

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/pace"
	"lentilward.org/schema/domain"
)

// describe returns the views in the form "id state,state", with a "-" before those that
// can't be chosen.
func describe(views []ServerView) []string {
	var list []string
	for _, v := range views {
		mark := ""
		if !v.Usable {
			mark = "-"
		}
		list = append(list, fmt.Sprint(mark, v.ID, " ", v.States))
	}
	return list
}

// Guards against an order or states other than those by which Acquire chooses.
func TestExplainNamesStatesInTheOrderOfChoice(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name   string
		change func(near, other, far *Server)
		want   []string
	}{
		{"idle", func(_, _, _ *Server) {}, []string{"near [in-service]", "other [in-service]", "far [in-service]"}},
		{"in flight", func(near, _, _ *Server) { near.inFlight.Store(2) }, []string{"other [in-service]", "near [in-service]", "far [in-service]"}},
		{"full", func(near, _, _ *Server) { near.inFlight.Store(4) }, []string{"other [in-service]", "far [in-service]", "-near [all-slots-used]"}},
		{"cold", func(near, _, _ *Server) { near.SetCold(now.Add(time.Second)) }, []string{"other [in-service]", "near [cold]", "far [in-service]"}},
		{"unreachable", func(near, _, _ *Server) { near.RecordUnreachable(now) }, []string{"other [in-service]", "far [in-service]", "-near [unreachable]"}},
		{"paused", func(near, _, _ *Server) { near.RecordPause(now.Add(time.Second)) }, []string{"other [in-service]", "far [in-service]", "-near [paused]"}},
		{"wrong server", func(near, _, _ *Server) { near.RecordWrongServer(now) }, []string{"other [in-service]", "far [in-service]", "-near [wrong-server]"}},
		{"overloaded", func(near, _, _ *Server) { near.overloadedUntil = now.Add(time.Second) }, []string{"other [in-service]", "far [in-service]", "near [overloaded]"}},
		{"leaving", func(near, _, _ *Server) { near.leaving.Store(true) }, []string{"other [in-service]", "far [in-service]", "-near [leaving]"}},
		{"no connection allowed", func(near, _, _ *Server) { near.Pool.Limit.Store(0) }, []string{"other [in-service]", "far [in-service]", "-near [no-connection-allowed]"}},
		{"reset", func(near, _, _ *Server) { near.Pool.RecordReset(now) }, []string{"other [in-service]", "far [in-service]", "-near [resets-connections]"}},
		{"paced", func(near, _, _ *Server) { near.pace.Store(pace.New(now)) }, []string{"other [in-service]", "far [in-service]", "near [paced]"}},
		{"ejected", func(near, _, _ *Server) {
			near.breaker.ejected, near.breaker.probeAt = true, now.Add(time.Second)
			near.suspect.Store(true)
		}, []string{"other [in-service]", "far [in-service]", "-near [ejected]"}},
		{"ejected, no other", func(near, other, far *Server) {
			near.breaker.ejected, near.breaker.probeAt = true, now.Add(time.Second)
			near.suspect.Store(true)
			other.leaving.Store(true)
			far.leaving.Store(true)
		}, []string{"near [ejected]", "-far [leaving]", "-other [leaving]"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, other, far := newTestServer("near", false), newTestServer("other", false), newTestServer("far", true)
			s := newTestService(near, other, far)
			c.change(near, other, far)
			views, reachable := s.Explain(now)
			if got := describe(views); !slices.Equal(got, c.want) || !reachable {
				t.Fatalf("got %q, reachable %v, want %q", got, reachable, c.want)
			}
			for range 20 {
				server := s.Acquire(nil, now)
				if server == nil {
					t.Fatal("Acquire chose none")
				}
				// The random part of the cost decides between equal servers, and the
				// pace gives some calls to a paced one.
				if c.name != "idle" && c.name != "paced" && server.ID != views[0].ID {
					t.Fatalf("Acquire chose %s, want %s", server.ID, views[0].ID)
				}
				s.Release(server)
			}
		})
	}
}

// Guards against versions whose part in a rollout is not shown.
func TestExplainShowsVersions(t *testing.T) {
	s := newVersionedService("v1", "v2", "v3", "v4")
	s.SetVersionPolicy(&VersionPolicy{
		Prefer: "v1", Reserve: "v3", Trial: "v2", Excluded: "v4",
		TakePermit: func(string, time.Time) bool { t.Error("a permit was taken"); return true },
		AskPermit:  func(time.Time) bool { t.Error("a permit was asked for"); return true },
	})
	views, reachable := s.Explain(time.Now())
	want := []string{"v1 [in-service]", "v3 [reserve-version]", "v2 [needs-permit]", "-v4 [version-gets-no-calls]"}
	if got := describe(views); !slices.Equal(got, want) || !reachable || views[0].Version != "v1" {
		t.Errorf("got %q, reachable %v, want %q", got, reachable, want)
	}
}

// serverState is all that a choice may change in a server.
type serverState struct {
	breaker                                                         breaker
	relativeLatency, failureRate                                    float64
	consecutiveFailures                                             int
	probing, suspect                                                bool
	probeAt, blockedUntil, pausedUntil, overloadedUntil, lastSample time.Time
	inFlight, overdue                                               int32
	open                                                            int
}

func stateOf(s *Server) serverState {
	open := s.Pool.Open()
	s.mu.Lock()
	defer s.mu.Unlock()
	return serverState{
		s.breaker, s.relativeLatency, s.failureRate, s.consecutiveFailures, s.probing, s.suspect.Load(),
		s.probeAt, s.blockedUntil, s.pausedUntil, s.overloadedUntil, s.lastSample, s.inFlight.Load(), s.overdueCalls.Load(), open,
	}
}

// Guards against an explanation that starts a probe that is due, takes the probe of an
// ejected server or a slot, ejects a server, ages measurements, or moves a split on.
func TestExplainChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unreachable, ejected, failing, healthy := newTestServer("unreachable", false), newTestServer("ejected", false), newTestServer("failing", false), newTestServer("healthy", false)
		servers := []*Server{unreachable, ejected, failing, healthy}
		dials := 0
		for _, s := range servers {
			s.Pool.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
				dials++
				return nil, net.ErrClosed
			}
		}
		s := newTestService(servers...)
		s.OnBreaker = func(*Server, bool) { t.Error("the breaker of a server changed") }
		start := time.Now()
		healthy.RecordReply(1.5, false, start)
		ejected.breaker.ejected, ejected.breaker.probeAt, ejected.breaker.probeDelay = true, start, minBreakerProbeDelay
		ejected.suspect.Store(true)
		for range minEjectFailures {
			failing.RecordFailedCall(start)
		}
		unreachable.RecordUnreachable(start)
		time.Sleep(10 * time.Second)
		for range 20 {
			healthy.RecordReply(1.5, false, time.Now())
		}
		time.Sleep(2 * measurementHalfLife)
		split := []domain.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 3}}
		route := &Route{}
		route.Pick(split)
		deficits := slices.Clone(route.deficits)
		var before []serverState
		for _, server := range servers {
			before = append(before, stateOf(server))
		}
		var views []ServerView
		var next string
		for range 100 {
			views, _ = s.Explain(time.Now())
			next = route.Next(split)
		}
		synctest.Wait()
		for i, server := range servers {
			if after := stateOf(server); !reflect.DeepEqual(before[i], after) {
				t.Errorf("%s changed from %+v to %+v", server.ID, before[i], after)
			}
		}
		if dials > 0 || !slices.Equal(deficits, route.deficits) {
			t.Errorf("%d probes were started, the split moved from %v to %v", dials, deficits, route.deficits)
		}
		if picked := route.Pick(split); picked != next {
			t.Errorf("Next returned %s, then Pick %s", next, picked)
		}
		// The probe of the ejected server has been due for so long that any request may be it.
		want := []string{"ejected [ejected]", "healthy [in-service]", "-failing [ejected]", "-unreachable [unreachable]"}
		if got := describe(views); !slices.Equal(got, want) {
			t.Errorf("got %q, want %q", got, want)
		}
		if cost := views[1].Cost; math.Abs(cost-1.125) > 0.005 {
			t.Errorf("the healthy server, with 1.5 two half-lives ago, costs %v, want 1.125", cost)
		}
	})
}
