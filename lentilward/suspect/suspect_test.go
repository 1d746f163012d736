package suspect

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/domain"
)

// newConnectedLists returns the lists of two instances that send each other
// their updates.
func newConnectedLists() (a, b *List) {
	a, b = newList(), newList()
	connect(a, b)
	return a, b
}

func newList() *List {
	return New(blackboard.New(blackboard.LocalInstance{}), MaxRequestCrashes)
}

func connect(a, b *List) {
	a.Broadcast = func(ctx context.Context, r []Report) { a.AcceptRuns(ctx, b.Merge(r)) }
	b.Broadcast = func(ctx context.Context, r []Report) { b.AcceptRuns(ctx, a.Merge(r)) }
}

// A request is refused at every instance once three backend servers in all were lost
// with it.
func TestPoisonRequestIsRefusedAtEveryInstance(t *testing.T) {
	a, b := newConnectedLists()
	fingerprint := RequestFingerprint(&domain.Request{Method: "GET", Host: "h", Target: "/x"}, "")
	a.RecordLoss(t.Context(), fingerprint, 1, fmt.Sprint(1), time.Now())
	a.RecordLoss(t.Context(), fingerprint, 2, fmt.Sprint(2), time.Now())
	if a.IsRefused(fingerprint) || b.IsRefused(fingerprint) {
		t.Fatal("refused after two lost servers")
	}
	b.RecordLoss(t.Context(), fingerprint, 3, fmt.Sprint(3), time.Now())
	if !a.IsRefused(fingerprint) || !b.IsRefused(fingerprint) {
		t.Fatal("not refused after three lost servers")
	}
}

// Guards against taking losses at the same moment on several instances for one: none of them
// has heard of the others yet.
func TestLossesAtOneMomentAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lists []*List
		var persisted atomic.Int32
		for range 4 {
			l := newList()
			l.Persist = func(blackboard.SuspectRequest) { persisted.Add(1) }
			lists = append(lists, l)
		}
		for i, l := range lists {
			l.Broadcast = func(_ context.Context, r []Report) {
				time.AfterFunc(time.Millisecond, func() {
					for j, other := range lists {
						if i != j {
							other.Merge(r)
						}
					}
				})
			}
		}
		for i, l := range lists {
			l.RecordLoss(t.Context(), 7, uint64(i), fmt.Sprint(uint64(i)), time.Now())
		}
		time.Sleep(10 * time.Millisecond)
		if persisted.Load() == 0 {
			t.Error("the refusal would be forgotten after a start of all instances")
		}
		for i, l := range lists {
			if !l.IsRefused(7) {
				t.Errorf("instance %d does not refuse a request that has crashed four servers at once", i)
			}
		}
	})
}

// Guards against counting one lost server once for each instance or request that had calls
// in flight on it.
func TestOneLostServerCountsOnce(t *testing.T) {
	a, b := newConnectedLists()
	for range 3 {
		a.RecordLoss(t.Context(), 7, 1, fmt.Sprint(1), time.Now())
		b.RecordLoss(t.Context(), 7, 1, fmt.Sprint(1), time.Now())
	}
	if a.IsRefused(7) || b.IsRefused(7) {
		t.Fatal("refused after one lost server")
	}
}

// Guards against counting what was lost beside a popular request over a long time: it has
// run well in between, on any instance.
func TestRunsEndTheSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newConnectedLists()
		for process := range uint64(8) {
			for _, l := range []*List{a, b} {
				l.RecordLoss(t.Context(), 7, process, fmt.Sprint(process), time.Now())
			}
			time.Sleep(time.Millisecond)
			[]*List{a, b}[process%2].RecordRun(t.Context(), 7, time.Now())
			time.Sleep(time.Second)
			if a.IsRefused(7) || b.IsRefused(7) {
				t.Fatalf("refused after %d losses with a run after each", process+1)
			}
		}
	})
}

// Guards against a loss that is reported late and counts although the request has run well
// on another instance since.
func TestRunsOnOtherInstancesCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newConnectedLists()
		lostAt := time.Now()
		time.Sleep(20 * time.Millisecond)
		b.RecordRun(t.Context(), 7, time.Now())
		for process := range uint64(4) {
			a.RecordLoss(t.Context(), 7, process, fmt.Sprint(process), lostAt)
		}
		if a.IsRefused(7) || b.IsRefused(7) {
			t.Fatal("refused although it has run well on another instance since")
		}
	})
}

// Guards against losses that add up over days.
func TestOldLossesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newConnectedLists()
		for process := range uint64(9) {
			a.RecordLoss(t.Context(), 7, process, fmt.Sprint(process), time.Now())
			time.Sleep(suspectTTL/2 + time.Second)
		}
		if a.IsRefused(7) {
			t.Fatal("refused although never more than two servers were lost within the period")
		}
	})
}

// Guards against suspects that keep a request which crashes servers from being recorded.
func TestOldestSuspectMakesRoom(t *testing.T) {
	a := newList()
	var reports []Report
	for fingerprint := range uint64(maxSuspects + 10) {
		reports = append(reports, Report{Fingerprint: fingerprint, Lost: []LostReport{{Process: 1, Age: time.Second}}})
	}
	a.Merge(reports)
	for process := range uint64(MaxRequestCrashes) {
		a.RecordLoss(t.Context(), 1<<40, process, fmt.Sprint(process), time.Now())
	}
	if suspects := a.board.Suspects.Load(); !a.IsRefused(1<<40) || len(suspects.ByFingerprint) > maxSuspects {
		t.Fatalf("refused: %v, with %d suspects", a.IsRefused(1<<40), len(suspects.ByFingerprint))
	}
}

func TestDifferentRequestsHaveDifferentFingerprints(t *testing.T) {
	seen := make(map[uint64]bool)
	for _, r := range []domain.Request{
		{Method: "GET", Host: "h", Target: "/x"},
		{Method: "POST", Host: "h", Target: "/x"},
		{Method: "GET", Host: "g", Target: "/x"},
		{Method: "GET", Host: "h", Target: "/x?"},
		{Method: "GET", Host: "h", Target: "/x", Body: []byte("b")},
	} {
		for _, tenant := range []string{"", "one"} {
			if fingerprint := RequestFingerprint(&r, tenant); seen[fingerprint] {
				t.Errorf("%+v of %q has the fingerprint of another request", r, tenant)
			} else {
				seen[fingerprint] = true
			}
		}
	}
	sameButID := &domain.Request{ID: "other", Method: "GET", Host: "h", Target: "/x"}
	if !seen[RequestFingerprint(sameButID, "")] {
		t.Error("a different id changes the fingerprint")
	}
}

// Guards against times that move on while instances repeat to each other what they know, so
// that a refusal has no next trial, or a run ends suspicions from after it.
func TestRepeatedReportsDoNotMoveTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newList(), newList()
		exchange := func(period time.Duration) {
			const delay = 100 * time.Millisecond
			for end := time.Now().Add(period); time.Now().Before(end); {
				for _, pair := range [][2]*List{{a, b}, {b, a}} {
					reports := pair[0].All()
					time.Sleep(delay)
					pair[1].Merge(reports)
				}
			}
		}
		refuse(t, a)
		a.RecordTrial(t.Context(), 7)
		exchange(61 * time.Second)
		for _, l := range []*List{a, b} {
			if g := l.GrantTrial(t.Context(), l.Find(7), time.Second, false); !g.Granted {
				t.Errorf("no trial a minute after the last one, but in %v", g.RetryAfter)
			}
			l.EndTrial(7)
		}
		a.RecordRun(t.Context(), 7, time.Now())
		exchange(30 * time.Second)
		lostAt := time.Now().Add(-5 * time.Second)
		for process := range uint64(MaxRequestCrashes) {
			a.RecordLoss(t.Context(), 7, 10+process, fmt.Sprint(process), lostAt)
		}
		if !a.IsRefused(7) {
			t.Error("a run counts for losses from long after it")
		}
	})
}

// Guards against a record from an older copy of the store that refuses a request anew which
// has run well since, on the instance that reads it and on those that it tells; and against a
// refusal that is dropped although instances know that it is in force.
func TestStoredRefusalYieldsToLaterRun(t *testing.T) {
	for _, refusedAgain := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			a := newList()
			for process := range uint64(3) {
				a.RecordLoss(t.Context(), 7, process, fmt.Sprint(process), time.Now())
			}
			time.Sleep(time.Second)
			a.RecordRun(t.Context(), 7, time.Now())
			time.Sleep(time.Second)
			if refusedAgain {
				for process := range uint64(3) {
					a.RecordLoss(t.Context(), 7, 10+process, fmt.Sprint(process), time.Now())
				}
			}
			started := newList()
			started.MergeStored(7, false, 1)
			if !started.IsRefused(7) {
				t.Fatal("a request whose record alone is known is not refused")
			}
			a.Merge(started.All())
			started.Merge(a.All())
			if a.IsRefused(7) != refusedAgain || started.IsRefused(7) != refusedAgain {
				t.Errorf("refused again %v: refused %v, and %v by an instance that has started", refusedAgain, a.IsRefused(7), started.IsRefused(7))
			}
			started.MergeStored(8, false, 1)
			started.RecordTrial(t.Context(), 8)
			a.RecordRun(t.Context(), 8, time.Now().Add(-time.Minute))
			a.Merge(started.All())
			if !a.IsRefused(8) {
				t.Error("a request that had a trial since is not refused by a peer")
			}
		})
	}
}
