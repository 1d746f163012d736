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

// put returns an edit that writes a service.
func put(name, id string) Edit {
	return func(c *blackboard.Config) (*blackboard.Config, error) {
		next := c.Next(blackboard.Change{ID: id, Subject: "service/" + name})
		next.Services[name] = &blackboard.Service{Name: name, Revision: next.Revision, ChangeID: id}
		return next, nil
	}
}

// Operators race through several instances while answers are lost and calls
// fail. Each resends a change until it is settled. What was accepted is in the
// final state, once, at the revision that was answered.
func TestAcceptedChangesAreTheFinalState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		lost := rapid.Float64Range(0, 0.4).Draw(rt, "lost")
		failed := rapid.Float64Range(0, 0.2).Draw(rt, "failed")
		synctest.Test(t, func(t *testing.T) {
			kv := newFakeKV(seed)
			kv.lost, kv.failed = lost, failed
			accepted := race(kv)
			kv.lost, kv.failed = 0, 0
			store := NewStore(kv.keyValue(), blackboard.New(blackboard.Own{}))
			final, _, err := store.Load(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if int(final.Revision) != len(final.History) {
				t.Fatalf("seed %d: %d changes at revision %d", seed, len(final.History), final.Revision)
			}
			for id, revision := range accepted {
				h, found := final.FindChange(id)
				if !found || h.Revision != revision {
					t.Fatalf("seed %d: change %s accepted at %d is at %d", seed, id, revision, h.Revision)
				}
			}
		})
	})
}

// race lets 4 operators make 6 changes each and returns those accepted.
func race(kv *fakeKV) map[string]uint64 {
	var mu sync.Mutex
	accepted := make(map[string]uint64)
	var wg sync.WaitGroup
	for operator := range 4 {
		board := blackboard.New(blackboard.Own{})
		store := NewStore(kv.keyValue(), board)
		wg.Go(func() {
			for n := range 6 {
				id := fmt.Sprintf("%d-%d", operator, n)
				for range 5 {
					c, _, err := store.Change(context.Background(), id, put(fmt.Sprintf("s%d", n%3), id))
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

// A platform that was restored to an older state takes no change, since the
// change would undo what is in force.
func TestRestoredPlatformTakesNoChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newFakeKV(1)
		board := blackboard.New(blackboard.Own{})
		store := NewStore(kv.keyValue(), board)
		ctx := context.Background()
		first, _, err := store.Change(ctx, "1", put("a", "1"))
		if err != nil {
			t.Fatal(err)
		}
		older := kv.entries[headKey]
		second, _, err := store.Change(ctx, "2", put("b", "2"))
		if err != nil {
			t.Fatal(err)
		}
		board.Install(first)
		board.Install(second)
		kv.entries[headKey] = older
		if _, _, err := store.Change(ctx, "3", put("c", "3")); !errors.Is(err, ErrRolledBack) {
			t.Fatalf("got %v, want ErrRolledBack", err)
		}
	})
}

// The value of a large configuration stays under the platform's limit.
func TestHeadStaysSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := newFakeKV(1)
		store := NewStore(kv.keyValue(), blackboard.New(blackboard.Own{}))
		c := &blackboard.Config{}
		for i := range 4200 {
			c, _ = put(fmt.Sprintf("service-with-a-long-name-%05d", i), fmt.Sprintf("0a1b2c3d-0000-4000-8000-%012d", i))(c)
		}
		old := *c
		old.Services = c.Services
		next, _ := put("service-with-a-long-name-00000", "last")(c)
		if err := store.write(context.Background(), &old, next, "last", 0); err != nil {
			t.Fatal(err)
		}
		if n := len(kv.entries[headKey].Value); n > 1<<20 {
			t.Fatalf("head has %d bytes", n)
		}
	})
}
