// Package admission limits the rate of searches by what the backend servers bear.
package admission

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// rateWindow is the time constant of the measured rate of admitted searches.
	rateWindow = 4 * time.Second
	// minAge is how long after the first search no limit is set: the searches of a new
	// process wait for its own connections. Rates measured since less are not corrected
	// further.
	minAge = time.Second
	// maxCredit is the number of searches that may be admitted at once after a pause.
	maxCredit = 2.0
	// creditPerRank is the additional credit that a search needs for each rank of
	// priority below the highest.
	creditPerRank = 0.25
	// maxRank bounds the rank, so that every route can be admitted after a pause.
	maxRank = 3
	// minKindShare is the part of the share of all searches that are admitted, below which
	// the searches of a route count as those of the highest priority.
	minKindShare = 0.6
	// maxDecrease bounds the factor by which the limit falls for each decreaseInterval
	// since the last search ended, up to maxDecreaseIntervals. refusedFactor is the
	// factor if a search missed its target because parts were refused.
	maxDecrease          = 0.75
	maxDecreaseIntervals = 4.0
	refusedFactor        = 0.6
	// increasePerSecond raises the limit with time, and freeIncreasePerSecond while
	// searches wait at most half of the maximum.
	increasePerSecond     = 1.02
	freeIncreasePerSecond = 1.4
	// mostlyFreeShare is the share of congested searches below which the limit may rise
	// fast.
	mostlyFreeShare = 0.3
	// minCongested is the number of searches in a row that set a limit, and
	// minCongestedPeriod the time that they span. Fewer may have met a pause of their own
	// instance.
	minCongested       = 3
	minCongestedPeriod = 250 * time.Millisecond
	// fallenIncreasePerSecond raises the limit while the load is below fallenShare of its
	// highest since the limit was set.
	fallenIncreasePerSecond = 4
	fallenShare             = 0.5
	// minLimit is the lowest limit, in searches a second, so that reply times still show
	// when there is room again.
	minLimit = 0.05
	// unlimitedRatio is the ratio of the limit to the measured rate above which the
	// limit is dropped.
	unlimitedRatio = 3
	// decreaseInterval is the shortest time between two decreases, since the searches
	// of one moment show the same queues.
	decreaseInterval = 250 * time.Millisecond
	// minSearchWeight is the least weight of one search in the share of those that are
	// congested.
	minSearchWeight = 1.0 / 8
	// minQueueDelay bounds the queueing delay from below that counts as too long.
	minQueueDelay = 10 * time.Millisecond
	// baseWindow is how long the shortest median reply time of a route is remembered
	// at least.
	baseWindow = 30 * time.Second
	// minOverloadRetry and maxOverloadRetry bound the Retry-After of a refusal, which
	// is random so that the callers do not return together.
	minOverloadRetry = 200 * time.Millisecond
	maxOverloadRetry = 600 * time.Millisecond
)

// Limit limits the rate of the searches over one set of services. Each instance
// decides by itself: the queues of the servers, which all instances share, show in the
// reply times of its own searches. A rate that the servers bear refuses nothing once
// the load has fallen below it, however few searches an instance sees.
type Limit struct {
	mu sync.Mutex
	// limit is the permitted rate in searches a second, infinite without a limit. A
	// search counts by its reply time, that of the slowest route being 1.
	limit float64
	// rate is the measured rate of admitted searches, offered that of all, and
	// highestOffered the highest since the limit was set.
	rate, offered, highestOffered float64
	// credit is what may be admitted now. credit and the rates are as of updatedAt.
	credit                             float64
	updatedAt, decreasedAt, observedAt time.Time
	// begunAt is when the first search was asked for: rates measured since less than a
	// rateWindow are too low by a known factor.
	begunAt time.Time
	// congested counts the searches in a row that waited for the maximum or more, the
	// first of which ended at congestedSince.
	congested      int
	congestedSince time.Time
	// congestedShare is the moving average of the share of searches that are congested,
	// over a decreaseInterval or a few searches.
	congestedShare float64
	// free is set while the latest search waited at most half of the maximum.
	free bool
	// routes has what is measured of each route.
	routes map[string]*measuredRoute
	// tenants has the measured rates of the tenants.
	tenants map[string]*tenantRates
	// Jitter returns a random duration below its argument.
	Jitter func(time.Duration) time.Duration
	// OnLimit is called when the limit is set, with its value, and when it is dropped. It
	// must not block.
	OnLimit func(limited bool, limit float64)
}

// measuredRoute is what is known of one route.
type measuredRoute struct {
	target   time.Duration
	priority int
	// admitted and offered are the measured rates of its searches.
	admitted, offered float64
	// base and nextBase are the shortest median reply times in two overlapping windows.
	base, nextBase time.Duration
	nextBaseSince  time.Time
}

// New returns a Limit that permits every search.
func New() *Limit {
	return &Limit{
		limit: math.Inf(1), free: true, routes: make(map[string]*measuredRoute), tenants: make(map[string]*tenantRates),
		Jitter: rand.N[time.Duration], OnLimit: func(bool, float64) {},
	}
}

// AdmitFor reports whether to run a search of a tenant on a route, and otherwise when the
// caller should try again.
func (a *Limit) AdmitFor(tenant Tenant, route string, priority int, now time.Time) (retryAfter time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	if a.begunAt.IsZero() {
		a.begunAt = now
	}
	r := a.ensureRoute(route)
	r.priority = priority
	cost, rank := a.weigh(r)
	perSecond := cost / rateWindow.Seconds()
	r.offered += perSecond
	a.offered += perSecond
	a.highestOffered = max(a.highestOffered, a.offered)
	t := a.ensureTenant(tenant.Name)
	if t != nil {
		t.offered += perSecond
	}
	if !math.IsInf(a.limit, 1) {
		if a.credit < 1+creditPerRank*float64(rank)+a.tenantCredit(t, tenant.Use) {
			return minOverloadRetry + a.Jitter(maxOverloadRetry-minOverloadRetry), false
		}
		a.credit -= cost
	}
	r.admitted += perSecond
	a.rate += perSecond
	if t != nil {
		t.admitted += perSecond
	}
	return 0, true
}

func (a *Limit) ensureRoute(name string) *measuredRoute {
	r := a.routes[name]
	if r == nil {
		r = &measuredRoute{}
		a.routes[name] = r
	}
	return r
}

// weigh returns how much a search on a route counts, and its rank: how many routes have
// a higher priority. A route of which too few searches are admitted has rank 0. The
// caller holds mu.
func (a *Limit) weigh(r *measuredRoute) (cost float64, rank int) {
	slowest := time.Duration(0)
	for _, other := range a.routes {
		slowest = max(slowest, other.base)
		if other.priority < r.priority {
			rank++
		}
	}
	cost = 1
	if r.base > 0 {
		cost = float64(r.base) / float64(slowest)
	}
	if r.admitted*a.offered < minKindShare*a.rate*r.offered {
		rank = 0
	}
	return cost, min(rank, maxRank)
}

// admittedRate returns the rate of admitted searches. The caller holds mu.
func (a *Limit) admittedRate(now time.Time) float64 {
	age := max(now.Sub(a.begunAt), minAge)
	return a.rate / (1 - math.Exp(-age.Seconds()/rateWindow.Seconds()))
}

// advance brings the credit, the measured rate and the limit to the present. The caller
// holds mu.
func (a *Limit) advance(now time.Time) {
	seconds := now.Sub(a.updatedAt).Seconds()
	if seconds <= 0 {
		return
	}
	a.updatedAt = now
	decay := math.Exp(-seconds / rateWindow.Seconds())
	a.rate *= decay
	a.offered *= decay
	for _, r := range a.routes {
		r.admitted *= decay
		r.offered *= decay
	}
	a.decayTenants(decay)
	if math.IsInf(a.limit, 1) {
		a.credit, a.highestOffered = maxCredit, a.offered
		return
	}
	a.credit = min(maxCredit, a.credit+a.limit*seconds)
	increase := increasePerSecond
	if a.free && a.congestedShare < mostlyFreeShare {
		increase = freeIncreasePerSecond
	}
	if a.offered < fallenShare*a.highestOffered {
		increase = fallenIncreasePerSecond
	}
	a.limit *= math.Pow(increase, seconds)
	if a.limit > unlimitedRatio*max(a.admittedRate(now), minLimit) && now.Sub(a.decreasedAt) > rateWindow {
		a.OnLimit(false, a.limit)
		a.limit = math.Inf(1)
	}
}

// Limit returns the permitted rate in searches a second, infinite without a limit.
func (a *Limit) Limit(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	return a.limit
}

// Observe records the median reply time of the parts of a search, and whether it missed
// its target because servers had refused parts for lack of capacity.
func (a *Limit) Observe(route string, target, median time.Duration, refused bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	delay, maxDelay := a.queueDelay(route, target, median, now), a.maxQueueDelay()
	// Servers that refuse while their queues are short do so for another reason, and fewer
	// searches would not change that.
	refused = refused && delay > maxDelay/2
	a.free = delay <= maxDelay/2
	if delay < maxDelay && !refused {
		a.congested = 0
	} else if a.congested++; a.congested == 1 {
		a.congestedSince = now
	}
	persistent := now.Sub(a.begunAt) >= minAge && a.congested >= minCongested && now.Sub(a.congestedSince) >= minCongestedPeriod
	a.updateCongestedShare(now)
	limited := !math.IsInf(a.limit, 1)
	if a.congested > 0 && (persistent || limited && a.congestedShare > 0.5) && now.Sub(a.decreasedAt) >= decreaseInterval {
		intervals := min(maxDecreaseIntervals, max(1, now.Sub(a.observedAt).Seconds()/decreaseInterval.Seconds()))
		factor := max(math.Pow(maxDecrease, intervals), min(1, float64(maxDelay)/float64(max(delay, 1))))
		if refused {
			factor = min(factor, refusedFactor)
		}
		if math.IsInf(a.limit, 1) {
			a.OnLimit(true, max(minLimit, a.admittedRate(now)*factor))
		}
		a.limit = max(minLimit, min(a.limit, a.admittedRate(now))*factor)
		a.credit = min(a.credit, 1)
		a.decreasedAt = now
	}
	a.observedAt = now
}

// updateCongestedShare adds the search that has just ended to the moving average. Where
// many searches end, some are always congested. The caller holds mu.
func (a *Limit) updateCongestedShare(now time.Time) {
	weight := min(1, max(minSearchWeight, now.Sub(a.observedAt).Seconds()/decreaseInterval.Seconds()))
	share := 0.0
	if a.congested > 0 {
		share = 1
	}
	a.congestedShare += weight * (share - a.congestedShare)
}

// IsBusy reports whether searches are limited, or soon will be.
func (a *Limit) IsBusy() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.congested >= minCongested-1 || !math.IsInf(a.limit, 1)
}

// MaxMedian returns the median reply time of the parts of a search on a route from
// which on the search counts as congested; 0 if nothing is known of the route yet.
func (a *Limit) MaxMedian(route string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.routes[route]
	if r == nil || r.target <= 0 || r.base == 0 {
		return 0
	}
	return r.base + a.maxQueueDelay()
}

// queueDelay returns by how much a median reply time exceeds the shortest of its route.
func (a *Limit) queueDelay(name string, target, median time.Duration, now time.Time) time.Duration {
	r := a.ensureRoute(name)
	if r.base == 0 {
		r.base, r.nextBase, r.nextBaseSince = median, median, now
	}
	if now.Sub(r.nextBaseSince) >= baseWindow {
		r.base, r.nextBase, r.nextBaseSince = r.nextBase, median, now
	}
	if target > 0 {
		r.target = target
	}
	r.base, r.nextBase = min(r.base, median), min(r.nextBase, median)
	return median - r.base
}

// maxQueueDelay returns the longest delay with which the searches of all routes still
// meet their targets: half of the target is left for the slowest parts.
func (a *Limit) maxQueueDelay() time.Duration {
	limit := time.Duration(math.MaxInt64)
	for _, r := range a.routes {
		if r.target > 0 {
			limit = min(limit, r.target/2-r.base)
		}
	}
	return max(limit, minQueueDelay)
}
