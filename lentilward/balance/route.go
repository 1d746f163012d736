package balance

import (
	"sync"
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/domain"
)

const (
	// defaultHedgeDelay is used until minSamples reply times are measured.
	defaultHedgeDelay = 60 * time.Millisecond
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
	// minSamples is the number of reply times needed to estimate a quantile.
	minSamples = 50
	// decaySamples is the total weight of the reply times at which all weights are
	// halved, so that older reply times count less.
	decaySamples = 2000
	// repliesPerUpdate is the number of replies between updates of the hedge delay.
	repliesPerUpdate = 32
)

// Route holds this instance's measurements of one route.
type Route struct {
	latencies  blackboard.Histogram
	replies    atomic.Int64
	hedgeDelay atomic.Int64
	median     atomic.Int64

	mu sync.Mutex
	// deficits holds, for each service of a split, how far it is behind its share.
	deficits []float64
}

// Observe records the reply time of one call.
func (r *Route) Observe(d time.Duration) {
	r.latencies.Observe(d)
	if n := r.replies.Add(1); n%repliesPerUpdate == 0 {
		r.updateHedgeDelay(n)
	}
}

func (r *Route) updateHedgeDelay(replies int64) {
	q, total := r.latencies.Quantiles(0.5, hedgeQuantile)
	if total < minSamples {
		return
	}
	median := float64(q[0])
	delay := min(max(float64(q[1]), minHedgeMedianRatio*median), maxHedgeMedianRatio*median)
	r.median.Store(int64(q[0]))
	r.hedgeDelay.Store(int64(max(time.Duration(delay), minHedgeDelay)))
	if total >= decaySamples {
		r.latencies.Decay()
	}
}

// HedgeDelay returns how long a call may take before it is overdue and hedged.
func (r *Route) HedgeDelay() time.Duration {
	if d := r.hedgeDelay.Load(); d > 0 {
		return time.Duration(d)
	}
	return defaultHedgeDelay
}

// MedianLatency returns the median reply time; 0 before enough replies.
func (r *Route) MedianLatency() time.Duration { return time.Duration(r.median.Load()) }

// RelativeLatency returns a reply time as a multiple of the median, at least 0.5.
// It returns 1 before the median is known.
func (r *Route) RelativeLatency(d time.Duration) float64 {
	median := r.median.Load()
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
