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
	// era is that of the store, knownEra the one that the instance knows of.
	era, knownEra uint64
	// foreign is the lease of another instance, and touched is set once it was renewed or
	// revoked by this one.
	foreign uint64
	touched bool
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
	r.GrantLease = func(context.Context, time.Duration) (Lease, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.unavailable {
			return Lease{}, errUnavailable
		}
		s.grants++
		s.lease, s.knownEra = s.grants, s.era
		return Lease{ID: s.lease, Era: s.era}, nil
	}
	r.RenewLease = func(_ context.Context, lease uint64) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.unavailable {
			return errUnavailable
		}
		s.knownEra = s.era
		s.touched = s.touched || lease == s.foreign
		if lease != s.lease && lease != s.foreign {
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
	r.RevokeLease = func(_ context.Context, lease uint64) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.revoked = true
		s.touched = s.touched || lease == s.foreign
		return nil
	}
	r.IsRegistered = func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.registered
	}
	r.Era = func() uint64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.knownEra
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

// returnFromCopy begins another era, in which the lease of the instance belongs to another
// one, and the registration is there or not.
func (s *fakeStore) returnFromCopy(registered bool) {
	s.era++
	s.foreign, s.lease, s.registered = s.lease, 0, registered
}

// Guards against an instance that keeps or ends the lease of another one, which the store
// granted under the same ID after it had come back from an older copy, and whose own
// registration is never written again.
func TestLeaseOfEarlierEraIsReplaced(t *testing.T) {
	for _, registered := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{era: 1}
			stop := startRegistration(t, s)
			time.Sleep(time.Minute)
			s.withLock(func() {
				s.returnFromCopy(registered)
				s.knownEra = s.era
			})
			time.Sleep(11 * time.Second)
			s.withLock(func() {
				if s.touched {
					t.Error("the lease of another instance was renewed")
				}
				if !s.registered || s.lease == 0 || s.grants != 2 {
					t.Errorf("registered %v, lease %d, %d leases, want a registration under a second lease", s.registered, s.lease, s.grants)
				}
			})
			s.withLock(func() {
				s.returnFromCopy(registered)
				s.knownEra = s.era
			})
			stop()
			if s.touched {
				t.Error("the lease of another instance was revoked")
			}
		})
	}
}

// Guards against an instance that learns of another era only by the renewal of its lease,
// and then takes the lease for its own.
func TestLeaseRenewedInAnotherEraIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{era: 1}
		stop := startRegistration(t, s)
		time.Sleep(time.Minute)
		s.withLock(func() { s.returnFromCopy(true) })
		time.Sleep(11 * time.Second)
		s.withLock(func() {
			if s.lease == 0 || s.grants != 2 {
				t.Errorf("lease %d, %d leases, want a second one", s.lease, s.grants)
			}
			s.touched = false
		})
		time.Sleep(time.Minute)
		stop()
		if s.touched || s.grants != 2 {
			t.Errorf("lease of another instance touched: %v, %d leases, want 2", s.touched, s.grants)
		}
	})
}
