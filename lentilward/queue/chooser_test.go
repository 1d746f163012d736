package queue

import (
	"testing"
	"time"

	"lentilward.org/lentilward/blackboard"
)

func server(latency time.Duration, limit int32) *blackboard.Server {
	s := &blackboard.Server{}
	s.SetBoot(1)
	s.WarmBootID.Store(1)
	s.Connected.Store(true)
	s.Limit.Store(limit)
	s.Observe(latency, time.Now())
	return s
}

// Work waits for a full server rather than go to one that is many times slower,
// but goes there if no other is left.
func TestNoSpillToSlowServer(t *testing.T) {
	fast, slow := server(10*time.Millisecond, 1), server(time.Second, 1)
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

// A server that was slow is not avoided in favour of one whose call in flight
// takes longer than most.
func TestOverdueCallsMakeAServerSlow(t *testing.T) {
	fast, slow := server(10*time.Millisecond, 2), server(90*time.Millisecond, 2)
	holders := []*blackboard.Server{slow, fast}
	for range 2 {
		if got := TryAcquire(holders, nil, blackboard.Interactive); got != fast {
			t.Fatal("did not choose the fast server")
		}
	}
	fast.Overdue.Add(1)
	if got := TryAcquire(holders, nil, blackboard.Interactive); got != slow {
		t.Error("waits for a server with an overdue call")
	}
	fast.Overdue.Add(-1)
	if got := TryAcquire(holders, nil, blackboard.Interactive); got != nil {
		t.Error("spilled over to the slow server")
	}
}
