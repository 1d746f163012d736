package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxWait bounds how long a request waits for the home. A round trip between data
	// centres takes 2 ms.
	maxWait = 30 * time.Millisecond
	// askTimeout bounds an Ask; a reply that is later than maxWait serves later requests.
	askTimeout = time.Second
	// askBackoff is the time between two attempts to reach a home that does not reply.
	askBackoff = 250 * time.Millisecond
	// aheadPeriod is for how long the tokens of a lease must last before more are asked for.
	aheadPeriod = 60 * time.Millisecond
	// maxDenial is how long a refusal of the home is believed. Leases that are returned, a
	// higher limit or another home may give a token sooner than it said.
	maxDenial = 250 * time.Millisecond
	// useTTL is how long the use that a home has told is believed.
	useTTL = 5 * time.Second
	// maxFallbackDelay bounds the Retry-After of refusals without a home: by then the home
	// is tried again, and a lost one is replaced soon.
	maxFallbackDelay = time.Second
)

// Local decides at this instance whether requests are within the limits of their subjects:
// Allow for the request of a tenant, which may wait for a reply of the home, TryTake and Want
// for a call of a backend server, which may go to another server instead.
type Local struct {
	// Ask asks the home of a tenant.
	Ask func(ctx context.Context, a Ask) (Grant, error)
	// Instances returns the number of instances that share the allowances; 0 while that is
	// not known, so that no share is used.
	Instances func() int
	// Random returns a random number of at least 0 and below 1.
	Random func() float64
	// OnFallback is called when the home of a tenant stops or begins to reply.
	OnFallback func(tenant string, lost bool, err error)

	mu        sync.Mutex
	settings  Settings
	startedAt time.Time
	borrowers map[string]*borrower
}

// Count counts the requests of one tenant at this instance.
type Count struct {
	Asked, Allowed, Refused, Fallback int
}

// NewLocal returns a Local. Its Ask must be set before use.
func NewLocal(s Settings) *Local {
	return &Local{
		Instances: func() int { return 1 }, Random: rand.Float64, OnFallback: func(string, bool, error) {},
		settings: s, startedAt: time.Now(), borrowers: make(map[string]*borrower),
	}
}

// SetSettings replaces the settings.
func (l *Local) SetSettings(s Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settings = s
}

// Allow takes a token for one request, and otherwise returns when the tenant has one
// again. It waits at most maxWait, and returns false as soon as the context ends.
func (l *Local) Allow(ctx context.Context, tenant string, limit Limit) (retryAfter time.Duration, ok bool) {
	if limit.Rate <= 0 {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	t := l.ensureBorrower(tenant, limit, now)
	t.count.Asked++
	t.requests++
	t.requestedAt = now
	t.demand.add(1, now)
	retryAfter, ok = l.allow(ctx, tenant, t, now)
	if ok {
		t.count.Allowed++
	} else {
		t.count.Refused++
	}
	return retryAfter, ok
}

// allow does the work of Allow. The caller holds mu, which is released while it waits.
func (l *Local) allow(ctx context.Context, tenant string, t *borrower, now time.Time) (retryAfter time.Duration, ok bool) {
	giveUpAt := now.Add(maxWait)
	for {
		if t.takeLease(now) {
			l.askAhead(tenant, t, now)
			return 0, true
		}
		if now.Before(t.deniedUntil) {
			return t.tokenAt.Sub(now), false
		}
		if !now.Before(giveUpAt) || t.isUnreachable(now) {
			return l.takeFallback(t, now)
		}
		t.waiting++
		if !t.asking {
			l.startAsk(tenant, t, t.waiting, now)
		}
		changed := t.changed
		l.mu.Unlock()
		timer := time.NewTimer(giveUpAt.Sub(now))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		l.mu.Lock()
		t.waiting--
		if ctx.Err() != nil {
			return 0, false
		}
		now = time.Now()
	}
}

func (l *Local) ensureBorrower(name string, limit Limit, now time.Time) *borrower {
	t := l.borrowers[name]
	if t == nil {
		t = &borrower{limit: limit, changed: make(chan struct{}), demand: average{updatedAt: now}, granted: average{updatedAt: now}}
		// A process that ran here before may have used the start.
		rate, size := l.share(t)
		t.fallback = NewBucket(rate, size, rate*now.Sub(l.startedAt).Seconds(), now)
		l.borrowers[name] = t
	}
	t.limit = limit
	rate, size := l.share(t)
	t.fallback.Resize(rate, size, now)
	return t
}

// askAhead asks for more tokens if those at hand will not last. The caller holds mu.
func (l *Local) askAhead(tenant string, t *borrower, now time.Time) {
	t.demand.advance(now)
	if t.asking || now.Before(t.deniedUntil) || t.isUnreachable(now) || t.ahead(l.settings.term()) == 0 {
		return
	}
	if float64(t.tokens()) < t.demand.perSecond*aheadPeriod.Seconds() {
		l.startAsk(tenant, t, 0, now)
	}
}

// startAsk asks the home in the background. The caller holds mu.
func (l *Local) startAsk(tenant string, t *borrower, need int, now time.Time) {
	t.demand.advance(now)
	a := Ask{
		Subject: tenant, Limit: t.limit, Need: need, Ahead: t.ahead(l.settings.term()),
		Demand: t.requests, Returned: t.returned, Spent: t.spent,
	}
	if t.spent > 0 && now.Sub(t.spentAt) > l.settings.Window {
		a.Spent = 0
	}
	if !t.limit.SeenAt.IsZero() {
		a.LimitAge = now.Sub(t.limit.SeenAt)
	}
	t.requests, t.returned, t.spent = 0, 0, 0
	t.asking, t.askedAt = true, now
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		g, err := l.Ask(ctx, a)
		l.finishAsk(tenant, t, a, now, g, err)
	}()
}

// finishAsk applies the reply to an Ask. What was returned is not repeated after an error,
// since the home may have counted it.
func (l *Local) finishAsk(tenant string, t *borrower, a Ask, askedAt time.Time, g Grant, err error) {
	notify := func() {}
	defer func() { notify() }()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	t.asking = false
	defer func() { notify = l.notify(tenant, t, g.Granted, now) }()
	close(t.changed)
	t.changed = make(chan struct{})
	if lost := err != nil; lost != t.lost {
		t.lost = lost
		l.OnFallback(tenant, lost, err)
	}
	if err != nil {
		t.spent += a.Spent
		t.unreachableUntil = now.Add(askBackoff)
		return
	}
	t.unreachableUntil = time.Time{}
	t.use, t.useAt = g.Use, now
	if g.Granted > 0 {
		t.granted.add(float64(g.Granted), now)
		t.leases = append(t.leases, lease{tokens: g.Granted, end: askedAt.Add(g.Term)})
		return
	}
	// The home does not know yet of what has been returned meanwhile.
	if g.RetryAfter > 0 && t.returned == 0 {
		t.tokenAt = now.Add(g.RetryAfter)
		t.deniedUntil = now.Add(min(g.RetryAfter, maxDenial))
	}
}

// share returns the rate and size of the bucket that this instance has by itself. While the
// home replies, its size is only this instance's part of the small start.
func (l *Local) share(t *borrower) (rate, size float64) {
	instances := float64(l.Instances())
	if instances <= 0 {
		return 0, 0
	}
	rate, size = t.limit.Rate/instances, l.settings.fallbackStart()/instances
	if t.lost {
		size = max(size, rate, minBucketSize)
	}
	return rate, size
}

// takeFallback takes a token of this instance's own share, which is used while the home
// does not reply. The caller holds mu.
func (l *Local) takeFallback(t *borrower, now time.Time) (retryAfter time.Duration, ok bool) {
	if t.fallback.Take(1, now) == 0 {
		// With many instances the share of each is a fraction of a request. It decides with
		// that probability, so that the shares of all add up.
		level := t.fallback.Level(now)
		t.fallback.Add(-level, 0, now)
		if l.Random() >= level {
			return min(maxFallbackDelay, t.fallback.Wait(now)), false
		}
	}
	t.count.Fallback++
	t.spent++
	t.spentAt = now
	return 0, true
}

// Refund gives back the token of a request that was refused before anything was sent. The
// home has a token then, so that it is asked again.
func (l *Local) Refund(tenant string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.borrowers[tenant]; t != nil {
		t.returned++
		t.deniedUntil = time.Time{}
	}
}

// Use returns what a tenant asks for over all instances as a share of its rate; 0 if that
// is not known.
func (l *Local) Use(tenant string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.borrowers[tenant]; t != nil && time.Since(t.useAt) < useTTL {
		return t.use
	}
	return 0
}

// Tick must be called once in a TickInterval. It returns the unused tokens of leases that
// have ended, and forgets tenants without requests.
func (l *Local) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, t := range l.borrowers {
		t.expireLeases(now)
		if t.starved && !now.Before(t.deniedUntil) {
			t.starved = false
			go t.wake(allWaiting)
		}
		if t.returned > 0 && !t.asking && !t.isUnreachable(now) {
			l.startAsk(name, t, 0, now)
		}
		if !t.asking && t.waiting == 0 && now.Sub(t.requestedAt) >= idlePeriod {
			delete(l.borrowers, name)
		}
	}
}

// Counts returns the counts of each tenant.
func (l *Local) Counts() map[string]Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]Count, len(l.borrowers))
	for name, t := range l.borrowers {
		counts[name] = t.count
	}
	return counts
}
