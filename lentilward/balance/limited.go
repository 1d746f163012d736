package balance

import (
	"slices"
	"sort"
	"sync"
	"time"

	"lentilward.org/lentilward/quota"
)

const (
	// minNamedLimit is the least limit that is kept, in requests a second: without any
	// request it would never be known that the server names no limit any more.
	minNamedLimit = 0.5
	// limitEndDelay is how long after the last reply that named a limit one that names none
	// ends it: replies overtake each other, and a server may name it in some of them only.
	limitEndDelay = 200 * time.Millisecond
	// limitBurstPeriod is the time whose requests a server gets at once after a pause.
	limitBurstPeriod = 500 * time.Millisecond
)

// namedLimit is the limit of requests a second that a server has named in its replies for
// all instances together, and what this instance has sent since it was named.
type namedLimit struct {
	mu        sync.Mutex
	perSecond float64
	// since is when the server first named a limit, and namedAt when it last did; zero while
	// it names none.
	since, namedAt time.Time
	// reported is the limit of the last report, at reportedAt.
	reported   float64
	reportedAt time.Time
	sent       SentCalls
}

// SentCalls counts the calls sent to a server.
type SentCalls struct {
	First, Hedges, Retries int
}

// LimitReport says what limit a server has named for how long, and what this instance has
// sent to it since the last report. Ended is set once the server names none any more.
type LimitReport struct {
	PerSecond float64
	NamedFor  time.Duration
	Sent      SentCalls
	Ended     bool
}

// RecordNamedLimit records that a reply of the server named a limit.
func (s *Server) RecordNamedLimit(perSecond float64, now time.Time) {
	l := &s.named
	l.mu.Lock()
	defer l.mu.Unlock()
	l.perSecond, l.namedAt = perSecond, now
	if l.since.IsZero() {
		l.since = now
	}
	rate := max(minNamedLimit, perSecond)
	if old := s.limit.Load(); old == nil || old.Rate != rate {
		s.limit.Store(&quota.Limit{Rate: rate, Burst: rate * limitBurstPeriod.Seconds()})
	}
}

// RecordNoLimit records that a successful reply of the server named no limit.
func (s *Server) RecordNoLimit(now time.Time) {
	if !s.NamesLimit() {
		return
	}
	l := &s.named
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.namedAt) >= limitEndDelay {
		l.since = time.Time{}
		s.limit.Store(nil)
	}
}

// namedLimit returns the limit with the time at which the server last named it; nil if it
// names none.
func (s *Server) namedLimit() *quota.Limit {
	limit := s.limit.Load()
	if limit == nil {
		return nil
	}
	s.named.mu.Lock()
	defer s.named.mu.Unlock()
	dated := *limit
	dated.SeenAt = s.named.namedAt
	return &dated
}

// SetTokens sets what lends the tokens for calls to servers that name a limit; nil if limits
// are not kept. It must be called before the server is used.
func (s *Server) SetTokens(tokens *quota.Local) { s.tokens = tokens }

// lacksToken reports whether the server names a limit and no token is at hand for a call.
func (s *Server) lacksToken() bool {
	return s.limit.Load() != nil && s.tokens != nil && !s.tokens.HasToken(s.ID)
}

// takeToken takes a token for a call, and reports whether the server needs none or one was
// at hand.
func (s *Server) takeToken() bool {
	limit := s.namedLimit()
	return limit == nil || s.tokens == nil || s.tokens.TryTake(s.ID, *limit)
}

// returnToken gives the token of a call back that was not sent.
func (s *Server) returnToken() {
	if s.limit.Load() != nil && s.tokens != nil {
		s.tokens.Refund(s.ID)
	}
}

// wantToken asks for a token in the background. Those that wait for the service are woken
// once it is known whether there is one.
func (s *Server) wantToken() {
	limit := s.namedLimit()
	if limit == nil || s.tokens == nil {
		return
	}
	s.mu.Lock()
	wake := s.wakeWaiters
	s.mu.Unlock()
	if wake == nil {
		wake = func(int) {}
	}
	s.tokens.Want(s.ID, *limit, wake)
}

// isDenied reports whether it is known that there is no token of the server for a while.
func (s *Server) isDenied(now time.Time) bool { return s.deniedFor(now) > 0 }

// deniedFor returns for how long the home has said that it has no token for the server; 0 if
// it has not, or the server names no limit.
func (s *Server) deniedFor(now time.Time) time.Duration {
	if s.limit.Load() == nil || s.tokens == nil {
		return 0
	}
	return max(0, s.tokens.DeniedUntil(s.ID).Sub(now))
}

// TokenDelay returns how long a request of a priority is expected to wait for a token,
// because all servers that could be called name limits that are used up.
func (s *Service) TokenDelay(priority int, now time.Time) time.Duration {
	if s.versions.Load() != nil || !s.NamesLimit() {
		return 0
	}
	perSecond, denied := 0.0, true
	for _, server := range s.Servers() {
		if server.IsOutOfService() || server.checkBlocked(now) {
			continue
		}
		limit := server.limit.Load()
		if limit == nil || server.tokens == nil || server.tokens.HasToken(server.ID) {
			return 0
		}
		perSecond += server.tokens.Rate(server.ID, *limit)
		denied = denied && server.isDenied(now)
	}
	before := s.countBefore(priority)
	if perSecond == 0 || before == 0 && !denied {
		return 0
	}
	return time.Duration(float64(before+1) / perSecond * float64(time.Second))
}

// AcquireBeyond takes a slot on one of the servers beyond for a request that should not be sent
// to them, if all others that could be called have no token at hand for the limits that they
// name; it returns nil otherwise.
func (s *Service) AcquireBeyond(beyond []*Server, now time.Time) *Server {
	var others []*Server
	for _, server := range s.Servers() {
		if slices.Contains(beyond, server) {
			continue
		}
		if !server.IsOutOfService() && !server.checkBlocked(now) && !server.lacksToken() {
			return nil
		}
		others = append(others, server)
	}
	if len(beyond) == 0 {
		return nil
	}
	return s.acquire(others, nil, now)
}

// NamesLimit reports whether any server names a limit.
func (s *Service) NamesLimit() bool {
	return slices.ContainsFunc(s.Servers(), func(server *Server) bool { return server.limit.Load() != nil })
}

// countBefore returns the number of waiters that a request of a priority does not precede.
func (s *Service) countBefore(priority int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sort.Search(len(s.waiters), func(i int) bool { return s.waiters[i].Priority > priority })
}

// NamesLimit reports whether the latest reply of the server named a limit.
func (s *Server) NamesLimit() bool { return s.limit.Load() != nil }

// RecordSent counts a call that is sent to the server if it names a limit.
func (s *Server) RecordSent(hedge, retry bool) {
	if !s.NamesLimit() {
		return
	}
	l := &s.named
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case hedge:
		l.sent.Hedges++
	case retry:
		l.sent.Retries++
	default:
		l.sent.First++
	}
}

// ReportLimit returns a report if the server has named another limit than at the last
// report, names none any more, or names one and the last report is an interval ago.
func (s *Server) ReportLimit(interval time.Duration, now time.Time) (r LimitReport, ok bool) {
	l := &s.named
	l.mu.Lock()
	defer l.mu.Unlock()
	named := !l.since.IsZero()
	switch {
	case !named && l.reportedAt.IsZero():
		return r, false
	case named && l.reported == l.perSecond && now.Sub(l.reportedAt) < interval:
		return r, false
	}
	r = LimitReport{PerSecond: l.perSecond, Sent: l.sent, Ended: !named}
	l.sent, l.reported, l.reportedAt = SentCalls{}, l.perSecond, now
	if named {
		r.NamedFor = now.Sub(l.since)
	} else {
		l.reportedAt = time.Time{}
	}
	return r, true
}
