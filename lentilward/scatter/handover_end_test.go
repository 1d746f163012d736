package scatter

import (
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a search whose servers have all failed at the holder and that waits for
// its deadline since the retry budget permits nothing else.
func TestFailedSearchEndsWithoutRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shards := serversFor(30, replyIn(4*time.Millisecond))
		for _, servers := range shards {
			for _, s := range servers {
				s.respond = replyWithStatus(http.StatusInternalServerError, "Server-Stamp: x\r\n")
			}
		}
		f := newHolderFleet(t, shards, true)
		f.budget = 0
		if _, stats, refusal, took := f.run(handoverRoute(30)); refusal == nil || took > 100*time.Millisecond {
			t.Fatalf("refusal %v, stats %+v, took %v", refusal, stats, took)
		}
	})
}

// Guards against an answer that says that a search has not run although this instance has
// called servers itself when the holder refuses.
func TestRefusalOfAHolderIsNotPassedOnAfterDirectCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHolderFleet(t, serversFor(4, replyIn(4*time.Millisecond)), true)
		for _, calls := range []int{0, 3} {
			route := handoverRoute(4)
			r := newRun(t.Context(), f.asker, newTask(route, f.services...))
			for i, s := range f.services {
				r.parts[i].service, r.parts[i].gathering = s, true
			}
			r.handover = f.planHandover(&r.task)
			h := &handedParts{parts: r.handover.Groups[0], direct: calls > 0}
			a := &holderAsked{delegation: &delegation{parts: h.parts, handed: h}, address: netip.MustParseAddrPort("10.0.0.1:80"), askedAt: time.Now()}
			h.asked, r.handed, r.stats.Calls = []*holderAsked{a}, []*handedParts{h}, calls
			r.handleHolderEvent(gatherEvent{from: a.delegation, ended: true, err: &HolderRefusal{}}, time.Now())
			if refused := r.refusal != nil; refused != (calls == 0) {
				t.Errorf("%d calls: refused as not run %v", calls, refused)
			}
			r.abort()
			r.finish()
		}
	})
}
