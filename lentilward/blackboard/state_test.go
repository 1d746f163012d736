package blackboard

import (
	"testing"
	"time"
)

func TestHistogramQuantilesAreAccurate(t *testing.T) {
	var h Histogram
	for i := range 1000 {
		h.Observe(time.Duration(i+1) * time.Millisecond)
	}
	q, n := h.Quantiles(0.5, 0.95)
	if n != 1000 {
		t.Fatalf("%d samples, want 1000", n)
	}
	for i, want := range []time.Duration{500 * time.Millisecond, 950 * time.Millisecond} {
		if q[i] < want || q[i] > want+want/5 {
			t.Errorf("quantile %d is %v, want about %v", i, q[i], want)
		}
	}
	h.Decay()
	if _, n := h.Quantiles(0.5); n < 450 || n > 500 {
		t.Errorf("%d samples after decay, want about half", n)
	}
}

func TestBudgetLimitsExtraAttemptsToItsShare(t *testing.T) {
	var b Budget
	spent := 0
	for range 10000 {
		b.Earn(0.05)
		if b.Spend() {
			spent++
		}
	}
	if spent > 500 {
		t.Errorf("%d extra attempts in 10000, want at most 500", spent)
	}
}

// A restarted server must be treated as cold until the new process has been found
// warm, even if the old process was warm.
func TestRestartedServerIsCold(t *testing.T) {
	var s Server
	s.SetBootID(1)
	s.WarmBootID.Store(1)
	s.Limit.Store(3)
	if !s.Warm() {
		t.Fatal("process with the warm boot id is not warm")
	}
	s.SetBootID(0)
	if s.Warm() {
		t.Fatal("warm without a connection")
	}
	s.SetBootID(2)
	if s.Warm() || s.TryAcquire(Urgent) {
		t.Fatal("new process is warm or admits work without a permit")
	}
	s.SetBootID(1)
	if !s.Warm() {
		t.Fatal("same process is not warm after a lost connection")
	}
}
