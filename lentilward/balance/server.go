package balance

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/conn"
	"lentilward.org/schema/domain"
)

const (
	// sampleWeight is the inverse of the weight of a new sample in an average.
	sampleWeight = 4
	// recovery is the time in which half of what was learned about a server that
	// gets no calls is forgotten.
	recovery = 2 * time.Second
	// leastBlock and largestBlock bound the pause after calls that failed to
	// reach a server.
	leastBlock   = 100 * time.Millisecond
	largestBlock = time.Second
	// elsewhereBlock is the pause after another server answered at the address.
	elsewhereBlock = 5 * time.Second
	// fullPause is how long a server that was full is avoided.
	fullPause = 40 * time.Millisecond
)

// Weights of the expected cost of one more call.
const (
	remoteWeight   = 4
	overdueWeight  = 20
	fullWeight     = 6
	failingWeight  = 10
	coldWeight     = 1.6
	inFlightWeight = 0.5
	noise          = 0.1
)

// Server is what this instance knows of one backend server process.
type Server struct {
	ID         string
	Service    string
	DataCentre string
	Pool       *conn.Pool
	// Remote servers are in another data centre than this instance.
	Remote bool
	// out is set while the server must get no new work.
	out atomic.Bool
	// coldUntil is on the clock of since.
	coldUntil atomic.Int64
	inFlight  atomic.Int32
	// overdue counts the calls in flight that take longer than most.
	overdue atomic.Int32

	mu sync.Mutex
	// slowness is the mean reply time over what is usual.
	slowness float64
	// failing is the mean share of calls that failed.
	failing float64
	// failures counts the calls and probes in a row that did not reach the
	// server. It gets no call until a probe did.
	failures int
	probing  bool
	// probeAt is when to probe the server, blockedUntil until when it gets no
	// call in any case.
	probeAt, blockedUntil time.Time
	// lastReply is when the server last answered anything.
	lastReply time.Time
	// reached is called once a server that was out of reach can be reached.
	reached    func()
	fullUntil  time.Time
	lastSample time.Time
}

// NewServer returns a server of which nothing is known yet.
func NewServer(b domain.BackendServer, pool *conn.Pool, remote bool) *Server {
	return &Server{
		ID: b.ID, Service: b.Service, DataCentre: b.DataCentre, Pool: pool, Remote: remote,
		slowness: 1, lastSample: time.Now(),
	}
}

// SetOut takes the server out of service or back, and tells whether that is a
// change.
func (s *Server) SetOut(out bool) bool { return s.out.Swap(out) != out }

// Out tells whether the server must get no new work.
func (s *Server) Out() bool { return s.out.Load() }

// SetCold notes that the server is cold until a time.
func (s *Server) SetCold(until time.Time) { s.coldUntil.Store(int64(until.Sub(epoch))) }

// Cold tells whether the server is in a cold start.
func (s *Server) Cold(now time.Time) bool { return int64(now.Sub(epoch)) < s.coldUntil.Load() }

var epoch = time.Now()

// cost is the expected time of one more call, in units of the usual one, or
// false if the server can take none now.
func (s *Server) cost(now time.Time) (float64, bool) {
	if s.out.Load() || s.inFlight.Load() >= s.Pool.Limit.Load() {
		return 0, false
	}
	s.mu.Lock()
	s.forget(now)
	slowness, failing := s.slowness, s.failing
	blocked, full := s.isBlocked(now), now.Before(s.fullUntil)
	s.mu.Unlock()
	if blocked {
		return 0, false
	}
	cost := slowness * (1 + inFlightWeight*float64(s.inFlight.Load())) * (1 + failingWeight*failing)
	if s.Remote {
		cost *= remoteWeight
	}
	if s.overdue.Load() > 0 {
		cost *= overdueWeight
	}
	if full {
		cost *= fullWeight
	}
	if s.Cold(now) {
		cost *= coldWeight
	}
	return cost * (1 + noise*rand.Float64()), true
}

// forget moves what was learned towards the usual while there are no samples.
// The caller holds mu.
func (s *Server) forget(now time.Time) {
	for now.Sub(s.lastSample) >= recovery {
		s.slowness = 1 + (s.slowness-1)/2
		s.failing /= 2
		s.lastSample = s.lastSample.Add(recovery)
		if s.slowness-1 < 0.01 && s.failing < 0.01 {
			s.lastSample = now
		}
	}
}

// acquire takes a place for one call.
func (s *Server) acquire() bool {
	for {
		n := s.inFlight.Load()
		if n >= s.Pool.Limit.Load() || s.out.Load() {
			return false
		}
		if s.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// isBlocked tells whether the server gets no calls, and probes it if it is
// time. The caller holds mu.
func (s *Server) isBlocked(now time.Time) bool {
	if now.Before(s.blockedUntil) {
		return true
	}
	if s.failures == 0 {
		return false
	}
	if !s.probing && !now.Before(s.probeAt) {
		s.probing = true
		go s.probe()
	}
	return true
}

// probe finds out whether the server can be reached again, so that no request
// has to.
func (s *Server) probe() {
	err := s.Pool.Probe(context.Background())
	now := time.Now()
	s.mu.Lock()
	s.probing = false
	if err != nil {
		s.failures++
		s.probeAt = now.Add(s.pause())
		s.mu.Unlock()
		return
	}
	s.failures = 0
	reached := s.reached
	s.mu.Unlock()
	if reached != nil {
		reached()
	}
}

// onReached sets what is called once the server can be reached again.
func (s *Server) onReached(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reached = f
}

// pause is how long a server that could not be reached is left alone. The
// caller holds mu.
func (s *Server) pause() time.Duration {
	return min(leastBlock<<min(s.failures, 8), largestBlock)
}

// Replied notes a reply and its time over what is usual.
func (s *Server) Replied(slowness float64, failed bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures, s.lastReply = 0, now
	s.slowness += (slowness - s.slowness) / sampleWeight
	s.sample(failed, now)
}

// Broke notes a call that ended without a whole reply.
func (s *Server) Broke(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sample(true, now)
}

func (s *Server) sample(failed bool, now time.Time) {
	share := 0.0
	if failed {
		share = 1
	}
	s.failing += (share - s.failing) / sampleWeight
	s.lastSample = now
}

// Full notes that the server refused for lack of room.
func (s *Server) Full(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fullUntil = now.Add(fullPause)
	s.sample(true, now)
}

// Unreachable notes that the server could not be connected to.
func (s *Server) Unreachable(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
	s.probeAt = now.Add(s.pause())
}

// Silent notes a call that began some time ago and got no reply. If the server
// has answered nothing since, it counts as out of reach.
func (s *Server) Silent(begin, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sample(true, now)
	if s.lastReply.Before(begin) {
		s.failures++
		s.probeAt = now.Add(s.pause())
	}
}

// Elsewhere notes that another server answered at the address.
func (s *Server) Elsewhere(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blockedUntil = now.Add(elsewhereBlock)
}

// Overdue notes that a call takes longer than most; InTime takes it back once
// the call has ended.
func (s *Server) Overdue() { s.overdue.Add(1) }

// InTime takes one Overdue back.
func (s *Server) InTime() { s.overdue.Add(-1) }

// Late tells whether a call in flight takes longer than most.
func (s *Server) Late() bool { return s.overdue.Load() > 0 }

// InFlight returns the number of calls in flight.
func (s *Server) InFlight() int32 { return s.inFlight.Load() }

// blocked tells whether the server is left alone after failures.
func (s *Server) blocked(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isBlocked(now)
}
