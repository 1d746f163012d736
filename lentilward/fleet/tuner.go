package fleet

import (
	"time"

	"lentilward.org/lentilward/blackboard"
)

const (
	// firstHedgeDelay is used until enough replies were seen.
	firstHedgeDelay = 100 * time.Millisecond
	// leastHedgeDelay keeps hedges away from ordinary jitter.
	leastHedgeDelay = 2 * time.Millisecond
	// hedgeQuantile is the share of attempts that end before the hedge.
	hedgeQuantile = 0.97
	// The hedge delay stays between these multiples of the median, so that a
	// slow server among the holders does not put off its own hedges.
	leastHedgeFactor   = 2.0
	largestHedgeFactor = 3.0
	// hedgeSamples is the number of replies that a quantile needs.
	hedgeSamples = 50
	// decaySamples is the number of replies at which the histogram is halved.
	decaySamples = 2000
	// forgetAfter is how long a server's latency counts without replies.
	forgetAfter = 2 * time.Second
	// adaptTicks is the number of tunings between two steps of a limit.
	adaptTicks = 2
	// defaultWarmRuns is the number of replies that prove a server warm, where
	// its configuration names none.
	defaultWarmRuns = 30
	// takeoverDelay is how long a new owner of cold servers waits, so that
	// what the old one admitted has ended.
	takeoverDelay = 3 * time.Second
	// ownership is how long an ownership holds without renewal. It ends well
	// before another instance takes over.
	ownership = 500 * time.Millisecond
)

// tune adjusts delays, limits and ownership.
func (f *Fleet) tune(now time.Time) {
	f.ticks++
	members := f.board.Members.Load()
	for _, r := range f.board.Routes.Load().Services {
		tuneService(r.State)
		for _, s := range r.Servers {
			s.DecayLatency(time.Duration(r.State.Typical.Load()), now, forgetAfter)
			f.tuneServer(s, members, now)
		}
	}
}

func tuneService(s *blackboard.ServiceState) {
	q, n := s.Latencies.Quantiles(0.5, hedgeQuantile)
	if n < hedgeSamples {
		return
	}
	s.Typical.Store(int64(q[0]))
	median := float64(q[0])
	delay := min(max(float64(q[1]), leastHedgeFactor*median), largestHedgeFactor*median)
	s.HedgeDelay.Store(int64(max(time.Duration(delay), leastHedgeDelay)))
	if n > decaySamples {
		s.Latencies.Decay()
	}
}

// tuneServer sets the limit of one server: its slots once it is warm, fewer
// while that makes a queue on it, but never less than this instance's share; the
// cold limit if this instance owns it, none otherwise.
func (f *Fleet) tuneServer(s *blackboard.Server, members *blackboard.Members, now time.Time) {
	if !s.Warm() {
		delete(f.warm, s)
		f.tuneCold(s, members, now)
		return
	}
	live := int32(max(1, members.Live()))
	least := (s.Slots.Load() + live - 1) / live
	if s.Limit.Load() < least || !f.warm[s] {
		f.warm[s] = true
		s.Limit.Store(max(least, s.Slots.Load()))
		f.Wake(s)
	}
	if f.ticks%adaptTicks == 0 {
		s.AdaptLimit(least)
	}
}

// tuneCold renews or ends ownership and grows the limit with proven replies.
func (f *Fleet) tuneCold(s *blackboard.Server, members *blackboard.Members, now time.Time) {
	owner, found := members.Owner(s.Address.String())
	owns := found && owner.Name == members.Self && members.HasMajority &&
		now.Sub(members.MajoritySince) > takeoverDelay && now.Sub(members.LastChange) > takeoverDelay
	boot := s.BootID.Load()
	if !owns || boot == 0 {
		s.OwnedUntil.Store(0)
		s.Limit.Store(0)
		return
	}
	s.OwnedUntil.Store(blackboard.Monotonic() + int64(ownership))
	needed := s.WarmRuns.Load()
	if needed == 0 {
		needed = defaultWarmRuns
	}
	if s.Proven.Load() >= needed {
		s.WarmBootID.Store(boot)
		f.log.Info("backend server is warm", "service", s.Service, "address", s.Address)
	}
	if s.Limit.Swap(s.ColdLimit.Load()) != s.ColdLimit.Load() {
		f.Wake(s)
	}
}
