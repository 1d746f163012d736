package suspect

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// refuse makes a list refuse request 7, which loses all servers at one moment.
func refuse(t *testing.T, l *List) { refuseSlowly(t, l, 0) }

// refuseSlowly makes a list refuse request 7, which loses a server at a time.
func refuseSlowly(t *testing.T, l *List, pause time.Duration) {
	for process := range uint64(MaxRequestCrashes) {
		l.RecordLoss(t.Context(), 7, process, fmt.Sprint(process), time.Now())
		time.Sleep(pause)
	}
	if !l.IsRefused(7) {
		t.Fatal("not refused")
	}
}

// Guards against a request that has run well before and stays refused after a crash of all
// servers, whatever crashed them.
func TestProvenRequestGetsATrialAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newConnectedLists()
		a.RecordRun(t.Context(), 7, time.Now())
		time.Sleep(time.Second)
		refuse(t, a)
		if g := a.GrantTrial(t.Context(), b.Find(7), time.Second, false); !g.Granted {
			t.Fatalf("no trial, but in %v", g.RetryAfter)
		}
		time.Sleep(time.Millisecond)
		b.RecordRun(t.Context(), 7, time.Now())
		if a.IsRefused(7) || b.IsRefused(7) {
			t.Fatal("refused after a trial that went well")
		}
	})
}

// Guards against a request that is shut out because it happened to be in flight on many servers
// as they were lost: it may come once more.
func TestRequestLostOnceGetsATrialAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newConnectedLists()
		for process := range uint64(20) {
			[]*List{a, b}[process%2].RecordLoss(t.Context(), 7, process, "q1", time.Now())
		}
		if g := a.GrantTrial(t.Context(), b.Find(7), time.Second, false); !g.Granted {
			t.Fatalf("no trial, but in %v", g.RetryAfter)
		}
		b.RecordLoss(t.Context(), 7, 21, "q2", time.Now())
		b.RecordTrial(t.Context(), 7)
		a.EndTrial(7)
		time.Sleep(9 * time.Second)
		if a.GrantTrial(t.Context(), b.Find(7), time.Second, false).Granted {
			t.Fatal("another trial soon after one that has lost a server")
		}
	})
}

// Guards against one more crash soon after a request has crashed one server after another.
func TestRequestThatLosesServersInTurnWaitsLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newConnectedLists()
		refuseSlowly(t, a, 2*time.Second)
		for _, c := range []struct {
			after   time.Duration
			granted bool
		}{{45 * time.Second, false}, {15 * time.Second, true}} {
			time.Sleep(c.after)
			if g := a.GrantTrial(t.Context(), b.Find(7), time.Second, false); g.Granted != c.granted {
				t.Errorf("%+v: %+v", c, g)
			}
		}
	})
}

// Guards against several trials at the same time, against trials of a request that crashes
// servers beyond three in ten minutes, and against a refusal that nothing ends.
func TestTrialsOfARequestThatCrashesServersAreRare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newConnectedLists()
		refuse(t, a)
		begin := time.Now()
		var trials []time.Duration
		for time.Since(begin) < 3*time.Hour {
			if a.GrantTrial(t.Context(), b.Find(7), time.Second, false).Granted {
				if again := a.GrantTrial(t.Context(), b.Find(7), time.Second, false); again.Granted || again.RetryAfter <= 0 {
					t.Fatalf("a second trial beside the first: %+v", again)
				}
				trials = append(trials, time.Since(begin))
				time.Sleep(100 * time.Millisecond)
				b.RecordLoss(t.Context(), 7, uint64(100+len(trials)), fmt.Sprint(uint64(100+len(trials))), time.Now())
				b.RecordTrial(t.Context(), 7)
				a.EndTrial(7)
			}
			time.Sleep(time.Second)
		}
		if len(trials) < 5 || trials[2] < 10*time.Minute || trials[0] < 9*time.Second {
			t.Errorf("trials at %v", trials)
		}
	})
}

// Guards against instances that are cut off from each other and grant a trial each.
func TestIsolatedInstanceGrantsTrialsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newConnectedLists()
		refuse(t, a)
		for _, c := range []struct {
			after    time.Duration
			isolated bool
			granted  bool
		}{{11 * time.Second, true, false}, {0, false, true}, {time.Minute, true, true}} {
			time.Sleep(c.after)
			if g := a.GrantTrial(t.Context(), a.Find(7), time.Second, c.isolated); g.Granted != c.granted {
				t.Errorf("%+v: %+v", c, g)
			}
			a.EndTrial(7)
		}
	})
}

// Guards against a trial that is granted again and again because its instance was lost, and
// against one that blocks all others.
func TestTrialWithoutEndCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newConnectedLists()
		refuse(t, a)
		trials := 0
		for range 50 {
			if a.GrantTrial(t.Context(), b.Find(7), time.Second, false).Granted {
				trials++
			}
			time.Sleep(time.Second)
		}
		if trials != 1 || b.Find(7).Trials != 1 {
			t.Errorf("%d trials in 50 s, %d known to the other instance, want 1", trials, b.Find(7).Trials)
		}
	})
}

// Guards against a trial that is lost to a request which no server could take.
func TestTrialThatWasNotSentDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := newConnectedLists()
		refuse(t, a)
		time.Sleep(10 * time.Second)
		for range 5 {
			if !a.GrantTrial(t.Context(), a.Find(7), time.Second, false).Granted {
				t.Fatal("no trial")
			}
			a.EndTrial(7)
		}
	})
}

// Guards against the record of a refused request that is read back after the request has
// run well.
func TestStoredRecordCountsOnlyForUnknownRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newConnectedLists()
		refuse(t, a)
		time.Sleep(time.Second)
		b.RecordRun(t.Context(), 7, time.Now())
		a.MergeStored(7, false, 2)
		if a.IsRefused(7) {
			t.Error("refused by a record from before it has run well")
		}
		a.MergeStored(8, false, 2)
		if !a.IsRefused(8) || a.GrantTrial(t.Context(), a.Find(8), time.Second, false).Granted {
			t.Error("not refused after a start with the record, or without regard to its trials")
		}
	})
}
