package caller

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/suspect"
	"lentilward.org/schema/domain"
)

func (inst *testInstance) searchFor(ctx context.Context, id, query string) error {
	_, err := inst.server.Search(ctx, &domain.SearchRequest{
		ID: id, Caller: "tester", Services: []string{"billing", "audit"}, Query: query, MinCoverage: 1,
		Class: domain.Interactive, TimeLeft: 5 * time.Second,
	})
	return err
}

func (inst *testInstance) callCount() (calls int32) {
	for _, servers := range inst.servers {
		for _, f := range servers {
			calls += f.calls.Load()
		}
	}
	return calls
}

// Guards against a query that crashes servers and is never found out, since its callers leave
// before the servers crash (found in a review: BUDGET, on the other face).
func TestCanaryCountsAfterItsCallerHasLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inst := newTestInstance(t.Context())
		for i := range 6 {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
			if err := inst.searchFor(ctx, fmt.Sprint("q", i), "poison"); err == nil {
				t.Fatal("answered")
			}
			cancel()
			time.Sleep(2 * time.Second)
		}
		if calls := inst.callCount(); calls != suspect.MaxCrashes {
			t.Errorf("reached servers %d times, want %d", calls, suspect.MaxCrashes)
		}
	})
}

// Guards against a request that may run once and crashes each server that runs it, under a new
// ID each time, with callers that stay and callers that leave (the same on the path of
// requests that run once).
func TestExecuteThatCrashesServersIsRefused(t *testing.T) {
	for _, leave := range []time.Duration{time.Second, 50 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			inst := newTestInstance(t.Context())
			for _, f := range inst.servers["audit"] {
				f.connectionLost, f.extraDelay = true, 100*time.Millisecond
			}
			for i := range 6 {
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(leave, cancel)
				_, err := inst.server.Execute(ctx, &domain.ExecuteRequest{
					ID: fmt.Sprint("e", i), Caller: "tester", Service: "audit", Payload: []byte("bad"), Class: domain.Interactive, TimeLeft: 5 * time.Second,
				})
				var refusal *domain.Refusal
				if !errors.As(err, &refusal) || i >= suspect.MaxCrashes && (refusal.Reason != domain.Poison || refusal.Outcome != domain.NotRun) {
					t.Errorf("request %d with a caller that leaves after %v: %v", i, leave, err)
				}
				time.Sleep(2 * time.Second)
			}
			if calls := inst.callCount(); calls != suspect.MaxCrashes {
				t.Errorf("reached servers %d times, want %d", calls, suspect.MaxCrashes)
			}
			_, err := inst.server.Execute(t.Context(), &domain.ExecuteRequest{
				ID: "other", Caller: "tester", Service: "billing", Payload: []byte("bad"), Class: domain.Interactive, TimeLeft: 5 * time.Second,
			})
			if err != nil {
				t.Errorf("the same payload for another service: %v", err)
			}
		})
	}
}

// Guards against a query that many callers send and that stays refused after a crash of all
// servers (found in a review: RECOVER, on the other face).
func TestPopularQueryIsServedAfterAllServersWereLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inst := newTestInstance(t.Context())
		inst.server.StartTrial = func(ctx context.Context, fingerprint uint64, _ time.Time) (func(bool), time.Duration) {
			g := inst.server.suspects.GrantTrial(ctx, inst.server.suspects.Find(fingerprint), time.Second, false)
			if !g.Granted {
				return nil, g.RetryAfter
			}
			return func(ran bool) {
				if ran {
					inst.server.suspects.RecordTrial(ctx, fingerprint)
				}
				inst.server.suspects.EndTrial(fingerprint)
			}, 0
		}
		setLost := func(lost bool) {
			for _, servers := range inst.servers {
				for _, f := range servers {
					f.connectionLost = lost
				}
			}
		}
		if err := inst.searchFor(t.Context(), "before", "meter 1"); err != nil {
			t.Fatal(err)
		}
		setLost(true)
		for i := range 4 {
			inst.searchFor(t.Context(), fmt.Sprint("lost", i), "meter 1")
		}
		var refusal *domain.Refusal
		if err := inst.searchFor(t.Context(), "refused", "meter 1"); !errors.As(err, &refusal) || refusal.Reason != domain.Poison {
			t.Errorf("got %v, want a refusal as a query that crashes servers", err)
		}
		setLost(false)
		time.Sleep(15 * time.Second)
		for i := range 3 {
			if err := inst.searchFor(t.Context(), fmt.Sprint("after", i), "meter 1"); err != nil {
				t.Error(err)
			}
		}
	})
}
