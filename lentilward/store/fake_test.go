package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// fakeKV is a key-value service in memory that loses answers and fails.
type fakeKV struct {
	mu       sync.Mutex
	draw     *rand.Rand
	entries  map[string]Entry
	revision uint64
	// lost is the share of writes that take effect without an answer, failed
	// that of calls without effect.
	lost, failed float64
	writes       int
}

func newFakeKV(seed uint64) *fakeKV {
	return &fakeKV{draw: rand.New(rand.NewPCG(seed, 0)), entries: make(map[string]Entry)}
}

// call takes a random time and decides what becomes of a call.
func (f *fakeKV) call(ctx context.Context) (failed, lost bool) {
	f.mu.Lock()
	delay := time.Duration(f.draw.IntN(10)) * time.Millisecond
	failed, lost = f.draw.Float64() < f.failed, f.draw.Float64() < f.lost
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
			if failed, _ := f.call(ctx); failed {
				return Entry{}, ErrUnavailable
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.entries[key], nil
		},
		Put: f.put,
		Delete: func(ctx context.Context, key string) error {
			if failed, _ := f.call(ctx); failed {
				return ErrUnavailable
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			delete(f.entries, key)
			return nil
		},
		GrantLease: func(ctx context.Context, _ time.Duration) (uint64, error) {
			if failed, _ := f.call(ctx); failed {
				return 0, ErrUnavailable
			}
			return 1, nil
		},
	}
}

func (f *fakeKV) put(ctx context.Context, key string, value []byte, expected, _ uint64) (uint64, error) {
	failed, lost := f.call(ctx)
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
