package backend

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lentilward.org/lentilward/backendrpc"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/backendpb"
	"lentilward.org/schema/domain"
)

var errDeadline = context.DeadlineExceeded

// Several instances together keep within the limit of a cold server, since only
// its owner grants slots.
func TestColdLimitHoldsAcrossInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		owner := newFixture(ctx, 1)
		owner.makeCold(0, true)
		var wg sync.WaitGroup
		for range 3 {
			other := newFixture(ctx, 1)
			other.makeCold(0, false)
			other.clients[0] = owner.clients[0]
			other.servers[0].Client = backendrpc.New(owner.clients[0], nil)
			other.runner.RequestPermit = func(ctx context.Context, _ *blackboard.Server, bootID uint64, c blackboard.Class) (Permit, error) {
				ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
				defer cancel()
				return owner.runner.GrantPermit(ctx, owner.servers[0], bootID, c), nil
			}
			for range 5 {
				wg.Go(func() {
					if r := other.runTask(newRequest(5 * time.Second)); r.Err != nil {
						t.Error(r.Err)
					}
				})
			}
		}
		for range 5 {
			wg.Go(func() {
				if r := owner.runTask(newRequest(5 * time.Second)); r.Err != nil {
					t.Error(r.Err)
				}
			})
		}
		wg.Wait()
		synctest.Wait()
		if owner.clients[0].maxInFlight != 1 {
			t.Errorf("%d in flight on a cold server with a limit of 1", owner.clients[0].maxInFlight)
		}
		if got := owner.servers[0].WarmUpReplies.Load(); got != 20 {
			t.Errorf("%d replies counted towards warming, want 20", got)
		}
		cancel()
		synctest.Wait()
	})
}

// An owner that was paused until its ownership had expired grants no slots,
// though it received no message about that.
func TestOwnerGrantsNothingAfterExpiry(t *testing.T) {
	runWithFixture(t, 1, func(t *testing.T, f *fixture) {
		f.makeCold(0, true)
		f.servers[0].OwnedUntil.Store(blackboard.Monotonic() + int64(500*time.Millisecond))
		time.Sleep(time.Second) // the pause
		r := f.runTask(newRequest(time.Second))
		if !errors.Is(r.Err, errDeadline) || f.clients[0].calls != 0 {
			t.Errorf("got %v with %d calls, want a time-out without calls", r.Err, f.clients[0].calls)
		}
		if p := f.runner.GrantPermit(context.Background(), f.servers[0], 1, blackboard.Urgent); p.Granted {
			t.Error("granted a permit after its ownership had expired")
		}
	})
}

// The slot on a cold server stays taken while the server may still run a
// request that was abandoned.
func TestColdSlotStaysTakenAfterSearchTimeout(t *testing.T) {
	runWithFixture(t, 1, func(t *testing.T, f *fixture) {
		f.makeCold(0, true)
		f.clients[0].delay = 600 * time.Millisecond
		if r := f.runTask(newRequest(100 * time.Millisecond)); !errors.Is(r.Err, errDeadline) {
			t.Fatal(r.Err)
		}
		if f.clients[0].cancelled != 0 || f.servers[0].InFlight.Load() != 1 {
			t.Error("the call was cancelled, or its slot released too early")
		}
		time.Sleep(time.Second)
		if f.servers[0].InFlight.Load() != 0 {
			t.Error("the slot was never released")
		}
	})
}

// A non-idempotent request is sent again only after a refusal, and its outcome
// is reported correctly.
func TestExecuteIsSentAgainOnlyAfterRefusal(t *testing.T) {
	for _, c := range []struct {
		name    string
		errs    [2]error
		outcome domain.Outcome
		calls   int
	}{
		{"answered", [2]error{nil, nil}, domain.Ran, 1},
		{"lost", [2]error{errConnectionLost, errConnectionLost}, domain.Unknown, 1},
		{"refused by all", [2]error{
			refusal(backendpb.RefusalReason_REFUSAL_REASON_DRAINING), refusal(backendpb.RefusalReason_REFUSAL_REASON_DRAINING),
		}, domain.NotRun, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithFixture(t, 2, func(t *testing.T, f *fixture) {
				f.clients[0].err, f.clients[1].err = c.errs[0], c.errs[1]
				req := newRequest(time.Second)
				ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
				defer cancel()
				if _, err := f.runner.Execute(ctx, req, f.task.Routes, []byte("x"), ctx.Err); (err == nil) != (c.errs[0] == nil) {
					t.Error(err)
				}
				if got := f.clients[0].calls + f.clients[1].calls; got != c.calls || req.Outcome() != c.outcome {
					t.Errorf("%d calls, %v; want %d, %v", got, req.Outcome(), c.calls, c.outcome)
				}
			})
		})
	}
}

// The slot on a cold server also stays taken while the server may still run a
// non-idempotent request that was abandoned.
func TestColdSlotStaysTakenAfterExecuteTimeout(t *testing.T) {
	runWithFixture(t, 1, func(t *testing.T, f *fixture) {
		f.makeCold(0, true)
		f.clients[0].err = status.Error(codes.DeadlineExceeded, "too late")
		req := newRequest(time.Second)
		ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
		defer cancel()
		if _, err := f.runner.Execute(ctx, req, f.task.Routes, nil, ctx.Err); !errors.Is(err, errDeadline) {
			t.Fatal(err)
		}
		if f.servers[0].InFlight.Load() != 1 {
			t.Error("the slot was released while the server may still run the request")
		}
		time.Sleep(time.Second)
		if f.servers[0].InFlight.Load() != 0 {
			t.Error("the slot was never released")
		}
	})
}
