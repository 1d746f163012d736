package fleet

import (
	"time"

	"lentilward.org/lentilward/blackboard"
)

const (
	// initialHedgeDelay is used until there are minHedgeSamples replies.
	initialHedgeDelay = 100 * time.Millisecond
	// minHedgeDelay avoids hedges that ordinary jitter would cause.
	minHedgeDelay = 2 * time.Millisecond
	// hedgeQuantile is the share of attempts that should end before they are
	// hedged.
	hedgeQuantile = 0.97
	// minHedgeFactor and maxHedgeFactor bound the hedge delay as multiples of the
	// median reply time, so that the replies of a slow server do not delay the
	// hedges of calls to it.
	minHedgeFactor = 2.0
	maxHedgeFactor = 3.0
	// minHedgeSamples is the minimum number of replies from which the hedge
	// delay is computed.
	minHedgeSamples = 50
	// maxHistogramSamples is the number of replies above which the histogram's
	// counts are halved.
	maxHistogramSamples = 2000
	// latencyTTL is how long a server's latency is kept unchanged without new
	// samples before it decays.
	latencyTTL = 2 * time.Second
	// ticksPerLimitStep is the number of tune periods between two steps of a
	// limit.
	ticksPerLimitStep = 2
	// defaultWarmRuns is the number of successful replies after which a cold
	// server counts as warm, if its configuration gives none.
	defaultWarmRuns = 30
	// takeoverDelay is how long a new owner of cold servers waits before it
	// admits requests, so that those admitted by the previous owner have ended.
	takeoverDelay = 3 * time.Second
	// ownershipTTL is how long ownership lasts without renewal. It must expire
	// well before another instance takes over.
	ownershipTTL = 500 * time.Millisecond
)

// tune adjusts hedge delays, limits and ownership of cold servers.
func (f *Fleet) tune(now time.Time) {
	f.ticks++
	members := f.board.Members.Load()
	for _, r := range f.board.Routes.Load().Services {
		tuneHedgeDelay(r.State)
		for _, s := range r.Servers {
			s.DecayLatency(time.Duration(r.State.MedianLatency.Load()), now, latencyTTL)
			f.tuneLimit(s, members, now)
		}
	}
}

func tuneHedgeDelay(s *blackboard.ServiceState) {
	q, n := s.Latencies.Quantiles(0.5, hedgeQuantile)
	if n < minHedgeSamples {
		return
	}
	s.MedianLatency.Store(int64(q[0]))
	median := float64(q[0])
	delay := min(max(float64(q[1]), minHedgeFactor*median), maxHedgeFactor*median)
	s.HedgeDelay.Store(int64(max(time.Duration(delay), minHedgeDelay)))
	if n > maxHistogramSamples {
		s.Latencies.Decay()
	}
}

// tuneLimit sets the limit of one server. A warm server gets its slots, or fewer
// while requests queue on it, but never less than this instance's share of them. A
// cold server gets its cold limit if this instance owns it, and 0 otherwise.
func (f *Fleet) tuneLimit(s *blackboard.Server, members *blackboard.Members, now time.Time) {
	if !s.Warm() {
		delete(f.limitRaised, s)
		f.tuneColdServer(s, members, now)
		return
	}
	activeMembers := int32(max(1, members.ActiveCount()))
	minLimit := (s.Slots.Load() + activeMembers - 1) / activeMembers
	if s.Limit.Load() < minLimit || !f.limitRaised[s] {
		f.limitRaised[s] = true
		s.Limit.Store(max(minLimit, s.Slots.Load()))
		f.Wake(s)
	}
	if f.ticks%ticksPerLimitStep == 0 {
		s.AdaptLimit(minLimit)
	}
}

// tuneColdServer renews or ends this instance's ownership of a cold server, sets
// its limit, and marks it as warm after enough successful replies.
func (f *Fleet) tuneColdServer(s *blackboard.Server, members *blackboard.Members, now time.Time) {
	owner, found := members.Owner(s.Address.String())
	owns := found && owner.Name == members.Self && members.HasMajority &&
		now.Sub(members.MajoritySince) > takeoverDelay && now.Sub(members.LastChange) > takeoverDelay
	bootID := s.BootID.Load()
	if !owns || bootID == 0 {
		s.OwnedUntil.Store(0)
		s.Limit.Store(0)
		return
	}
	s.OwnedUntil.Store(blackboard.Monotonic() + int64(ownershipTTL))
	neededRuns := s.WarmRuns.Load()
	if neededRuns == 0 {
		neededRuns = defaultWarmRuns
	}
	if s.WarmUpReplies.Load() >= neededRuns {
		s.WarmBootID.Store(bootID)
		f.log.Info("backend server is warm", "service", s.Service, "address", s.Address)
	}
	if s.Limit.Swap(s.ColdLimit.Load()) != s.ColdLimit.Load() {
		f.Wake(s)
	}
}
