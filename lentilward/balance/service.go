package balance

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Service holds this instance's state of one service: its servers, its retry
// budget and the requests that wait for a slot.
type Service struct {
	Name   string
	Budget *InstanceBudget
	// servers are those in service, and those that were until recently.
	servers atomic.Pointer[[]*Server]

	// OnBreaker is called when a server is ejected, and when it gets calls again. It
	// must not block or use the server's measurements; nil does nothing.
	OnBreaker func(server *Server, ejected bool)

	mu      sync.Mutex
	waiters []*Waiter

	// versions is nil unless a version policy is set. versionMu guards what it is made of:
	// the policy, the servers in service, and those that were and have calls in flight.
	versions                 atomic.Pointer[versionView]
	versionMu                sync.Mutex
	versionPolicy            *VersionPolicy
	inService, formerServers []*Server
	turns                    tenantTurns
}

// NewService returns a service without servers.
func NewService(name string, retryBudget func() *RetryBudget) *Service {
	s := &Service{Name: name, Budget: NewInstanceBudget(retryBudget)}
	s.SetServers(nil)
	return s
}

// SetServers replaces the servers and wakes all waiters.
func (s *Service) SetServers(servers []*Server) {
	for _, server := range servers {
		server.setOnReachable(s.wakeNext, s.wakeUpTo)
		server.setOnBreaker(s.handleBreaker)
	}
	s.setServersInService(servers)
	s.wakeAll()
}

// RecordLeaving takes a server out of service that said in a reply that it is
// leaving, and wakes all waiters. It reports whether this was not known before.
func (s *Service) RecordLeaving(server *Server) bool {
	if server.leaving.Swap(true) {
		return false
	}
	server.Pool.CloseIdle()
	s.wakeAll()
	return true
}

// wakeAll wakes all waiters, since the servers that may take a call have changed.
func (s *Service) wakeAll() { s.wakeUpTo(math.MaxInt) }

// wakeUpTo wakes at most n of those that wait now.
func (s *Service) wakeUpTo(n int) {
	s.mu.Lock()
	waiting := len(s.waiters)
	s.mu.Unlock()
	for range min(n, waiting) {
		s.wakeNext()
	}
}

// Servers returns the servers. The list must not be modified.
func (s *Service) Servers() []*Server { return *s.servers.Load() }

// RemoteDataCentres returns the data centres of the servers that are not in exclude and
// may take a call, or nil if one of these is in this instance's own data centre.
func (s *Service) RemoteDataCentres(exclude []*Server, now time.Time) []string {
	var dataCentres []string
	avoidsEjected := s.avoidsEjected(nil, now)
	for _, server := range s.Servers() {
		if slices.Contains(exclude, server) || server.IsOutOfService() || server.checkBlocked(now) || avoidsEjected && server.IsEjected() {
			continue
		}
		if !server.Remote {
			return nil
		}
		if !slices.Contains(dataCentres, server.DataCentre) {
			dataCentres = append(dataCentres, server.DataCentre)
		}
	}
	return dataCentres
}

// Acquire takes a slot on the server with the lowest expected cost that is not in
// exclude, and not ejected unless no other can serve. It returns nil if none can take a
// call now.
func (s *Service) Acquire(exclude []*Server, now time.Time) *Server {
	return s.acquire(exclude, nil, now)
}

// acquire does the work of Acquire. Servers in beyond are in exclude and can't take the
// calls of ejected ones. Of a server that would be the best but has no token, it asks for one.
func (s *Service) acquire(exclude, beyond []*Server, now time.Time) *Server {
	avoidsEjected := s.avoidsEjected(beyond, now)
	for range s.Servers() {
		var best, limited *Server
		var bestCost, limitedCost float64
		for _, server := range s.Servers() {
			if slices.Contains(exclude, server) || avoidsEjected && server.getsOnlyProbes(now) {
				continue
			}
			cost, ok := server.expectedCost(now)
			switch {
			case !ok:
			case server.lacksToken():
				if !server.isDenied(now) && (limited == nil || cost < limitedCost) {
					limited, limitedCost = server, cost
				}
			case best == nil || cost < bestCost:
				best, bestCost = server, cost
			}
		}
		if limited != nil && (best == nil || limitedCost < bestCost) {
			limited.wantToken()
		}
		if best == nil {
			return s.acquireReserve(exclude, now)
		}
		if best.acquireSlot() {
			if s.isPermitted(best) {
				best.takeProbe(anyProbeDelay, now)
				return best
			}
			best.returnSlot()
		}
	}
	return nil
}

// AcquireConnected takes a slot on a server to which an idle connection is open. It
// returns nil if there is none.
func (s *Service) AcquireConnected(now time.Time) *Server {
	var unconnected []*Server
	for _, server := range s.Servers() {
		if !server.Pool.HasIdle() {
			unconnected = append(unconnected, server)
		}
	}
	return s.Acquire(unconnected, now)
}

// Cancel returns the slot of a call that was not sent and wakes the first waiter.
func (s *Service) Cancel(server *Server) {
	server.returnToken()
	s.Release(server)
}

// Release returns the slot of a call and wakes the first waiter.
func (s *Service) Release(server *Server) {
	server.inFlight.Add(-1)
	s.wakeNext()
}

// IsReachable reports whether any server may take a call now or once it has a
// free slot. It starts the due probes of the unreachable servers that come before
// the first reachable one.
func (s *Service) IsReachable(now time.Time) bool {
	for _, server := range s.Servers() {
		if !server.IsOutOfService() && !server.checkBlocked(now) {
			return true
		}
	}
	return s.isReserveReachable(now)
}

// ResumesAt returns the first time at which a server takes calls again that has asked
// for none, and false if there is no such server.
func (s *Service) ResumesAt() (at time.Time, ok bool) {
	for _, server := range s.Servers() {
		if server.IsOutOfService() {
			continue
		}
		if t, resumes := server.resumesAt(); resumes && (!ok || t.Before(at)) {
			at, ok = t, true
		}
	}
	return at, ok
}

// defaultRetryDelay is the longest delay that RetryAfter returns for an unreachable
// server, and the one it returns if no server is in service.
const defaultRetryDelay = 500 * time.Millisecond

// RetryAfter returns the time until the next server that takes no calls is tried
// again, at least minProbeBackoff.
func (s *Service) RetryAfter(now time.Time) time.Duration {
	delay := time.Duration(math.MaxInt64)
	for _, server := range s.Servers() {
		if server.IsOutOfService() {
			continue
		}
		server.mu.Lock()
		probe := min(defaultRetryDelay, max(minProbeBackoff, server.blockedUntil.Sub(now), server.probeAt.Sub(now)))
		pause := server.pausedUntil.Sub(now)
		server.mu.Unlock()
		delay = min(delay, max(probe, pause, server.deniedFor(now)))
	}
	if delay == math.MaxInt64 {
		return defaultRetryDelay
	}
	return delay
}

// Waiter is a request that waits for a slot on a server. Waiters with a smaller
// Priority go first, of these the ones that can still meet their target, and of these each
// tenant in turn.
type Waiter struct {
	Priority int
	// Tenant is the sender of the request; empty if it has none. Use is what the tenant asks
	// for over all instances as a share of its allowance; 0 if that is not known.
	Tenant string
	Use    float64
	// TargetAt is until when a reply helps to meet the target latency.
	TargetAt time.Time
	Deadline time.Time
	// Wake is called once a slot may be free. It must not block.
	Wake func()
	// addedIn is the turn in which the waiter was added.
	addedIn float64
}

// before reports whether a waiter precedes another: by priority, then by deadline.
func (w *Waiter) before(other *Waiter) bool {
	if w.Priority != other.Priority {
		return w.Priority < other.Priority
	}
	return w.Deadline.Before(other.Deadline)
}

// AddWaiter queues a waiter until it is woken or removed.
func (s *Service) AddWaiter(w *Waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.addedIn = s.turns.current
	i, _ := slices.BinarySearchFunc(s.waiters, w, func(a, b *Waiter) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	s.waiters = slices.Insert(s.waiters, i, w)
}

// RemoveWaiter removes a waiter from the queue. If it was woken meanwhile, the next
// one is woken instead.
func (s *Service) RemoveWaiter(w *Waiter) {
	s.mu.Lock()
	i := slices.Index(s.waiters, w)
	if i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
	} else {
		s.turns.giveBack(w)
	}
	s.mu.Unlock()
	if i < 0 {
		s.wakeNext()
	}
}

// nextWaiter returns the index of the waiter to wake next: of those with the highest
// priority the ones that can still meet their target, or else all, and of these the first
// whose turn it is. The caller holds mu.
func (s *Service) nextWaiter(now time.Time) int {
	best, bestMeets, bestTurn := -1, false, 0.0
	for i, w := range s.waiters {
		if w.Priority != s.waiters[0].Priority {
			break
		}
		meets, turn := w.TargetAt.After(now), s.turns.turn(w)
		if best < 0 || meets && !bestMeets || meets == bestMeets && turn < bestTurn {
			best, bestMeets, bestTurn = i, meets, turn
		}
	}
	return best
}

// wakeNext removes the next waiter from the queue and wakes it.
func (s *Service) wakeNext() {
	s.mu.Lock()
	if len(s.waiters) == 0 {
		s.turns.reset()
		s.mu.Unlock()
		return
	}
	i := s.nextWaiter(time.Now())
	w := s.waiters[i]
	s.turns.take(w)
	s.waiters = slices.Delete(s.waiters, i, i+1)
	s.mu.Unlock()
	w.Wake()
}
