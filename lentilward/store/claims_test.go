package store

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/platform"
)

func newTestClaims(kv *KeyValue, instance string) *Claims {
	return NewClaims(kv, instance, slog.New(slog.DiscardHandler))
}

// Guards against running a non-idempotent request twice when it is resent through
// several instances at once while store replies are lost and store calls fail.
func TestAtMostOneInstanceRunsAClaimedRequest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		lost := rapid.Float64Range(0, 0.5).Draw(rt, "lost")
		failed := rapid.Float64Range(0, 0.3).Draw(rt, "failed")
		release := rapid.Bool().Draw(rt, "release")
		synctest.Test(t, func(t *testing.T) {
			kv := newFakeKV(seed)
			kv.lostReplyShare, kv.failedShare = lost, failed
			var mu sync.Mutex
			running, runs := 0, 0
			var wg sync.WaitGroup
			for i := range 6 {
				claims := newTestClaims(kv.keyValue(), fmt.Sprintf("i%d", i))
				wg.Go(func() {
					time.Sleep(time.Duration(i%3) * 5 * time.Millisecond)
					claim, _, err := claims.Acquire(context.Background(), "caller", "request")
					if err != nil {
						return
					}
					mu.Lock()
					running++
					willRelease := release && runs == 0 && i%2 == 0
					if !willRelease {
						runs++
					}
					if running > 1 {
						t.Errorf("seed %d: more than one instance holds the claim", seed)
					}
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
					if willRelease {
						mu.Lock()
						running--
						mu.Unlock()
						claim.Release(context.Background())
					}
				})
			}
			wg.Wait()
			if runs > 1 {
				t.Errorf("seed %d: request ran %d times, want at most 1", seed, runs)
			}
		})
	})
}

func TestResendGetsResultOfFinishedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newFakeKV(1)
		ctx := context.Background()
		claim, _, err := newTestClaims(kv.keyValue(), "a").Acquire(ctx, "c", "r")
		if err != nil {
			t.Fatal(err)
		}
		if err := claim.Finish(ctx, []byte("done")); err != nil {
			t.Fatal(err)
		}
		_, earlier, err := newTestClaims(kv.keyValue(), "b").Acquire(ctx, "c", "r")
		if !errors.Is(err, ErrClaimed) || earlier.State != ClaimDone || string(earlier.Result) != "done" {
			t.Fatalf("got earlier claim %v and error %v, want a finished claim and ErrClaimed", earlier, err)
		}
	})
}

func TestClaimsStayWithinRateLimit(t *testing.T) {
	c := newTestClaims(newFakeKV(1).keyValue(), "a")
	now := time.Unix(0, 0)
	granted := 0
	for range 10 * maxClaimsPerSecond {
		now = now.Add(time.Second / maxClaimsPerSecond / 10)
		if c.allow(now) {
			granted++
		}
	}
	if granted > 2*maxClaimsPerSecond {
		t.Errorf("%d claims within a second, want at most %d including the burst", granted, 2*maxClaimsPerSecond)
	}
}

// Guards against running a request again that has run, or may have, after an outage of the
// store in which leases ran out (found in a review: TWICE).
func TestClaimsOutlastLeases(t *testing.T) {
	kv := standin.New(1)
	server := httptest.NewServer(kv.Handler())
	defer server.Close()
	client := NewKeyValue(platform.NewStore(netip.MustParseAddrPort(server.Listener.Addr().String()), http.DefaultClient))
	first, second := newTestClaims(client, "a"), newTestClaims(client, "b")
	finished, _, err := first.Acquire(t.Context(), "c", "finished")
	if err != nil {
		t.Fatal(err)
	}
	if err := finished.Finish(t.Context(), []byte("done")); err != nil {
		t.Fatal(err)
	}
	if _, _, err := first.Acquire(t.Context(), "c", "taken"); err != nil {
		t.Fatal(err)
	}
	kv.ExpireLeases()
	if _, earlier, err := second.Acquire(t.Context(), "c", "finished"); !errors.Is(err, ErrClaimed) || string(earlier.Result) != "done" {
		t.Errorf("got %v, %v for a request that has run", earlier, err)
	}
	if _, earlier, err := second.Acquire(t.Context(), "c", "taken"); !errors.Is(err, ErrClaimed) || earlier.State != ClaimTaken {
		t.Errorf("got %v, %v for a request that may have run", earlier, err)
	}
}

// Guards against claims that stay in the store for good, or not for claimTTL: those of a
// running instance, of one that is gone, and of calls whose replies are lost.
func TestClaimsAreDeletedOnceTheyHaveExpired(t *testing.T) {
	for _, lost := range []float64{0, 0.3} {
		t.Run(fmt.Sprint("lost replies ", lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := newFakeKV(1)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				kv.lostReplyShare = lost
				gone, running, other := newTestClaims(kv.keyValue(), "gone"), newTestClaims(kv.keyValue(), "a"), newTestClaims(kv.keyValue(), "b")
				other.Rank = func() int { return 1 }
				go running.Run(ctx)
				go other.Run(ctx)
				const claims = 40
				for i := range claims {
					for _, c := range []*Claims{gone, running, other} {
						claim, _, err := c.Acquire(ctx, c.instance, fmt.Sprint(i))
						if err != nil {
							t.Fatal(err)
						}
						if i%2 == 0 {
							claim.Finish(ctx, nil)
						}
					}
				}
				stored := func() int {
					kv.mu.Lock()
					defer kv.mu.Unlock()
					return len(kv.entries)
				}
				time.Sleep(claimTTL - time.Minute)
				if n := stored(); n != 3*claims {
					t.Fatalf("%d of %d claims are left before they expire", n, 3*claims)
				}
				time.Sleep(2 * time.Minute)
				if n := stored(); lost == 0 && n != claims {
					t.Errorf("%d claims are left, want the %d of the instance that is gone", n, claims)
				}
				time.Sleep(2*sweepInterval + 4*claims*sweepPageInterval)
				if n := stored(); n != 0 {
					t.Errorf("%d claims are left for good", n)
				}
			})
		})
	}
}

// Guards against a request that runs again although it has finished, because the store has
// come back from a copy without its claim while it ran; and against a result that replaces
// the claim of another instance.
func TestClaimIsWrittenAgainAfterStoreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeKV(1)
		a, b := NewClaims(fake.keyValue(), "a", slog.New(slog.DiscardHandler)), NewClaims(fake.keyValue(), "b", slog.New(slog.DiscardHandler))
		acquire := func(c *Claims, request string) *Claim {
			t.Helper()
			claim, _, err := c.Acquire(t.Context(), "caller", request)
			if err != nil {
				t.Fatal(err)
			}
			return claim
		}
		finished, released, contested := acquire(a, "1"), acquire(a, "2"), acquire(a, "3")
		clear(fake.entries)
		acquire(b, "3")
		if err := finished.Finish(t.Context(), []byte("result")); err != nil {
			t.Errorf("finish: %v", err)
		}
		if err := released.Release(t.Context()); err != nil {
			t.Errorf("release: %v", err)
		}
		if err := contested.Finish(t.Context(), []byte("other")); !errors.Is(err, ErrConflict) {
			t.Errorf("finish of a request that another instance has claimed: %v, want %v", err, ErrConflict)
		}
		if _, earlier, err := b.Acquire(t.Context(), "caller", "1"); !errors.Is(err, ErrClaimed) || string(earlier.Result) != "result" {
			t.Errorf("a request that has finished can be claimed again: %+v, error %v", earlier, err)
		}
		acquire(b, "2")
		if _, earlier, err := a.Acquire(t.Context(), "caller", "3"); !errors.Is(err, ErrClaimed) || earlier.State != ClaimTaken {
			t.Errorf("claim of another instance: %+v, error %v", earlier, err)
		}
	})
}
