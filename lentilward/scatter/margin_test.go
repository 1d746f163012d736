package scatter

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against early answers that leave in time but reach the caller too late, because
// it is far away, its connection is new or the machine has a tenth of a core, and against less time for the servers where the
// way is short.
func TestEarlyAnswerLeavesTimeForTheWayToTheCaller(t *testing.T) {
	for _, c := range []struct{ transit, want time.Duration }{
		{0, 185 * time.Millisecond},
		{6 * time.Millisecond, 185 * time.Millisecond},
		{40 * time.Millisecond, 153500 * time.Microsecond},
		{time.Second, 100 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			begin := time.Now()
			policy := testPolicy
			policy.EarlyAnswer, policy.CPUShare = true, 0.1
			task := newTask(searchRoute(2, 0.5),
				newShard(t, "s1", &fakeServer{name: "a", respond: replyAfter("a", time.Millisecond)}),
				newShard(t, "s2", &fakeServer{name: "b", respond: replyAfter("b", 400*time.Millisecond)}))
			task.Transit = c.transit
			if _, _, refusal := newTestEngine(policy).Run(t.Context(), task); refusal != nil {
				t.Fatal(refusal)
			}
			if took := time.Since(begin).Round(500 * time.Microsecond); took != c.want {
				t.Errorf("transit %v: answered after %v, want %v", c.transit, took, c.want)
			}
		})
	}
}

// Guards against an allowance that outlasts a short pause of the machine, or that one late
// timer of many drives up.
func TestLatenessFollowsTimersAndIsForgotten(t *testing.T) {
	var l lateness
	now := time.Now()
	if got := l.allowance(now); got != 0 {
		t.Errorf("allowance without samples: %v", got)
	}
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		l.observe(now.Add(-3*time.Millisecond), now)
	}
	if got := l.allowance(now); got < 5*time.Millisecond || got > 6*time.Millisecond {
		t.Errorf("allowance with timers that are 3 ms late: %v", got)
	}
	if got := l.allowance(now.Add(20 * time.Second)); got != 0 {
		t.Errorf("allowance after 20 s without samples: %v", got)
	}
	l = lateness{}
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		l.observe(now, now)
	}
	l.observe(now.Add(-20*time.Millisecond), now)
	if got := l.allowance(now); got > 5*time.Millisecond {
		t.Errorf("allowance after one timer that was 20 ms late: %v", got)
	}
}
