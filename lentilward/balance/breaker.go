package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minEjectFailures is the number of failures without a success between them after
	// which a server may be ejected. A server that fails 45% of its calls has such a
	// run about once in 5,000 calls.
	minEjectFailures = 10
	// maxChance is the probability with which such a run may occur by chance at the
	// failure rate of the other servers.
	maxChance = 1e-4
	// minEjectSpan is how long a run of failures lasts at least: one event, such as a
	// restart, ends many calls at the same time. A run of manyEjectFailures lasts
	// minManyEjectSpan.
	minEjectSpan      = 250 * time.Millisecond
	manyEjectFailures = 30
	minManyEjectSpan  = 30 * time.Millisecond
	// maxOtherFailures is the failure rate of the other servers above which an ejected one
	// is no worse, and resultAge how long a result counts for that.
	maxOtherFailures = 0.6
	resultAge        = 20 * time.Second
	// minBreakerProbeDelay and maxBreakerProbeDelay bound the delay until an ejected
	// server gets another probe. After a success the next one is due after
	// nextBreakerProbeDelay.
	minBreakerProbeDelay  = 400 * time.Millisecond
	maxBreakerProbeDelay  = 1000 * time.Millisecond
	nextBreakerProbeDelay = 50 * time.Millisecond
	// probesToRestore is the number of probes in a row that must succeed before the
	// server gets calls again.
	probesToRestore = 2
	// unhedgedProbeDelay is how long after a probe was due an idempotent request may be
	// the probe without a hedge, since the retry budget is spent, and anyProbeDelay how
	// long after that any request may be, since none of the service is idempotent. Once a
	// probe has succeeded, the next ones need no hedge.
	unhedgedProbeDelay = time.Second
	anyProbeDelay      = 4 * time.Second
)

// breaker finds that a server fails all of its calls while others of its service do
// not. Such a server is ejected: it gets only probes, which are real requests that
// another server gets at the same time.
type breaker struct {
	// failures counts the failures since the last success, begun with the one at
	// failingSince.
	failures     int
	failingSince time.Time
	// results has the latest results, nextResult the place of the next one. epoch is when
	// the first was recorded.
	epoch      time.Time
	results    [16]result
	nextResult uint8

	ejected bool
	// probeAt is when the next probe is due, and probeDelay the delay after one that
	// fails. restored counts the probes that succeeded in a row.
	probeAt    time.Time
	probeDelay time.Duration
	restored   int
}

// result is the result of one call, which ended at a time after breaker.epoch; 0 if there
// is none.
type result struct {
	at     time.Duration
	failed bool
}

// observe counts the result of one call, and reports whether the server is restored by
// it.
func (b *breaker) observe(failed bool, now time.Time) (restored bool) {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	b.results[b.nextResult] = result{max(1, now.Sub(b.epoch)), failed}
	b.nextResult = (b.nextResult + 1) % uint8(len(b.results))
	if failed {
		if b.failures == 0 {
			b.failingSince = now
		}
		b.failures++
		b.restored = 0
		if b.ejected {
			b.probeDelay = min(2*b.probeDelay, maxBreakerProbeDelay)
			b.planProbe(b.probeDelay, now)
		}
		return false
	}
	b.failures = 0
	if !b.ejected {
		return false
	}
	b.restored++
	b.probeDelay = minBreakerProbeDelay
	b.probeAt = now.Add(nextBreakerProbeDelay)
	if b.restored < probesToRestore {
		return false
	}
	*b = breaker{}
	return true
}

// planProbe sets when the next probe is due, at different times at different instances.
func (b *breaker) planProbe(delay time.Duration, now time.Time) {
	b.probeAt = now.Add(delay/2 + rand.N(delay))
}

// since returns the numbers of calls and of failures of the latest results that are not
// older than a time.
func (b *breaker) since(at time.Time) (calls, failures int) {
	begin := max(1, at.Sub(b.epoch))
	for _, r := range b.results {
		if r.at >= begin {
			calls++
			if r.failed {
				failures++
			}
		}
	}
	return calls, failures
}

// isSuspect reports whether the server has failed so often in a row that it is compared
// with others.
func (b *breaker) isSuspect() bool { return b.ejected || b.failures >= minEjectFailures }

// tryEject ejects the server if its run of failures can't be chance at the failure
// rate that the others have had meanwhile, and reports whether it has.
func (b *breaker) tryEject(others []breaker, now time.Time) bool {
	span := minEjectSpan
	if b.failures >= manyEjectFailures {
		span = minManyEjectSpan
	}
	if b.ejected || b.failures < minEjectFailures || now.Sub(b.failingSince) < span {
		return false
	}
	// Calls that were in flight when a fault of all servers began still succeed.
	begin := b.failingSince.Add(now.Sub(b.failingSince) / 2)
	calls, failures := 0, 0
	for i := range others {
		n, failed := others[i].since(begin)
		calls += n
		failures += failed
	}
	if rate := float64(failures+2) / float64(calls+3); calls == failures || math.Pow(rate, float64(b.failures)) > maxChance {
		return false
	}
	b.ejected, b.restored, b.probeDelay = true, 0, minBreakerProbeDelay
	b.planProbe(b.probeDelay, now)
	return true
}

// recordResult counts the result of a call for the breaker. The caller holds mu.
func (s *Server) recordResult(failed bool, now time.Time) {
	restored := s.breaker.observe(failed, now)
	s.suspect.Store(s.breaker.isSuspect())
	if !restored {
		return
	}
	// The earlier failures would keep calls away for some seconds more.
	s.failureRate, s.relativeLatency = 0, 1
	if s.onBreaker != nil {
		s.onBreaker(s, false)
	}
}

// resetBreaker forgets all results: a server that can't be reached and comes back has
// probably restarted. The caller holds mu.
func (s *Server) resetBreaker() {
	s.breaker = breaker{}
	s.suspect.Store(false)
}

func (s *Server) setOnBreaker(f func(*Server, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onBreaker = f
}

// IsEjected reports whether the server fails while others of its service do not, so that
// it gets only probes.
func (s *Server) IsEjected() bool {
	if !s.suspect.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaker.ejected
}

// getsOnlyProbes reports whether the server is ejected and any request may not be its
// probe.
func (s *Server) getsOnlyProbes(now time.Time) bool {
	if !s.suspect.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaker.ejected && !s.breaker.isProbeDue(anyProbeDelay, now)
}

// isProbeDue reports whether a probe has been due for the delay.
func (b *breaker) isProbeDue(delay time.Duration, now time.Time) bool {
	if b.restored > 0 {
		delay = 0
	}
	return b.ejected && !now.Before(b.probeAt.Add(delay))
}

// takeProbe reports whether a probe of an ejected server has been due for the delay, and
// plans the next one.
func (s *Server) takeProbe(delay time.Duration, now time.Time) bool {
	if !s.suspect.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.breaker.isProbeDue(delay, now) || s.checkBlockedLocked(now) {
		return false
	}
	s.breaker.planProbe(s.breaker.probeDelay, now)
	return true
}

// avoidsEjected ejects servers that fail while others do not, and reports whether
// those that are ejected must be avoided: not if no other server can serve, or if the
// others fail as well.
func (s *Service) avoidsEjected(beyond []*Server, now time.Time) bool {
	servers := s.Servers()
	if !slices.ContainsFunc(servers, func(server *Server) bool { return server.suspect.Load() }) {
		return false
	}
	var others []breaker
	serving := false
	for _, server := range servers {
		if server.suspect.Load() || server.IsOutOfService() || slices.Contains(beyond, server) {
			continue
		}
		server.mu.Lock()
		b, blocked := server.breaker, server.checkBlockedLocked(now)
		server.mu.Unlock()
		if blocked {
			continue
		}
		others = append(others, b)
		calls, failures := b.since(now.Add(-resultAge))
		serving = serving || float64(failures) <= maxOtherFailures*float64(calls)
	}
	if !serving {
		return false
	}
	for _, server := range servers {
		if !server.suspect.Load() {
			continue
		}
		server.mu.Lock()
		if server.breaker.tryEject(others, now) && server.onBreaker != nil {
			server.onBreaker(server, true)
		}
		server.mu.Unlock()
	}
	return true
}

// handleBreaker reports a change of a server's breaker, and wakes the waiters of one that
// gets calls again.
func (s *Service) handleBreaker(server *Server, ejected bool) {
	if !ejected {
		s.wakeAll()
	}
	if s.OnBreaker != nil {
		s.OnBreaker(server, ejected)
	}
}

// AcquireProbe takes a slot on an ejected server whose probe is due and that is not in
// exclude, and returns nil if there is none. hedged is set if another server gets the
// request at the same time.
func (s *Service) AcquireProbe(exclude []*Server, hedged bool, now time.Time) *Server {
	delay := unhedgedProbeDelay
	if hedged {
		delay = 0
	}
	for _, server := range s.Servers() {
		if !server.suspect.Load() || slices.Contains(exclude, server) || server.IsOutOfService() || !server.Pool.CanConnect(now) {
			continue
		}
		if !server.takeProbe(delay, now) || !server.acquireSlot() {
			continue
		}
		if s.isPermitted(server) {
			return server
		}
		server.returnSlot()
	}
	return nil
}

// HasProbeDue reports whether a probe of an ejected server is due. It is cheap where no
// server is ejected.
func (s *Service) HasProbeDue(now time.Time) bool {
	return slices.ContainsFunc(s.Servers(), func(server *Server) bool {
		if !server.suspect.Load() {
			return false
		}
		server.mu.Lock()
		defer server.mu.Unlock()
		return server.breaker.isProbeDue(0, now)
	})
}

// EjectedServers returns the number of servers that get only probes.
func (s *Service) EjectedServers() int {
	n := 0
	for _, server := range s.Servers() {
		if server.IsEjected() {
			n++
		}
	}
	return n
}
