package backend

import (
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/backendpb"
	"lentilward.org/schema/domain"
)

// Guards against reporting a wrong outcome to the caller, for each way in which
// the calls of a search can end.
func TestSearchOutcomeIsCorrect(t *testing.T) {
	versionUnknown := refusal(backendpb.RefusalReason_REFUSAL_REASON_VERSION_UNKNOWN)
	overloaded := refusal(backendpb.RefusalReason_REFUSAL_REASON_OVERLOADED)
	for _, c := range []struct {
		name    string
		prepare func(f *fixture)
		err     error
		outcome domain.Outcome
		calls   int
	}{
		{"answered", func(*fixture) {}, nil, domain.Ran, 1},
		{"refused by all", func(f *fixture) { f.clients[0].err, f.clients[1].err = overloaded, overloaded }, domain.ErrRefused, domain.NotRun, 2},
		{"version unknown to all", func(f *fixture) { f.clients[0].err, f.clients[1].err = versionUnknown, versionUnknown }, domain.ErrVersionNotHeld, domain.NotRun, 2},
		{"lost by all", func(f *fixture) { f.clients[0].err, f.clients[1].err = errConnectionLost, errConnectionLost }, domain.ErrConnectionLost, domain.Unknown, 2},
		{"lost, then answered", func(f *fixture) {
			f.clients[0].err = errConnectionLost
			f.servers[1].Observe(time.Second, time.Now())
		}, nil, domain.Ran, 2},
		{"out of service", func(f *fixture) {
			f.servers[0].OutOfService.Store(true)
			f.servers[1].OutOfService.Store(true)
		}, errDeadline, domain.NotRun, 0},
		{"too slow", func(f *fixture) { f.clients[0].delay, f.clients[1].delay = time.Minute, time.Minute }, errDeadline, domain.Unknown, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFixture(t, 2, func(t *testing.T, f *fixture) {
				c.prepare(f)
				req := newRequest(time.Second)
				r := f.runTask(req)
				synctest.Wait()
				if !errors.Is(r.Err, c.err) || c.err == nil && r.Err != nil {
					t.Errorf("error %v, want %v", r.Err, c.err)
				}
				if got := req.Outcome(); got != c.outcome {
					t.Errorf("outcome %v, want %v", got, c.outcome)
				}
				if got := f.clients[0].calls + f.clients[1].calls; got != c.calls {
					t.Errorf("%d calls, want %d", got, c.calls)
				}
			})
		})
	}
}

// Guards against accepting a reply that names another version, shard, request,
// attempt or service than its call.
func TestMismatchedRepliesAreRejected(t *testing.T) {
	for name, corrupt := range map[string]func(*backendpb.SearchReply){
		"version": func(p *backendpb.SearchReply) { p.Version++ },
		"shard":   func(p *backendpb.SearchReply) { p.Shard++ },
		"request": func(p *backendpb.SearchReply) { p.RequestId = "other" },
		"attempt": func(p *backendpb.SearchReply) { p.Attempt++ },
		"service": func(p *backendpb.SearchReply) { p.Service = "other" },
	} {
		t.Run(name, func(t *testing.T) {
			runWithFixture(t, 1, func(t *testing.T, f *fixture) {
				f.clients[0].corrupt = corrupt
				if r := f.runTask(newRequest(time.Second)); !errors.Is(r.Err, ErrMismatch) || r.Reply != nil {
					t.Errorf("reply %v with error %v, want ErrMismatch and no reply", r.Reply, r.Err)
				}
			})
		})
	}
}

// A slow attempt is hedged once, and cancelled when the hedge returns first.
// Without retry budget it is not hedged.
func TestSlowAttemptIsHedgedWithinBudget(t *testing.T) {
	runWithFixture(t, 2, func(t *testing.T, f *fixture) {
		f.clients[0].delay = time.Second
		f.servers[1].Observe(3*time.Second, time.Now())
		if r := f.runTask(newRequest(10 * time.Second)); r.Err != nil || f.clients[1].calls != 0 {
			t.Fatalf("hedged without budget: %v", r.Err)
		}
		for range 100 {
			f.task.Routes.State.RetryBudget.Earn(0.05)
		}
		begin := time.Now()
		req := newRequest(10 * time.Second)
		if r := f.runTask(req); r.Err != nil {
			t.Fatal(r.Err)
		}
		if took := time.Since(begin); took != 30*time.Millisecond {
			t.Errorf("took %v, want the hedge delay of 20 ms and 10 ms", took)
		}
		synctest.Wait()
		if f.clients[0].cancelled != 1 || req.Hedges() != 1 {
			t.Errorf("%d cancelled, %d hedges, want 1 and 1", f.clients[0].cancelled, req.Hedges())
		}
		if f.servers[0].InFlight.Load() != 0 {
			t.Error("the slot of the cancelled attempt was not released")
		}
	})
}

// While the other holder is many times slower, a slow attempt is hedged on its
// own server. The server has a slot for the hedge although its limit is reached,
// since an overdue call does not count towards the limit.
func TestHedgeGoesToSameServerIfOthersAreSlower(t *testing.T) {
	runWithFixture(t, 2, func(t *testing.T, f *fixture) {
		for range 100 {
			f.task.Routes.State.RetryBudget.Earn(0.05)
		}
		f.servers[0].Observe(10*time.Millisecond, time.Now())
		f.servers[1].Observe(time.Second, time.Now())
		f.servers[0].Limit.Store(1)
		f.clients[0].nextDelays = []time.Duration{time.Second}
		begin := time.Now()
		req := newRequest(10 * time.Second)
		req.Class = blackboard.Interactive
		if r := f.runTask(req); r.Err != nil {
			t.Fatal(r.Err)
		}
		if took := time.Since(begin); took != 40*time.Millisecond || f.clients[1].calls != 0 {
			t.Errorf("took %v, want 30 ms until the call is overdue and 10 ms; %d calls to the slow server", took, f.clients[1].calls)
		}
		synctest.Wait()
		if f.servers[0].Overdue.Load() != 0 || f.servers[0].InFlight.Load() != 0 {
			t.Error("a slot was not released")
		}
	})
}

// The first call counts as overdue on its server, not the hedge that runs at
// the same time.
func TestFirstCallCountsAsOverdueNotItsHedge(t *testing.T) {
	runWithFixture(t, 2, func(t *testing.T, f *fixture) {
		for range 100 {
			f.task.Routes.State.RetryBudget.Earn(0.05)
		}
		f.servers[0].Observe(10*time.Millisecond, time.Now())
		f.servers[1].Observe(30*time.Millisecond, time.Now())
		f.clients[0].delay, f.clients[1].delay = time.Second, 100*time.Millisecond
		go f.runTask(newRequest(10 * time.Second))
		time.Sleep(35 * time.Millisecond)
		synctest.Wait()
		if f.clients[1].calls != 1 || f.servers[0].Overdue.Load() != 1 || f.servers[1].Overdue.Load() != 0 {
			t.Errorf("%d hedges, %d and %d calls overdue, want 1, 1 and 0", f.clients[1].calls,
				f.servers[0].Overdue.Load(), f.servers[1].Overdue.Load())
		}
		time.Sleep(time.Second)
		if f.servers[0].Overdue.Load() != 0 {
			t.Error("the call still counts as overdue after it has ended")
		}
	})
}

// A service that has spent its own retry budget borrows from the shared budget,
// within a bound, and all services together stay within their share.
func TestSlowServiceBorrowsWithinBounds(t *testing.T) {
	runWithFixture(t, 2, func(t *testing.T, f *fixture) {
		fast := shardRun{runner: f.runner, task: Task{Routes: &blackboard.ServiceRoutes{Service: &blackboard.Service{HedgeBudget: 0.05}, State: &blackboard.ServiceState{}}}}
		slow := shardRun{runner: f.runner, task: f.task}
		const fastRuns, slowRuns = 1000, 100
		for range fastRuns {
			fast.earnBudget()
		}
		granted := 0
		for range slowRuns {
			slow.earnBudget()
			if slow.spendBudget() {
				granted++
			}
		}
		if own := slowRuns * 0.05; float64(granted) < 3*own || float64(granted) > (1+borrowFactor)*own {
			t.Errorf("%d hedges and retries in %d tasks, want more than its own share of 5%% and at most %d times that", granted, slowRuns, 1+borrowFactor)
		}
		for fast.spendBudget() {
			granted++
		}
		if maxGranted := (fastRuns + slowRuns) * 0.05; float64(granted) > maxGranted {
			t.Errorf("%d hedges and retries of all services, want at most %v", granted, maxGranted)
		}
	})
}

// No hedge goes to a cold server, nor to one that is out of service.
func TestNoHedgeToColdOrOutOfServiceServers(t *testing.T) {
	runWithFixture(t, 3, func(t *testing.T, f *fixture) {
		for range 100 {
			f.task.Routes.State.RetryBudget.Earn(0.05)
		}
		f.clients[0].delay = 200 * time.Millisecond
		f.makeCold(1, false)
		f.servers[2].OutOfService.Store(true)
		if r := f.runTask(newRequest(time.Second)); r.Err != nil {
			t.Fatal(r.Err)
		}
		if f.clients[1].calls+f.clients[2].calls != 0 {
			t.Error("a cold or out-of-service server got a hedge")
		}
	})
}

// The limit of a server holds, and waiting tasks are served in the order of
// their classes.
func TestWaitingTasksAreServedByClass(t *testing.T) {
	runWithFixture(t, 1, func(t *testing.T, f *fixture) {
		f.servers[0].Limit.Store(1)
		var mu sync.Mutex
		var order []blackboard.Class
		var wg sync.WaitGroup
		for i, class := range []blackboard.Class{blackboard.Interactive, blackboard.Background, blackboard.Interactive, blackboard.Urgent} {
			wg.Go(func() {
				req := newRequest(time.Second)
				req.Class = class
				if r := f.runTask(req); r.Err != nil {
					t.Error(r.Err)
				}
				mu.Lock()
				order = append(order, class)
				mu.Unlock()
			})
			time.Sleep(time.Duration(i+1) * time.Millisecond / 4)
		}
		wg.Wait()
		synctest.Wait()
		want := []blackboard.Class{blackboard.Interactive, blackboard.Urgent, blackboard.Interactive, blackboard.Background}
		for i := range want {
			if order[i] != want[i] {
				t.Fatalf("order %v, want %v", order, want)
			}
		}
		if f.clients[0].maxInFlight > 2 {
			t.Errorf("%d in flight with a limit of 1 and one extra slot for urgent requests", f.clients[0].maxInFlight)
		}
	})
}

// A server that is out of service gets no retry.
func TestOutOfServiceServerGetsNoRetry(t *testing.T) {
	runWithFixture(t, 2, func(t *testing.T, f *fixture) {
		f.clients[0].err = errConnectionLost
		f.servers[1].Observe(time.Second, time.Now())
		f.servers[1].OutOfService.Store(true)
		if r := f.runTask(newRequest(time.Second)); !errors.Is(r.Err, domain.ErrConnectionLost) {
			t.Errorf("got %v, want domain.ErrConnectionLost", r.Err)
		}
		if f.clients[1].calls != 0 {
			t.Error("an out-of-service server got a retry")
		}
	})
}
