package scatter

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/balance"
)

// newTrial returns a service with a server of v1 and one of v2, which is on trial, and
// the results that the version policy gets.
func newTrial(t *testing.T, present, trial *fakeServer, policy balance.VersionPolicy) (*balance.Service, func() []balance.VersionResult) {
	s := newShard(t, "s", present, trial)
	for _, server := range s.Servers() {
		server.Version = server.ID
	}
	var mu sync.Mutex
	var results []balance.VersionResult
	policy.Prefer, policy.Trial = "v1", "v2"
	policy.OnResult = func(r balance.VersionResult) {
		mu.Lock()
		defer mu.Unlock()
		results = append(results, r)
	}
	s.SetVersionPolicy(&policy)
	return s, func() []balance.VersionResult {
		mu.Lock()
		defer mu.Unlock()
		return results
	}
}

// Guards against a request that is exposed twice: the retry after a failure of the version
// on trial goes to the present one, and both results are told.
func TestRequestIsExposedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		present := &fakeServer{name: "v1", respond: replyAfter("v1", time.Millisecond)}
		trial := &fakeServer{name: "v2", respond: replyWithStatus(http.StatusInternalServerError, "")}
		s, results := newTrial(t, present, trial, balance.VersionPolicy{TakePermit: func(string, time.Time) bool { return true }})
		answer, _, refusal := runTask(t, newTask(singleRoute(true), s))
		if refusal != nil || !answer.Reply.OK() {
			t.Fatalf("answer %v, refusal %v", answer, refusal)
		}
		synctest.Wait()
		got := results()
		if len(got) != 2 || got[0].Version != "v2" || got[0].Outcome != balance.Failed || got[0].Extra || got[0].Route != "r" ||
			got[1].Version != "v1" || got[1].Outcome != balance.Replied || !got[1].Extra {
			t.Errorf("results %+v", got)
		}
	})
}

// Guards against a hedge of a slow call that goes to the version on trial too.
func TestHedgeOfASlowTrialGoesToThePresentVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		present := &fakeServer{name: "v1", respond: replyAfter("v1", time.Millisecond)}
		trial := &fakeServer{name: "v2", respond: replyAfter("v2", 900*time.Millisecond)}
		s, _ := newTrial(t, present, trial, balance.VersionPolicy{TakePermit: func(string, time.Time) bool { return true }})
		begin := time.Now()
		_, stats, refusal := runTask(t, newTask(singleRoute(true), s))
		if refusal != nil || stats.Hedges != 1 || present.callCount() != 1 || trial.callCount() != 1 || time.Since(begin) > 200*time.Millisecond {
			t.Errorf("refusal %v, %d hedges, %d calls of v1, %d of v2, after %v", refusal, stats.Hedges, present.callCount(), trial.callCount(), time.Since(begin))
		}
	})
}

// Guards against first calls that wait longer than a round trip for a permit, or more than
// once, or that don't use the one that came meanwhile.
func TestFirstCallWaitsForAPermit(t *testing.T) {
	for _, granted := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			present := &fakeServer{name: "v1", respond: replyAfter("v1", 0)}
			trial := &fakeServer{name: "v2", respond: replyAfter("v2", 0)}
			asked := 0
			var permitAt time.Time
			s, _ := newTrial(t, present, trial, balance.VersionPolicy{
				AskPermit: func(now time.Time) bool {
					asked++
					permitAt = now.Add(2 * time.Millisecond)
					return true
				},
				TakePermit: func(_ string, now time.Time) bool { return granted && !now.Before(permitAt) },
			})
			begin := time.Now()
			if _, _, refusal := runTask(t, newTask(singleRoute(false), s)); refusal != nil {
				t.Fatal(refusal)
			}
			if took := time.Since(begin); took != balance.PermitWait || asked != 1 {
				t.Errorf("took %v, asked %d times", took, asked)
			}
			if calls := trial.callCount(); calls == 1 != granted || calls+present.callCount() != 1 {
				t.Errorf("granted %v: %d calls of v2, %d of v1", granted, calls, present.callCount())
			}
		})
	}
}

// Guards against a version that is taken for slow because connections to its servers have
// to be opened.
func TestTimeToConnectSaysNothingOfTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		present := &fakeServer{name: "v1", respond: replyAfter("v1", time.Millisecond)}
		trial := &fakeServer{name: "v2", respond: replyAfter("v2", time.Millisecond)}
		s := newShard(t, "s", present, trial)
		for _, server := range s.Servers() {
			server.Version = server.ID
			server.Pool.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
				time.Sleep(6 * time.Millisecond)
				return trial.dial(ctx, address)
			}
		}
		var elapsed time.Duration
		s.SetVersionPolicy(&balance.VersionPolicy{
			Prefer: "v1", Trial: "v2", TakePermit: func(string, time.Time) bool { return true },
			OnResult: func(r balance.VersionResult) { elapsed = r.Elapsed },
		})
		if _, _, refusal := runTask(t, newTask(singleRoute(false), s)); refusal != nil {
			t.Fatal(refusal)
		}
		if elapsed != time.Millisecond {
			t.Errorf("the call took %v, want 1 ms", elapsed)
		}
	})
}
