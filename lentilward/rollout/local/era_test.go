package local

import (
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/rollout"
	"lentilward.org/schema/domain"
)

// Guards against news of an order that are taken for news of another one, to which the store
// has given the same revision in another era, and against an instance that drops what it
// knows of an order that stays in force.
func TestNewsOfAnotherEraIsIgnored(t *testing.T) {
	s, now := newTestService(), time.Now()
	s.setServers(map[string]int{"v1": 3, "v2": 3, "v3": 3})
	order := func(target string, revision, era uint64) {
		s.SetOrder("s", rollout.Order{
			RolloutOrder: domain.RolloutOrder{Service: "s", Target: target, Duration: 12 * time.Second}, Revision: revision, Era: era, KnownAt: now,
		}, now)
	}
	notify := func(revision, era uint64, phase rollout.Phase) rollout.Phase {
		return s.Notify(rollout.Notice{Service: "s", Order: revision, Era: era, Phase: phase}, now).Phase
	}
	order("v2", 5, 1)
	notify(5, 1, rollout.RolledBack)
	order("v2", 5, 2)
	if got := notify(5, 2, rollout.Running); got != rollout.RolledBack {
		t.Errorf("phase %v of an order that the copy has, want that of before", got)
	}
	order("v2", 4, 3)
	if got := notify(4, 3, rollout.Running); got != rollout.RolledBack {
		t.Errorf("phase %v of an order that was written again, want that of before", got)
	}
	order("v3", 5, 4)
	for _, era := range []uint64{1, 2, 5} {
		if got := notify(5, era, rollout.Completed); got != rollout.Idle {
			t.Errorf("phase %v by news of era %d", got, era)
		}
	}
	if got := notify(5, 4, rollout.Running); got != rollout.Running {
		t.Errorf("phase %v of another order, want %v", got, rollout.Running)
	}
}

// Guards against an order that goes on for ever though the operator does not write it again
// after the store has come back without it.
func TestOrderThatIsNotWrittenAgainEnds(t *testing.T) {
	for _, hasEarlier := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestService()
			s.setServers(map[string]int{"v1": 3, "v2": 3, "v3": 3})
			order := func(target string, revision, era uint64) {
				s.SetOrder("s", rollout.Order{
					RolloutOrder: domain.RolloutOrder{Service: "s", Target: target, Duration: 12 * time.Second}, Revision: revision, Era: era, KnownAt: time.Now(),
				}, time.Now())
			}
			order("v2", 5, 1)
			order("v3", 7, 1)
			if hasEarlier {
				order("v2", 5, 2)
			} else {
				s.SetOrder("s", rollout.Order{Era: 2}, time.Now())
			}
			time.Sleep(orderHold - time.Second)
			s.Services(time.Now())
			if state := s.Find("s").State(); state.Order.Target != "v3" || !state.IsOrderLost {
				t.Errorf("order %+v while it may be written again", state.Order)
			}
			time.Sleep(time.Second)
			s.Services(time.Now())
			state := s.Find("s").State()
			if want := map[bool]string{true: "v2"}[hasEarlier]; state.Order.Target != want || state.IsOrderLost {
				t.Errorf("order %+v, want target %q", state.Order, want)
			}
		})
	}
}
