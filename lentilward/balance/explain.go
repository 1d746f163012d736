package balance

import (
	"cmp"
	"slices"
	"time"

	"lentilward.org/schema/domain"
)

// ServerView shows how a server stands in the choice for a first call.
type ServerView struct {
	ID         string `json:"id"`
	DataCentre string `json:"data-centre"`
	// Version is set where a version policy applies.
	Version string   `json:"version,omitempty"`
	States  []string `json:"states"`
	// Usable is set if the server can be chosen now. Cost is its expected cost without the
	// random part, and 0 if it can take no call.
	Usable   bool    `json:"usable"`
	Cost     float64 `json:"expected-cost,omitempty"`
	InFlight int32   `json:"in-flight"`
	Limit    int32   `json:"limit"`
	// Share is the share of its usual calls that a paced server gets.
	Share float64 `json:"share,omitempty"`
	// NamedLimit is the limit of requests a second that the server names for all instances
	// together.
	NamedLimit float64 `json:"named-limit,omitempty"`

	blocked bool
	rank    int
}

// Ranks of servers in the order of choice. A paced server that gets less than half of its
// calls is more often left to the end than not.
const (
	rankPreferred = iota
	rankDeferred
	rankReserve
	rankTrial
	rankUnusable
)

// Explain returns the servers in the order in which Acquire would most probably choose
// them, and whether any is reachable. It takes no slot, permit or probe, starts no probe
// and ejects no server.
func (s *Service) Explain(now time.Time) (views []ServerView, reachable bool) {
	s.versionMu.Lock()
	preferred, inService, view := s.Servers(), s.inService, s.versions.Load()
	s.versionMu.Unlock()
	views = viewServers(preferred, now)
	isReachable := func(v ServerView) bool { return !v.blocked }
	reachable = slices.ContainsFunc(views, isReachable)
	if view != nil {
		if view.reserve != nil {
			reserve := viewServers(view.reserve.Servers(), now)
			for i := range reserve {
				reserve[i].demote("reserve-version", rankReserve, !view.policy.OthersIfUnreachable || !reachable)
			}
			reachable = reachable || slices.ContainsFunc(reserve, isReachable)
			views = append(views, reserve...)
		}
		if view.trial != nil {
			trial := viewServers(view.trial.Servers(), now)
			for i := range trial {
				trial[i].demote("needs-permit", rankTrial, true)
			}
			views = append(views, trial...)
		}
		for _, server := range inService {
			if !slices.ContainsFunc(views, func(v ServerView) bool { return v.ID == server.ID }) {
				v := server.view(now)
				v.demote("version-gets-no-calls", rankUnusable, false)
				views = append(views, v)
			}
		}
	} else {
		for i := range views {
			views[i].Version = ""
		}
	}
	slices.SortStableFunc(views, func(a, b ServerView) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.ID, b.ID))
	})
	return views, reachable
}

// demote adds a state and gives the server a later rank.
func (v *ServerView) demote(state string, rank int, usable bool) {
	v.States = append(slices.DeleteFunc(v.States, func(s string) bool { return s == "in-service" }), state)
	v.Usable = v.Usable && usable
	v.rank = max(v.rank, rank)
	if !v.Usable {
		v.rank, v.Cost = rankUnusable, 0
	}
}

// viewServers returns the views of servers of which one is chosen. Ejected ones are
// unusable where avoidsEjected would say so.
func viewServers(servers []*Server, now time.Time) []ServerView {
	views := make([]ServerView, len(servers))
	breakers := make([]breaker, len(servers))
	var others []breaker
	serving := false
	for i, server := range servers {
		views[i] = server.view(now)
		server.mu.Lock()
		breakers[i] = server.breaker
		server.mu.Unlock()
		if b := breakers[i]; !b.isSuspect() && !views[i].blocked {
			others = append(others, b)
			calls, failures := b.since(now.Add(-resultAge))
			serving = serving || float64(failures) <= maxOtherFailures*float64(calls)
		}
	}
	for i := range views {
		// b is a copy, so that tryEject ejects nothing.
		if b := breakers[i]; b.ejected || serving && b.tryEject(others, now) {
			views[i].demote("ejected", 0, !serving || b.isProbeDue(anyProbeDelay, now))
		}
	}
	return views
}

// view returns the view of a server as expectedCost sees it.
func (s *Server) view(now time.Time) ServerView {
	v := ServerView{
		ID: s.ID, DataCentre: s.DataCentre, Version: s.Version, InFlight: s.inFlight.Load(), Limit: s.Pool.Limit.Load(),
	}
	s.mu.Lock()
	measured := Server{relativeLatency: s.relativeLatency, failureRate: s.failureRate, lastSample: s.lastSample}
	overloaded := now.Before(s.overloadedUntil)
	unreachable, wrong, paused := s.consecutiveFailures > 0, now.Before(s.blockedUntil), now.Before(s.pausedUntil)
	s.mu.Unlock()
	measured.decayMeasurements(now)
	v.blocked = s.IsOutOfService() || unreachable || wrong || paused
	full, reset := v.InFlight >= v.Limit, !s.Pool.CanConnect(now)
	p, noToken := s.pace.Load(), s.lacksToken()
	if limit := s.limit.Load(); limit != nil {
		v.NamedLimit = limit.Rate
	}
	for _, state := range []struct {
		name string
		set  bool
	}{
		{"leaving", s.leaving.Load()},
		{"out-of-service", s.outOfService.Load()},
		{"unreachable", unreachable},
		{"wrong-server", wrong},
		{"paused", paused},
		{"no-connection-allowed", v.Limit <= 0},
		{"all-slots-used", v.Limit > 0 && full},
		{"resets-connections", reset},
		{"overloaded", overloaded},
		{"overdue-calls", s.HasOverdueCall()},
		{"paced", p != nil},
		{"cold", s.IsCold(now)},
		{"at-named-limit", noToken},
	} {
		if state.set {
			v.States = append(v.States, state.name)
		}
	}
	if len(v.States) == 0 {
		v.States = []string{"in-service"}
	}
	if p != nil {
		v.Share = p.Peek(now)
		if v.Share < 0.5 {
			v.rank = rankDeferred
		}
	}
	v.Usable = !v.blocked && !full && !reset && !noToken
	if !v.Usable {
		v.rank = rankUnusable
		return v
	}
	v.Cost = s.weightedCost(measured.relativeLatency, measured.failureRate, overloaded, now)
	return v
}

// weightedCost returns the expected cost without its random parts.
func (s *Server) weightedCost(relativeLatency, failureRate float64, overloaded bool, now time.Time) float64 {
	cost := relativeLatency * (1 + inFlightWeight*float64(s.inFlight.Load())) * (1 + failureWeight*failureRate)
	if s.Remote {
		cost *= remoteWeight
	}
	if s.overdueCalls.Load() > 0 {
		cost *= overdueWeight
	}
	if overloaded {
		cost *= overloadWeight
	}
	if s.IsCold(now) {
		cost *= coldWeight
	}
	return cost
}

// Next returns the service that Pick would return, and leaves the split as it is.
func (r *Route) Next(split []domain.WeightedService) string {
	r.mu.Lock()
	c := Route{deficits: slices.Clone(r.deficits)}
	r.mu.Unlock()
	return c.Pick(split)
}

// ViewOutOfService returns the view, without states, of a server that must get no calls.
func (s *Server) ViewOutOfService() ServerView {
	return ServerView{ID: s.ID, DataCentre: s.DataCentre, InFlight: s.InFlight(), Limit: s.Pool.Limit.Load()}
}
