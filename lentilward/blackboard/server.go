package blackboard

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"lentilward.org/schema/domain"
)

// Client calls one backend server. Its errors are those of package domain, or of
// package context.
type Client struct {
	Search  func(ctx context.Context, c *domain.ShardCall) (*domain.ShardReply, error)
	Execute func(ctx context.Context, requestID, service, instance string, payload []byte) ([]byte, error)
	Status  func(ctx context.Context) (*domain.ServerStatus, error)
}

// Server is the state of one backend server as this instance sees it. All
// fields that change are atomic.
type Server struct {
	Address    netip.AddrPort
	Service    string
	DataCentre string
	Client     Client
	// Refresh asks for a new status of the server soon.
	Refresh func()

	// Slots, ColdLimit and WarmRuns follow the configuration.
	Slots     atomic.Int32
	ColdLimit atomic.Int32
	WarmRuns  atomic.Int32

	// InFlight counts requests that this instance has on the server, and on
	// the owner of a cold server those that it admitted for others.
	InFlight atomic.Int32
	// Limit bounds InFlight.
	Limit atomic.Int32
	// Overdue counts the calls in flight that take longer than most.
	Overdue atomic.Int32
	// OutOfService is set while the server may get no new work: withdrawn,
	// draining or removed.
	OutOfService atomic.Bool
	// Connected is set while the connection is up.
	Connected atomic.Bool
	// BootID is the process of the server last heard of; 0 while unknown.
	BootID atomic.Uint64
	// WarmBootID is the process that has proved to bear its full load.
	WarmBootID atomic.Uint64
	// Proven counts replies since the cold start.
	Proven atomic.Int32
	// OwnedUntil is until when this instance admits for the cold server, on
	// the clock of Monotonic; 0 if it does not.
	OwnedUntil atomic.Int64

	latency atomic.Int64
	// floor is the reply time without a queue, in nanoseconds.
	floor atomic.Int64
	// saturated is set when the limit was reached.
	saturated atomic.Bool
	// lastSample is when latency was last updated, in nanoseconds since 1970.
	lastSample atomic.Int64
}

const (
	// latencyWeight is the inverse of the weight of a new sample.
	latencyWeight = 4
	// givenUpFactor is by how much a call that was given up would at least have
	// taken longer.
	givenUpFactor = 2
)

// Observe adds a reply time to the moving average.
func (s *Server) Observe(d time.Duration, now time.Time) {
	s.update(now, func(old int64) int64 {
		if old == 0 {
			return int64(d)
		}
		return old + (int64(d)-old)/latencyWeight
	})
}

// ObserveGivenUp raises the average to a multiple of the time that a call took
// until it was given up. A slow server whose calls all lose to hedges shows
// itself only in this way.
func (s *Server) ObserveGivenUp(d time.Duration, now time.Time) {
	s.update(now, func(old int64) int64 { return max(old, givenUpFactor*int64(d)) })
}

func (s *Server) update(now time.Time, next func(old int64) int64) {
	s.lastSample.Store(now.UnixNano())
	for {
		old := s.latency.Load()
		if s.latency.CompareAndSwap(old, next(old)) {
			return
		}
	}
}

// Latency returns the moving average of reply times; 0 if there was no reply.
func (s *Server) Latency() time.Duration {
	return time.Duration(s.latency.Load())
}

// Forget moves the average a quarter of the way to typical if there was no
// reply for a while, so that a server that was slow is tried again.
func (s *Server) Forget(typical time.Duration, now time.Time, after time.Duration) {
	if now.UnixNano()-s.lastSample.Load() < int64(after) {
		return
	}
	old := s.latency.Load()
	if old > int64(typical) {
		s.latency.CompareAndSwap(old, old-(old-int64(typical))/latencyWeight)
	}
}

// urgentReserve is the number of places above the limit of a warm server that
// only urgent requests take, so that they do not wait for others to end.
const urgentReserve = 1

// TryAcquire takes one place within the limit for a class. A call that is
// overdue holds up one slot and says nothing about the others, so up to the
// slots it does not count.
func (s *Server) TryAcquire(c Class) bool {
	limit := s.Limit.Load()
	if s.Warm() {
		limit = max(limit, min(limit+s.Overdue.Load(), s.Slots.Load()))
		if c == Urgent {
			limit += urgentReserve
		}
	}
	for {
		n := s.InFlight.Load()
		if s.OutOfService.Load() {
			return false
		}
		if n >= limit {
			s.saturated.Store(true)
			return false
		}
		if s.InFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Warm tells whether the server bears its full load.
func (s *Server) Warm() bool {
	boot := s.BootID.Load()
	return boot != 0 && boot == s.WarmBootID.Load()
}

// SetBoot notes the process that the server runs; another one is cold.
func (s *Server) SetBoot(id uint64) {
	if s.BootID.Swap(id) == id {
		return
	}
	s.Proven.Store(0)
	if id != s.WarmBootID.Load() {
		s.Limit.Store(0)
		s.latency.Store(0)
	}
}

// Owned tells whether this instance may admit to the cold server now.
func (s *Server) Owned() bool {
	until := s.OwnedUntil.Load()
	return until != 0 && Monotonic() < until
}

// Usable tells whether the server may get new work at all.
func (s *Server) Usable() bool {
	return !s.OutOfService.Load() && s.Connected.Load()
}

const (
	// queueRatio is the reply time over the floor that shows a queue.
	queueRatio = 1.5
	// freeRatio is the reply time over the floor that shows none.
	freeRatio = 1.2
	// floorGrowth lets the floor follow a server that became slower.
	floorGrowth = 1.002
)

// Adapt moves the limit of a warm server by one step between least and the
// slots: up while a full limit causes no queue on the server, down when
// replies take much longer than without one.
func (s *Server) Adapt(least int32) {
	latency := float64(s.latency.Load())
	floor := float64(s.floor.Load())
	if latency > 0 && (floor == 0 || latency < floor) {
		floor = latency
	}
	s.floor.Store(int64(floor * floorGrowth))
	saturated := s.saturated.Swap(false)
	limit := s.Limit.Load()
	switch {
	case latency > floor*queueRatio:
		limit--
	case saturated && latency < floor*freeRatio:
		limit++
	}
	s.Limit.Store(min(max(limit, least), max(s.Slots.Load(), least)))
}

var processStart = time.Now()

// Monotonic is the time since the process started, in nanoseconds. A change
// of the wall clock does not move it.
func Monotonic() int64 {
	return int64(time.Since(processStart))
}

// State describes the server in a word.
func (s *Server) State() string {
	switch {
	case s.OutOfService.Load():
		return "out-of-service"
	case !s.Connected.Load():
		return "lost"
	case s.Warm():
		return "warm"
	}
	return "cold"
}
