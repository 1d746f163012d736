package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

var testSettings = Settings{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// wholeView is the view of a home that reaches all of 20 instances.
func wholeView(since time.Time) View { return View{Part: 1, Alone: 0.05, IsHome: true, Since: since} }

// drain asks a home for requests one by one for a time and returns how many it grants.
func drain(h *Home, tenant string, limit Limit, since time.Time, d time.Duration) int {
	granted := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		granted += h.Lend(Ask{Subject: tenant, Limit: limit, Need: 1, Demand: 1}, wholeView(since), time.Now()).Granted
	}
	return granted
}

// Guards against a home that was frozen or suspended and lends its old bucket, or what has
// been added meanwhile, although another home has lent too.
func TestHomeThatWakesBeginsWithSmallStart(t *testing.T) {
	for _, suspended := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			start, limit := time.Now(), Limit{Rate: 50, Burst: 200}
			h := NewHome(testSettings)
			var asleep time.Duration
			h.Suspended = func() time.Duration { return asleep }
			frozen := 0
			h.OnFrozen = func(int) { frozen++ }
			isHome := func(string) bool { return true }
			for range 200 {
				h.Tick(isHome, time.Now())
				h.Lend(Ask{Subject: "a", Limit: limit, Need: 1, Demand: 1}, wholeView(start), time.Now())
				h.SetSample("a", 1, time.Now())
				time.Sleep(TickInterval)
			}
			if level := h.lenders["a"].bucket.Level(time.Now()); level < 150 {
				t.Fatalf("bucket has %v before the freeze", level)
			}
			if suspended {
				asleep = 8 * time.Second
			} else {
				time.Sleep(8 * time.Second)
			}
			granted := drain(h, "a", limit, start, 200*time.Millisecond)
			if most := 10 + 1; granted > most || granted < 5 || frozen != 1 {
				t.Errorf("suspended %v: %d granted at once after the freeze, want 5 to %d; frozen %d times", suspended, granted, most, frozen)
			}
			h.SetSample("a", 1, time.Now())
			if granted := drain(h, "a", limit, start, time.Second); granted < 45 {
				t.Errorf("suspended %v: %d granted in the second after all agree, want 50", suspended, granted)
			}
		})
	}
}

// Guards against a home that lends the whole after it was replaced for a while.
func TestHomeThatIsHomeAgainBeginsWithSmallStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start, limit := time.Now(), Limit{Rate: 10, Burst: 100}
		h := NewHome(testSettings)
		home := true
		for i := range 240 {
			home = i < 100 || i >= 200
			h.Tick(func(string) bool { return home }, time.Now())
			if i < 100 {
				h.Lend(Ask{Subject: "a", Limit: limit, Need: 1}, wholeView(start), time.Now())
			}
			if i == 200 {
				if granted := drain(h, "a", limit, start, 200*time.Millisecond); granted > 12 {
					t.Fatalf("%d granted at once by a home that was replaced", granted)
				}
				return
			}
			time.Sleep(TickInterval)
		}
	})
}

// Guards against a Retry-After after which there is still no token, or before which there
// is one.
func TestRetryAfterIsTheTimeUntilThereIsToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := Limit{Rate: 0.4, Burst: 1}
		h, l := newPair(time.Now())
		l.Ask = func(_ context.Context, a Ask) (Grant, error) {
			return h.Lend(a, wholeView(time.Now()), time.Now()), nil
		}
		for range 3 {
			if _, ok := l.Allow(t.Context(), "a", limit); ok {
				continue
			}
			break
		}
		for range 3 {
			retryAfter, ok := l.Allow(t.Context(), "a", limit)
			if ok || retryAfter <= 0 || retryAfter > 2500*time.Millisecond {
				t.Fatalf("allowed %v, retry after %v", ok, retryAfter)
			}
			time.Sleep(retryAfter / 2)
			rest, ok := l.Allow(t.Context(), "a", limit)
			if ok {
				t.Fatalf("allowed %v before the time stated", retryAfter/2)
			}
			time.Sleep(rest)
			if _, ok := l.Allow(t.Context(), "a", limit); !ok {
				t.Fatalf("refused after %v, the time stated", rest)
			}
		}
	})
}

// newPair returns a home and the local side of an instance that asks it.
func newPair(since time.Time) (*Home, *Local) {
	h, l := NewHome(testSettings), NewLocal(testSettings)
	l.Ask = func(_ context.Context, a Ask) (Grant, error) { return h.Lend(a, wholeView(since), time.Now()), nil }
	l.Instances = func() int { return 20 }
	return h, l
}

// Guards against a request that waits long for a home that does not reply, and against
// more in the fallback than this instance's share.
func TestSilentHomeCostsOneBoundedWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLocal(testSettings)
		l.Instances = func() int { return 4 }
		l.Random = rand.New(rand.NewPCG(1, 1)).Float64
		l.Ask = func(ctx context.Context, _ Ask) (Grant, error) {
			<-ctx.Done()
			return Grant{}, ctx.Err()
		}
		time.Sleep(time.Minute)
		begin, allowed, waited := time.Now(), 0, time.Duration(0)
		for time.Since(begin) < 20*time.Second {
			at := time.Now()
			if _, ok := l.Allow(t.Context(), "a", Limit{Rate: 20, Burst: 20}); ok {
				allowed++
			}
			waited = max(waited, time.Since(at))
			time.Sleep(10 * time.Millisecond)
		}
		if waited > maxWait {
			t.Errorf("a request waited %v", waited)
		}
		if allowed < 70 || allowed > 108 {
			t.Errorf("%d allowed in 20 s, want about 20 x 20 / 4", allowed)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against a caller that has left and keeps its place or its token.
func TestCallerThatLeavesFreesItsToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, l := newPair(time.Now())
		ask := l.Ask
		l.Ask = func(ctx context.Context, a Ask) (Grant, error) {
			time.Sleep(10 * time.Millisecond)
			return ask(ctx, a)
		}
		limit := Limit{Rate: 0.1, Burst: 1}
		ctx, leave := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer leave()
		begin := time.Now()
		if _, ok := l.Allow(ctx, "a", limit); ok || time.Since(begin) > 6*time.Millisecond {
			t.Fatalf("allowed %v after %v", ok, time.Since(begin))
		}
		time.Sleep(10 * time.Millisecond)
		if _, ok := l.Allow(t.Context(), "a", limit); !ok {
			t.Fatal("the token of a caller that has left is lost")
		}
		// The token of a lease that ends unused goes back to the home.
		other, leave := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer leave()
		time.Sleep(11 * time.Second)
		l.Allow(other, "a", limit)
		for range 8 {
			time.Sleep(TickInterval)
			l.Tick(time.Now())
		}
		if level := h.lenders["a"].bucket.Level(time.Now()); level < 0.9 {
			t.Fatalf("home has %v tokens, want that of the lease that ended unused", level)
		}
		time.Sleep(time.Second)
	})
}

// Guards against refusals of a small tenant whose requests come unevenly but stay within
// what its allowance has for a window.
func TestUnevenRequestsWithinTheWindowAreAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHome(testSettings)
		limit := Limit{Rate: 3, Burst: 3}
		granted := 0
		time.Sleep(time.Minute)
		for _, pause := range []time.Duration{0, 50, 50, 50, 50, 400, 50, 50, 50, 2000, 50, 50, 50} {
			time.Sleep(pause * time.Millisecond)
			granted += h.Lend(Ask{Subject: "a", Limit: limit, Need: 1, Demand: 1}, wholeView(time.Now().Add(-time.Minute)), time.Now()).Granted
		}
		if granted != 13 {
			t.Errorf("granted %d of 13 requests in 3 s, 18 are allowed in 5 s", granted)
		}
	})
}

// Guards against a limit that binds only once the burst of the old one is used up, and
// against an older configuration at an instance that brings the old limit back.
func TestLowerLimitCutsTheBucket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		h := NewHome(testSettings)
		ask := func(l Limit) int {
			return h.Lend(Ask{Subject: "a", Limit: l, Need: 1}, wholeView(start), time.Now()).Granted
		}
		time.Sleep(time.Minute)
		ask(Limit{Rate: 100, Burst: 100, Version: 1})
		granted := ask(Limit{Rate: 2, Burst: 2, Version: 2})
		for range 100 {
			granted += ask(Limit{Rate: 100, Burst: 100, Version: 1})
		}
		if most := int(testSettings.bucketSize(Limit{Rate: 2, Burst: 2})); granted > most {
			t.Fatalf("%d granted at once, want at most %d", granted, most)
		}
	})
}

// Guards against tokens that are used later than their term, which add up over instances.
func TestLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		l := NewLocal(testSettings)
		l.Ask = func(context.Context, Ask) (Grant, error) {
			if calls++; calls > 1 {
				return Grant{RetryAfter: time.Minute}, nil
			}
			return Grant{Granted: 5, Term: 200 * time.Millisecond}, nil
		}
		limit := Limit{Rate: 1, Burst: 5}
		if _, ok := l.Allow(t.Context(), "a", limit); !ok {
			t.Fatal("refused with a token")
		}
		time.Sleep(200 * time.Millisecond)
		if _, ok := l.Allow(t.Context(), "a", limit); ok {
			t.Fatal("allowed by a lease that has ended")
		}
		time.Sleep(time.Second)
	})
}

// Guards against an instance that asks once for every request of a busy tenant, and makes
// each wait for the round trip.
func TestBusyTenantIsAskedForAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, l := newPair(time.Now())
		asks, waits := 0, 0
		ask := l.Ask
		l.Ask = func(ctx context.Context, a Ask) (Grant, error) {
			asks++
			time.Sleep(2 * time.Millisecond)
			return ask(ctx, a)
		}
		time.Sleep(time.Minute)
		limit := Limit{Rate: 150, Burst: 150}
		for range 1000 {
			at := time.Now()
			if _, ok := l.Allow(t.Context(), "a", limit); !ok {
				t.Fatal("a request within the allowance was refused")
			}
			if time.Since(at) > 0 {
				waits++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if asks > 150 || waits > 100 {
			t.Errorf("%d asks and %d waits for 1000 requests; the home has lent %d", asks, waits, h.Lent()["a"])
		}
		time.Sleep(time.Second)
	})
}

// Guards against a tenant whose home is lost and that waits for the members to notice.
func TestNextInOrderLendsWhenTheHomeIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewHomes(0)
		f.Candidates = func() []Candidate[int] { return []Candidate[int]{{0, "x"}, {1, "y"}, {2, "z"}} }
		tenant := ""
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			if home, _ := f.Of(name); home == 1 {
				tenant = name
			}
		}
		var asked []int
		f.Send = func(ctx context.Context, to int, _ Ask, _ bool) (Reply[int], error) {
			asked = append(asked, to)
			if to == 1 {
				return Reply[int]{}, errors.New("connection refused")
			}
			return Reply[int]{Grant: Grant{Granted: 1}}, nil
		}
		for range 3 {
			if g, err := f.Ask(t.Context(), Ask{Subject: tenant, Need: 1}); err != nil || g.Granted != 1 {
				t.Fatalf("granted %d, error %v", g.Granted, err)
			}
		}
		if len(asked) != 4 || asked[0] != 1 {
			t.Fatalf("asked %v, want the home once and then the next one", asked)
		}
		time.Sleep(silentPeriod)
		if !f.IsHome(1, tenant) {
			t.Fatal("the home is not asked again")
		}
	})
}
