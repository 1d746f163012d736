package mirror

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// store is a store with a history.
type store struct {
	mu       sync.Mutex
	records  map[string]Record
	history  []Record
	revision uint64
	// oldest is the revision from which on the history is known.
	oldest uint64
}

// at returns the revision.
func (s *store) at() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// forget drops the history.
func (s *store) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.revision
}

func (s *store) write(key string, deleted bool) {
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

func (s *store) list() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Record
	for _, r := range s.records {
		all = append(all, r)
	}
	return all
}

func (s *store) since(revision uint64) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var later []Record
	for _, r := range s.history {
		if r.Revision > revision {
			later = append(later, r)
		}
	}
	return later
}

// Mirrors that learn from the store, by events or by listings, and from one
// another in any order end with what the store has, and never go back.
func TestMirrorsFollowTheStoreInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{records: make(map[string]Record)}
		mirrors := []*Mirror{New(), New(), New()}
		latest := make([]map[string]uint64, len(mirrors))
		for i, m := range mirrors {
			latest[i] = make(map[string]uint64)
			m.Changed = func(records []Record) {
				for _, r := range records {
					if r.Revision < latest[i][r.Key] {
						t.Fatalf("mirror %d went back on %s", i, r.Key)
					}
					latest[i][r.Key] = r.Revision
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(mirrors)-1).Draw(t, "mirror")
			m := mirrors[i]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				s.write(fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key")), false)
			case 1:
				key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
				if _, there := s.records[key]; there {
					s.write(key, true)
				}
			case 2:
				if m.Revision() > 0 {
					m.Apply(s.since(m.Revision()), s.revision)
				}
			case 3:
				m.Reset(s.list(), s.revision)
			case 4:
				peer := mirrors[rapid.IntRange(0, len(mirrors)-1).Draw(t, "peer")]
				if d := peer.Since(m.Revision()); d.Revision > m.Revision() {
					m.Apply(d.Records, d.Revision)
				}
			}
		}
		for i, m := range mirrors {
			m.Reset(s.list(), s.revision)
			got := m.List("")
			if len(got) != len(s.records) {
				t.Fatalf("mirror %d has %d records, the store %d", i, len(got), len(s.records))
			}
			for _, r := range got {
				if want := s.records[r.Key]; want.Revision != r.Revision || string(want.Value) != string(r.Value) {
					t.Fatalf("mirror %d has %v, the store %v", i, r, want)
				}
			}
		}
	})
}

func newTestFollower(s *store) *Follower {
	f := NewFollower(New(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	f.Wait = 5 * time.Second
	f.List = func(context.Context, string) (*Page, error) {
		return &Page{Records: s.list(), Revision: s.at()}, nil
	}
	f.Watch = func(ctx context.Context, after uint64, wait time.Duration) (*Page, error) {
		s.mu.Lock()
		gone := after < s.oldest
		s.mu.Unlock()
		if gone {
			return nil, ErrHistoryGone
		}
		for range int(wait / (10 * time.Millisecond)) {
			if s.at() > after {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		return &Page{Records: s.since(after), Revision: s.at()}, nil
	}
	return f
}

func follow(t *testing.T, f *Follower) {
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

func TestFollowerReadsAnewOnceTheHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{records: make(map[string]Record)}
		s.write("a", false)
		s.write("b", false)
		f := newTestFollower(s)
		follow(t, f)
		time.Sleep(time.Second)
		s.write("a", true)
		s.write("c", false)
		s.forget()
		time.Sleep(time.Second)
		if got := f.mirror.List(""); len(got) != 2 || got[0].Key != "b" || got[1].Key != "c" {
			t.Fatalf("mirror has %v", got)
		}
		if f.Age() != 0 {
			t.Fatalf("age %v while watching", f.Age())
		}
	})
}

// A watch that goes silent for good is given up a moment after its wait.
func TestSilentWatchIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{records: make(map[string]Record)}
		s.write("a", false)
		f := newTestFollower(s)
		watch := f.Watch
		silent := true
		f.Watch = func(ctx context.Context, after uint64, wait time.Duration) (*Page, error) {
			if silent {
				silent = false
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return watch(ctx, after, wait)
		}
		follow(t, f)
		time.Sleep(time.Second)
		s.write("b", false)
		time.Sleep(6500 * time.Millisecond)
		if got := f.mirror.List(""); len(got) != 2 {
			t.Fatalf("mirror has %v", got)
		}
	})
}

// While the store refuses this instance, what it knows grows old, until a peer
// tells that it is current.
func TestAgeGrowsWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{records: make(map[string]Record)}
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
		follow(t, f)
		time.Sleep(time.Second)
		refused.Store(true)
		time.Sleep(20 * time.Second)
		if age := f.Age(); age < 10*time.Second || f.Troubled() > 3*time.Second {
			t.Fatalf("age %v, last trouble %v ago", age, f.Troubled())
		}
		f.Told(time.Second)
		if age := f.Age(); age != time.Second {
			t.Fatalf("age %v, want 1s", age)
		}
	})
}

// Changes that come one after the other are read together.
func TestChangesGather(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{records: make(map[string]Record)}
		s.write("a", false)
		f := newTestFollower(s)
		watch := f.Watch
		var calls atomic.Int32
		f.Watch = func(ctx context.Context, after uint64, wait time.Duration) (*Page, error) {
			calls.Add(1)
			return watch(ctx, after, wait)
		}
		follow(t, f)
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

// A reading that was asked for does not wait for the end of a watch.
func TestRelistInterruptsAWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{records: make(map[string]Record)}
		s.write("a", false)
		f := newTestFollower(s)
		f.Watch = func(ctx context.Context, _ uint64, _ time.Duration) (*Page, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		follow(t, f)
		time.Sleep(time.Second)
		s.write("b", false)
		f.Relist()
		time.Sleep(100 * time.Millisecond)
		if got := f.mirror.List(""); len(got) != 2 || f.Listed() > 200*time.Millisecond {
			t.Fatalf("mirror has %v, listed %v ago", got, f.Listed())
		}
	})
}
