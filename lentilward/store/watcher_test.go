package store

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/blackboard"
)

// Guards against a configuration that is not in force within its bound of 12 s
// because the watch waits on a connection that has gone silent.
func TestConfigurationIsInForceAfterWatchWentSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 12 * time.Second
		fake := newFakeKV(1)
		board := blackboard.New(blackboard.LocalInstance{})
		kv := fake.keyValue()
		calls := 0
		kv.Wait = func(ctx context.Context, key string, known Entry, timeout time.Duration) (Entry, error) {
			if calls++; calls == 2 {
				<-ctx.Done()
				return Entry{}, ctx.Err()
			}
			if e, err := kv.Get(ctx, key); err != nil || e.Revision != known.Revision {
				return e, err
			}
			time.Sleep(timeout)
			return kv.Get(ctx, key)
		}
		operator := NewStore(fake.keyValue(), blackboard.New(blackboard.LocalInstance{}))
		if _, _, err := operator.Change(t.Context(), "1", putService("a", "1")); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			NewWatcher(NewStore(kv, board), board, slog.New(slog.DiscardHandler)).Run(ctx)
			close(done)
		}()
		time.Sleep(time.Second)
		if board.Config.Load().Services["a"] == nil {
			t.Fatal("first configuration is not in force")
		}
		if _, _, err := operator.Change(t.Context(), "2", putService("b", "2")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(bound)
		if board.Config.Load().Services["b"] == nil {
			t.Errorf("configuration is not in force %v after it was accepted", bound)
		}
		cancel()
		<-done
	})
}

// Guards against an instance that gets its configuration from peers and keeps an old one for
// up to a minute once all those that hold a watch are lost (the cause of a case of a review,
// on the gRPC face).
func TestConfigurationIsInForceAfterAllWatchersAreLost(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const bound = 12 * time.Second
				fake := newFakeKV(seed)
				board := blackboard.New(blackboard.LocalInstance{})
				kv := fake.keyValue()
				var calls atomic.Int32
				kv.Wait = func(ctx context.Context, key string, known Entry, timeout time.Duration) (Entry, error) {
					calls.Add(1)
					if e, err := kv.Get(ctx, key); err != nil || e.Revision != known.Revision {
						return e, err
					}
					time.Sleep(timeout)
					return kv.Get(ctx, key)
				}
				operator := NewStore(fake.keyValue(), blackboard.New(blackboard.LocalInstance{}))
				change := func(id string) {
					if _, _, err := operator.Change(t.Context(), id, putService(id, id)); err != nil {
						t.Fatal(err)
					}
				}
				change("a")
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				w := NewWatcher(NewStore(kv, board), board, slog.New(slog.DiscardHandler))
				w.Rank = func() int { return maxWatchingInstances }
				go func() {
					w.Run(ctx)
					close(done)
				}()
				time.Sleep(time.Second)
				for range 20 + seed {
					w.MarkCurrent(watchTimeout)
					time.Sleep(time.Second)
				}
				if n := calls.Load(); n > 3 {
					t.Errorf("%d calls while peers confirm the configuration", n)
				}
				change("b")
				time.Sleep(bound)
				if board.Config.Load().Services["b"] == nil {
					t.Errorf("configuration is not in force %v after it was accepted", bound)
				}
				cancel()
				<-done
			})
		})
	}
}
