package balance

import (
	"sync"
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/domain"
)

const (
	// firstHedgeDelay is used until enough replies were seen.
	firstHedgeDelay = 60 * time.Millisecond
	// leastHedgeDelay keeps calls that are merely on their way from being hedged.
	leastHedgeDelay = 8 * time.Millisecond
	// hedgeQuantile is the share of calls that reply before they are hedged.
	hedgeQuantile = 0.93
	// leastHedgeRatio and largestHedgeRatio bound the delay in medians, so that
	// neither a narrow distribution nor many slow servers move it far.
	leastHedgeRatio   = 1.25
	largestHedgeRatio = 2
	// leastSamples is the number of replies that give a quantile.
	leastSamples = 50
	// decaySamples is the number of replies after which older ones count half.
	decaySamples = 2000
	// tuneEvery is the number of replies between two looks at the quantiles.
	tuneEvery = 32
)

// Route is what this instance measures of one route.
type Route struct {
	latencies blackboard.Histogram
	replies   atomic.Int64
	hedge     atomic.Int64
	usual     atomic.Int64

	mu sync.Mutex
	// turns are how far each part of a split is behind its share.
	turns []float64
}

// Observe notes the reply time of one call.
func (r *Route) Observe(d time.Duration) {
	r.latencies.Observe(d)
	if n := r.replies.Add(1); n%tuneEvery == 0 {
		r.tune(n)
	}
}

func (r *Route) tune(replies int64) {
	q, total := r.latencies.Quantiles(0.5, hedgeQuantile)
	if total < leastSamples {
		return
	}
	usual := float64(q[0])
	delay := min(max(float64(q[1]), leastHedgeRatio*usual), largestHedgeRatio*usual)
	r.usual.Store(int64(q[0]))
	r.hedge.Store(int64(max(time.Duration(delay), leastHedgeDelay)))
	if total >= decaySamples {
		r.latencies.Decay()
	}
}

// HedgeDelay is how long a call may take before it is hedged.
func (r *Route) HedgeDelay() time.Duration {
	if d := r.hedge.Load(); d > 0 {
		return time.Duration(d)
	}
	return firstHedgeDelay
}

// Usual is the median reply time; 0 while it is not known.
func (r *Route) Usual() time.Duration { return time.Duration(r.usual.Load()) }

// Slowness is a reply time over what is usual.
func (r *Route) Slowness(d time.Duration) float64 {
	usual := r.usual.Load()
	if usual == 0 {
		return 1
	}
	return max(0.5, float64(d)/float64(usual))
}

// Pick returns the service of a split that is furthest behind its share.
func (r *Route) Pick(split []domain.Share) string {
	if len(split) == 1 {
		return split[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.turns) != len(split) {
		r.turns = make([]float64, len(split))
	}
	var sum float64
	best := 0
	for i, s := range split {
		r.turns[i] += s.Weight
		sum += s.Weight
		if r.turns[i] > r.turns[best] {
			best = i
		}
	}
	r.turns[best] -= sum
	return split[best].Service
}
