package store

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/platform"
)

// handlerTransport passes requests directly to a handler.
type handlerTransport struct{ http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("no reply: %v", cause)
		}
	}()
	call := r.Clone(r.Context())
	call.RemoteAddr = "10.0.0.1:1"
	if call.Body == nil {
		call.Body = http.NoBody
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, call)
	return w.Result(), nil
}

// newPlatformStore returns a stand-in of the store, a client of it, and the Store of an operator.
func newPlatformStore() (*standin.Store, *platform.Store, *Store) {
	s := standin.New(1)
	client := platform.NewStore(netip.MustParseAddrPort("10.1.0.1:1"), &http.Client{Transport: handlerTransport{s.Handler()}})
	return s, client, NewStore(NewKeyValue(client), blackboard.New(blackboard.LocalInstance{}))
}

// startWatcher starts the watcher of an instance with a rank.
func startWatcher(t *testing.T, client *platform.Store, rank int) (w *Watcher, stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	board := blackboard.New(blackboard.LocalInstance{})
	w = NewWatcher(NewStore(NewKeyValue(client), board), board, slog.New(slog.DiscardHandler))
	w.Rank = func() int { return rank }
	go func() {
		w.Run(ctx)
		close(done)
	}()
	return w, func() {
		cancel()
		<-done
	}
}

// Guards against a watcher that never sees the head of the configuration again after the store
// has come back from an older copy, since its revision is not greater than the one before, and
// that takes the older head of the copy for a confirmation.
func TestHeadIsSeenAfterStoreReturnedFromCopy(t *testing.T) {
	for name, rank := range map[string]int{"watching": 0, "polling": maxWatchingInstances} {
		for _, sameRevision := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, same revision %v", name, sameRevision), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s, client, operator := newPlatformStore()
					change := func(id string, edit Edit) {
						t.Helper()
						if _, _, err := operator.Change(t.Context(), id, edit); err != nil {
							t.Fatal(err)
						}
					}
					change("1", putService("a", "1"))
					older := s.TakeCopy()
					change("2", putService("b", "2"))
					change("3", putService("c", "3"))
					_, before, err := operator.Load(t.Context())
					if err != nil {
						t.Fatal(err)
					}
					w, stop := startWatcher(t, client, rank)
					defer stop()
					time.Sleep(30 * time.Second)
					s.Restore(older)
					calls := client.Calls.Load()
					time.Sleep(2 * pollInterval)
					if w.board.Config.Load().Revision != 3 {
						t.Errorf("revision %d is in force, want the newest that is known", w.board.Config.Load().Revision)
					}
					if age := w.Age(); age < pollInterval/2 {
						t.Errorf("confirmed %v ago by a store that has an older configuration", age)
					}
					if n := client.Calls.Load() - calls; n > 2*int64(2*pollInterval/watchTimeout)+10 {
						t.Errorf("%d calls in %v while the store has an older configuration", n, 2*pollInterval)
					}
					for sameRevision {
						revision, err := client.Commit(t.Context(), nil, []platform.Write{{Key: "other"}}, nil)
						if err != nil {
							t.Fatal(err)
						}
						if revision == before-1 {
							break
						}
					}
					// The configuration is written back by a person as the next one.
					change("4", func(c *blackboard.Config) (*blackboard.Config, error) {
						next := c.Next(blackboard.Change{ID: "4", Subject: "service/a"})
						next.Revision = 4
						return next, nil
					})
					if _, revision, err := operator.Load(t.Context()); err != nil || revision > before {
						t.Fatalf("head at %d, was at %d, error %v", revision, before, err)
					}
					time.Sleep(2 * pollInterval)
					if got := w.board.Config.Load().Revision; got != 4 || w.Age() > pollInterval {
						t.Errorf("revision %d is in force, confirmed %v ago, want 4", got, w.Age())
					}
				})
			})
		}
	}
}

// Guards against an instance that takes the store to be behind, and does not read it, because
// a peer has told it of a newer configuration than the one that it last read there.
func TestConfigurationFromPeerDoesNotKeepFromReadingTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 12 * time.Second
		_, client, operator := newPlatformStore()
		change := func(id string) *blackboard.Config {
			t.Helper()
			c, _, err := operator.Change(t.Context(), id, putService(id, id))
			if err != nil {
				t.Fatal(err)
			}
			return c
		}
		change("a")
		w, stop := startWatcher(t, client, maxWatchingInstances)
		defer stop()
		time.Sleep(time.Second)
		w.board.Install(change("b"))
		for range 10 {
			w.MarkCurrent(0)
			time.Sleep(time.Second)
		}
		change("c")
		time.Sleep(bound)
		if w.board.Config.Load().Services["c"] == nil {
			t.Errorf("configuration is not in force %v after it was accepted, with no peer that confirms", bound)
		}
	})
}
