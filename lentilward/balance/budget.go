// Package balance chooses a backend server for each call by the reply times and
// failures of earlier calls, and bounds hedges and retries by a retry budget.
package balance

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of time buckets in which a budget counts calls.
	windowBuckets = 40
	// safetyFactor is the share of the retry budget that is used. The rest is held
	// in reserve because calls take time to arrive and the window slides.
	safetyFactor = 0.85
	// hedgeShare is the share of the budget that hedges may use. The rest is
	// reserved for retries of failed calls.
	hedgeShare = 0.8
)

// RetryBudget bounds the extra calls (hedges and retries) that a service may get
// in any time window of length Window, from all instances together: Ratio for
// each first call of a request, plus Slack.
type RetryBudget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// InstanceBudget is this instance's part of the retry budget of one service.
type InstanceBudget struct {
	// retryBudget returns the service's retry budget, which may change between
	// calls.
	retryBudget func() *RetryBudget
	epoch       time.Time

	mu                 sync.Mutex
	currentBucket      int64
	firstCallsByBucket [windowBuckets]int
	extraCallsByBucket [windowBuckets]int
	// firstCalls and extraCalls are the sums over the window.
	firstCalls, extraCalls int
}

// NewInstanceBudget returns a budget of which nothing is spent.
func NewInstanceBudget(retryBudget func() *RetryBudget) *InstanceBudget {
	return &InstanceBudget{retryBudget: retryBudget, epoch: time.Now()}
}

// RecordFirstCall counts the first call of a request, which adds to the budget.
func (b *InstanceBudget) RecordFirstCall(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.firstCallsByBucket[b.currentBucket%windowBuckets]++
	b.firstCalls++
}

// Spend takes one extra call from the budget and reports whether it was
// available. share is this instance's share of the retry budget's slack. A hedge
// may use only hedgeShare of the budget.
func (b *InstanceBudget) Spend(now time.Time, share float64, hedge bool) bool {
	return b.SpendRounded(now, share, hedge, 0)
}

// SpendRounded is as Spend where so many instances share a budget that the part of each is
// below one call. rounding is a random number below 1 that is kept for several windows:
// over all instances it adds up to the fractions that rounding down takes away.
func (b *InstanceBudget) SpendRounded(now time.Time, share float64, hedge bool, rounding float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	limits := b.retryBudget()
	allowed := safetyFactor * (limits.Ratio*float64(b.firstCalls) + limits.Slack*share)
	if hedge {
		allowed *= hedgeShare
	}
	if float64(b.extraCalls+1) > allowed+rounding {
		return false
	}
	b.extraCallsByBucket[b.currentBucket%windowBuckets]++
	b.extraCalls++
	return true
}

// Refund returns an extra call that was not sent to the budget.
func (b *InstanceBudget) Refund(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.extraCallsByBucket[b.currentBucket%windowBuckets] > 0 {
		b.extraCallsByBucket[b.currentBucket%windowBuckets]--
		b.extraCalls--
	}
}

// advance drops the buckets that have left the window. Window spans
// windowBuckets-2 buckets, so extra calls stay counted for at least one bucket
// longer than the window: rounding overestimates them and never underestimates
// them.
func (b *InstanceBudget) advance(now time.Time) {
	bucket := int64(now.Sub(b.epoch) / max(1, b.retryBudget().Window/(windowBuckets-2)))
	if bucket-b.currentBucket >= windowBuckets {
		b.firstCallsByBucket, b.extraCallsByBucket = [windowBuckets]int{}, [windowBuckets]int{}
		b.firstCalls, b.extraCalls, b.currentBucket = 0, 0, bucket
		return
	}
	for b.currentBucket < bucket {
		b.currentBucket++
		i := b.currentBucket % windowBuckets
		b.firstCalls -= b.firstCallsByBucket[i]
		b.extraCalls -= b.extraCallsByBucket[i]
		b.firstCallsByBucket[i], b.extraCallsByBucket[i] = 0, 0
	}
}
