package balance

import (
	"sync"
	"time"

	"lentilward.org/schema/domain"
)

const (
	// defaultHedgeDelay is used for routes without a target latency until enough reply
	// times are measured. Others use their target latency divided by
	// targetPerHedgeDelay.
	defaultHedgeDelay   = 60 * time.Millisecond
	targetPerHedgeDelay = 3
	// minHedgeDelay is long enough that calls are not hedged while they are still
	// in transit on the network.
	minHedgeDelay = 8 * time.Millisecond
	// hedgeQuantile is the share of calls that complete within the hedge delay.
	hedgeQuantile = 0.93
	// minHedgeMedianRatio and maxHedgeMedianRatio bound the hedge delay as a
	// multiple of the median reply time, so that neither a narrow distribution nor
	// many slow servers move it far.
	minHedgeMedianRatio = 1.25
	maxHedgeMedianRatio = 2
)

// Route holds this instance's measurements of one route.
type Route struct {
	latencies latencyWindows

	mu sync.Mutex
	// deficits holds, for each service of a split, how far it is behind its share.
	deficits []float64
}

// Observe records the reply time of one call.
func (r *Route) Observe(d time.Duration, now time.Time) { r.latencies.observe(d, now) }

// HedgeDelay returns how long a call may take before it is overdue and hedged. target
// is the target latency of the route; 0 if it has none.
func (r *Route) HedgeDelay(target time.Duration, now time.Time) time.Duration {
	e := r.latencies.load(now)
	delay := defaultHedgeDelay
	switch {
	case e.high > 0:
		delay = min(max(e.high, time.Duration(minHedgeMedianRatio*float64(e.median))), maxHedgeMedianRatio*e.median)
	case e.median > 0:
		delay = maxHedgeMedianRatio * e.median
	case target > 0:
		delay = target / targetPerHedgeDelay
	}
	return max(delay, minHedgeDelay)
}

// RelativeLatency returns a reply time as a multiple of the median, at least 0.5.
// It returns 1 before the median is known.
func (r *Route) RelativeLatency(d time.Duration, now time.Time) float64 {
	median := r.latencies.load(now).median
	if median == 0 {
		return 1
	}
	return max(0.5, float64(d)/float64(median))
}

// Pick returns the service of a split that is furthest behind its share (smooth
// weighted round robin).
func (r *Route) Pick(split []domain.WeightedService) string {
	if len(split) == 1 {
		return split[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.deficits) != len(split) {
		r.deficits = make([]float64, len(split))
	}
	var sum float64
	best := 0
	for i, s := range split {
		r.deficits[i] += s.Weight
		sum += s.Weight
		if r.deficits[i] > r.deficits[best] {
			best = i
		}
	}
	r.deficits[best] -= sum
	return split[best].Service
}
