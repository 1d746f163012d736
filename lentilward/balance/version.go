package balance

import (
	"slices"
	"time"
)

// VersionPolicy decides which versions of a service's servers get calls. Without a
// policy all versions do.
type VersionPolicy struct {
	// Prefer is the version that gets calls; "" stands for all that are neither Trial nor
	// Excluded. While no server of it is in service, all but Excluded get calls, Trial
	// last.
	Prefer string
	// Reserve gets the calls that no server of Prefer can take; "" stands for none.
	Reserve string
	// Trial gets a first call for each permit that TakePermit returns; "" stands for none.
	Trial string
	// Excluded gets no calls in any case.
	Excluded string
	// OthersIfUnreachable permits versions that are neither Trial nor Excluded while no server
	// of Prefer that is in service is reachable.
	OthersIfUnreachable bool
	TakePermit          func(route string, now time.Time) bool
	// AskPermit asks for a permit for a first call and reports whether to wait PermitWait
	// for it before TakePermit is called.
	AskPermit func(now time.Time) bool
	// OnResult is called with the result of each call; nil if results are not needed.
	OnResult func(VersionResult)
}

// VersionResult is the result of one call of a server.
type VersionResult struct {
	Route, Version string
	// Extra is set for hedges and retries.
	Extra   bool
	Elapsed time.Duration
	Outcome VersionOutcome
}

// VersionOutcome classifies the result of a call by what it says about the version.
type VersionOutcome uint8

// The outcomes. Abandoned calls had no reply when their caller left; Refused calls have
// reached a server that did not run them.
const (
	Replied VersionOutcome = iota
	Failed
	Refused
	Abandoned
)

// PermitWait is how long a first call waits for a permit that was asked for: a round trip
// takes 0.4 ms within a data centre and 1.8 ms between data centres.
const PermitWait = 2500 * time.Microsecond

// versionView is a version policy with the servers to which it applies.
type versionView struct {
	policy *VersionPolicy
	// trial and reserve choose among the servers of these versions; nil if there are none.
	trial, reserve *Service
}

// SetVersionPolicy replaces the version policy; nil permits all versions. Once it has
// returned, calls that start follow the new policy, and InFlightExcept counts all others.
func (s *Service) SetVersionPolicy(p *VersionPolicy) {
	s.versionMu.Lock()
	s.versionPolicy = p
	s.applyVersionPolicy()
	s.versionMu.Unlock()
	s.wakeAll()
}

// setServersInService stores the servers that are in service, less those that the version
// policy excludes.
func (s *Service) setServersInService(servers []*Server) {
	s.versionMu.Lock()
	defer s.versionMu.Unlock()
	for _, old := range s.inService {
		if s.versionPolicy != nil && !slices.Contains(servers, old) && !slices.Contains(s.formerServers, old) {
			s.formerServers = append(s.formerServers, old)
		}
	}
	s.formerServers = slices.DeleteFunc(s.formerServers, func(old *Server) bool {
		return old.InFlight() == 0 || slices.Contains(servers, old)
	})
	s.inService = servers
	s.applyVersionPolicy()
}

// applyVersionPolicy divides the servers in service by version. The caller holds
// versionMu.
func (s *Service) applyVersionPolicy() {
	p := s.versionPolicy
	if p == nil {
		servers := s.inService
		s.versions.Store(nil)
		s.servers.Store(&servers)
		return
	}
	var preferred, others, trial, reserve []*Server
	for _, server := range s.inService {
		v := server.Version
		switch {
		case v == p.Excluded && p.Excluded != "":
			continue
		case v == p.Trial && p.Trial != "":
			trial = append(trial, server)
		case v == p.Prefer || p.Prefer == "":
			preferred = append(preferred, server)
		case v == p.Reserve:
			reserve = append(reserve, server)
			others = append(others, server)
		default:
			others = append(others, server)
		}
	}
	if len(preferred) == 0 {
		preferred = others
	}
	if len(preferred) == 0 {
		preferred, trial = trial, nil
	}
	view := &versionView{policy: p}
	if p.OthersIfUnreachable {
		reserve = others
	}
	if len(trial) > 0 {
		view.trial = s.among(trial)
	}
	if len(reserve) > 0 {
		view.reserve = s.among(reserve)
	}
	// The servers are stored first: a call that finds the new view finds these too.
	s.servers.Store(&preferred)
	s.versions.Store(view)
}

// among returns a service that only chooses among some of the servers.
func (s *Service) among(servers []*Server) *Service {
	part := &Service{Name: s.Name, Budget: s.Budget}
	part.servers.Store(&servers)
	return part
}

// AwaitsPermit reports whether a first call should wait PermitWait before AcquireFirst. It
// is called once for each.
func (s *Service) AwaitsPermit(now time.Time) bool {
	view := s.versions.Load()
	return view != nil && view.trial != nil && view.policy.AskPermit != nil && view.policy.AskPermit(now)
}

// AcquireFirst takes a slot for the first call of a request on a route. Only such a call
// may go to a version on trial.
func (s *Service) AcquireFirst(route string, now time.Time) *Server {
	if server := s.AcquireTrial(route, now); server != nil {
		return server
	}
	return s.Acquire(nil, now)
}

// AcquireTrial takes a slot on a server of the version on trial, if there is a permit for
// the first call of a request on a route.
func (s *Service) AcquireTrial(route string, now time.Time) *Server {
	view := s.versions.Load()
	if view == nil || view.trial == nil {
		return nil
	}
	server := view.trial.Acquire(nil, now)
	if server != nil && s.versions.Load() == view && view.policy.TakePermit(route, now) {
		return server
	}
	if server != nil {
		server.returnSlot()
	}
	return nil
}

// acquireReserve takes a slot on a server of the version in reserve.
func (s *Service) acquireReserve(exclude []*Server, now time.Time) *Server {
	view := s.versions.Load()
	if view == nil || view.reserve == nil || view.policy.OthersIfUnreachable && s.isAnyReachable(now) {
		return nil
	}
	server := view.reserve.Acquire(exclude, now)
	if server != nil && s.versions.Load() != view {
		s.Cancel(server)
		return nil
	}
	return server
}

// isAnyReachable reports whether any server that calls go to otherwise is reachable.
func (s *Service) isAnyReachable(now time.Time) bool {
	return slices.ContainsFunc(s.Servers(), func(server *Server) bool { return !server.IsOutOfService() && !server.checkBlocked(now) })
}

// isReserveReachable reports whether a server of the version in reserve is reachable.
func (s *Service) isReserveReachable(now time.Time) bool {
	view := s.versions.Load()
	return view != nil && view.reserve != nil && view.reserve.IsReachable(now)
}

// isPermitted reports whether the version policy still permits a server whose slot was
// just taken. The policy may have changed since the server was chosen.
func (s *Service) isPermitted(server *Server) bool {
	return s.versions.Load() == nil || slices.Contains(s.Servers(), server)
}

// RecordVersion passes the result of a call to the version policy.
func (s *Service) RecordVersion(server *Server, r VersionResult) {
	if view := s.versions.Load(); view != nil && view.policy.OnResult != nil {
		r.Version = server.Version
		view.policy.OnResult(r)
	}
}

// ObservesVersions reports whether RecordVersion has to be called.
func (s *Service) ObservesVersions() bool {
	view := s.versions.Load()
	return view != nil && view.policy.OnResult != nil
}

// InFlightExcept returns the number of calls in flight to servers of other versions,
// those included that were in service before.
func (s *Service) InFlightExcept(version string) int {
	s.versionMu.Lock()
	defer s.versionMu.Unlock()
	n := 0
	for _, servers := range [][]*Server{s.inService, s.formerServers} {
		for _, server := range servers {
			if server.Version != version {
				n += int(server.InFlight())
			}
		}
	}
	return n
}
