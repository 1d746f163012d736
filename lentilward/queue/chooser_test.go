package queue

import (
	"testing"
	"time"

	"lentilward.org/lentilward/blackboard"
)

func newServer(latency time.Duration, limit int32) *blackboard.Server {
	s := &blackboard.Server{}
	s.SetBootID(1)
	s.WarmBootID.Store(1)
	s.Connected.Store(true)
	s.Limit.Store(limit)
	s.Observe(latency, time.Now())
	return s
}

// While the fastest server has no free slot, work waits for it and does not
// spill over to a server that is many times slower. The slow server gets work
// only if no other server is left.
func TestNoSpilloverToSlowServer(t *testing.T) {
	fast, slow := newServer(10*time.Millisecond, 1), newServer(time.Second, 1)
	holders := []*blackboard.Server{slow, fast}
	if got := TryAcquire(holders, nil, blackboard.Interactive); got != fast {
		t.Fatal("did not choose the fast server")
	}
	if got := TryAcquire(holders, nil, blackboard.Interactive); got != nil {
		t.Error("spilled over to the slow server")
	}
	if got := TryAcquire(holders, []*blackboard.Server{fast}, blackboard.Interactive); got != slow {
		t.Error("did not take the slow server though no other is left")
	}
}

// A server with an overdue call counts as slow, so that work goes to a server
// that was slower so far.
func TestServerWithOverdueCallCountsAsSlow(t *testing.T) {
	fast, slow := newServer(10*time.Millisecond, 2), newServer(90*time.Millisecond, 2)
	holders := []*blackboard.Server{slow, fast}
	for range 2 {
		if got := TryAcquire(holders, nil, blackboard.Interactive); got != fast {
			t.Fatal("did not choose the fast server")
		}
	}
	fast.Overdue.Add(1)
	if got := TryAcquire(holders, nil, blackboard.Interactive); got != slow {
		t.Error("waited for a server with an overdue call")
	}
	fast.Overdue.Add(-1)
	if got := TryAcquire(holders, nil, blackboard.Interactive); got != nil {
		t.Error("spilled over to the slow server")
	}
}
