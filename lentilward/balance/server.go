package balance

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/pace"
	"lentilward.org/lentilward/quota"
	"lentilward.org/schema/domain"
)

const (
	// averageDivisor is the inverse of the weight of a new sample in an
	// exponentially weighted moving average.
	averageDivisor = 4
	// measurementHalfLife is the time in which the measurements of a server that
	// gets no calls move halfway back to their defaults.
	measurementHalfLife = 2 * time.Second
	// minProbeBackoff and maxProbeBackoff bound the delay until a server is probed
	// after calls or probes failed to reach it.
	minProbeBackoff = 100 * time.Millisecond
	maxProbeBackoff = time.Second
	// wrongServerCooldown is how long a server gets no calls after another server
	// answered at its address.
	wrongServerCooldown = 5 * time.Second
	// overloadCooldown is how long a server is avoided after it refused a call for
	// lack of capacity.
	overloadCooldown = 40 * time.Millisecond
)

// Factors of the expected cost of one more call. inFlightWeight applies for each
// call in flight, failureWeight to the failure rate, and costNoise bounds a random
// increase. Each other factor applies while the server is in the state it names.
const (
	remoteWeight   = 4
	overdueWeight  = 20
	overloadWeight = 6
	failureWeight  = 10
	coldWeight     = 1.6
	inFlightWeight = 0.5
	costNoise      = 0.1
)

// Server holds this instance's connections to one backend server process and
// its measurements of it.
type Server struct {
	ID         string
	Service    string
	DataCentre string
	Version    string
	// Process identifies the server process on all instances.
	Process uint64
	Pool    *conn.Pool
	// Remote is set if the server is in another data centre than this instance.
	Remote bool
	// outOfService is set while the server must get no new calls.
	outOfService atomic.Bool
	// leaving is set once the server has said that it is leaving.
	leaving atomic.Bool
	// coldUntil is when the cold start ends, in nanoseconds since processStart; 0 if there
	// was none.
	coldUntil atomic.Int64
	inFlight  atomic.Int32
	// overdueCalls counts the overdue calls in flight.
	overdueCalls atomic.Int32
	// paces gives out paces; nil if the server never gets one. pace is nil while it gets
	// its usual calls.
	paces *pace.Set
	pace  atomic.Pointer[pace.Pace]
	// suspect is set while the breaker compares the server with others, or has ejected
	// it.
	suspect atomic.Bool
	// named is the limit that the server names, and limit what applies of it; nil while it
	// names none. tokens lends the tokens for calls.
	named  namedLimit
	limit  atomic.Pointer[quota.Limit]
	tokens *quota.Local
	// onBreaker is called with mu held when the server is ejected or gets calls again.
	onBreaker func(s *Server, ejected bool)

	mu sync.Mutex
	// breaker finds that the server fails all of its calls.
	breaker breaker
	// relativeLatency is the mean reply time as a multiple of the route's median.
	relativeLatency float64
	// failureRate is the moving average of the share of calls that failed.
	failureRate float64
	// consecutiveFailures counts the calls and probes since the last one that
	// reached the server. While it is not 0 the server gets no calls; a successful
	// probe or a reply resets it.
	consecutiveFailures int
	probing             bool
	// probeAt is when to probe the server next. Until blockedUntil it gets no
	// calls in any case, and until pausedUntil because it asked for none.
	probeAt, blockedUntil, pausedUntil time.Time
	// lastReply is the time of the server's latest reply.
	lastReply time.Time
	// onReachable is called once a server that was unreachable is reachable again.
	onReachable func()
	// wakeWaiters wakes a number of requests that wait for the service.
	wakeWaiters     func(n int)
	overloadedUntil time.Time
	lastSample      time.Time
}

// NewServer returns a server without measurements.
func NewServer(b domain.BackendServer, pool *conn.Pool, remote bool) *Server {
	return &Server{
		ID: b.ID, Service: b.Service, DataCentre: b.DataCentre, Version: b.Version, Pool: pool, Remote: remote,
		Process:         xxhash.Sum64String(b.ID + "\x00" + strconv.FormatInt(b.Incarnation, 16)),
		relativeLatency: 1, lastSample: time.Now(),
	}
}

// SetOutOfService takes the server out of service or puts it back, and reports
// whether that changed its state.
func (s *Server) SetOutOfService(outOfService bool) bool {
	return s.outOfService.Swap(outOfService) != outOfService
}

// IsOutOfService reports whether the server must get no new calls.
func (s *Server) IsOutOfService() bool { return s.outOfService.Load() || s.leaving.Load() }

// CancelLeaving puts a server back that has said that it is leaving.
func (s *Server) CancelLeaving() { s.leaving.Store(false) }

// expectedCost returns the weighted time that one more call is expected to take,
// as a multiple of the median. It returns false if the server can take no call
// now.
func (s *Server) expectedCost(now time.Time) (float64, bool) {
	if s.IsOutOfService() || s.inFlight.Load() >= s.Pool.Limit.Load() || !s.Pool.CanConnect(now) {
		return 0, false
	}
	s.mu.Lock()
	s.decayMeasurements(now)
	relativeLatency, failureRate := s.relativeLatency, s.failureRate
	blocked, overloaded := s.checkBlockedLocked(now), now.Before(s.overloadedUntil)
	s.mu.Unlock()
	if blocked {
		return 0, false
	}
	cost := s.weightedCost(relativeLatency, failureRate, overloaded, now)
	return cost * s.paceFactor(now) * (1 + costNoise*rand.Float64()), true
}

// decayMeasurements moves the measurements towards their defaults while there
// are no samples. The caller holds mu.
func (s *Server) decayMeasurements(now time.Time) {
	for now.Sub(s.lastSample) >= measurementHalfLife {
		s.relativeLatency = 1 + (s.relativeLatency-1)/2
		s.failureRate /= 2
		s.lastSample = s.lastSample.Add(measurementHalfLife)
		if s.relativeLatency-1 < 0.01 && s.failureRate < 0.01 {
			s.lastSample = now
		}
	}
}

// checkBlockedLocked reports whether the server must get no calls, and starts a
// probe if one is due. The caller holds mu.
func (s *Server) checkBlockedLocked(now time.Time) bool {
	if now.Before(s.blockedUntil) || now.Before(s.pausedUntil) {
		return true
	}
	if s.consecutiveFailures == 0 {
		return false
	}
	if !s.probing && !now.Before(s.probeAt) {
		s.probing = true
		go s.probe()
	}
	return true
}

// probe checks whether the server can be reached again before any request is sent
// to it.
func (s *Server) probe() {
	err := s.Pool.Probe(context.Background())
	now := time.Now()
	s.mu.Lock()
	s.probing = false
	if err != nil {
		s.consecutiveFailures++
		s.probeAt = now.Add(s.probeBackoff())
		s.mu.Unlock()
		return
	}
	s.consecutiveFailures = 0
	onReachable := s.onReachable
	s.mu.Unlock()
	s.StartPace(pace.Recovered, now)
	if onReachable != nil {
		onReachable()
	}
}

// setOnReachable sets the function to call once the server is reachable again, and the one
// that wakes requests that wait for the service.
func (s *Server) setOnReachable(f func(), wakeWaiters func(n int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onReachable, s.wakeWaiters = f, wakeWaiters
}

// probeBackoff returns the delay until the next probe of a server that could not
// be reached. The caller holds mu.
func (s *Server) probeBackoff() time.Duration {
	return min(minProbeBackoff<<min(s.consecutiveFailures, 8), maxProbeBackoff)
}

// RecordReply records a reply, its time as a multiple of the route's median, and
// whether it was a failure.
func (s *Server) RecordReply(relativeLatency float64, failed bool, now time.Time) {
	s.observePace(!failed, relativeLatency, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.consecutiveFailures > 0 {
		s.StartPace(pace.Recovered, now)
	}
	s.consecutiveFailures, s.lastReply = 0, now
	s.relativeLatency += (relativeLatency - s.relativeLatency) / averageDivisor
	s.addFailureSample(failed, now)
	s.recordResult(failed, now)
}

// RecordFailedCall records a call that ended without a complete reply.
func (s *Server) RecordFailedCall(now time.Time) {
	s.observePace(false, 0, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addFailureSample(true, now)
	s.recordResult(true, now)
}

func (s *Server) addFailureSample(failed bool, now time.Time) {
	share := 0.0
	if failed {
		share = 1
	}
	s.failureRate += (share - s.failureRate) / averageDivisor
	s.lastSample = now
}

// RecordOverload records that the server refused a call for lack of capacity.
func (s *Server) RecordOverload(now time.Time) {
	s.observePace(false, 0, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overloadedUntil = now.Add(overloadCooldown)
	s.addFailureSample(true, now)
}

// RecordReset records that the server reset a new connection, so that no other is
// opened for a while, and returns for how long. Those that wait for the server are woken
// after that.
func (s *Server) RecordReset(now time.Time) time.Duration {
	backoff := s.Pool.RecordReset(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overloadedUntil = now.Add(overloadCooldown)
	if s.onReachable != nil {
		time.AfterFunc(backoff, s.onReachable)
	}
	return backoff
}

// RecordPause records that the server wants no calls until a time.
func (s *Server) RecordPause(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// resumesAt returns until when the server wants no calls, and false if it can't be
// called for another reason.
func (s *Server) resumesAt() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pausedUntil, s.consecutiveFailures == 0 && !s.blockedUntil.After(s.pausedUntil)
}

// RecordUnreachable records that no connection to the server could be opened.
func (s *Server) RecordUnreachable(now time.Time) {
	s.observePace(false, 0, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consecutiveFailures++
	s.probeAt = now.Add(s.probeBackoff())
	s.resetBreaker()
}

// RecordReplyTimeout records that a call that started at begin got no reply. If
// the server has sent no other reply since begin, it counts as unreachable.
func (s *Server) RecordReplyTimeout(begin, now time.Time) {
	s.observePace(false, 0, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addFailureSample(true, now)
	if s.lastReply.Before(begin) {
		s.consecutiveFailures++
		s.probeAt = now.Add(s.probeBackoff())
	}
}

// RecordWrongServer records that another server answered at this server's
// address.
func (s *Server) RecordWrongServer(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blockedUntil = now.Add(wrongServerCooldown)
}

// RemoveOverdueCall undoes one AddOverdueCall.
func (s *Server) RemoveOverdueCall() { s.overdueCalls.Add(-1) }

// HasOverdueCall reports whether a call in flight is overdue.
func (s *Server) HasOverdueCall() bool { return s.overdueCalls.Load() > 0 }

// InFlight returns the number of calls in flight.
func (s *Server) InFlight() int32 { return s.inFlight.Load() }

// checkBlocked reports whether the server must get no calls after failures, and
// starts a probe if one is due.
func (s *Server) checkBlocked(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkBlockedLocked(now)
}
