package queue

import (
	"math/rand/v2"
	"slices"
	"time"

	"lentilward.org/lentilward/blackboard"
)

const (
	// coldPreferenceDivisor is the inverse of the share of choices that prefer
	// a cold server owned by this instance, so that it warms up while other
	// servers carry the load.
	coldPreferenceDivisor = 4
	// slowFactor is the multiple of the fastest holder's expected latency above
	// which a warm server gets no work.
	slowFactor = 4
	// singleCallFactor is the multiple of the fastest holder's expected latency
	// above which a warm server gets only one call at a time, so that a server
	// that was slow gets more work only after it has become fast again.
	singleCallFactor = 2
	// overdueFactor multiplies the expected latency of a server with an overdue
	// call. It exceeds slowFactor, so such a server counts as slow.
	overdueFactor = slowFactor + 1
	// unknownLatencyNanos is the latency assumed for a server that has not
	// replied yet.
	unknownLatencyNanos = 1e6
)

// TryAcquire acquires a slot on the best holder with a free one and returns
// that server, or nil if there is none. Servers in tried are left out.
func TryAcquire(holders, tried []*blackboard.Server, class blackboard.Class) *blackboard.Server {
	var buffer [8]*blackboard.Server
	candidates := buffer[:0]
	preferCold := rand.IntN(coldPreferenceDivisor) == 0
	for _, s := range holders {
		if canAdmitAlone(s) && !slices.Contains(tried, s) {
			candidates = append(candidates, s)
		}
	}
	candidates = excludeSlow(candidates)
	for len(candidates) > 0 {
		i := bestCandidate(candidates, preferCold)
		if candidates[i].TryAcquire(class) {
			return candidates[i]
		}
		candidates = slices.Delete(candidates, i, i+1)
	}
	return nil
}

// excludeSlow removes servers whose expected latency is many times that of the
// fastest one. It does so even if the fastest has no free slot: waiting for it
// is better than spilling over to a slow server. Cold servers stay, since they
// are slow at first and must get work to become warm.
func excludeSlow(candidates []*blackboard.Server) []*blackboard.Server {
	if len(candidates) < 2 {
		return candidates
	}
	fastest := expectedLatency(candidates[0])
	for _, s := range candidates {
		fastest = min(fastest, expectedLatency(s))
	}
	if fastest == 0 {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(s *blackboard.Server) bool {
		return s.Warm() && (expectedLatency(s) > slowFactor*fastest || expectedLatency(s) > singleCallFactor*fastest && s.InFlight.Load() > 0)
	})
}

// HedgeHolders returns the holders that can run a hedge of a call in flight on
// first: the other usable warm holders whose expected latency is at most
// slowFactor times that of first with an overdue call. If there are others but all
// are slower than that, it returns first again, provided that first is usable and
// warm.
func HedgeHolders(holders []*blackboard.Server, first *blackboard.Server) []*blackboard.Server {
	maxLatency := slowFactor * overdueFactor * first.Latency()
	var fast []*blackboard.Server
	hasOther := false
	for _, s := range holders {
		if s == first || !s.Usable() || !s.Warm() {
			continue
		}
		hasOther = true
		if maxLatency == 0 || expectedLatency(s) <= maxLatency {
			fast = append(fast, s)
		}
	}
	if hasOther && len(fast) == 0 && first.Usable() && first.Warm() {
		return []*blackboard.Server{first}
	}
	return fast
}

// canAdmitAlone reports whether this instance may send work to the server
// without a permit from another instance.
func canAdmitAlone(s *blackboard.Server) bool {
	return s.Usable() && (s.Warm() || s.OwnedLocally())
}

// bestCandidate returns the index of the candidate with the lowest score. If
// preferCold is set, cold servers have the score 0.
func bestCandidate(candidates []*blackboard.Server, preferCold bool) int {
	bestIndex := 0
	bestScore := 0.0
	for i, s := range candidates {
		score := computeScore(s)
		if preferCold && !s.Warm() {
			score = 0
		}
		if i == 0 || score < bestScore {
			bestIndex, bestScore = i, score
		}
	}
	return bestIndex
}

// computeScore estimates the time that one more request would take, in nanoseconds.
// It adds some noise so that instances do not all choose the same server.
func computeScore(s *blackboard.Server) float64 {
	latency := float64(expectedLatency(s))
	if latency == 0 {
		latency = unknownLatencyNanos
	}
	const noise = 0.1
	return float64(s.InFlight.Load()+1) * latency * (1 + noise*rand.Float64())
}

// expectedLatency estimates how long a call takes from the replies so far and
// the overdue calls in flight. It is 0 if there was no reply yet.
func expectedLatency(s *blackboard.Server) time.Duration {
	if s.Overdue.Load() > 0 {
		return overdueFactor * s.Latency()
	}
	return s.Latency()
}

// AnyUsable reports whether any holder that was not tried yet is usable, and
// whether any such holder is warm.
func AnyUsable(holders, tried []*blackboard.Server) (anyUsable, anyWarm bool) {
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

// RandomUsable returns a random usable holder that was not tried yet, or nil if
// there is none.
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
