package blackboard

import (
	"math/bits"
	"sync/atomic"
	"time"

	"lentilward.org/schema/domain"
)

// Class orders requests that compete.
type Class = domain.Class

// Classes, the most urgent first.
const (
	Urgent      = domain.Urgent
	Interactive = domain.Interactive
	Background  = domain.Background
	// Classes is their number.
	Classes = domain.Classes
)

// ServiceState is what an instance measures of one service.
type ServiceState struct {
	// Latencies are reply times of single attempts.
	Latencies Histogram
	// HedgeDelay is how long an attempt may take before it is hedged, in
	// nanoseconds.
	HedgeDelay atomic.Int64
	// Typical is the median reply time, in nanoseconds.
	Typical atomic.Int64
	// Budget pays for hedges and retries.
	Budget Budget
	// Borrow bounds the extra runs that other services pay for.
	Borrow Budget
	// InFlight counts searches by limit, in the order of Service.Limits.
	InFlight []atomic.Int32
}

const (
	// stepsPerOctave is the resolution of a histogram.
	stepsPerOctave = 8
	octaves        = 40
)

// Histogram counts durations in logarithmic steps.
type Histogram struct {
	counts [octaves * stepsPerOctave]atomic.Int64
}

// Observe counts one duration.
func (h *Histogram) Observe(d time.Duration) {
	h.counts[step(d)].Add(1)
}

// Quantiles returns the durations below which the shares lie, and the number
// of samples. Shares must ascend.
func (h *Histogram) Quantiles(shares ...float64) ([]time.Duration, int64) {
	var total int64
	for i := range h.counts {
		total += h.counts[i].Load()
	}
	found := make([]time.Duration, len(shares))
	var sum int64
	next := 0
	for i := range h.counts {
		sum += h.counts[i].Load()
		for next < len(shares) && float64(sum) >= shares[next]*float64(total) {
			found[next] = stepEnd(i)
			next++
		}
	}
	return found, total
}

// Decay halves all counts.
func (h *Histogram) Decay() {
	for i := range h.counts {
		if n := h.counts[i].Load(); n > 0 {
			h.counts[i].Add(-(n + 1) / 2)
		}
	}
}

func step(d time.Duration) int {
	us := uint64(max(1, d.Microseconds()))
	octave := bits.Len64(us) - 1
	fraction := (us - 1<<octave) * stepsPerOctave >> octave
	return min(octave*stepsPerOctave+int(fraction), octaves*stepsPerOctave-1)
}

func stepEnd(i int) time.Duration {
	octave := i / stepsPerOctave
	us := (uint64(1)<<octave)*uint64(stepsPerOctave+i%stepsPerOctave+1)/stepsPerOctave + 1
	return time.Duration(us) * time.Microsecond
}

const (
	// budgetUnit is the cost of one extra run.
	budgetUnit = 1000
	// budgetBurst is the number of extra runs that may be saved up.
	budgetBurst = 20
)

// Budget is a share of extra runs that grows with ordinary ones.
type Budget struct {
	tokens atomic.Int64
}

// Earn adds the share that one ordinary run allows.
func (b *Budget) Earn(share float64) {
	if b.tokens.Load() < budgetBurst*budgetUnit {
		b.tokens.Add(int64(share * budgetUnit))
	}
}

// Available tells whether there is enough for one extra run.
func (b *Budget) Available() bool { return b.tokens.Load() >= budgetUnit }

// Spend pays for one extra run, if there is enough.
func (b *Budget) Spend() bool {
	for {
		n := b.tokens.Load()
		if n < budgetUnit {
			return false
		}
		if b.tokens.CompareAndSwap(n, n-budgetUnit) {
			return true
		}
	}
}
