package pace

import "time"

// Peek is as Weight and changes nothing: the pace does not count as used, which would
// cause reports to peers.
func (p *Pace) Peek(now time.Time) float64 {
	p.mu.Lock()
	c := Pace{begin: p.begin, state: p.state, at: p.at, fullSince: p.fullSince}
	p.mu.Unlock()
	c.advance(now)
	return c.state.Weight
}
