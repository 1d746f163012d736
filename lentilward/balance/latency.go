package balance

import (
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/blackboard"
)

const (
	// windowDuration is how long a window of reply times lasts at least.
	windowDuration = time.Second
	// minWindowSamples is the number of reply times with which a window ends, and
	// maxWindowDuration when it ends without them.
	minWindowSamples  = 8
	maxWindowDuration = 10 * time.Second
	// updateInterval is the shortest time between two estimates.
	updateInterval = 50 * time.Millisecond
	// minMedianSamples and minQuantileSamples are the numbers of reply times needed to
	// estimate the median and a high quantile.
	minMedianSamples   = 8
	minQuantileSamples = 50
)

// latencyEstimate is what the reply times of the last two windows say.
type latencyEstimate struct {
	// median is 0 if there are too few samples; high is the hedgeQuantile, or 0.
	median, high time.Duration
	at           time.Time
}

// latencyWindows measures reply times over the last two windows. Samples age by time
// and not by number, so that an overload is forgotten as fast by an instance that gets
// few replies as by one that gets many.
type latencyWindows struct {
	windows  atomic.Pointer[latencyWindowPair]
	estimate atomic.Pointer[latencyEstimate]
}

type latencyWindowPair struct {
	current, previous *blackboard.Histogram
	begunAt           time.Time
	// updatedAt is when the estimate was last renewed, in nanoseconds since begunAt.
	updatedAt atomic.Int64
}

// observe records a reply time. An update by another goroutine at the same time is
// enough for both.
func (l *latencyWindows) observe(d time.Duration, now time.Time) {
	pair := l.windows.Load()
	if pair == nil {
		pair = &latencyWindowPair{current: &blackboard.Histogram{}, previous: &blackboard.Histogram{}, begunAt: now}
		if !l.windows.CompareAndSwap(nil, pair) {
			pair = l.windows.Load()
		}
	}
	pair.current.Observe(d)
	updatedAt, at := pair.updatedAt.Load(), int64(now.Sub(pair.begunAt))
	if at-updatedAt < int64(updateInterval) || !pair.updatedAt.CompareAndSwap(updatedAt, at) {
		return
	}
	l.update(pair, now)
}

func (l *latencyWindows) update(pair *latencyWindowPair, now time.Time) {
	age := now.Sub(pair.begunAt)
	if age >= maxWindowDuration || age >= windowDuration && pair.current.Count() >= minWindowSamples {
		previous := pair.current
		if age >= 2*maxWindowDuration {
			previous = &blackboard.Histogram{}
		}
		pair = &latencyWindowPair{current: &blackboard.Histogram{}, previous: previous, begunAt: now}
		l.windows.Store(pair)
	}
	q, total := pair.current.QuantilesWith(pair.previous, 0.5, hedgeQuantile)
	if total < minMedianSamples {
		return
	}
	e := &latencyEstimate{median: q[0], at: now}
	if total >= minQuantileSamples {
		e.high = q[1]
	}
	l.estimate.Store(e)
}

// load returns the latest estimate; one without a median if there is none, or if it is
// older than both windows may be.
func (l *latencyWindows) load(now time.Time) latencyEstimate {
	if e := l.estimate.Load(); e != nil && now.Sub(e.at) < 2*maxWindowDuration {
		return *e
	}
	return latencyEstimate{}
}
