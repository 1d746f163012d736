package balance

import (
	"math/rand/v2"
	"time"

	"lentilward.org/lentilward/pace"
)

// deferredWeight is the factor of the cost of a server for the calls that its pace leaves
// to others. It exceeds all other factors together, so that such a call goes to the server
// only if no other can take it: no call waits because of a pace.
const deferredWeight = 1e6

// SetPaces sets the set from which the server gets a pace when it starts or recovers; nil
// if it never does. It must be called before the server is used.
func (s *Server) SetPaces(set *pace.Set) { s.paces = set }

// StartPace starts the pace of the server.
func (s *Server) StartPace(cause pace.Cause, now time.Time) {
	if s.paces == nil {
		return
	}
	p := s.paces.Start(s.ID, s.Service, cause, now, func(p *pace.Pace) { s.pace.CompareAndSwap(p, nil) })
	if p != nil {
		s.pace.Store(p)
	}
}

// IsPaced reports whether the server gets less than its usual calls.
func (s *Server) IsPaced() bool { return s.pace.Load() != nil }

// SetCold records that the server is in a cold start until the given time.
func (s *Server) SetCold(until time.Time) {
	now := time.Now()
	starts := s.paces != nil && !s.IsCold(now) && until.After(now) && !s.IsPaced()
	s.coldUntil.Store(int64(until.Sub(processStart)))
	if starts {
		s.StartPace(pace.Cold, now)
	}
}

// IsCold reports whether the server is in a cold start.
func (s *Server) IsCold(now time.Time) bool {
	until := s.coldUntil.Load()
	return until != 0 && int64(now.Sub(processStart)) < until
}

// processStart is the reference time of Server.coldUntil.
var processStart = time.Now()

// paceFactor returns the factor by which the pace raises the cost of a call now: a share of
// the calls goes to the server as usual, and the others are left to other servers.
func (s *Server) paceFactor(now time.Time) float64 {
	if p := s.pace.Load(); p != nil && rand.Float64() >= p.Weight(now) {
		return deferredWeight
	}
	return 1
}

// observePace records the result of a call for the pace.
func (s *Server) observePace(ok bool, relativeLatency float64, now time.Time) {
	if p := s.pace.Load(); p != nil {
		p.Observe(ok, relativeLatency, now)
	}
}

// AddOverdueCall records that a call in flight is overdue. RemoveOverdueCall must
// be called once that call has ended.
func (s *Server) AddOverdueCall() {
	s.overdueCalls.Add(1)
	if p := s.pace.Load(); p != nil {
		p.ObserveOverdue(time.Now())
	}
}
