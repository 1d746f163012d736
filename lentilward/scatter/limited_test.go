package scatter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/quota"
)

// useUpLimits makes the servers that all instances use for a search name limits that are used
// up, at one holder.
func useUpLimits(h *testHolder, attempts int) {
	tokens := quota.NewLocal(quota.Settings{Window: 4 * time.Second, Overage: 0.5, Slack: 5})
	tokens.Ask = func(context.Context, quota.Ask) (quota.Grant, error) {
		return quota.Grant{RetryAfter: time.Minute}, nil
	}
	now := time.Now()
	for _, s := range h.services {
		beyond := s.ServersBeyond(attempts, "z0", now)
		for _, server := range s.Servers() {
			if len(beyond) == 0 || server != beyond[0] {
				server.SetTokens(tokens)
				server.RecordNamedLimit(1, now)
			}
		}
	}
}

// Guards against a gatherer that waits with parts whose servers have got as many requests as
// they take: the requester would neither learn of it nor refuse later searches.
func TestGathererReportsPartsAtTheirLimitsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHolderFleet(t, serversFor(3, replyIn(4*time.Millisecond)), false)
		h := f.holders[0]
		useUpLimits(h, 3)
		for _, server := range h.services[2].Servers() {
			server.SetTokens(nil)
		}
		g := Gather{Request: newTask(handoverRoute(3), h.services...).Request, Services: []string{"s0", "s1", "s2"}, HedgeAfter: 20 * time.Millisecond, TimeLeft: time.Second, Results: 5}
		// The first gather learns from the home that there are no tokens.
		for k := range 2 {
			begin, failed, done := time.Now(), 0, 0
			h.engine.Gather(t.Context(), g, &balance.Route{}, nil, h.services, func(p Partial) {
				failed += len(p.Failed)
				done += len(p.Done)
			})
			if k > 0 && (failed != 2 || done != 1 || time.Since(begin) > g.HedgeAfter) {
				t.Errorf("%d failed and %d done after %v, want 2 and 1 at once", failed, done, time.Since(begin))
			}
		}
	})
}

// Guards against searches that fail although a third server of each shard has room, and
// against requests that reach more servers than their route permits when the first holder
// has used it and is late: the second one may know nothing of the limits.
func TestHolderCallsServerBeyondThoseAtTheirLimits(t *testing.T) {
	for _, c := range []struct {
		name       string
		seesLimits bool
		late       bool
	}{
		{name: "first holder", seesLimits: true},
		{name: "first holder late", seesLimits: true, late: true},
		{name: "limits not known to the asker, first holder late", late: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHolderFleet(t, serversFor(30, replyIn(4*time.Millisecond)), true)
				route := handoverRoute(30)
				useUpLimits(f.holders[0], route.MaxAttempts)
				f.asker.PlanHandover = func(task *Task) *Handover {
					h := f.planHandover(task)
					h.SeesLimits = c.seesLimits
					return h
				}
				if c.late {
					f.holders[0].silentAfter = 0
				}
				answer, stats, refusal, _ := f.run(route)
				if refusal != nil || answer.MissingShards > 0 {
					t.Errorf("answer %+v, refusal %v, stats %+v", answer, refusal, stats)
				}
				f.checkServers(route)
			})
		})
	}
}
