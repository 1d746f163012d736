package balance

import (
	"sync"
	"time"
)

// namedLimit is the limit of requests a second that a server has named in its replies for
// all instances together, and what this instance has sent since it was named.
type namedLimit struct {
	mu        sync.Mutex
	perSecond float64
	// since is when the server first named a limit, and changedAt when it last named
	// another one; zero while it names none.
	since, changedAt time.Time
	// reported has the limit and changedAt of the last report.
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

// RecordNamedLimit records whether a reply of the server named a limit, and which.
func (s *Server) RecordNamedLimit(perSecond float64, named bool, now time.Time) {
	l := &s.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	if !named {
		l.since, l.changedAt, l.perSecond = time.Time{}, time.Time{}, 0
		return
	}
	if l.since.IsZero() {
		l.since = now
	}
	if l.perSecond != perSecond || l.changedAt.IsZero() {
		l.perSecond, l.changedAt = perSecond, now
	}
}

// NamesLimit reports whether the latest reply of the server named a limit.
func (s *Server) NamesLimit() bool {
	s.limit.mu.Lock()
	defer s.limit.mu.Unlock()
	return !s.limit.since.IsZero()
}

// recordSent counts a call that is sent to a server that names a limit.
func (l *namedLimit) recordSent(hedge, retry bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.since.IsZero():
	case hedge:
		l.sent.Hedges++
	case retry:
		l.sent.Retries++
	default:
		l.sent.First++
	}
}

// RecordSent counts a call that is sent to the server.
func (s *Server) RecordSent(hedge, retry bool) { s.limit.recordSent(hedge, retry) }

// ReportLimit returns a report if the server has named another limit than at the last
// report, names none any more, or names one and the last report is an interval ago.
func (s *Server) ReportLimit(interval time.Duration, now time.Time) (r LimitReport, ok bool) {
	l := &s.limit
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
