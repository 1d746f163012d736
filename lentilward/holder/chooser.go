package holder

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

const (
	// sampleWeight is the weight of a new sample of a holder's reply time.
	sampleWeight = 0.35
	// defaultRatio is the reply time, as a share of the time allowed, of a holder of
	// which nothing is known. The measured ratio moves halfway back to it in every
	// ratioHalfLife without samples, so that a slow holder is tried again.
	defaultRatio  = 0.4
	ratioHalfLife = 4 * time.Second
	// lateRatio is the sample of a hand-over without an answer in the time allowed.
	lateRatio = 2.5
	// maxRatio bounds a sample.
	maxRatio = 5
	// minAvoid and maxAvoid bound the time for which a holder that has not answered gets
	// no search, as long as there is another.
	minAvoid = 300 * time.Millisecond
	maxAvoid = 3 * time.Second
	// inFlightWeight is the weight of a search in flight at a holder with the average
	// share of a core.
	inFlightWeight = 0.25
	// spillRatio is the cost of the best large holder in this data centre above which small
	// ones, and those in other data centres, may be used.
	spillRatio = 0.75
	// smallFactor is the additional cost of a small holder: its searches wait for
	// processor time, and its connections may not be open.
	smallFactor = 1.5
	// choiceExponent is the exponent of the share of a core in the weight of a holder: small
	// machines run the calls of a search one after another over several periods.
	choiceExponent = 2
	// farFactor is the additional cost of a holder in another data centre.
	farFactor = 1.3
)

// Chooser chooses among holders by the weight of their machines and by what this
// instance measures of them.
type Chooser struct {
	mu       sync.Mutex
	measured map[netip.AddrPort]*measurement
	// random returns a number below 1.
	random func() float64
}

// measurement is what is known of one holder.
type measurement struct {
	// ratio is the moving average of the reply time as a share of the time allowed.
	ratio     float64
	sampledAt time.Time
	inFlight  int
	// unanswered counts the hand-overs without an answer in a row; until avoidUntil the
	// holder is not used if there is another.
	unanswered int
	avoidUntil time.Time
}

// NewChooser returns a Chooser without measurements.
func NewChooser() *Chooser {
	return &Chooser{measured: make(map[netip.AddrPort]*measurement), random: rand.Float64}
}

// Choose chooses one of the large holders in this data centre, or of the small ones or
// those elsewhere if none of these has spare capacity. ok is false if there is none.
func (c *Chooser) Choose(near, far []Member, now time.Time) (choice Member, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	large, small := splitBySize(near)
	best, bestCost, found := c.pick(large, now)
	choice = best
	if found && bestCost <= spillRatio {
		return choice, true
	}
	if m, cost, ok := c.pick(far, now); ok && (!found || cost*farFactor < bestCost) {
		choice, bestCost, found = m, cost*farFactor, true
	}
	if m, cost, ok := c.pick(small, now); ok && (!found || cost*smallFactor < bestCost) {
		choice, found = m, true
	}
	return choice, found
}

// splitBySize splits members into those with about as large a share of a core as the
// largest, and the others.
func splitBySize(members []Member) (large, small []Member) {
	average := averageShare(members)
	for _, m := range members {
		if isLarge(m, members, average) {
			large = append(large, m)
		} else {
			small = append(small, m)
		}
	}
	return large, small
}

// isLarge reports whether a member has at least half of the largest share of a core.
func isLarge(m Member, members []Member, average float64) bool {
	largest := 0.0
	for _, other := range members {
		largest = max(largest, shareOf(other, average))
	}
	return shareOf(m, average) >= largest/2
}

// pick draws two members by weight and returns the one with the lower cost. Members that
// have not answered are drawn only if all have not. The caller holds mu.
func (c *Chooser) pick(members []Member, now time.Time) (best Member, cost float64, ok bool) {
	if len(members) == 0 {
		return best, 0, false
	}
	average := averageShare(members)
	weights, costs := make([]float64, len(members)), make([]float64, len(members))
	lowest, sum := math.Inf(1), 0.0
	for i, m := range members {
		costs[i] = c.cost(m, average, now)
		lowest = min(lowest, costs[i])
	}
	for i, m := range members {
		// A holder that is several times slower than the best gets far less, but enough to
		// show that it is well again.
		excess := max(1, costs[i]/lowest)
		weights[i] = math.Pow(shareOf(m, average), choiceExponent) / (excess * excess)
		sum += weights[i]
	}
	first := c.draw(weights, sum)
	if len(members) == 1 {
		return members[0], costs[0], true
	}
	rest := sum - weights[first]
	weights[first] = 0
	second := c.draw(weights, rest)
	if costs[second] < costs[first] {
		first = second
	}
	return members[first], costs[first], true
}

// draw returns an index with a probability given by its weight.
func (c *Chooser) draw(weights []float64, sum float64) int {
	x, last := c.random()*sum, 0
	for i, w := range weights {
		if w <= 0 {
			continue
		}
		last = i
		if x < w {
			return i
		}
		x -= w
	}
	return last
}

// cost returns the expected reply time of a holder as a share of the time allowed. The
// caller holds mu.
func (c *Chooser) cost(m Member, average float64, now time.Time) float64 {
	e := c.measured[m.Address]
	if e == nil {
		return defaultRatio
	}
	e.decay(now)
	cost := e.ratio * (1 + inFlightWeight*float64(e.inFlight)*average/shareOf(m, average))
	if now.Before(e.avoidUntil) {
		cost = max(cost, lateRatio) * 10
	}
	return cost
}

// decay moves the ratio back to the default while there are no samples.
func (e *measurement) decay(now time.Time) {
	if elapsed := now.Sub(e.sampledAt); elapsed > 0 {
		e.ratio = defaultRatio + (e.ratio-defaultRatio)*math.Exp2(-float64(elapsed)/float64(ratioHalfLife))
		e.sampledAt = now
	}
}

// Begin records that a search is handed to a holder.
func (c *Chooser) Begin(address netip.AddrPort, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.measured[address]
	if e == nil {
		e = &measurement{ratio: defaultRatio, sampledAt: now}
		c.measured[address] = e
	}
	e.inFlight++
}

// End records the end of a hand-over.
func (c *Chooser) End(address netip.AddrPort, o Outcome, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.measured[address]
	if e == nil {
		return
	}
	e.inFlight--
	if o.Ignored {
		return
	}
	e.decay(now)
	sample := lateRatio
	if o.Answered {
		e.unanswered, e.avoidUntil = 0, time.Time{}
		sample = min(maxRatio, float64(o.Took)/float64(max(o.Allowed, time.Millisecond)))
	} else {
		e.avoidUntil = now.Add(min(maxAvoid, minAvoid<<min(e.unanswered, 8)))
		e.unanswered++
	}
	e.ratio += (sample - e.ratio) * sampleWeight
}

// Keep forgets the holders that keep does not report, apart from those with searches in
// flight.
func (c *Chooser) Keep(keep func(netip.AddrPort) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, e := range c.measured {
		if e.inFlight == 0 && !keep(address) {
			delete(c.measured, address)
		}
	}
}
