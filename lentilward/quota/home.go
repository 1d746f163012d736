package quota

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// TickInterval is the time between two calls of Home.Tick and of Local.Tick.
	TickInterval = 250 * time.Millisecond
	// frozenGap is the time without a tick from which on a home counts as frozen. A
	// process with a small share of a core is often late by some 100 ms.
	frozenGap = time.Second
	// suspendedGap is the time of a suspension of the machine that counts as one.
	suspendedGap = 100 * time.Millisecond
	// sampleTTL is how long the sampled part of the instances that agree is used.
	sampleTTL = 1500 * time.Millisecond
	// wholePart is the part of the instances from which on a home lends everything. The
	// others use at most the rest of the rate, which half of the overage covers.
	wholePart = 0.93
	// smallTenantHomes is the number of homes of a small tenant that may lend everything.
	smallTenantHomes = 3
	// shortUse is the share of its rate from which on a tenant may use up what is lent.
	shortUse = 0.5
	// minBucketSize lets a tenant send whole requests.
	minBucketSize = 1
	// idlePeriod is how long the state of a tenant without requests is kept.
	idlePeriod = 10 * time.Minute
)

// Ask is the request of an instance for tokens.
type Ask struct {
	// Subject is what the limit is on: a tenant, or a backend server.
	Subject string `cbor:"tenant"`
	Limit   Limit  `cbor:"limit"`
	// LimitAge is how long ago the asker has last seen the limit in force. Of limits of one
	// version the latest applies.
	LimitAge time.Duration `cbor:"limit-age,omitempty"`
	// Need is the number of requests that wait, Ahead the number that is expected within
	// a term besides.
	Need  int `cbor:"need"`
	Ahead int `cbor:"ahead,omitempty"`
	// Demand is the number of requests since the last Ask.
	Demand int `cbor:"demand"`
	// Returned is the number of tokens of ended leases that were not used. Spent is the
	// number of requests sent without a token.
	Returned int `cbor:"returned,omitempty"`
	Spent    int `cbor:"spent,omitempty"`
}

// Grant is the reply to an Ask.
type Grant struct {
	Granted int `cbor:"granted"`
	// Term is how long the tokens are valid, from the moment of the Ask on.
	Term time.Duration `cbor:"term"`
	// RetryAfter is the time until there is a token; 0 if one was granted.
	RetryAfter time.Duration `cbor:"retry-after,omitempty"`
	// Use is what the tenant asks for over all instances as a share of its rate.
	Use float64 `cbor:"use"`
}

// View is what the home knows of the other instances.
type View struct {
	// Part is the part of the known instances, those lost recently included, that are
	// alive. Alone is the part that this instance is by itself.
	Part, Alone float64
	// IsHome is false if this instance takes another one for the home.
	IsHome bool
	// Since is the time of the last change of the members or of their states.
	Since time.Time
}

// Home keeps the buckets of the tenants whose home is this instance.
type Home struct {
	// Suspended returns for how long the machine has been suspended so far, which the
	// runtime's clock does not count.
	Suspended func() time.Duration
	// Key returns the key of a subject by which its home is found.
	Key func(subject string) string
	// OnFrozen is called when the process was frozen or suspended.
	OnFrozen func(tenants int)

	mu       sync.Mutex
	settings Settings
	// since is the time of the start, or of the end of the last freeze.
	since     time.Time
	lastTick  time.Time
	suspended time.Duration
	lenders   map[string]*lender
}

// lender is the state of one tenant at its home.
type lender struct {
	bucket  Bucket
	limit   Limit
	demand  average
	askedAt time.Time
	// isHome is false while another instance is the home. unsure is set from when this one
	// has become it until a sample shows how many instances agree.
	isHome, unsure bool
	// part is the sampled part of the instances that ask this one.
	part      float64
	sampledAt time.Time
	lent      int
}

// NewHome returns a home without tenants.
func NewHome(s Settings) *Home {
	now := time.Now()
	return &Home{
		Suspended: func() time.Duration { return 0 }, Key: ownKey, OnFrozen: func(int) {},
		settings: s, since: now, lenders: make(map[string]*lender),
	}
}

// SetSettings replaces the settings.
func (h *Home) SetSettings(s Settings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settings = s
}

// Lend answers an Ask.
func (h *Home) Lend(a Ask, v View, now time.Time) Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.detectFreeze(now)
	l := h.lenders[a.Subject]
	if l == nil {
		l = h.newLender(a.Limit, v, now)
		l.setLimit(a, now)
		h.lenders[a.Subject] = l
	} else {
		l.setLimit(a, now)
	}
	l.askedAt = now
	l.setHome(v.IsHome, h.settings, now)
	part := h.part(l, v, now)
	l.bucket.Resize(l.limit.Rate*part, max(minBucketSize, h.settings.bucketSize(l.limit)*part), now)
	l.demand.add(float64(max(0, a.Demand)), now)
	// What was spent while the home could not be reached is owed for a term at most, since
	// part of it was left to the instances that spent it.
	l.bucket.Add(float64(max(0, a.Returned)), 0, now)
	l.bucket.Add(-float64(max(0, a.Spent)), -max(1, l.limit.Rate*h.settings.term().Seconds()), now)
	granted := l.bucket.Take(max(0, a.Need), now)
	if granted == a.Need {
		// Half of the rest is left for instances that ask later.
		granted += l.bucket.Take(min(max(0, a.Ahead), int(l.bucket.Level(now)/2)), now)
	}
	l.lent += granted
	g := Grant{Granted: granted, Term: h.settings.term()}
	if l.limit.Rate > 0 {
		g.Use = l.demand.perSecond / l.limit.Rate
	}
	if granted == 0 {
		g.RetryAfter = l.bucket.Wait(now)
	}
	return g
}

// newLender returns the state of a tenant that begins with a small start, since another
// home may have lent its burst, and with what has been added since the members changed.
// The caller holds mu.
func (h *Home) newLender(limit Limit, v View, now time.Time) *lender {
	l := &lender{limit: limit, demand: average{updatedAt: now}, isHome: v.IsHome}
	since := h.since
	if v.Since.After(since) {
		since = v.Since
	}
	age := max(0, now.Sub(since))
	l.unsure = h.settings.needsSample(limit) && (age < h.settings.Window || !v.IsHome)
	start := h.settings.startOf(limit) * v.Part
	if v.IsHome && !l.unsure {
		start += limit.Rate * v.Part * age.Seconds()
	}
	l.bucket = NewBucket(0, max(minBucketSize, h.settings.bucketSize(limit)), start, now)
	return l
}

// setLimit applies the limit of a question unless a later one is known.
func (l *lender) setLimit(a Ask, now time.Time) {
	seenAt := now.Add(-max(0, a.LimitAge))
	if a.Limit.Version < l.limit.Version || a.Limit.Version == l.limit.Version && seenAt.Before(l.limit.SeenAt) {
		return
	}
	l.limit = a.Limit
	l.limit.SeenAt = seenAt
}

// setHome records whether this instance is the home. If it has just become the home again,
// another one may have lent the burst.
func (l *lender) setHome(isHome bool, s Settings, now time.Time) {
	if start := s.startOf(l.limit); isHome && !l.isHome {
		l.unsure, l.sampledAt = s.needsSample(l.limit), time.Time{}
		l.bucket.Add(min(0, start-l.bucket.Level(now)), start, now)
	}
	l.isHome = isHome
}

// part returns the part of the rate that the home lends. The caller holds mu.
func (h *Home) part(l *lender, v View, now time.Time) float64 {
	part := v.Part
	switch {
	case !h.settings.needsSample(l.limit):
		return min(1, smallTenantHomes*v.Part)
	case !l.sampledAt.IsZero() && now.Sub(l.sampledAt) < sampleTTL:
		part = min(part, l.part)
	case l.unsure:
		part = min(part, v.Alone)
	}
	if part >= wholePart {
		return 1
	}
	return max(part, v.Alone)
}

// detectFreeze drops all buckets if the process did not run for a while: another home may
// have lent the tokens meanwhile. The caller holds mu.
func (h *Home) detectFreeze(now time.Time) {
	if h.lastTick.IsZero() {
		return
	}
	suspended := h.Suspended()
	if now.Sub(h.lastTick) >= frozenGap || suspended-h.suspended >= suspendedGap {
		h.OnFrozen(len(h.lenders))
		h.lenders, h.since = make(map[string]*lender), now
	}
	h.lastTick, h.suspended = now, suspended
}

// Tick must be called once in a TickInterval. isHome reports whether this instance is the
// home of a tenant.
func (h *Home) Tick(isHome func(tenant string) bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastTick.IsZero() {
		h.lastTick, h.suspended = now, h.Suspended()
	}
	h.detectFreeze(now)
	for tenant, l := range h.lenders {
		if now.Sub(l.askedAt) >= idlePeriod {
			delete(h.lenders, tenant)
			continue
		}
		l.setHome(isHome(tenant), h.settings, now)
	}
}

// Short returns the keys of the subjects that may use up what this instance lends, so that
// it matters whether all instances ask this one.
func (h *Home) Short(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	keys := make(map[string]bool)
	for tenant, l := range h.lenders {
		if now.Sub(l.askedAt) >= sampleTTL || !h.settings.needsSample(l.limit) {
			continue
		}
		l.demand.advance(now)
		if l.unsure || l.bucket.Level(now) < l.bucket.size/2 && l.demand.perSecond > shortUse*l.limit.Rate {
			keys[h.Key(tenant)] = true
		}
	}
	return slices.Sorted(maps.Keys(keys))
}

// needsSample reports whether smallTenantHomes homes of a tenant at the same time could
// exceed the slack. Of smaller tenants each home lends everything if it reaches enough
// instances.
func (s Settings) needsSample(l Limit) bool {
	return l.Rate*s.Window.Seconds()+l.Burst > s.homeStart()
}

// IsUsed reports whether this instance lends tokens of any subject.
func (h *Home) IsUsed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.lenders) > 0
}

// SetSample records the part of the sampled instances that consider this one as the home
// of the subjects with a key.
func (h *Home) SetSample(key string, part float64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for subject, l := range h.lenders {
		if h.Key(subject) == key {
			l.part, l.sampledAt, l.unsure = part, now, false
		}
	}
}

// Lent returns the number of tokens lent of each tenant.
func (h *Home) Lent() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	lent := make(map[string]int, len(h.lenders))
	for tenant, l := range h.lenders {
		lent[tenant] = l.lent
	}
	return lent
}
