package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

var testRetryBudget = RetryBudget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}

func fixedRetryBudget(budget RetryBudget) func() *RetryBudget {
	return func() *RetryBudget { return &budget }
}

// Guards against all instances together sending more extra calls in any window
// than the retry budget permits, for any order of first calls and extra calls.
func TestExtraCallsStayWithinRetryBudgetInEveryWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		instances := rapid.IntRange(1, 5).Draw(rt, "instances")
		start := time.Now()
		budgets := make([]*InstanceBudget, instances)
		for i := range budgets {
			budgets[i] = NewInstanceBudget(fixedRetryBudget(testRetryBudget))
		}
		type callEvent struct {
			at    time.Duration
			extra bool
		}
		var events []callEvent
		var at time.Duration
		for range rapid.IntRange(1, 600).Draw(rt, "events") {
			at += time.Duration(rapid.IntRange(0, 200).Draw(rt, "pause")) * time.Millisecond
			b := budgets[rapid.IntRange(0, instances-1).Draw(rt, "instance")]
			if rapid.Bool().Draw(rt, "extra") {
				if b.Spend(start.Add(at), 1/float64(instances), false) {
					events = append(events, callEvent{at, true})
				}
			} else {
				b.RecordFirstCall(start.Add(at))
				events = append(events, callEvent{at, false})
			}
		}
		for i, windowStart := range events {
			extraCalls, firstCalls := 0, 0
			for _, e := range events[i:] {
				if e.at-windowStart.at > testRetryBudget.Window {
					break
				}
				if e.extra {
					extraCalls++
				} else {
					firstCalls++
				}
			}
			firstCallsBefore := 0
			for _, e := range events {
				if e.at <= windowStart.at && windowStart.at-e.at <= testRetryBudget.Window && !e.extra {
					firstCallsBefore++
				}
			}
			if float64(extraCalls) > testRetryBudget.Ratio*float64(max(firstCalls, firstCallsBefore))+testRetryBudget.Slack {
				rt.Fatalf("%d extra calls in the window from %v on, %d first calls in it, %d in the window before", extraCalls, windowStart.at, firstCalls, firstCallsBefore)
			}
		}
	})
}

func TestHedgesLeaveBudgetForRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewInstanceBudget(fixedRetryBudget(testRetryBudget))
		hedges := 0
		for b.Spend(time.Now(), 1, true) {
			hedges++
		}
		if hedges == 0 || !b.Spend(time.Now(), 1, false) {
			t.Fatalf("no budget left for a retry after %d hedges", hedges)
		}
		time.Sleep(11 * time.Second)
		if !b.Spend(time.Now(), 1, true) {
			t.Fatal("budget was not restored after its window")
		}
	})
}

func TestRefundRestoresBudgetOfUnsentCall(t *testing.T) {
	b := NewInstanceBudget(fixedRetryBudget(RetryBudget{Slack: 1.2, Window: time.Second}))
	now := time.Now()
	if !b.Spend(now, 1, false) || b.Spend(now, 1, false) {
		t.Fatal("budget does not allow exactly one extra call")
	}
	b.Refund(now)
	if !b.Spend(now, 1, false) {
		t.Fatal("refunded call is not available again")
	}
}
