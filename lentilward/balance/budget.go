// Package balance chooses backend servers by what their own answers show and
// bounds what is sent to them.
package balance

import (
	"sync"
	"time"
)

const (
	// slots is the resolution of a window.
	slots = 40
	// safety is the part of the allowance that is used: calls take time to
	// arrive, and windows slide.
	safety = 0.85
	// hedgePart is the part of the allowance that hedges may use; the rest is
	// kept for requests that have failed.
	hedgePart = 0.8
)

// Allowance is how many calls beyond the first of each request a service may
// get in a window of time, from all instances together.
type Allowance struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget is what this instance may spend of a service's allowance.
type Budget struct {
	// allowance may change while the budget is used.
	allowance func() *Allowance
	epoch     time.Time

	mu      sync.Mutex
	current int64
	first   [slots]int
	repeats [slots]int
	// firsts and spent are the sums over the window.
	firsts, spent int
}

// NewBudget returns a budget with nothing spent.
func NewBudget(allowance func() *Allowance) *Budget {
	return &Budget{allowance: allowance, epoch: time.Now()}
}

// First notes the first call of a request.
func (b *Budget) First(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.first[b.current%slots]++
	b.firsts++
}

// Spend takes one more call from the allowance, of whose slack this instance
// has a share. It returns false if there is none left.
func (b *Budget) Spend(now time.Time, share float64, hedge bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	a := b.allowance()
	allowed := safety * (a.Ratio*float64(b.firsts) + a.Slack*share)
	if hedge {
		allowed *= hedgePart
	}
	if float64(b.spent+1) > allowed {
		return false
	}
	b.repeats[b.current%slots]++
	b.spent++
	return true
}

// Refund gives back a call that was not sent.
func (b *Budget) Refund(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.repeats[b.current%slots] > 0 {
		b.repeats[b.current%slots]--
		b.spent--
	}
}

// advance forgets what has left the window. Repeats stay one slot longer than
// requests, so that the sums err on the safe side.
func (b *Budget) advance(now time.Time) {
	slot := int64(now.Sub(b.epoch) / max(1, b.allowance().Window/(slots-2)))
	if slot-b.current >= slots {
		b.first, b.repeats = [slots]int{}, [slots]int{}
		b.firsts, b.spent, b.current = 0, 0, slot
		return
	}
	for b.current < slot {
		b.current++
		i := b.current % slots
		b.firsts -= b.first[i]
		b.spent -= b.repeats[i]
		b.first[i], b.repeats[i] = 0, 0
	}
}
