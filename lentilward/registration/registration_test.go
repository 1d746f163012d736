package registration

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

// fakeStore is a store in memory with one lease and one registration.
type fakeStore struct {
	mu                  sync.Mutex
	lease, grants       uint64
	registered, revoked bool
	unavailable         bool
}

// withLock calls a function that reads or changes the store.
func (s *fakeStore) withLock(access func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	access()
}

var errUnavailable = errors.New("store is unavailable")

func startRegistration(t *testing.T, s *fakeStore) (stop func()) {
	r := New(slog.New(slog.NewTextHandler(io.Discard, nil)))
	r.GrantLease = func(context.Context, time.Duration) (uint64, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.unavailable {
			return 0, errUnavailable
		}
		s.grants++
		s.lease = s.grants
		return s.lease, nil
	}
	r.RenewLease = func(_ context.Context, lease uint64) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.unavailable {
			return errUnavailable
		}
		if lease != s.lease {
			return ErrLeaseExpired
		}
		return nil
	}
	r.WriteRegistration = func(_ context.Context, lease uint64) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.registered = lease == s.lease
		return nil
	}
	r.RevokeLease = func(context.Context, uint64) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.revoked = true
		return nil
	}
	r.IsRegistered = func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.registered
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		r.Run(ctx)
		close(done)
	}()
	return func() {
		cancel()
		<-done
	}
}

func TestInstanceStaysRegistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{}
		stop := startRegistration(t, s)
		wantRegistered := func(leases uint64) {
			t.Helper()
			s.withLock(func() {
				if !s.registered || s.grants != leases {
					t.Fatalf("registered %v, %d leases, want a registration and %d leases", s.registered, s.grants, leases)
				}
			})
		}
		time.Sleep(time.Minute)
		wantRegistered(1)
		s.withLock(func() { s.lease, s.registered = 0, false }) // The lease has expired.
		time.Sleep(11 * time.Second)
		wantRegistered(2)
		s.withLock(func() { s.registered = false }) // The store has lost the key.
		time.Sleep(11 * time.Second)
		wantRegistered(2)
		s.withLock(func() { s.unavailable = true })
		time.Sleep(time.Minute)
		s.withLock(func() { s.unavailable, s.lease, s.registered = false, 0, false })
		time.Sleep(11 * time.Second)
		wantRegistered(3)
		stop()
		if !s.revoked {
			t.Fatal("stopped instance is still registered")
		}
	})
}
