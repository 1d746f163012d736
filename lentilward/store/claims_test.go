package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

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
				claims := NewClaims(kv.keyValue(), fmt.Sprintf("i%d", i))
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
		claim, _, err := NewClaims(kv.keyValue(), "a").Acquire(ctx, "c", "r")
		if err != nil {
			t.Fatal(err)
		}
		if err := claim.Finish(ctx, []byte("done")); err != nil {
			t.Fatal(err)
		}
		_, earlier, err := NewClaims(kv.keyValue(), "b").Acquire(ctx, "c", "r")
		if !errors.Is(err, ErrClaimed) || earlier.State != ClaimDone || string(earlier.Result) != "done" {
			t.Fatalf("got earlier claim %v and error %v, want a finished claim and ErrClaimed", earlier, err)
		}
	})
}

func TestClaimsStayWithinRateLimit(t *testing.T) {
	c := NewClaims(newFakeKV(1).keyValue(), "a")
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
