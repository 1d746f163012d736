package balance

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"lentilward.org/lentilward/conn"
	"lentilward.org/schema/domain"
)

// newVersionedService returns a service with one server of each version, which is also its
// ID.
func newVersionedService(versions ...string) *Service {
	s := newTestService()
	var servers []*Server
	for _, v := range versions {
		p := conn.NewPool(netip.MustParseAddrPort("10.0.0.1:80"))
		p.Limit.Store(4)
		servers = append(servers, NewServer(domain.BackendServer{ID: v, Version: v}, p, false))
	}
	s.SetServers(servers)
	return s
}

// firstChoices makes 50 first calls that end at once and returns the versions that got any.
func firstChoices(s *Service) string {
	var used []string
	for range 50 {
		server := s.AcquireFirst("r", time.Now())
		if server == nil {
			return "none"
		}
		if !slices.Contains(used, server.Version) {
			used = append(used, server.Version)
		}
		s.Release(server)
	}
	slices.Sort(used)
	return fmt.Sprint(used)
}

func TestVersionPolicy(t *testing.T) {
	permit := func(string, time.Time) bool { return true }
	refuse := func(string, time.Time) bool { return false }
	for _, c := range []struct {
		name     string
		policy   *VersionPolicy
		versions []string
		want     string
	}{
		{"no policy", nil, []string{"v1", "v2"}, "[v1 v2]"},
		{"present version", &VersionPolicy{Prefer: "v1"}, []string{"v1", "v2"}, "[v1]"},
		{"no single present version", &VersionPolicy{}, []string{"v1", "v2"}, "[v1 v2]"},
		{"no server of the present version", &VersionPolicy{Prefer: "v0"}, []string{"v1", "v2"}, "[v1 v2]"},
		{"trial without permits", &VersionPolicy{Prefer: "v1", Trial: "v2", TakePermit: refuse}, []string{"v1", "v2"}, "[v1]"},
		{"trial with permits", &VersionPolicy{Prefer: "v1", Trial: "v2", TakePermit: permit}, []string{"v1", "v2"}, "[v2]"},
		{"trial beside a third version", &VersionPolicy{Prefer: "v0", Trial: "v2", TakePermit: refuse}, []string{"v1", "v2"}, "[v1]"},
		{"trial alone", &VersionPolicy{Prefer: "v1", Trial: "v2", TakePermit: refuse}, []string{"v2"}, "[v2]"},
		{"excluded", &VersionPolicy{Prefer: "v1", Excluded: "v2"}, []string{"v1", "v2"}, "[v1]"},
		{"excluded alone", &VersionPolicy{Prefer: "v1", Excluded: "v2"}, []string{"v2"}, "none"},
		{"moving", &VersionPolicy{Prefer: "v2", Reserve: "v1"}, []string{"v1", "v2"}, "[v2]"},
	} {
		s := newVersionedService(c.versions...)
		s.SetVersionPolicy(c.policy)
		if got := firstChoices(s); got != c.want {
			t.Errorf("%s: calls to %s, want %s", c.name, got, c.want)
		}
		s.SetVersionPolicy(nil)
		if got := firstChoices(s); got != fmt.Sprint(c.versions) {
			t.Errorf("%s: calls to %s without the policy", c.name, got)
		}
	}
}

// Guards against retries and hedges that expose a request to a version on trial.
func TestRetriesDoNotGoToTheTrial(t *testing.T) {
	s := newVersionedService("v1", "v2")
	s.SetVersionPolicy(&VersionPolicy{Prefer: "v1", Trial: "v2", TakePermit: func(string, time.Time) bool { return true }})
	for range 50 {
		server := s.Acquire(nil, time.Now())
		if server.Version != "v1" {
			t.Fatal("a retry went to the trial")
		}
		s.Release(server)
	}
}

// Guards against requests that wait while the version in reserve could serve them.
func TestReserveServesWhatThePreferredCanNot(t *testing.T) {
	s := newVersionedService("v1", "v2")
	s.SetVersionPolicy(&VersionPolicy{Prefer: "v2", Reserve: "v1"})
	got := make(map[string]int)
	for range 8 {
		got[s.Acquire(nil, time.Now()).Version]++
	}
	if got["v1"] != 4 || got["v2"] != 4 || s.Acquire(nil, time.Now()) != nil {
		t.Fatalf("got %v, want 4 calls of each version and no more", got)
	}
}

// Guards against requests that are refused while only the version in reserve is reachable.
func TestReserveIsReachable(t *testing.T) {
	s := newVersionedService("v1", "v2")
	s.SetVersionPolicy(&VersionPolicy{Prefer: "v2", Reserve: "v1"})
	now := time.Now()
	s.inService[1].RecordWrongServer(now)
	if server := s.Acquire(nil, now); !s.IsReachable(now) || server == nil || server.Version != "v1" {
		t.Errorf("reachable %v, got %v", s.IsReachable(now), server)
	}
	s.SetVersionPolicy(&VersionPolicy{Prefer: "v2"})
	if s.IsReachable(now) {
		t.Error("reachable without a reserve")
	}
}

// Guards against a service that is not served while all servers of its version were lost at
// once and others are there, and against others that get calls beside a busy server.
func TestOthersServeOnlyIfUnreachable(t *testing.T) {
	s := newVersionedService("v1", "v2")
	s.SetVersionPolicy(&VersionPolicy{Prefer: "v1", OthersIfUnreachable: true})
	now := time.Now()
	for range 4 {
		if server := s.Acquire(nil, now); server == nil || server.Version != "v1" {
			t.Fatalf("got %v", server)
		}
	}
	if server := s.Acquire(nil, now); server != nil {
		t.Errorf("got %s beside a busy server", server.ID)
	}
	s.inService[0].RecordWrongServer(now)
	if server := s.Acquire(nil, now); server == nil || server.Version != "v2" {
		t.Errorf("got %v while the present version is not reachable", server)
	}
}

// Guards against calls to old servers that start unseen while these are taken to be idle:
// once the policy is set and no call is in flight, none may start.
func TestNoCallStartsOnceOldServersAreIdle(t *testing.T) {
	for range 200 {
		s := newVersionedService("v1", "v2")
		s.SetVersionPolicy(&VersionPolicy{Prefer: "v2", Reserve: "v1"})
		var stopped sync.WaitGroup
		var mu sync.Mutex
		idle := false
		for range 4 {
			stopped.Go(func() {
				for range 50 {
					server := s.Acquire(nil, time.Now())
					if server == nil {
						continue
					}
					mu.Lock()
					if idle && server.Version == "v1" {
						t.Error("a call started on an old server that was idle")
					}
					mu.Unlock()
					s.Release(server)
				}
			})
		}
		s.SetVersionPolicy(&VersionPolicy{Prefer: "v2"})
		for {
			mu.Lock()
			if s.InFlightExcept("v2") == 0 {
				idle = true
			}
			done := idle
			mu.Unlock()
			if done {
				break
			}
		}
		stopped.Wait()
	}
}

// Guards against calls to old servers that are not counted once these are out of service.
func TestCallsOfFormerServersCount(t *testing.T) {
	s := newVersionedService("v1", "v2")
	s.SetVersionPolicy(&VersionPolicy{Prefer: "v1"})
	server := s.Acquire(nil, time.Now())
	s.SetServers(s.inService[1:])
	if n := s.InFlightExcept("v2"); n != 1 {
		t.Errorf("%d calls in flight, want 1", n)
	}
	s.Release(server)
	if n := s.InFlightExcept("v2"); n != 0 {
		t.Errorf("%d calls in flight, want none", n)
	}
}
