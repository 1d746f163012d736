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

// Several instances together keep the bound of a cold server, since only its
// owner admits.
func TestColdBoundHoldsOverAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		owner := newBench(ctx, 1)
		owner.cool(0, true)
		var wg sync.WaitGroup
		for range 3 {
			other := newBench(ctx, 1)
			other.cool(0, false)
			other.clients[0] = owner.clients[0]
			other.servers[0].Client = backendrpc.New(owner.clients[0])
			other.runner.Permit = func(ctx context.Context, _ *blackboard.Server, boot uint64, c blackboard.Class) (Permit, error) {
				ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
				defer cancel()
				return owner.runner.Admit(ctx, owner.servers[0], boot, c), nil
			}
			for range 5 {
				wg.Go(func() {
					if r := other.run(request(5 * time.Second)); r.Err != nil {
						t.Error(r.Err)
					}
				})
			}
		}
		for range 5 {
			wg.Go(func() {
				if r := owner.run(request(5 * time.Second)); r.Err != nil {
					t.Error(r.Err)
				}
			})
		}
		wg.Wait()
		synctest.Wait()
		if owner.clients[0].most != 1 {
			t.Errorf("%d in flight on a server that bears 1", owner.clients[0].most)
		}
		if got := owner.servers[0].Proven.Load(); got != 20 {
			t.Errorf("%d proven replies, want 20", got)
		}
		cancel()
		synctest.Wait()
	})
}

// An owner that was paused until its ownership ended admits nothing, though
// nothing has told it so.
func TestPausedOwnerAdmitsNothing(t *testing.T) {
	withBench(t, 1, func(t *testing.T, b *bench) {
		b.cool(0, true)
		b.servers[0].OwnedUntil.Store(blackboard.Monotonic() + int64(500*time.Millisecond))
		time.Sleep(time.Second) // the pause
		r := b.run(request(time.Second))
		if !errors.Is(r.Err, errDeadline) || b.clients[0].calls != 0 {
			t.Errorf("got %v with %d calls", r.Err, b.clients[0].calls)
		}
		if p := b.runner.Admit(context.Background(), b.servers[0], 1, blackboard.Urgent); p.Granted {
			t.Error("granted a permit after its ownership had ended")
		}
	})
}

// The place on a cold server stays taken while the server may still run a
// request that was given up.
func TestColdPlaceOutlivesItsRequest(t *testing.T) {
	withBench(t, 1, func(t *testing.T, b *bench) {
		b.cool(0, true)
		b.clients[0].delay = 600 * time.Millisecond
		if r := b.run(request(100 * time.Millisecond)); !errors.Is(r.Err, errDeadline) {
			t.Fatal(r.Err)
		}
		if b.clients[0].cancelled != 0 || b.servers[0].InFlight.Load() != 1 {
			t.Error("the call was cancelled, or its place given back too early")
		}
		time.Sleep(time.Second)
		if b.servers[0].InFlight.Load() != 0 {
			t.Error("the place was never given back")
		}
	})
}

// A non-idempotent request is sent again only after a refusal.
func TestExecuteOutcomes(t *testing.T) {
	for _, c := range []struct {
		name    string
		errs    [2]error
		outcome domain.Outcome
		calls   int
	}{
		{"answered", [2]error{nil, nil}, domain.Ran, 1},
		{"lost", [2]error{lost, lost}, domain.Unknown, 1},
		{"refused by all", [2]error{
			refused(backendpb.RefusalReason_REFUSAL_REASON_DRAINING), refused(backendpb.RefusalReason_REFUSAL_REASON_DRAINING),
		}, domain.NotRun, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			withBench(t, 2, func(t *testing.T, b *bench) {
				b.clients[0].err, b.clients[1].err = c.errs[0], c.errs[1]
				q := request(time.Second)
				ctx, cancel := context.WithDeadline(context.Background(), q.Deadline)
				defer cancel()
				if _, err := b.runner.Execute(ctx, q, b.task.Routes, []byte("x"), ctx.Err); (err == nil) != (c.errs[0] == nil) {
					t.Error(err)
				}
				if got := b.clients[0].calls + b.clients[1].calls; got != c.calls || q.Outcome() != c.outcome {
					t.Errorf("%d calls, %v; want %d, %v", got, q.Outcome(), c.calls, c.outcome)
				}
			})
		})
	}
}

// The same holds for a non-idempotent request.
func TestColdPlaceOutlivesExecute(t *testing.T) {
	withBench(t, 1, func(t *testing.T, b *bench) {
		b.cool(0, true)
		b.clients[0].err = status.Error(codes.DeadlineExceeded, "too late")
		q := request(time.Second)
		ctx, cancel := context.WithDeadline(context.Background(), q.Deadline)
		defer cancel()
		if _, err := b.runner.Execute(ctx, q, b.task.Routes, nil, ctx.Err); !errors.Is(err, errDeadline) {
			t.Fatal(err)
		}
		if b.servers[0].InFlight.Load() != 1 {
			t.Error("the place was given back while the server may still run the request")
		}
		time.Sleep(time.Second)
		if b.servers[0].InFlight.Load() != 0 {
			t.Error("the place was never given back")
		}
	})
}
