package main

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/holder"
)

// Guards against extra calls beyond the retry budget of a service, over all instances,
// while every search asks a second holder if it may and every holder hedges as much as it
// may, and against none at all since the part of each instance is below one. The load is
// that of a search over shards with 40 requests a second.
func TestSecondHoldersStayWithinTheRetryBudget(t *testing.T) {
	for _, instances := range []int{111, 870} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFallbackModel(t, instances) })
		})
	}
}

func runFallbackModel(t *testing.T, instances int) {
	const perSecond, window, seconds = 40, 10 * time.Second, 120
	budget := balance.RetryBudget{Ratio: 0.2, Slack: 50, Window: window}
	in := holder.Input{Size: instances, Services: map[string]holder.Service{"s": {MaxConnections: 60}}, Searches: []holder.Search{{Key: "s", Services: []string{"s"}}}}
	list := make([]blackboard.Member, 0, instances)
	for i := range instances {
		name := fmt.Sprint("i-", i)
		in.Members = append(in.Members, holder.Member{Name: name, DataCentre: fmt.Sprint("z", i%3)})
		list = append(list, blackboard.Member{Name: name})
	}
	var askers []*holders
	var held []*balance.InstanceBudget
	plans := make(map[*holders]*holder.Plan)
	for _, m := range in.Members {
		in.Self = m.Name
		board := blackboard.New(blackboard.LocalInstance{Name: m.Name})
		board.Members.Store(&blackboard.Members{Self: m.Name, List: list})
		h := &holders{
			fleet: newFleetSize(board, 1, func() time.Duration { return window }), fallbacks: make(map[string]*fallbackBudget),
			retryBudget: func() *balance.RetryBudget { return &budget },
		}
		plans[h] = holder.Build(in)
		h.plan.Store(plans[h])
		if plans[h].HoldsAny() {
			held = append(held, balance.NewInstanceBudget(h.retryBudget))
		} else {
			askers = append(askers, h)
		}
	}
	time.Sleep(window + time.Second)
	holderShare := plans[askers[0]].SlackShare(instances)
	for _, h := range plans {
		if h.HoldsAny() {
			holderShare = h.SlackShare(instances)
		}
	}
	random := rand.New(rand.NewPCG(1, 1))
	var first, extra [seconds]int
	fallbackd := 0
	for second := range seconds {
		for range perSecond {
			asker, budget := askers[random.IntN(len(askers))], held[random.IntN(len(held))]
			first[second]++
			if !asker.keepCredit("s") {
				budget.RecordFirstCall(time.Now())
			}
			if asker.spend(plans[asker], "s") {
				extra[second]++
				fallbackd++
			}
			for budget.Spend(time.Now(), holderShare, true) {
				extra[second]++
			}
			time.Sleep(time.Second / perSecond)
		}
	}
	worst := 0.0
	for begin := 0; begin+10 <= seconds; begin++ {
		calls, extras := 0, 0
		for second := begin; second < begin+10; second++ {
			calls, extras = calls+first[second], extras+extra[second]
		}
		worst = max(worst, float64(extras)/(budget.Ratio*float64(calls)+budget.Slack))
	}
	t.Logf("at most %.2f of the budget is used in a window, %d of %d searches get a second holder", worst, fallbackd, perSecond*seconds)
	if worst > 1 {
		t.Errorf("%.2f of the budget is used in a window", worst)
	}
	if share := float64(fallbackd) / (perSecond * seconds); share < 0.03 {
		t.Errorf("%.3f of the searches get a second holder", share)
	}
}
