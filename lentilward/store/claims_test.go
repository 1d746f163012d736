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

// A request is sent and resent through several instances at once, while
// answers are lost and calls fail. At most one instance runs it.
func TestAtMostOneInstanceRunsAClaim(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		lost := rapid.Float64Range(0, 0.5).Draw(rt, "lost")
		failed := rapid.Float64Range(0, 0.3).Draw(rt, "failed")
		release := rapid.Bool().Draw(rt, "release")
		synctest.Test(t, func(t *testing.T) {
			kv := newFakeKV(seed)
			kv.lost, kv.failed = lost, failed
			var mu sync.Mutex
			running, runs := 0, 0
			var wg sync.WaitGroup
			for i := range 6 {
				claims := NewClaims(kv.keyValue(), fmt.Sprintf("i%d", i))
				wg.Go(func() {
					time.Sleep(time.Duration(i%3) * 5 * time.Millisecond)
					claim, _, err := claims.Take(context.Background(), "caller", "request")
					if err != nil {
						return
					}
					mu.Lock()
					running++
					again := release && runs == 0 && i%2 == 0
					if !again {
						runs++
					}
					if running > 1 {
						t.Errorf("seed %d: two instances hold the claim", seed)
					}
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
					if again {
						mu.Lock()
						running--
						mu.Unlock()
						claim.Release(context.Background())
					}
				})
			}
			wg.Wait()
			if runs > 1 {
				t.Errorf("seed %d: %d runs", seed, runs)
			}
		})
	})
}

func TestFinishedClaimKeepsItsResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newFakeKV(1)
		ctx := context.Background()
		claim, _, err := NewClaims(kv.keyValue(), "a").Take(ctx, "c", "r")
		if err != nil {
			t.Fatal(err)
		}
		if err := claim.Finish(ctx, []byte("done")); err != nil {
			t.Fatal(err)
		}
		_, earlier, err := NewClaims(kv.keyValue(), "b").Take(ctx, "c", "r")
		if !errors.Is(err, ErrClaimed) || earlier.State != ClaimDone || string(earlier.Result) != "done" {
			t.Fatalf("got %v, %v", earlier, err)
		}
	})
}

func TestClaimsKeepToTheirRate(t *testing.T) {
	c := NewClaims(newFakeKV(1).keyValue(), "a")
	now := time.Unix(0, 0)
	granted := 0
	for range 10 * claimsPerSecond {
		now = now.Add(time.Second / claimsPerSecond / 10)
		if c.allow(now) {
			granted++
		}
	}
	if granted > 2*claimsPerSecond {
		t.Errorf("%d claims in a second, want at most %d with the burst", granted, 2*claimsPerSecond)
	}
}
