// Package pace finds how many calls a backend server may get that has just started or
// recovered. Its weight, a share of its usual calls, rises while complete answers come in
// time and falls with slow, failed or refused calls. It follows time and not the number of
// calls, and instances add up what they observe.
package pace

import (
	"math"
	"sync"
	"time"
)

const (
	// minWeight is the weight with which a pace starts, and the least.
	minWeight = 0.1
	// An answer gets the mark 1 up to goodLatency, a multiple of the route's median, and
	// slowMark from slowLatency on. A cold server takes 1.6 times as long without any
	// queue. A call without a complete answer gets failedMark. A weight whose marks are 0
	// on average is kept.
	goodLatency = 1.6
	slowLatency = 3
	slowMark    = -1
	failedMark  = -4
	// memory is the time in which the marks lose their weight by a factor of e.
	memory = 300 * time.Millisecond
	// riseRate is the number of doublings per second while all answers come in time, and
	// maxFallRate the largest number of halvings. idleRate applies where there are no
	// marks, since few calls are no load, and distrustRate if the last ones were bad.
	riseRate     = 5
	maxFallRate  = 10
	idleRate     = 3
	distrustRate = 1.5
	// halfEvidence is the sum of recent marks' weights with which they count for half of
	// the rate.
	halfEvidence = 0.5
	// confirmTime is how long the weight must stay at 1 before the pace ends, so that bad
	// answers at other instances are heard of.
	confirmTime = 600 * time.Millisecond
	// step is the time over which the rate is taken to be constant.
	step = 50 * time.Millisecond
	// maxDuration is when a pace ends at any weight: from then on, the choice of server
	// by its reply times is enough.
	maxDuration = 30 * time.Second
)

// State is what instances agree on: the weight, and the marks that led to it.
type State struct {
	Weight float64 `cbor:"weight"`
	Recent Marks   `cbor:"recent"`
}

// Marks sums up how calls ended.
type Marks struct {
	// Sum is the sum of the marks, and Evidence the number of calls.
	Sum      float64 `cbor:"sum"`
	Evidence float64 `cbor:"evidence"`
}

func (m *Marks) add(n Marks) {
	m.Sum += n.Sum
	m.Evidence += n.Evidence
}

// isValid reports whether the marks are those of at most maxCount calls.
func (m Marks) isValid() bool {
	return m.Evidence >= 0 && m.Evidence <= maxCount && m.Sum >= failedMark*maxCount && m.Sum <= maxCount
}

// Pace finds the weight of one server.
type Pace struct {
	begin time.Time

	mu    sync.Mutex
	state State
	// at is the time for which state holds.
	at time.Time
	// fullSince is since when the weight is 1; zero while it is less.
	fullSince time.Time
	// unreported has what was observed here since the last report, and used is set if the
	// weight was asked for since.
	unreported Marks
	used       bool
}

// New returns a pace that starts now.
func New(now time.Time) *Pace {
	return &Pace{begin: now, at: now, state: State{Weight: minWeight}}
}

// Weight returns the share of its usual calls that the server may get, at most 1.
func (p *Pace) Weight(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = true
	p.advance(now)
	return p.state.Weight
}

// IsDone reports whether the server gets its usual calls from now on.
func (p *Pace) IsDone(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	return !p.fullSince.IsZero() && now.Sub(p.fullSince) >= confirmTime || now.Sub(p.begin) >= maxDuration
}

// Observe records the end of a call: whether it got a complete answer, and after which
// multiple of the route's median.
func (p *Pace) Observe(ok bool, relativeLatency float64, now time.Time) {
	m := Marks{Sum: failedMark, Evidence: 1}
	if ok {
		excess := (relativeLatency - goodLatency) / (slowLatency - goodLatency)
		m.Sum = 1 - (1-slowMark)*min(max(excess, 0), 1)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	p.state.Recent.add(m)
	p.unreported.add(m)
}

// ObserveOverdue records that a call has not ended in time, as a slow answer: its end may
// come much later.
func (p *Pace) ObserveOverdue(now time.Time) { p.Observe(true, slowLatency, now) }

// Merge adds what another instance has observed, and returns the state that results.
func (p *Pace) Merge(m Marks, now time.Time) State {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	p.state.Recent.add(m)
	return p.state
}

// adopt replaces the state by that which the instances agree on.
func (p *Pace) adopt(s State, now time.Time) {
	if !(s.Weight >= 0 && s.Weight <= 1) || !s.Recent.isValid() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	s.Weight = max(s.Weight, minWeight)
	p.state = s
	p.noteFull()
}

// takeReport returns what was observed since the last report, and false if there is
// nothing to report and the weight was not used.
func (p *Pace) takeReport() (Marks, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, used := p.unreported, p.used
	p.unreported, p.used = Marks{}, false
	return m, used || m.Evidence > 0
}

// restore adds marks back that could not be reported.
func (p *Pace) restore(m Marks) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreported.add(m)
}

// advance moves the state to now. The caller holds mu.
func (p *Pace) advance(now time.Time) {
	for p.at.Before(now) {
		d := min(step, now.Sub(p.at))
		if p.state.Recent.Evidence < 0.01 {
			// Without marks the rate stays the same, up to the time at which the weight is 1.
			d = now.Sub(p.at)
			if p.state.Weight < 1 {
				toFull := -math.Log2(p.state.Weight) / p.state.rate()
				d = min(d, time.Duration(toFull*float64(time.Second))+time.Millisecond)
			}
		}
		p.state.Weight = min(1, max(minWeight, p.state.Weight*math.Exp2(p.state.rate()*d.Seconds())))
		decay := math.Exp(-d.Seconds() / memory.Seconds())
		p.state.Recent.Sum *= decay
		p.state.Recent.Evidence *= decay
		p.at = p.at.Add(d)
		p.noteFull()
	}
}

// noteFull notes since when the weight is 1. The caller holds mu.
func (p *Pace) noteFull() {
	switch {
	case p.state.Weight < 1:
		p.fullSince = time.Time{}
	case p.fullSince.IsZero():
		p.fullSince = p.at
	}
}

// rate returns the number of doublings of the weight per second.
func (s State) rate() float64 {
	if s.Recent.Evidence <= 0 {
		return idleRate
	}
	idle := float64(idleRate)
	if s.Recent.Sum < 0 {
		idle = distrustRate
	}
	confidence := s.Recent.Evidence / (s.Recent.Evidence + halfEvidence)
	byMarks := max(-maxFallRate, riseRate*s.Recent.Sum/s.Recent.Evidence)
	return confidence*byMarks + (1-confidence)*idle
}
