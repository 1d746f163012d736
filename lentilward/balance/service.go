package balance

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Service is what this instance knows of one service.
type Service struct {
	Name   string
	Budget *Budget
	// servers are those that may get work, or had it lately.
	servers atomic.Pointer[[]*Server]

	mu      sync.Mutex
	waiters []*Waiter
}

// NewService returns a service without servers.
func NewService(name string, allowance func() *Allowance) *Service {
	s := &Service{Name: name, Budget: NewBudget(allowance)}
	s.SetServers(nil)
	return s
}

// SetServers replaces the servers and wakes those that wait for one.
func (s *Service) SetServers(servers []*Server) {
	for _, x := range servers {
		x.onReached(s.wake)
	}
	s.servers.Store(&servers)
	s.mu.Lock()
	waiting := len(s.waiters)
	s.mu.Unlock()
	for range waiting {
		s.wake()
	}
}

// Servers returns the servers. The list must not be modified.
func (s *Service) Servers() []*Server { return *s.servers.Load() }

// Far returns the data centres of the servers that may take a call, or nothing
// if one of them is in this instance's own.
func (s *Service) Far(now time.Time) []string {
	var dataCentres []string
	for _, x := range s.Servers() {
		if x.Out() || x.blocked(now) {
			continue
		}
		if !x.Remote {
			return nil
		}
		if !slices.Contains(dataCentres, x.DataCentre) {
			dataCentres = append(dataCentres, x.DataCentre)
		}
	}
	return dataCentres
}

// Acquire takes a place on the server with the least expected cost, those of
// avoid left out. It returns nil if none can take a call now.
func (s *Service) Acquire(avoid []*Server, now time.Time) *Server {
	for range s.Servers() {
		var best *Server
		var bestCost float64
		for _, x := range s.Servers() {
			if slices.Contains(avoid, x) {
				continue
			}
			if cost, ok := x.cost(now); ok && (best == nil || cost < bestCost) {
				best, bestCost = x, cost
			}
		}
		if best == nil {
			return nil
		}
		if best.acquire() {
			return best
		}
	}
	return nil
}

// Release gives back the place of a call and wakes a request that waits.
func (s *Service) Release(x *Server) {
	x.inFlight.Add(-1)
	s.wake()
}

// Reachable tells whether a server may take a call now or once it has room.
// Lost servers that it looks at are probed.
func (s *Service) Reachable(now time.Time) bool {
	for _, x := range s.Servers() {
		if !x.Out() && !x.blocked(now) {
			return true
		}
	}
	return false
}

// unknownRetry is when to come back if nothing tells when a server may be up.
const unknownRetry = 500 * time.Millisecond

// RetryIn returns how long it takes until a server that could not be reached
// is tried again.
func (s *Service) RetryIn(now time.Time) time.Duration {
	least := unknownRetry
	for _, x := range s.Servers() {
		if x.Out() {
			continue
		}
		x.mu.Lock()
		least = min(least, max(leastBlock, x.blockedUntil.Sub(now), x.probeAt.Sub(now)))
		x.mu.Unlock()
	}
	return least
}

// Waiter is a request that waits for room on a server.
type Waiter struct {
	Rank     int
	Deadline time.Time
	// Wake is called once there may be room. It must not block.
	Wake func()
}

// before tells whether a waiter goes before another: by rank, then by deadline.
func (w *Waiter) before(other *Waiter) bool {
	if w.Rank != other.Rank {
		return w.Rank < other.Rank
	}
	return w.Deadline.Before(other.Deadline)
}

// Wait enters a waiter. It stays until it is woken or leaves.
func (s *Service) Wait(w *Waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, _ := slices.BinarySearchFunc(s.waiters, w, func(a, b *Waiter) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	s.waiters = slices.Insert(s.waiters, i, w)
}

// Leave takes a waiter out. If it was woken meanwhile the next one is woken in
// its place.
func (s *Service) Leave(w *Waiter) {
	s.mu.Lock()
	i := slices.Index(s.waiters, w)
	if i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
	}
	s.mu.Unlock()
	if i < 0 {
		s.wake()
	}
}

// wake tells the first waiter that there may be room.
func (s *Service) wake() {
	s.mu.Lock()
	if len(s.waiters) == 0 {
		s.mu.Unlock()
		return
	}
	w := s.waiters[0]
	s.waiters = slices.Delete(s.waiters, 0, 1)
	s.mu.Unlock()
	w.Wake()
}
