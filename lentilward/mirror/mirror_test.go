package mirror

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lentilward.org/lentilward/blackboard"
)

// fakeStore is a store in memory whose history can be compacted.
type fakeStore struct {
	mu       sync.Mutex
	records  map[string]Record
	history  []Record
	revision uint64
	era      uint64
	// compactedRevision is the revision up to which the history is compacted.
	compactedRevision uint64
}

// currentRevision returns the revision of the last write.
func (s *fakeStore) currentRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// version returns the version of the last write.
func (s *fakeStore) version() blackboard.Version {
	return blackboard.Version{Era: s.era, Revision: s.currentRevision()}
}

// copy returns a store with the present state, and restore takes over that of a copy as the
// next era.
func (s *fakeStore) copy() *fakeStore {
	return &fakeStore{records: maps.Clone(s.records), history: slices.Clone(s.history), revision: s.revision}
}

func (s *fakeStore) restore(c *fakeStore) {
	s.records, s.history, s.revision = maps.Clone(c.records), slices.Clone(c.history), c.revision
	s.era++
}

// compact makes watches from before the present revision fail.
func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision = s.revision
}

func (s *fakeStore) write(key string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	r := Record{Key: key, Revision: s.revision, Deleted: deleted, Value: []byte(fmt.Sprint(s.revision))}
	if deleted {
		r.Value = nil
		delete(s.records, key)
	} else {
		s.records[key] = r
	}
	s.history = append(s.history, r)
}

func (s *fakeStore) list() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Record
	for _, r := range s.records {
		all = append(all, r)
	}
	return all
}

func (s *fakeStore) changesSince(revision uint64) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []Record
	for _, r := range s.history {
		if r.Revision > revision {
			changes = append(changes, r)
		}
	}
	return changes
}

// Guards against mirrors that end up different from the store, or return to an
// older version of a key, when changes, listings and the deltas of other mirrors
// arrive late and in any order, and the store comes back from copies in between.
func TestMirrorsConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeStore{records: make(map[string]Record)}
		older := s.copy()
		mirrors := []*Mirror{New(), New(), New()}
		latest := make([]map[string]blackboard.Version, len(mirrors))
		for i, m := range mirrors {
			latest[i] = make(map[string]blackboard.Version)
			m.OnChange = func(records []Record) {
				for _, r := range records {
					v := blackboard.Version{Era: r.Era, Revision: r.Revision}
					if v.Compare(latest[i][r.Key]) < 0 {
						t.Fatalf("mirror %d returned to an older version of %s", i, r.Key)
					}
					latest[i][r.Key] = v
				}
			}
		}
		// replies have been made and not yet arrived.
		var replies []func()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, len(mirrors)-1).Draw(t, "mirror")
			m := mirrors[i]
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				s.write(fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key")), false)
			case 1:
				key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
				if _, exists := s.records[key]; exists {
					s.write(key, true)
				}
			case 2:
				// The follower lists a store whose era is not that of its mirror.
				if v := m.Version(); !v.IsZero() && v.Era == s.era {
					changes, version := s.changesSince(v.Revision), s.version()
					replies = append(replies, func() { m.Apply(changes, version) })
				}
			case 3:
				records, version := s.list(), s.version()
				replies = append(replies, func() { m.MergeListing(records, version) })
			case 4:
				delta := mirrors[rapid.IntRange(0, len(mirrors)-1).Draw(t, "peer")].Since(m.Version())
				replies = append(replies, func() { m.Merge(delta) })
			case 5:
				older = s.copy()
			case 6:
				s.restore(older)
			case 7:
				if n := len(replies); n > 0 {
					next := rapid.IntRange(0, n-1).Draw(t, "reply")
					replies[next]()
					replies = slices.Delete(replies, next, next+1)
				}
			}
		}
		for i, m := range mirrors {
			m.MergeListing(s.list(), s.version())
			got := m.List("")
			if len(got) != len(s.records) {
				t.Fatalf("mirror %d has %d records, want the %d of the store", i, len(got), len(s.records))
			}
			for _, r := range got {
				if want := s.records[r.Key]; want.Revision != r.Revision || string(want.Value) != string(r.Value) {
					t.Fatalf("mirror %d has %v, want %v as in the store", i, r, want)
				}
			}
		}
	})
}

// Guards against a server that has left, or a key that was withdrawn, and comes back with a
// peer's reply that was on its way while a newer listing arrived: a listing leaves no
// tombstones of what it does not name.
func TestLateReplyDoesNotBringBackADeletedRecord(t *testing.T) {
	for name, late := range map[string]Delta{
		"whole":   {Revision: 4, Records: []Record{{Key: "a", Revision: 4}}, Whole: true},
		"changes": {Revision: 4, Records: []Record{{Key: "a", Revision: 4}}},
	} {
		m := New()
		m.MergeListing([]Record{{Key: "b", Revision: 1}}, blackboard.Version{Revision: 5})
		m.Merge(late)
		if got := m.List(""); len(got) != 1 || got[0].Key != "b" {
			t.Errorf("%s: mirror has %v after a late reply, want b alone", name, got)
		}
	}
}

// Guards against a record that is handed on after a newer one of the same key: a
// withdrawal that was taken back, or a server that has gone, would come back.
func TestChangesAreHandedOnInOrder(t *testing.T) {
	m := New()
	entered, proceed := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	var revisions []uint64
	m.OnChange = func(records []Record) {
		if records[0].Revision == 1 {
			close(entered)
			<-proceed
		}
		mu.Lock()
		defer mu.Unlock()
		revisions = append(revisions, records[0].Revision)
	}
	var applied sync.WaitGroup
	applied.Go(func() { m.Apply([]Record{{Key: "a", Revision: 1}}, blackboard.Version{Revision: 1}) })
	<-entered
	applied.Go(func() { m.Apply([]Record{{Key: "a", Revision: 2, Deleted: true}}, blackboard.Version{Revision: 2}) })
	for range 10_000 {
		runtime.Gosched()
	}
	close(proceed)
	applied.Wait()
	if !slices.Equal(revisions, []uint64{1, 2}) {
		t.Fatalf("revisions handed on: %v", revisions)
	}
}

// Guards against a revision that counts as known, and is confirmed by peers as the
// newest, before its records are handed on.
func TestRevisionIsKnownOnceItsChangesAreHandedOn(t *testing.T) {
	m := New()
	m.OnChange = func(records []Record) {
		if got := m.Version().Revision; got >= records[0].Revision {
			t.Errorf("revision %d is known before its change is handed on", got)
		}
	}
	m.MergeListing([]Record{{Key: "a", Revision: 4}}, blackboard.Version{Revision: 4})
	m.Apply([]Record{{Key: "a", Revision: 5}}, blackboard.Version{Revision: 5})
	m.MergeListing([]Record{{Key: "a", Revision: 7}}, blackboard.Version{Revision: 7})
	if m.Version().Revision != 7 {
		t.Fatalf("revision %d, want 7", m.Version().Revision)
	}
}

// Guards against records that stay for good on an instance that gets its changes from
// a peer which does not know of their deletion, because it started or listed the store
// after it.
func TestMirrorsConvergeThroughPeersAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeStore{records: make(map[string]Record)}
		mirrors := []*Mirror{New(), New(), New()}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m := mirrors[rapid.IntRange(0, len(mirrors)-1).Draw(t, "mirror")]
			key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
			_, exists := s.records[key]
			switch step := rapid.IntRange(0, 4).Draw(t, "step"); {
			case step == 0:
				s.write(key, false)
			case step == 1 && exists:
				s.write(key, true)
			case step == 2 && !m.Version().IsZero():
				m.Apply(s.changesSince(m.Version().Revision), s.version())
			case step == 3:
				m.MergeListing(s.list(), s.version())
			case step == 4:
				m.Merge(mirrors[rapid.IntRange(0, len(mirrors)-1).Draw(t, "peer")].Since(m.Version()))
			}
		}
		newest := mirrors[0]
		for _, m := range mirrors {
			if m.Version().Revision > newest.Version().Revision {
				newest = m
			}
		}
		want := newest.List("")
		for i, m := range mirrors {
			m.Merge(newest.Since(m.Version()))
			if got := m.List(""); len(got) != len(want) {
				t.Fatalf("mirror %d has %v, want %v as at the peer with the same revision", i, got, want)
			}
		}
	})
}

func newTestFollower(s *fakeStore) *Follower {
	f := NewFollower(New(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	f.MaxWatchWait = 5 * time.Second
	f.List = func(context.Context, string) (*Page, error) {
		return &Page{Records: s.list(), Version: s.version()}, nil
	}
	f.Watch = func(ctx context.Context, after uint64, wait time.Duration) (*Page, error) {
		s.mu.Lock()
		isCompacted := after < s.compactedRevision
		s.mu.Unlock()
		if isCompacted {
			return nil, ErrCompacted
		}
		for range int(wait / (10 * time.Millisecond)) {
			if s.currentRevision() > after {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		return &Page{Records: s.changesSince(after), Version: s.version()}, nil
	}
	return f
}

func runFollower(t *testing.T, f *Follower) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// Guards against an instance that never learns of a change, and whose peers take its records
// for the newest, because a watch that heard nothing of the change replied with its revision.
func TestWatchThatHeardNothingOfAChangeDoesNotHideIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{records: make(map[string]Record)}
		s.write("a", false)
		f := newTestFollower(s)
		var deaf atomic.Bool
		watch := f.Watch
		f.Watch = func(ctx context.Context, after uint64, wait time.Duration) (*Page, error) {
			if deaf.Load() {
				sleep(ctx, 10*time.Millisecond)
				return &Page{Version: s.version()}, ctx.Err()
			}
			return watch(ctx, after, wait)
		}
		runFollower(t, f)
		time.Sleep(10 * time.Second)
		deaf.Store(true)
		time.Sleep(10 * time.Second)
		s.write("a", true)
		time.Sleep(time.Second)
		if age := f.Age(); age < time.Second {
			t.Errorf("age %v without the change", age)
		}
		s.compact()
		deaf.Store(false)
		time.Sleep(10 * time.Second)
		if got := f.mirror.List(""); len(got) != 0 {
			t.Errorf("mirror has %v, want nothing", got)
		}
	})
}

// Guards against records that count as current because of a reply that the store made before
// it came back from an older copy, of which a peer has told meanwhile.
func TestReplyOfAnOlderEraConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{records: make(map[string]Record)}
		s.write("a", false)
		f := newTestFollower(s)
		if err := f.listAll(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		peer := s.copy()
		peer.restore(peer.copy())
		hearOfNewEra := func() { f.mirror.Merge(Delta{Era: 1, Revision: 1, Records: peer.list(), Whole: true}) }
		watch, list := f.Watch, f.List
		f.Watch = func(ctx context.Context, after uint64, wait time.Duration) (*Page, error) {
			hearOfNewEra()
			return watch(ctx, after, wait)
		}
		if err := f.watch(t.Context(), time.Second); !errors.Is(err, errOldEra) {
			t.Errorf("watch: %v, want errOldEra", err)
		}
		f.List = func(ctx context.Context, after string) (*Page, error) {
			hearOfNewEra()
			return list(ctx, after)
		}
		if err := f.listAll(t.Context()); !errors.Is(err, errOldEra) {
			t.Errorf("listing: %v, want errOldEra", err)
		}
		if age := f.Age(); age < time.Minute {
			t.Errorf("age %v, want a minute or more", age)
		}
	})
}

// Guards against a store that is asked without a pause while it does not have the revision at
// hand and does not say that it came back from an older copy, and against a listing whose
// pages are of different eras.
func TestListingsThatDoNotHelpAreRepeatedWithAPause(t *testing.T) {
	for _, step := range []uint64{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{records: make(map[string]Record)}
			s.write("a", false)
			older := s.copy()
			s.write("b", false)
			f := newTestFollower(s)
			var calls, era atomic.Int64
			watch := f.Watch
			f.Watch = func(ctx context.Context, after uint64, wait time.Duration) (*Page, error) {
				calls.Add(1)
				return watch(ctx, after, wait)
			}
			f.List = func(_ context.Context, after string) (*Page, error) {
				calls.Add(1)
				// With a step of 1 each page is of another era.
				v := blackboard.Version{Era: uint64(era.Add(int64(step))), Revision: s.currentRevision()}
				return &Page{Records: s.list(), Version: v, More: step > 0 && after == ""}, nil
			}
			if step == 0 {
				f.mirror.MergeListing(s.list(), s.version())
				s.restore(older)
				s.era, s.compactedRevision = 0, 3
			}
			runFollower(t, f)
			time.Sleep(10 * time.Second)
			if n := calls.Load(); n > 40 {
				t.Errorf("step %d: %d calls to the store in 10 s", step, n)
			}
		})
	}
}

func TestFollowerRelistsAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{records: make(map[string]Record)}
		s.write("a", false)
		s.write("b", false)
		f := newTestFollower(s)
		runFollower(t, f)
		time.Sleep(time.Second)
		s.write("a", true)
		s.write("c", false)
		s.compact()
		time.Sleep(time.Second)
		if got := f.mirror.List(""); len(got) != 2 || got[0].Key != "b" || got[1].Key != "c" {
			t.Fatalf("mirror has %v", got)
		}
		if age := f.Age(); age > time.Second {
			t.Fatalf("age %v a second after the last change", age)
		}
	})
}

// Guards against records that count as current because a watch is open, although
// the store may not be reachable through its connection any more.
func TestAgeGrowsWhileWatchIsOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{records: make(map[string]Record)}
		s.write("a", false)
		f := newTestFollower(s)
		watch := f.Watch
		var silent atomic.Bool
		f.Watch = func(ctx context.Context, after uint64, wait time.Duration) (*Page, error) {
			if silent.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return watch(ctx, after, wait)
		}
		runFollower(t, f)
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			if age := f.Age(); age > f.MaxWatchWait+100*time.Millisecond {
				t.Fatalf("age %v while the store replies", age)
			}
		}
		before := f.Age()
		silent.Store(true)
		time.Sleep(20 * time.Second)
		if age := f.Age(); age < before+14*time.Second || age > before+20*time.Second {
			t.Fatalf("age %v after 20 s in which no watch returned or one more did, %v before", age, before)
		}
	})
}

// Guards against a watch that never returns, as on a dead connection: it must be
// cancelled soon after its wait.
func TestUnansweredWatchTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{records: make(map[string]Record)}
		s.write("a", false)
		f := newTestFollower(s)
		watch := f.Watch
		blocked := true
		f.Watch = func(ctx context.Context, after uint64, wait time.Duration) (*Page, error) {
			if blocked {
				blocked = false
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return watch(ctx, after, wait)
		}
		runFollower(t, f)
		time.Sleep(time.Second)
		s.write("b", false)
		time.Sleep(6500 * time.Millisecond)
		if got := f.mirror.List(""); len(got) != 2 {
			t.Fatalf("mirror has %v", got)
		}
	})
}

// Guards against records that count as current while the store refuses this
// instance's calls. Their age must grow until a peer confirms them.
func TestAgeGrowsWhileStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{records: make(map[string]Record)}
		s.write("a", false)
		f := newTestFollower(s)
		watch := f.Watch
		var refused atomic.Bool
		f.Watch = func(ctx context.Context, after uint64, wait time.Duration) (*Page, error) {
			if refused.Load() {
				return nil, errors.New("refused")
			}
			return watch(ctx, after, wait)
		}
		runFollower(t, f)
		time.Sleep(time.Second)
		refused.Store(true)
		time.Sleep(20 * time.Second)
		if age := f.Age(); age < 10*time.Second || f.SinceReturn() != 0 {
			t.Fatalf("age %v, store back for %v", age, f.SinceReturn())
		}
		f.MarkCurrent(time.Second)
		if age := f.Age(); age != time.Second {
			t.Fatalf("age %v, want 1s", age)
		}
	})
}

// Guards against one call to the store for each change of a burst.
func TestChangesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{records: make(map[string]Record)}
		s.write("a", false)
		f := newTestFollower(s)
		watch := f.Watch
		var calls atomic.Int32
		f.Watch = func(ctx context.Context, after uint64, wait time.Duration) (*Page, error) {
			calls.Add(1)
			return watch(ctx, after, wait)
		}
		runFollower(t, f)
		time.Sleep(time.Second)
		before := calls.Load()
		for i := range 50 {
			s.write(fmt.Sprint("k", i), false)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Second)
		if n := calls.Load() - before; n > 6 || len(f.mirror.List("")) != 51 {
			t.Fatalf("%d calls for 50 changes in a second, %d records", n, len(f.mirror.List("")))
		}
	})
}

// Guards against a requested confirmation that waits for the end of the current watch, or
// for the pause after one, and against one that an instance that does not read the store
// never makes.
func TestConfirmAsksTheStoreAtOnce(t *testing.T) {
	for name, reads := range map[string]bool{"reads the store": true, "gets records from peers": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{records: make(map[string]Record)}
				s.write("a", false)
				f := newTestFollower(s)
				watch := f.Watch
				var silent, readsStore atomic.Bool
				readsStore.Store(true)
				f.ReadsStore = readsStore.Load
				f.Watch = func(ctx context.Context, after uint64, wait time.Duration) (*Page, error) {
					if silent.Load() {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					return watch(ctx, after, wait)
				}
				runFollower(t, f)
				time.Sleep(time.Second)
				silent.Store(true)
				readsStore.Store(reads)
				time.Sleep(5 * time.Second)
				silent.Store(false)
				for _, key := range []string{"b", "c"} {
					s.write(key, false)
					f.Confirm()
					f.Confirm()
					time.Sleep(20 * time.Millisecond)
					if got := f.mirror.List(""); got[len(got)-1].Key != key || f.Age() > 20*time.Millisecond || f.SinceReturn() < neverAge {
						t.Fatalf("mirror has %v, confirmed %v ago, store back for %v", got, f.Age(), f.SinceReturn())
					}
				}
			})
		})
	}
}

// Guards against an outage of the store that seems to last until a call that began in it
// has timed out, although a peer has reached the store meanwhile.
func TestStoreHasReturnedOnceAPeerReachesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFollower(New(), slog.New(slog.DiscardHandler))
		want := func(situation string, want time.Duration) {
			t.Helper()
			if got := f.SinceReturn(); got != want {
				t.Errorf("%s: store back for %v, want %v", situation, got, want)
			}
		}
		want("no failure", neverAge)
		time.Sleep(time.Minute)
		f.recordFailure(time.Now().Add(-2 * time.Second))
		want("a call has failed", 0)
		f.MarkCurrent(time.Second)
		want("confirmed before the failure was known", 0)
		hangingSince := time.Now()
		time.Sleep(time.Second)
		f.MarkCurrent(300 * time.Millisecond)
		want("a peer has reached the store since", 300*time.Millisecond)
		time.Sleep(time.Second)
		f.recordFailure(hangingSince)
		want("a call that began before has timed out", 1300*time.Millisecond)
		f.recordFailure(time.Now().Add(-time.Second))
		want("a call that began after has failed", 0)
	})
}

// Guards against a return of the store that makes all instances list its records at the same
// moment: those that do not read the store for others get the records from them.
func TestRecordsOfANewEraComeFromPeers(t *testing.T) {
	for _, peersTell := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{records: make(map[string]Record)}
			s.write("a", false)
			f := newTestFollower(s)
			f.ReadsForPeers = func() bool { return false }
			var listings atomic.Int64
			list := f.List
			f.List = func(ctx context.Context, after string) (*Page, error) {
				listings.Add(1)
				return list(ctx, after)
			}
			f.Watch = func(context.Context, uint64, time.Duration) (*Page, error) {
				return &Page{Version: s.version()}, ErrCompacted
			}
			if err := f.listAll(t.Context()); err != nil {
				t.Fatal(err)
			}
			s.restore(s.copy())
			if peersTell {
				time.AfterFunc(peersDelay/4, func() {
					f.mirror.Merge(Delta{Era: s.era, Revision: s.revision, Records: s.list(), Whole: true})
				})
			}
			err := f.sync(t.Context())
			if got := listings.Load() - 1; err != nil || f.mirror.Version() != s.version() || got > 0 == peersTell {
				t.Errorf("peers tell %v: %d listings, records %v, %v", peersTell, got, f.mirror.Version(), err)
			}
		})
	}
}
