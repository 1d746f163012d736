package blackboard

import (
	"math/bits"
	"sync/atomic"
	"time"

	"lentilward.org/schema/domain"
)

// Class is the urgency class of a request.
type Class = domain.Class

// The classes, the most urgent first.
const (
	Urgent      = domain.Urgent
	Interactive = domain.Interactive
	Background  = domain.Background
	// ClassCount is the number of classes.
	ClassCount = domain.ClassCount
)

// ServiceState holds this instance's measurements and counters of one service.
type ServiceState struct {
	// Latencies holds the reply times of single attempts.
	Latencies Histogram
	// HedgeDelay is how long an attempt may run before it is hedged, in
	// nanoseconds.
	HedgeDelay atomic.Int64
	// MedianLatency is the median reply time, in nanoseconds.
	MedianLatency atomic.Int64
	// RetryBudget is the service's own retry budget.
	RetryBudget Budget
	// SharedBudgetLimit bounds the hedges and retries that the service takes from
	// the retry budget shared by all services.
	SharedBudgetLimit Budget
	// InFlight counts the searches in flight under each limit, in the order of
	// Service.Limits.
	InFlight []atomic.Int32
}

const (
	// stepsPerOctave is the number of histogram steps per doubling of the
	// duration, and octaves the number of doublings above 1 µs.
	stepsPerOctave = 8
	octaves        = 40
)

// Histogram counts durations in logarithmic steps.
type Histogram struct {
	counts [octaves * stepsPerOctave]atomic.Int64
}

// Observe counts one duration.
func (h *Histogram) Observe(d time.Duration) {
	h.counts[stepIndex(d)].Add(1)
}

// Quantiles returns for each share an upper bound of the duration that this share
// of the samples does not exceed, and the number of samples. The shares must
// ascend.
func (h *Histogram) Quantiles(shares ...float64) ([]time.Duration, int64) {
	return h.QuantilesWith(nil, shares...)
}

// QuantilesWith is like Quantiles over the samples of both histograms.
func (h *Histogram) QuantilesWith(other *Histogram, shares ...float64) ([]time.Duration, int64) {
	var counts [octaves * stepsPerOctave]int64
	var total int64
	for i := range counts {
		counts[i] = h.counts[i].Load()
		if other != nil {
			counts[i] += other.counts[i].Load()
		}
		total += counts[i]
	}
	quantiles := make([]time.Duration, len(shares))
	var cumulative int64
	next := 0
	for i := range counts {
		cumulative += counts[i]
		for next < len(shares) && float64(cumulative) >= shares[next]*float64(total) {
			quantiles[next] = stepUpperBound(i)
			next++
		}
	}
	return quantiles, total
}

// Count returns the number of samples.
func (h *Histogram) Count() int64 {
	var total int64
	for i := range h.counts {
		total += h.counts[i].Load()
	}
	return total
}

// Decay halves all counts, so that newer samples weigh more.
func (h *Histogram) Decay() {
	for i := range h.counts {
		if n := h.counts[i].Load(); n > 0 {
			h.counts[i].Add(-(n + 1) / 2)
		}
	}
}

func stepIndex(d time.Duration) int {
	us := uint64(max(1, d.Microseconds()))
	octave := bits.Len64(us) - 1
	fraction := (us - 1<<octave) * stepsPerOctave >> octave
	return min(octave*stepsPerOctave+int(fraction), octaves*stepsPerOctave-1)
}

func stepUpperBound(i int) time.Duration {
	octave := i / stepsPerOctave
	us := (uint64(1)<<octave)*uint64(stepsPerOctave+i%stepsPerOctave+1)/stepsPerOctave + 1
	return time.Duration(us) * time.Microsecond
}

const (
	// tokensPerExtraAttempt is the cost of one hedge or retry.
	tokensPerExtraAttempt = 1000
	// maxSavedAttempts bounds the hedges and retries that may be saved up.
	maxSavedAttempts = 20
)

// Budget is a token bucket that limits hedges and retries to a share of the
// ordinary attempts.
type Budget struct {
	tokens atomic.Int64
}

// Earn adds the tokens for one ordinary attempt. share is the number of extra
// attempts allowed per ordinary one.
func (b *Budget) Earn(share float64) {
	if b.tokens.Load() < maxSavedAttempts*tokensPerExtraAttempt {
		b.tokens.Add(int64(share * tokensPerExtraAttempt))
	}
}

// CanSpend reports whether the budget allows a hedge or retry.
func (b *Budget) CanSpend() bool { return b.tokens.Load() >= tokensPerExtraAttempt }

// Spend takes the tokens for one hedge or retry and reports whether there were
// enough.
func (b *Budget) Spend() bool {
	for {
		n := b.tokens.Load()
		if n < tokensPerExtraAttempt {
			return false
		}
		if b.tokens.CompareAndSwap(n, n-tokensPerExtraAttempt) {
			return true
		}
	}
}
