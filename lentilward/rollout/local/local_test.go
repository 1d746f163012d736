package local

import (
	"errors"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/rollout"
	"lentilward.org/schema/domain"
)

// testService is a service with its rollouts.
type testService struct {
	*Rollouts
	b *balance.Service
}

func newTestService() *testService {
	return &testService{
		Rollouts: New(slog.New(slog.DiscardHandler)),
		b:        balance.NewService("s", func() *balance.RetryBudget { return &balance.RetryBudget{} }),
	}
}

func (s *testService) setServers(versions map[string]int) string {
	s.SetServers(s.b, versions, time.Now())
	return s.Find("s").State().Present
}

func (s *testService) order(target string, revision uint64) {
	s.SetOrder("s", rollout.Order{
		RolloutOrder: domain.RolloutOrder{Service: "s", Target: target, Duration: 12 * time.Second}, Revision: revision, KnownAt: time.Now(),
	}, time.Now())
}

func (s *testService) setRecord(state domain.RolloutState, order uint64) {
	s.SetRecord("s", domain.RolloutRecord{OrderRevision: order, Target: "v2", Present: "v1", State: state, Controller: "i-1"}, order+1, 0, time.Now())
}

// Guards against a present version that is found wrong without an order.
func TestPresentVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestService()
		for _, c := range []struct {
			after    time.Duration
			versions map[string]int
			want     string
		}{
			{0, map[string]int{"v1": 2, "v2": 2}, ""},
			{0, map[string]int{"v1": 3, "v2": 2}, "v1"},
			{0, map[string]int{"v1": 3, "v2": 3}, "v1"},
			// A server of the present version drains before an order is known.
			{0, map[string]int{"v1": 2, "v2": 3}, "v1"},
			{time.Second, map[string]int{"v1": 3, "v2": 3}, "v1"},
			// A plain replacement.
			{time.Second, map[string]int{"v1": 1, "v2": 3}, "v1"},
			{followDelay, map[string]int{"v1": 1, "v2": 3}, "v2"},
			{0, map[string]int{"v3": 1}, "v3"},
		} {
			time.Sleep(c.after)
			if got := s.setServers(c.versions); got != c.want {
				t.Errorf("%v after %v: present %q, want %q", c.versions, c.after, got, c.want)
			}
		}
	})
}

// Guards against a target that is taken for the present version by an instance that starts
// during the order, and against one that is not after it was completed.
func TestPresentVersionWithOrder(t *testing.T) {
	s := newTestService()
	s.order("v2", 5)
	if got := s.setServers(map[string]int{"v1": 2, "v2": 3}); got != "v1" {
		t.Errorf("present %q during the order", got)
	}
	s.setRecord(domain.RolloutCompleted, 5)
	if got := s.setServers(map[string]int{"v1": 3, "v2": 2}); got != "v2" {
		t.Errorf("present %q after it was completed", got)
	}
	synctest.Test(t, func(t *testing.T) {
		s := newTestService()
		s.order("v2", 5)
		s.setRecord(domain.RolloutCompleted, 5)
		for _, c := range []struct {
			versions map[string]int
			want     string
		}{
			// The records of old servers that have stopped are still there.
			{map[string]int{"v1": 3, "v2": 2}, "v2"},
			{map[string]int{"v2": 1, "v3": 3}, "v3"},
		} {
			s.setServers(c.versions)
			time.Sleep(2 * followDelay)
			if got := s.setServers(c.versions); got != c.want || s.Find("s").applied.present != c.want {
				t.Errorf("%v: present %q, want %q", c.versions, got, c.want)
			}
		}
	})
	s.order("v3", 8)
	if got := s.setServers(map[string]int{"v2": 2, "v3": 3}); got != "v2" {
		t.Errorf("present %q during the next order", got)
	}
}

// grant gives the service permits as a controller does.
func (s *testService) grant(t *testing.T, n int) {
	t.Helper()
	service := s.Find("s")
	if !service.askPermit(time.Now()) {
		service.takePermit("r", time.Now())
	}
	report, due := service.NextReport("i-2", 1, time.Now())
	if !due {
		t.Fatal("no report is due")
	}
	service.HandleReply(report, rollout.Reply{Granted: n, Phase: rollout.Running}, nil, time.Now())
}

// Guards against permits that are used twice, after they have expired, or for another
// order, and against the use of a machine that was suspended with them.
func TestPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestService()
		var suspended time.Duration
		start := time.Now()
		s.Now = func() time.Duration { return time.Since(start) + suspended }
		s.setServers(map[string]int{"v1": 3, "v2": 3})
		s.SetRecord("s", domain.RolloutRecord{OrderRevision: 1, Target: "v1", State: domain.RolloutCompleted}, 2, 0, time.Now())
		s.order("v2", 5)
		s.setRecord(domain.RolloutRunning, 5)
		service := s.Find("s")
		take := func() bool { return service.takePermit("r", time.Now()) }
		if take() {
			t.Error("a call without a permit")
		}
		time.Sleep(time.Second)
		s.grant(t, 2)
		first, second := take(), take()
		if !first || !second || take() {
			t.Error("two permits are not good for two calls")
		}
		time.Sleep(time.Second)
		s.grant(t, 2)
		time.Sleep(rollout.PermitTTL)
		if take() {
			t.Error("a permit that has expired was used")
		}
		time.Sleep(time.Second)
		s.grant(t, 2)
		suspended += rollout.PermitTTL
		if take() {
			t.Error("a permit was used after the machine was suspended")
		}
		time.Sleep(time.Second)
		s.grant(t, 2)
		s.order("v2", 9)
		if take() {
			t.Error("a permit of the order before was used")
		}
	})
}

// Guards against permits of a reply that comes after its report was given up, and against
// counts that are lost with a report.
func TestReportThatFailsIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestService()
		s.setServers(map[string]int{"v1": 3, "v2": 3})
		s.order("v2", 5)
		s.setRecord(domain.RolloutRunning, 5)
		service := s.Find("s")
		service.recordResult(balance.VersionResult{Route: "r", Version: "v2", Outcome: balance.Failed})
		first, _ := service.NextReport("i-2", 1, time.Now())
		service.HandleReply(first, rollout.Reply{}, errors.New("lost"), time.Now())
		time.Sleep(time.Second)
		second, due := service.NextReport("i-2", 1, time.Now())
		if !due || second.Routes["r"].New.Failures != 1 || second.Sequence <= first.Sequence {
			t.Errorf("second report %+v, due %v", second, due)
		}
		service.HandleReply(first, rollout.Reply{Granted: 3}, nil, time.Now())
		if service.takePermit("r", time.Now()) {
			t.Error("a permit of a reply that came too late was used")
		}
	})
}

// Guards against an instance that is cut off while the traffic moves and goes on with a
// version that may be rolled back meanwhile.
func TestInstanceThatIsCutOffWhileMovingGoesBack(t *testing.T) {
	for _, phase := range []rollout.Phase{rollout.Moving, rollout.Closing} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestService()
			s.setServers(map[string]int{"v1": 3, "v2": 3})
			s.order("v2", 5)
			s.setRecord(domain.RolloutMoving, 5)
			s.Notify(rollout.Notice{Service: "s", Order: 5, Phase: phase}, time.Now())
			cutOff := func() bool {
				s.Services(time.Now())
				return s.Find("s").applied.cutOff
			}
			if cutOff() {
				t.Error("cut off at once")
			}
			time.Sleep(s.part(leaseShare) + time.Millisecond)
			if !cutOff() {
				t.Errorf("not cut off without news, in %v", phase)
			}
			s.Notify(rollout.Notice{Service: "s", Order: 5, Phase: phase}, time.Now())
			if cutOff() {
				t.Errorf("cut off after news, in %v", phase)
			}
		})
	}
}

// Guards against news of an earlier order that ends the present one, and news that are
// forgotten because an older phase is told later.
func TestNews(t *testing.T) {
	s := newTestService()
	s.setServers(map[string]int{"v1": 3, "v2": 3})
	s.order("v2", 5)
	now := time.Now()
	if c := s.Notify(rollout.Notice{Service: "s", Order: 4, Phase: rollout.RolledBack}, now); c.Phase != rollout.Idle {
		t.Errorf("news of an earlier order led to %v", c.Phase)
	}
	s.Notify(rollout.Notice{Service: "s", Order: 5, Phase: rollout.RolledBack}, now)
	s.setRecord(domain.RolloutRunning, 5)
	if c := s.Notify(rollout.Notice{Service: "s", Order: 5, Phase: rollout.Moving}, now); c.Phase != rollout.RolledBack {
		t.Errorf("phase %v after the news that the version is bad", c.Phase)
	}
}

// Guards against news that come before the record of their order, while the record of an
// earlier one is known: the target of that is the version in use.
func TestNewsBeforeTheRecord(t *testing.T) {
	for phase, want := range map[rollout.Phase]string{rollout.RolledBack: "v2", rollout.Completed: "v3"} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestService()
			s.order("v2", 5)
			s.setRecord(domain.RolloutCompleted, 5)
			s.order("v3", 8)
			s.setServers(map[string]int{"v2": 3, "v3": 3})
			var servers []*balance.Server
			for _, v := range []string{"v2", "v3"} {
				pool := conn.NewPool(netip.MustParseAddrPort("10.0.0.1:80"))
				pool.Limit.Store(4)
				servers = append(servers, balance.NewServer(domain.BackendServer{ID: v, Version: v}, pool, false))
			}
			s.b.SetServers(servers)
			s.Notify(rollout.Notice{Service: "s", Order: 8, Phase: phase}, time.Now())
			time.Sleep(2 * followDelay)
			s.setServers(map[string]int{"v2": 2, "v3": 3})
			for range 20 {
				server := s.b.AcquireFirst("r", time.Now())
				if server.Version != want {
					t.Fatalf("a call went to %s after %v", server.Version, phase)
				}
				s.b.Release(server)
			}
		})
	}
}

// Guards against slow replies that are not seen, and a day on which all servers are slow
// that is taken for slow replies.
func TestSlowReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestService()
		s.setServers(map[string]int{"v1": 3, "v2": 3})
		s.order("v2", 5)
		service := s.Find("s")
		observe := func(version string, elapsed time.Duration, n int) {
			for range n {
				service.recordResult(balance.VersionResult{Route: "r", Version: version, Elapsed: elapsed})
			}
		}
		slow := func() int { return service.permits.route("r").count.New.Slow }
		observe("v1", 10*time.Millisecond, 10)
		observe("v2", 20*time.Millisecond, 1)
		observe("v2", 40*time.Millisecond, 2)
		if slow() != 2 {
			t.Errorf("%d slow replies, want 2", slow())
		}
		time.Sleep(recentPeriod + time.Second)
		observe("v1", 40*time.Millisecond, 10)
		observe("v2", 45*time.Millisecond, 5)
		if slow() != 2 {
			t.Errorf("%d slow replies while all are slow, want 2", slow())
		}
	})
}
