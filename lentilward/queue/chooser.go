package queue

import (
	"math/rand/v2"
	"slices"
	"time"

	"lentilward.org/lentilward/blackboard"
)

const (
	// coldTrickle is the inverse of the share of choices that prefer a cold
	// server of this instance's, so that it warms while others bear the load.
	coldTrickle = 4
	// slowFactor is how many times as long as the fastest holder a server may
	// take and still get work.
	slowFactor = 4
	// doubtFactor is how many times as long as the fastest holder a server may
	// take and still get more than one call at a time: one that was slow proves
	// itself first.
	doubtFactor = 2
	// overdueFactor is how much longer than before calls are taken to last on a
	// server with one that takes longer than most: it counts as slow.
	overdueFactor = slowFactor + 1
	// unknownLatency stands for a server without replies, in nanoseconds.
	unknownLatency = 1e6
)

// TryAcquire takes a place on the best holder that has one, or returns nil.
// Servers in tried are left out.
func TryAcquire(holders, tried []*blackboard.Server, class blackboard.Class) *blackboard.Server {
	var buffer [8]*blackboard.Server
	candidates := buffer[:0]
	preferCold := rand.IntN(coldTrickle) == 0
	for _, s := range holders {
		if admits(s) && !slices.Contains(tried, s) {
			candidates = append(candidates, s)
		}
	}
	candidates = withoutSlow(candidates)
	for len(candidates) > 0 {
		i := best(candidates, preferCold)
		if candidates[i].TryAcquire(class) {
			return candidates[i]
		}
		candidates = slices.Delete(candidates, i, i+1)
	}
	return nil
}

// withoutSlow leaves out servers that take many times as long as the fastest
// one, even if that one is full: to wait for it is better than to spill over. A
// cold server is slow by nature and must get work to become warm.
func withoutSlow(candidates []*blackboard.Server) []*blackboard.Server {
	if len(candidates) < 2 {
		return candidates
	}
	fastest := expected(candidates[0])
	for _, s := range candidates {
		fastest = min(fastest, expected(s))
	}
	if fastest == 0 {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(s *blackboard.Server) bool {
		return s.Warm() && (expected(s) > slowFactor*fastest || expected(s) > doubtFactor*fastest && s.InFlight.Load() > 0)
	})
}

// Second returns the holders for a second call beside one that takes long on the
// first: the others, or the first one again if they are all many times slower
// even so. None are cold.
func Second(holders []*blackboard.Server, first *blackboard.Server) []*blackboard.Server {
	slow := slowFactor * overdueFactor * first.Latency()
	var fast []*blackboard.Server
	anyOther := false
	for _, s := range holders {
		if s == first || !s.Usable() || !s.Warm() {
			continue
		}
		anyOther = true
		if slow == 0 || expected(s) <= slow {
			fast = append(fast, s)
		}
	}
	if anyOther && len(fast) == 0 && first.Usable() && first.Warm() {
		return []*blackboard.Server{first}
	}
	return fast
}

// admits tells whether this instance decides alone about work for the server.
func admits(s *blackboard.Server) bool {
	return s.Usable() && (s.Warm() || s.Owned())
}

// best returns the index of the candidate with the shortest expected time.
func best(candidates []*blackboard.Server, preferCold bool) int {
	found := 0
	bestScore := 0.0
	for i, s := range candidates {
		score := score(s)
		if preferCold && !s.Warm() {
			score = 0
		}
		if i == 0 || score < bestScore {
			found, bestScore = i, score
		}
	}
	return found
}

// score is the time that one more request would take, with a little noise so
// that instances do not all choose the same server.
func score(s *blackboard.Server) float64 {
	latency := float64(expected(s))
	if latency == 0 {
		latency = unknownLatency
	}
	const noise = 0.1
	return float64(s.InFlight.Load()+1) * latency * (1 + noise*rand.Float64())
}

// expected is how long a call takes, as far as earlier ones and those in flight
// tell; 0 if it is not known.
func expected(s *blackboard.Server) time.Duration {
	if s.Overdue.Load() > 0 {
		return overdueFactor * s.Latency()
	}
	return s.Latency()
}

// Usable tells whether any holder not tried yet could take work, and whether a
// warm one could.
func Usable(holders, tried []*blackboard.Server) (anyUsable, anyWarm bool) {
	for _, s := range holders {
		if !s.Usable() || slices.Contains(tried, s) {
			continue
		}
		anyUsable = true
		if s.Warm() {
			anyWarm = true
		}
	}
	return anyUsable, anyWarm
}

// RandomUsable returns any holder not tried yet that could take work.
func RandomUsable(holders, tried []*blackboard.Server) *blackboard.Server {
	if len(holders) == 0 {
		return nil
	}
	first := rand.IntN(len(holders))
	for i := range holders {
		s := holders[(first+i)%len(holders)]
		if s.Usable() && !slices.Contains(tried, s) {
			return s
		}
	}
	return nil
}
