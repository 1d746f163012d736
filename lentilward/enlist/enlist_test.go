package enlist

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// bed is a store with one lease.
type bed struct {
	mu            sync.Mutex
	lease, grants uint64
	listed, ended bool
	down          bool
}

// set changes the store, or looks at it.
func (b *bed) set(change func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change()
}

var errDown = errors.New("store is down")

func start(t *testing.T, b *bed) (stop func()) {
	e := New(slog.New(slog.NewTextHandler(io.Discard, nil)))
	e.Grant = func(context.Context, time.Duration) (uint64, error) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.down {
			return 0, errDown
		}
		b.grants++
		b.lease = b.grants
		return b.lease, nil
	}
	e.Keep = func(_ context.Context, lease uint64) error {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.down {
			return errDown
		}
		if lease != b.lease {
			return ErrEnded
		}
		return nil
	}
	e.Write = func(_ context.Context, lease uint64) error {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.listed = lease == b.lease
		return nil
	}
	e.End = func(context.Context, uint64) error {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.ended = true
		return nil
	}
	e.Listed = func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.listed
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		e.Run(ctx)
		close(done)
	}()
	return func() {
		cancel()
		<-done
	}
}

func TestInstanceStaysListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &bed{}
		stop := start(t, b)
		want := func(leases uint64) {
			t.Helper()
			b.set(func() {
				if !b.listed || b.grants != leases {
					t.Fatalf("listed %v, %d leases, want %d", b.listed, b.grants, leases)
				}
			})
		}
		time.Sleep(time.Minute)
		want(1)
		b.set(func() { b.lease, b.listed = 0, false }) // The lease has ended.
		time.Sleep(11 * time.Second)
		want(2)
		b.set(func() { b.listed = false }) // The store has taken the key away.
		time.Sleep(11 * time.Second)
		want(2)
		b.set(func() { b.down = true })
		time.Sleep(time.Minute)
		b.set(func() { b.down, b.lease, b.listed = false, 0, false })
		time.Sleep(11 * time.Second)
		want(3)
		stop()
		if !b.ended {
			t.Fatal("stopped instance is still listed")
		}
	})
}
