package main

import (
	"math/rand/v2"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/holder"
)

// fallbackBudget is this instance's part of the retry budget for searches over one set of
// services. A call counts as one to each.
type fallbackBudget struct {
	budget   *balance.InstanceBudget
	searches int
	rounding float64
	drawnAt  time.Time
}

// fallback returns the budget of searches over a set of services.
func (h *holders) fallback(key string) *fallbackBudget {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.fallbacks[key]
	if b == nil {
		b = &fallbackBudget{budget: balance.NewInstanceBudget(h.retryBudget)}
		h.fallbacks[key] = b
	}
	return b
}

// keepCredit counts a search, and reports whether its first calls count for the budget of
// this instance: every second one does. The holder counts the others.
func (h *holders) keepCredit(key string) bool {
	b := h.fallback(key)
	h.mu.Lock()
	b.searches++
	keep := b.searches%2 == 1
	h.mu.Unlock()
	if keep {
		b.budget.RecordFirstCall(time.Now())
	}
	return keep
}

// spend takes one more call for each service of a search from the retry budget.
func (h *holders) spend(plan *holder.Plan, key string) bool {
	b, now := h.fallback(key), time.Now()
	share := 0.0
	if h.fleet.share() > 0 {
		share = plan.FallbackShare(h.fleet.size()) / float64(max(1, plan.SearchCount()))
	}
	h.mu.Lock()
	if now.Sub(b.drawnAt) > roundingWindows*h.retryBudget().Window {
		b.rounding, b.drawnAt = rand.Float64(), now
	}
	rounding := b.rounding
	h.mu.Unlock()
	return b.budget.SpendRounded(now, share, true, rounding)
}
