package blackboard

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"lentilward.org/schema/domain"
)

// Client calls one backend server. It returns errors of packages domain and
// context only.
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
	// RequestStatus requests a status poll ahead of the next regular one. It does
	// not wait for the result.
	RequestStatus func()

	// Slots, ColdLimit and WarmRuns are copied from the configuration.
	Slots     atomic.Int32
	ColdLimit atomic.Int32
	WarmRuns  atomic.Int32

	// InFlight counts this instance's requests in flight on the server. On the
	// owner of a cold server it includes those that hold its permits.
	InFlight atomic.Int32
	// Limit bounds InFlight.
	Limit atomic.Int32
	// Overdue counts the calls in flight that have run longer than the expected
	// upper quantile.
	Overdue atomic.Int32
	// OutOfService is set while the server gets no new work because it is
	// withdrawn, draining or removed.
	OutOfService atomic.Bool
	// Connected is set while the connection is up.
	Connected atomic.Bool
	// BootID identifies the server process that last reported; 0 while it is
	// unknown.
	BootID atomic.Uint64
	// WarmBootID identifies the server process that has been found able to serve
	// its full load.
	WarmBootID atomic.Uint64
	// WarmUpReplies counts the successful replies of a cold process.
	WarmUpReplies atomic.Int32
	// OwnedUntil is when this instance's ownership of the cold server expires,
	// as a Monotonic time; 0 if this instance does not own it.
	OwnedUntil atomic.Int64

	latency atomic.Int64
	// baseLatency estimates what latency would be without queueing on the server.
	// Both are in nanoseconds.
	baseLatency atomic.Int64
	// saturated is set when the limit held back a request, and cleared by
	// AdaptLimit.
	saturated atomic.Bool
	// lastSample is when latency was last updated, as Unix time in nanoseconds.
	lastSample atomic.Int64
}

const (
	// latencyDivisor is the inverse of a new sample's weight in the moving
	// average.
	latencyDivisor = 4
	// abortedLatencyFactor estimates the full reply time of an aborted call: at
	// least this multiple of the time until it was aborted.
	abortedLatencyFactor = 2
)

// Observe adds a reply time to the moving average.
func (s *Server) Observe(d time.Duration, now time.Time) {
	s.updateLatency(now, func(old int64) int64 {
		if old == 0 {
			return int64(d)
		}
		return old + (int64(d)-old)/latencyDivisor
	})
}

// ObserveAborted raises the moving average to at least abortedLatencyFactor times
// the duration of an aborted call. If all calls to a slow server are aborted
// because their hedges reply first, these are the only samples of its latency.
func (s *Server) ObserveAborted(d time.Duration, now time.Time) {
	s.updateLatency(now, func(old int64) int64 { return max(old, abortedLatencyFactor*int64(d)) })
}

func (s *Server) updateLatency(now time.Time, next func(old int64) int64) {
	s.lastSample.Store(now.UnixNano())
	for {
		old := s.latency.Load()
		if s.latency.CompareAndSwap(old, next(old)) {
			return
		}
	}
}

// Latency returns the moving average of reply times; 0 if there is no sample.
func (s *Server) Latency() time.Duration {
	return time.Duration(s.latency.Load())
}

// DecayLatency lowers the moving average a quarter of the way to the median if
// there was no sample for maxAge, so that a server that was slow is tried again.
func (s *Server) DecayLatency(median time.Duration, now time.Time, maxAge time.Duration) {
	if now.UnixNano()-s.lastSample.Load() < int64(maxAge) {
		return
	}
	old := s.latency.Load()
	if old > int64(median) {
		s.latency.CompareAndSwap(old, old-(old-int64(median))/latencyDivisor)
	}
}

// urgentReserveSlots is the number of slots above the limit of a warm server that
// only urgent requests may take, so that they do not wait for others to end.
const urgentReserveSlots = 1

// TryAcquire takes one slot within the limit for a class and reports whether it
// did. An overdue call blocks one slot but says nothing about the speed of the
// others, so each overdue call raises the limit of a warm server by one, up to
// Slots.
func (s *Server) TryAcquire(c Class) bool {
	limit := s.Limit.Load()
	if s.Warm() {
		limit = max(limit, min(limit+s.Overdue.Load(), s.Slots.Load()))
		if c == Urgent {
			limit += urgentReserveSlots
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

// Warm reports whether the current process of the server can serve its full load.
func (s *Server) Warm() bool {
	boot := s.BootID.Load()
	return boot != 0 && boot == s.WarmBootID.Load()
}

// SetBootID records the boot id of the server's current process; 0 if it is
// unknown. A process other than the one in WarmBootID is cold.
func (s *Server) SetBootID(id uint64) {
	if s.BootID.Swap(id) == id {
		return
	}
	s.WarmUpReplies.Store(0)
	if id != s.WarmBootID.Load() {
		s.Limit.Store(0)
		s.latency.Store(0)
	}
}

// OwnedLocally reports whether this instance currently owns the cold server and
// so may admit requests to it.
func (s *Server) OwnedLocally() bool {
	until := s.OwnedUntil.Load()
	return until != 0 && Monotonic() < until
}

// Usable reports whether the server is connected and in service.
func (s *Server) Usable() bool {
	return !s.OutOfService.Load() && s.Connected.Load()
}

const (
	// queuedLatencyRatio is the ratio of latency to baseLatency above which
	// requests are taken to queue on the server.
	queuedLatencyRatio = 1.5
	// unqueuedLatencyRatio is the ratio below which requests are taken not to
	// queue.
	unqueuedLatencyRatio = 1.2
	// baseLatencyGrowth raises baseLatency with each step, so that it follows a
	// server that became slower.
	baseLatencyGrowth = 1.002
)

// AdaptLimit moves the limit of a warm server by one step between minLimit and
// Slots: up if the limit was reached and requests do not queue on the server, down
// if replies take much longer than without a queue.
func (s *Server) AdaptLimit(minLimit int32) {
	latency := float64(s.latency.Load())
	base := float64(s.baseLatency.Load())
	if latency > 0 && (base == 0 || latency < base) {
		base = latency
	}
	s.baseLatency.Store(int64(base * baseLatencyGrowth))
	saturated := s.saturated.Swap(false)
	limit := s.Limit.Load()
	switch {
	case latency > base*queuedLatencyRatio:
		limit--
	case saturated && latency < base*unqueuedLatencyRatio:
		limit++
	}
	s.Limit.Store(min(max(limit, minLimit), max(s.Slots.Load(), minLimit)))
}

var processStart = time.Now()

// Monotonic returns the time since the process started, in nanoseconds. Changes
// of the wall clock do not affect it.
func Monotonic() int64 {
	return int64(time.Since(processStart))
}

// State returns the state shown in the status: out-of-service, lost, warm or cold.
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
