package scatter

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/admission"
	"lentilward.org/schema/domain"
)

// Guards against more frames than one in each direction for a search that meets its
// objective, and against calls by the instance that handed it on.
func TestSearchTakesOneFrameInEachDirection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHolderFleet(t, serversFor(90, replyIn(4*time.Millisecond)), true)
		route := handoverRoute(90)
		answer, stats, refusal, took := f.run(route)
		if refusal != nil || answer.MissingShards > 0 || f.frames.Load() != 1 || stats.Calls != 0 || stats.HoldersAsked != 1 || took > 10*time.Millisecond {
			t.Fatalf("answer %v, refusal %v, %d frames, stats %+v, took %v", answer, refusal, f.frames.Load(), stats, took)
		}
		if o := f.outcomes[f.holders[0].address]; len(o) != 1 || !o[0].Answered || o[0].Took > 10*time.Millisecond {
			t.Errorf("outcomes %+v", o)
		}
		f.checkServers(route)
	})
}

// Guards against a holder that leaves late and failed parts to the requester: it hedges
// and retries itself.
func TestHolderHedgesAndRetries(t *testing.T) {
	for name, bad := range map[string]func(*fakeServer){
		"late": func(s *fakeServer) { s.respond = replyAfter(s.name, time.Second) },
		"failed": func(s *fakeServer) {
			s.respond = replyWithStatus(http.StatusInternalServerError, "Server-Stamp: x\r\n")
		},
		"lost": func(s *fakeServer) { s.refuseConnections = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHolderFleet(t, serversFor(30, replyIn(4*time.Millisecond)), false)
				for i := range 3 {
					bad(f.shards[i*7][0])
				}
				route := handoverRoute(30)
				answer, stats, refusal, took := f.run(route)
				if refusal != nil || answer.MissingShards > 0 || took > 43*time.Millisecond || stats.HoldersAsked != 1 {
					t.Fatalf("answer %+v, refusal %v, stats %+v, took %v", answer, refusal, stats, took)
				}
				f.checkServers(route)
			})
		})
	}
}

// Guards against an answer after the objective because a holder waits for one slow shard.
func TestAnswerComesBeforeTheObjectiveWithoutSlowShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHolderFleet(t, serversFor(30, func(shard, _ int) time.Duration {
			if shard == 5 {
				return 400 * time.Millisecond
			}
			return 4 * time.Millisecond
		}), false)
		answer, stats, refusal, took := f.run(handoverRoute(30))
		if refusal != nil || answer.MissingShards != 1 || took > 45*time.Millisecond || stats.HoldersAsked != 1 {
			t.Fatalf("answer %+v, refusal %v, stats %+v, took %v", answer, refusal, stats, took)
		}
	})
}

// Guards against results that are lost because they come after the objective, where too
// few have come before it.
func TestLateResultsFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHolderFleet(t, serversFor(30, func(shard, _ int) time.Duration {
			return time.Duration(shard) * 5 * time.Millisecond
		}), false)
		f.budget = 0
		answer, _, refusal, took := f.run(handoverRoute(30))
		if refusal != nil || answer.MissingShards > 3 || took > 200*time.Millisecond {
			t.Fatalf("answer %+v, refusal %v, took %v", answer, refusal, took)
		}
		if n := f.frames.Load(); n > 25 {
			t.Errorf("%d frames", n)
		}
	})
}

// Guards against a search that waits for a holder that is frozen, lost, or so slow that
// its results come too late: a second one must be asked in time for the objective.
func TestSecondHolderIsAskedInTime(t *testing.T) {
	for name, bad := range map[string]func(*testHolder){
		"frozen":             func(h *testHolder) { h.silentAfter = 0 },
		"lost":               func(h *testHolder) { h.lostAfter = time.Millisecond },
		"slow":               func(h *testHolder) { h.delay = 100 * time.Millisecond },
		"lost in mid-search": func(h *testHolder) { h.lostAfter, h.silentAfter = 10*time.Millisecond, 0 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHolderFleet(t, serversFor(90, replyIn(11*time.Millisecond)), false)
				bad(f.holders[0])
				route := handoverRoute(90)
				answer, stats, refusal, took := f.run(route)
				if refusal != nil || answer.MissingShards > 0 || took > 43*time.Millisecond || stats.HoldersAsked != 2 || f.budget != 99 {
					t.Fatalf("answer %+v, refusal %v, stats %+v, took %v, budget %d", answer, refusal, stats, took, f.budget)
				}
				if o := f.outcomes[f.holders[0].address]; len(o) != 1 || o[0].Answered || o[0].Undecided {
					t.Errorf("outcomes of the first holder: %+v", o)
				}
				if len(f.steps) != 1 || f.steps[0].Second != f.holders[1].address {
					t.Errorf("steps %+v", f.steps)
				}
				if !f.holders[1].gathers[0].Handover.Credited {
					t.Error("first calls of the second holder count for its own retry budget as well")
				}
				f.checkServers(route)
			})
		})
	}
}

// Guards against losing what a holder has sent before it is lost, and against parts that
// nobody calls then.
func TestPartsThatALostHolderHasNotSentAreCalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHolderFleet(t, serversFor(30, func(shard, _ int) time.Duration {
			if shard < 6 {
				return 60 * time.Millisecond
			}
			return 4 * time.Millisecond
		}), false)
		f.holders[0].lostAfter = 25 * time.Millisecond
		answer, stats, refusal, took := f.run(handoverRoute(30))
		if refusal != nil || answer.MissingShards > 3 || took > 120*time.Millisecond || stats.HoldersAsked != 2 {
			t.Fatalf("answer %+v, refusal %v, stats %+v, took %v", answer, refusal, stats, took)
		}
	})
}

// Guards against a search without an answer when no holder answers: servers are called
// directly.
func TestServersAreCalledDirectlyWithoutHolders(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(f *holderFleet)
		within  time.Duration
	}{
		"both frozen": {func(f *holderFleet) { f.holders[0].silentAfter, f.holders[1].silentAfter = 0, 0 }, 45 * time.Millisecond},
		"alone":       {func(f *holderFleet) { f.holders = nil }, 10 * time.Millisecond},
		"connecting":  {func(f *holderFleet) { f.unconnected.Store(true) }, 35 * time.Millisecond},
		"no connection to holders": {func(f *holderFleet) {
			f.asker.StartGather = func(netip.AddrPort, Gather, func(Partial), func(error)) (func(bool), error) {
				return nil, errors.New("closed")
			}
		}, 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHolderFleet(t, serversFor(30, replyIn(4*time.Millisecond)), true)
				c.prepare(f)
				route := handoverRoute(30)
				answer, stats, refusal, took := f.run(route)
				if refusal != nil || answer.MissingShards > 0 || took > c.within {
					t.Fatalf("answer %+v, refusal %v, stats %+v, took %v", answer, refusal, stats, took)
				}
				f.checkServers(route)
			})
		})
	}
}

// Guards against extra calls beyond the retry budget while holders are late.
func TestNoSecondHolderWithoutRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHolderFleet(t, serversFor(30, replyIn(4*time.Millisecond)), true)
		f.holders[0].delay = 100 * time.Millisecond
		f.budget = 0
		answer, stats, refusal, took := f.run(handoverRoute(30))
		if refusal != nil || answer.MissingShards > 0 || stats.HoldersAsked != 1 || stats.Calls != 0 || took > 250*time.Millisecond {
			t.Fatalf("answer %+v, refusal %v, stats %+v, took %v", answer, refusal, stats, took)
		}
		if len(f.steps) != 1 || f.steps[0].Direct || f.steps[0].Second.IsValid() {
			t.Errorf("steps %+v", f.steps)
		}
	})
}

// Guards against a search that waits for its deadline when the instance that holds no
// connections finds no holder, and against a refusal although a holder is connected soon.
func TestInstanceWithoutConnectionsWaitsShortlyForAHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHolderFleet(t, serversFor(30, replyIn(4*time.Millisecond)), false)
		f.unconnected.Store(true)
		time.AfterFunc(15*time.Millisecond, func() { f.unconnected.Store(false) })
		answer, _, refusal, took := f.run(handoverRoute(30))
		if refusal != nil || answer.MissingShards > 0 || took > 43*time.Millisecond {
			t.Fatalf("answer %+v, refusal %v, took %v", answer, refusal, took)
		}
		f.unconnected.Store(true)
		if _, _, refusal, took = f.run(handoverRoute(30)); refusal == nil || refusal.Outcome != domain.NotRun || took > 60*time.Millisecond {
			t.Fatalf("refusal %+v after %v", refusal, took)
		}
	})
}

// Guards against a holder that is cut off from the servers and answers every search with
// failures at once.
func TestHolderThatReachesNoServersIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHolderFleet(t, serversFor(30, replyIn(4*time.Millisecond)), false)
		for _, s := range f.holders[0].services {
			for _, server := range s.Servers() {
				server.Pool.Dial = (&fakeServer{refuseConnections: true}).dial
			}
		}
		answer, stats, refusal, took := f.run(handoverRoute(30))
		if refusal != nil || answer.MissingShards > 0 || stats.HoldersAsked != 2 || took > 43*time.Millisecond {
			t.Fatalf("answer %+v, refusal %v, stats %+v, took %v", answer, refusal, stats, took)
		}
	})
}

// Guards against a search that fails for good and waits for its deadline.
func TestSearchWithoutReachableServersEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shards := serversFor(30, replyIn(4*time.Millisecond))
		for _, servers := range shards {
			for _, s := range servers {
				s.respond = replyWithStatus(http.StatusInternalServerError, "Server-Stamp: x\r\n")
			}
		}
		f := newHolderFleet(t, shards, true)
		if _, stats, refusal, took := f.run(handoverRoute(30)); refusal == nil || took > 100*time.Millisecond {
			t.Fatalf("refusal %v, stats %+v, took %v", refusal, stats, took)
		}
		f.checkServers(handoverRoute(30))
	})
}

// Guards against a search that a holder refuses for lack of room and that runs elsewhere.
func TestRefusalOfAnOverloadedHolderIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHolderFleet(t, serversFor(30, replyIn(4*time.Millisecond)), true)
		limit := admission.New()
		f.holders[0].admission = limit
		now := time.Now()
		limit.Admit("r", 0, now)
		limit.Observe("r", 50*time.Millisecond, 4*time.Millisecond, false, now)
		// A limit is set by searches that wait in queues.
		for limitSet := false; !limitSet; {
			limit.OnLimit = func(limited bool, _ float64) { limitSet = limited }
			limit.Admit("r", 0, now)
			limit.Observe("r", 50*time.Millisecond, time.Second, true, now)
			time.Sleep(10 * time.Millisecond)
			now = time.Now()
			if now.Sub(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)) > time.Minute {
				t.Fatal("no limit was set")
			}
		}
		var refusal *domain.Refusal
		for range 200 {
			if _, _, refusal, _ = f.run(handoverRoute(30)); refusal != nil {
				break
			}
		}
		if refusal == nil || refusal.Reason != domain.Overloaded || refusal.Outcome != domain.NotRun || refusal.RetryAfter <= 0 {
			t.Fatalf("refusal %+v", refusal)
		}
		if len(f.holders[1].gathers) > 0 {
			t.Error("a search that was refused was handed to another holder")
		}
	})
}

// Guards against calls that go on at a holder after the caller has disconnected.
func TestHandoverEndsWhenCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHolderFleet(t, serversFor(10, replyIn(time.Second)), false)
		ctx, disconnect := context.WithCancel(t.Context())
		time.AfterFunc(5*time.Millisecond, disconnect)
		if _, _, refusal := f.asker.Run(ctx, newTask(handoverRoute(10), f.services...)); refusal == nil || refusal.Reason != domain.Abandoned {
			t.Fatalf("refusal %v", refusal)
		}
		time.Sleep(20 * time.Millisecond)
		for _, s := range f.holders[0].services {
			for _, server := range s.Servers() {
				if server.InFlight() > 0 {
					t.Fatal("a call is in flight")
				}
			}
		}
	})
}

// Guards against handing on what was handed over, also hedges of many parts.
func TestHolderRunsSearchesItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHolderFleet(t, serversFor(30, func(shard, server int) time.Duration {
			if shard < 8 && server == 0 {
				return time.Second
			}
			return 4 * time.Millisecond
		}), false)
		h := f.holders[0]
		h.engine.StartGather = func(netip.AddrPort, Gather, func(Partial), func(error)) (func(bool), error) {
			t.Error("a holder hands a search on")
			return nil, errors.New("unexpected")
		}
		h.engine.ChooseGatherer = func(map[string]int) (netip.AddrPort, string, bool) { return h.address, "z1", true }
		h.engine.PlanHandover = func(*Task) *Handover {
			return &Handover{DataCentre: "z0", SlackShare: func() float64 { return 1 }}
		}
		if answer, _, refusal := h.engine.Run(t.Context(), newTask(handoverRoute(30), h.services...)); refusal != nil || answer.MissingShards > 0 {
			t.Fatalf("answer %+v, refusal %v", answer, refusal)
		}
		if _, _, refusal, _ := f.run(handoverRoute(30)); refusal != nil {
			t.Fatal(refusal)
		}
	})
}

// Guards against waiting for the rest of a search whose holder got no processor time after
// its first results.
func TestSecondHolderIsAskedWhenTheFirstStopsInMidSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHolderFleet(t, serversFor(30, func(shard, _ int) time.Duration {
			if shard < 8 {
				return 25 * time.Millisecond
			}
			return 4 * time.Millisecond
		}), false)
		f.holders[0].silentAfter = 1
		answer, stats, refusal, took := f.run(handoverRoute(30))
		if refusal != nil || answer.MissingShards > 0 || stats.HoldersAsked != 2 || took > 100*time.Millisecond {
			t.Fatalf("answer %+v, refusal %v, stats %+v, took %v", answer, refusal, stats, took)
		}
	})
}
