package caller

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/schema/domain"
)

// Guards against a planned stop that cuts requests which wait for a server, in place of
// refusing them as not run (found in a review: LOST). A request that may run once and was
// refused so must be free to run at another instance.
func TestStopAnswersRequestsThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inst := newTestInstance(t.Context())
		const slots = 8
		for _, f := range inst.servers["audit"] {
			f.extraDelay = time.Minute
		}
		type result struct {
			execute bool
			err     error
		}
		results := make(chan result)
		const executes, searches = 20, 5
		for i := range executes {
			go func() {
				_, err := inst.server.Execute(t.Context(), &domain.ExecuteRequest{
					ID: fmt.Sprint("e", i), Caller: "tester", Service: "audit", Class: domain.Interactive, TimeLeft: 30 * time.Second,
				})
				results <- result{true, err}
			}()
		}
		time.Sleep(time.Second)
		for i := range searches {
			go func() {
				_, err := inst.server.Search(t.Context(), &domain.SearchRequest{
					ID: fmt.Sprint("s", i), Caller: "tester", Services: []string{"audit"}, Query: fmt.Sprint("q", i), MinCoverage: 1,
					Class: domain.Interactive, TimeLeft: 30 * time.Second,
				})
				results <- result{false, err}
			}()
		}
		time.Sleep(time.Second)
		stopAt := time.Now()
		inst.server.Stop(stopAt.Add(4 * time.Second))
		outcomes := make(map[domain.Outcome]int)
		for range executes + searches {
			r := <-results
			var refusal *domain.Refusal
			if !errors.As(r.err, &refusal) || refusal.Reason != domain.Stopping && refusal.Reason != domain.Overloaded {
				t.Errorf("got %v, want a refusal because of the stop", r.err)
				continue
			}
			if r.execute {
				outcomes[refusal.Outcome]++
			}
		}
		if took := time.Since(stopAt); took != 4*time.Second {
			t.Errorf("the last request ended %v after the begin of the stop", took)
		}
		if outcomes[domain.Unknown] != slots || outcomes[domain.NotRun] != executes-slots {
			t.Errorf("outcomes %v, want unknown only for the %d that a server had", outcomes, slots)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := inst.server.AwaitClaims(ctx); err != nil {
			t.Fatal(err)
		}
		inst.storeMu.Lock()
		defer inst.storeMu.Unlock()
		released := 0
		for _, e := range inst.storeEntries {
			if strings.Contains(string(e.Value), "released") {
				released++
			}
		}
		if released != executes-slots {
			t.Errorf("%d claims were released, want %d", released, executes-slots)
		}
		// The calls of queries that are tried on one shard first go on for a while.
		time.Sleep(2 * time.Second)
	})
}
