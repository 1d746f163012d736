package store

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// fakeKV is an in-memory key-value service that loses replies and fails calls at
// random.
type fakeKV struct {
	mu       sync.Mutex
	rng      *rand.Rand
	entries  map[string]Entry
	revision uint64
	// lostReplyShare is the share of writes that take effect but whose reply is
	// lost; failedShare is the share of calls that fail without effect.
	lostReplyShare, failedShare float64
	writes                      int
}

func newFakeKV(seed uint64) *fakeKV {
	return &fakeKV{rng: rand.New(rand.NewPCG(seed, 0)), entries: make(map[string]Entry)}
}

// simulateCall waits for a random delay and draws whether the call fails or, if it
// is a write, loses its reply. A call whose context ends fails.
func (f *fakeKV) simulateCall(ctx context.Context) (failed, lost bool) {
	f.mu.Lock()
	delay := time.Duration(f.rng.IntN(10)) * time.Millisecond
	failed, lost = f.rng.Float64() < f.failedShare, f.rng.Float64() < f.lostReplyShare
	f.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return true, false
	}
	return failed, lost
}

func (f *fakeKV) keyValue() *KeyValue {
	return &KeyValue{
		Get: func(ctx context.Context, key string) (Entry, error) {
			if failed, _ := f.simulateCall(ctx); failed {
				return Entry{}, ErrUnavailable
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.entries[key], nil
		},
		Put: f.put,
		Delete: func(ctx context.Context, key string) error {
			if failed, _ := f.simulateCall(ctx); failed {
				return ErrUnavailable
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			delete(f.entries, key)
			return nil
		},
		DeleteAll: func(ctx context.Context, entries []ListedEntry) error {
			if failed, _ := f.simulateCall(ctx); failed {
				return ErrUnavailable
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, e := range entries {
				if f.entries[e.Key].Revision != e.Revision {
					return ErrConflict
				}
			}
			for _, e := range entries {
				delete(f.entries, e.Key)
			}
			return nil
		},
		List: func(ctx context.Context, prefix, after string) ([]ListedEntry, bool, error) {
			if failed, _ := f.simulateCall(ctx); failed {
				return nil, false, ErrUnavailable
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			var page []ListedEntry
			for key, e := range f.entries {
				if strings.HasPrefix(key, prefix) && key > after {
					page = append(page, ListedEntry{key, e.Value, e.Revision})
				}
			}
			slices.SortFunc(page, func(a, b ListedEntry) int { return strings.Compare(a.Key, b.Key) })
			const pageLength = 3
			return page[:min(len(page), pageLength)], len(page) > pageLength, nil
		},
	}
}

func (f *fakeKV) put(ctx context.Context, key string, value []byte, expected uint64) (uint64, error) {
	failed, lost := f.simulateCall(ctx)
	if failed {
		return 0, ErrUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.entries[key].Revision != expected {
		return 0, ErrConflict
	}
	f.revision++
	f.writes++
	f.entries[key] = Entry{Value: value, Revision: f.revision}
	if lost {
		return 0, ErrUnavailable
	}
	return f.revision, nil
}
