package store

import (
	"context"
	"math/rand/v2"
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
		GrantLease: func(ctx context.Context, _ time.Duration) (uint64, error) {
			if failed, _ := f.simulateCall(ctx); failed {
				return 0, ErrUnavailable
			}
			return 1, nil
		},
	}
}

func (f *fakeKV) put(ctx context.Context, key string, value []byte, expected, _ uint64) (uint64, error) {
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
