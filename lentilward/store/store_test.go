package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lentilward.org/lentilward/blackboard"
)

// putService returns an edit that writes a service.
func putService(name, id string) Edit {
	return func(c *blackboard.Config) (*blackboard.Config, error) {
		next := c.Next(blackboard.Change{ID: id, Subject: "service/" + name})
		next.Services[name] = &blackboard.Service{Name: name, Revision: next.Revision, ChangeID: id}
		return next, nil
	}
}

// Guards against lost and duplicate changes when several operators change the
// configuration concurrently through different instances while store replies are
// lost and store calls fail. Each operator resends a change until it is accepted.
// The final history must contain every accepted change once, at the revision that
// was returned for it.
func TestAcceptedChangesSurviveRacesAndLostReplies(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		lost := rapid.Float64Range(0, 0.4).Draw(rt, "lost")
		failed := rapid.Float64Range(0, 0.2).Draw(rt, "failed")
		synctest.Test(t, func(t *testing.T) {
			kv := newFakeKV(seed)
			kv.lostReplyShare, kv.failedShare = lost, failed
			accepted := raceOperators(kv)
			kv.lostReplyShare, kv.failedShare = 0, 0
			store := NewStore(kv.keyValue(), blackboard.New(blackboard.LocalInstance{}))
			final, _, err := store.Load(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if int(final.Revision) != len(final.History) {
				t.Fatalf("seed %d: history has %d changes at revision %d", seed, len(final.History), final.Revision)
			}
			for id, revision := range accepted {
				h, found := final.FindChange(id)
				if !found || h.Revision != revision {
					t.Fatalf("seed %d: change %s was accepted at revision %d but is at %d in the history", seed, id, revision, h.Revision)
				}
			}
		})
	})
}

// raceOperators runs 4 concurrent operators that make 6 changes each. It returns the
// revision of each accepted change by its id.
func raceOperators(kv *fakeKV) map[string]uint64 {
	var mu sync.Mutex
	accepted := make(map[string]uint64)
	var wg sync.WaitGroup
	for operator := range 4 {
		board := blackboard.New(blackboard.LocalInstance{})
		store := NewStore(kv.keyValue(), board)
		wg.Go(func() {
			for n := range 6 {
				id := fmt.Sprintf("%d-%d", operator, n)
				for range 5 {
					c, _, err := store.Change(context.Background(), id, putService(fmt.Sprintf("s%d", n%3), id))
					if err != nil {
						time.Sleep(time.Second)
						continue
					}
					board.Install(c)
					h, _ := c.FindChange(id)
					mu.Lock()
					accepted[id] = h.Revision
					mu.Unlock()
					break
				}
			}
		})
	}
	wg.Wait()
	return accepted
}

// Guards against changes on a platform that was restored to an older state: they
// would revert the newer configuration that is in force.
func TestChangeRejectedAfterPlatformRestoresOlderState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newFakeKV(1)
		board := blackboard.New(blackboard.LocalInstance{})
		store := NewStore(kv.keyValue(), board)
		ctx := context.Background()
		first, _, err := store.Change(ctx, "1", putService("a", "1"))
		if err != nil {
			t.Fatal(err)
		}
		older := kv.entries[headKey]
		second, _, err := store.Change(ctx, "2", putService("b", "2"))
		if err != nil {
			t.Fatal(err)
		}
		board.Install(first)
		board.Install(second)
		kv.entries[headKey] = older
		if _, _, err := store.Change(ctx, "3", putService("c", "3")); !errors.Is(err, ErrRolledBack) {
			t.Fatalf("got %v, want ErrRolledBack", err)
		}
	})
}

// Guards against a head of a large configuration that exceeds the platform's limit
// on the size of a value, 1 MiB.
func TestHeadOfLargeConfigurationStaysUnderSizeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newFakeKV(1)
		store := NewStore(kv.keyValue(), blackboard.New(blackboard.LocalInstance{}))
		c := &blackboard.Config{}
		for i := range 4200 {
			c, _ = putService(fmt.Sprintf("service-with-a-long-name-%05d", i), fmt.Sprintf("0a1b2c3d-0000-4000-8000-%012d", i))(c)
		}
		old := *c
		old.Services = c.Services
		next, _ := putService("service-with-a-long-name-00000", "last")(c)
		if err := store.writeConfig(context.Background(), &old, next, "last", 0); err != nil {
			t.Fatal(err)
		}
		if n := len(kv.entries[headKey].Value); n > 1<<20 {
			t.Fatalf("head has %d bytes, want at most 1 MiB", n)
		}
	})
}
