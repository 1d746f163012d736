package quota

import "time"

// lease are tokens that may be used until end.
type lease struct {
	tokens int
	end    time.Time
}

// borrower is the state of one subject, a tenant or a backend server, at an instance.
type borrower struct {
	limit  Limit
	leases []lease
	// tokenAt is when the home has a token again. It is asked again at deniedUntil, and at
	// unreachableUntil after it did not reply.
	tokenAt, deniedUntil, unreachableUntil time.Time
	lost                                   bool
	asking                                 bool
	askedAt, requestedAt                   time.Time
	waiting                                int
	// changed is closed when an Ask has ended.
	changed chan struct{}
	// demand is the rate of requests, granted that of the tokens that the home has lent.
	demand, granted average
	// requests, returned and spent are what the next Ask reports.
	requests, returned, spent int
	// wanted is the number of tokens that TryTake did not find since the last Ask. starved is
	// set if some were not asked for, since the home has none or does not reply. wake is
	// called when that may have changed; nil if nobody has wanted any.
	wanted         int
	starved        bool
	wake           func(tokens int)
	fallback       Bucket
	use            float64
	spentAt, useAt time.Time
	count          Count
}

// takeLease takes a token of the lease that ends first.
func (t *borrower) takeLease(now time.Time) bool {
	t.expireLeases(now)
	if len(t.leases) == 0 {
		return false
	}
	t.leases[0].tokens--
	if t.leases[0].tokens == 0 {
		t.leases = t.leases[1:]
	}
	return true
}

// expireLeases drops the leases that have ended; their tokens are returned.
func (t *borrower) expireLeases(now time.Time) {
	for len(t.leases) > 0 && !now.Before(t.leases[0].end) {
		t.returned += t.leases[0].tokens
		t.leases = t.leases[1:]
	}
}

func (t *borrower) tokens() int {
	n := 0
	for _, lease := range t.leases {
		n += lease.tokens
	}
	return n
}

// isUnreachable reports whether requests don't wait for the home since it did not reply
// to an earlier one.
func (t *borrower) isUnreachable(now time.Time) bool {
	return now.Before(t.unreachableUntil) || t.asking && now.Sub(t.askedAt) >= maxWait
}

// ahead returns the number of requests that are expected within a term.
func (t *borrower) ahead(term time.Duration) int { return int(t.demand.perSecond * term.Seconds()) }
