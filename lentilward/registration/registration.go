// Package registration registers an instance in the store under a lease, so that
// other instances discover it, and keeps the registration alive.
package registration

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"
)

const (
	// leaseTTL is how long an instance stays registered after its last renewal.
	leaseTTL = 30 * time.Second
	// renewInterval is the longest time between two renewals; jitter shortens it
	// by up to half.
	renewInterval = 10 * time.Second
	// callTimeout bounds the calls to the store of one renewal or registration.
	callTimeout = 2 * time.Second
	// retryInterval is the longest pause after a failed call; jitter shortens it by
	// up to half.
	retryInterval = 2 * time.Second
)

// ErrLeaseExpired is returned by RenewLease if the lease has expired.
var ErrLeaseExpired = errors.New("lease has expired")

// Lease is a lease of the store. Its ID may belong to another instance in any era but its
// own.
type Lease struct{ ID, Era uint64 }

// Registrar registers one instance and holds the lease of its registration.
type Registrar struct {
	log *slog.Logger
	// GrantLease creates a lease.
	GrantLease func(ctx context.Context, ttl time.Duration) (Lease, error)
	// RenewLease renews a lease. It returns ErrLeaseExpired if the lease has
	// expired.
	RenewLease func(ctx context.Context, lease uint64) error
	// RevokeLease revokes a lease, which deletes the registration.
	RevokeLease func(ctx context.Context, lease uint64) error
	// WriteRegistration writes the instance's registration under a lease.
	WriteRegistration func(ctx context.Context, lease uint64) error
	// IsRegistered reports whether the instance's registration is in the local
	// replica of the store; it is written again if not.
	IsRegistered func() bool
	// Era returns the newest era of the store that this instance knows of.
	Era func() uint64
}

// New returns a registrar. All its function fields must be set before Run is
// called.
func New(log *slog.Logger) *Registrar { return &Registrar{log: log} }

// Run keeps the instance registered until the context ends, then deregisters it.
func (r *Registrar) Run(ctx context.Context) {
	var lease Lease
	for {
		next, err := r.renewOrRegister(ctx, lease)
		lease = next
		pause := renewInterval
		if err != nil {
			r.log.Info("registration in the store failed", "error", err)
			pause = retryInterval
		}
		timer := time.NewTimer(pause/2 + rand.N(pause/2))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			r.deregister(lease)
			return
		}
	}
}

// renewOrRegister renews the lease. Without a lease, or after it has expired or the store has
// come back from an older copy, it creates one and writes the registration under it. It
// returns the lease to use next; its ID is 0 if there is none.
func (r *Registrar) renewOrRegister(ctx context.Context, lease Lease) (Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if r.isHeld(lease) {
		err := r.RenewLease(ctx, lease.ID)
		switch {
		case !r.isHeld(lease) || errors.Is(err, ErrLeaseExpired):
		case err != nil:
			return lease, err
		case r.IsRegistered():
			return lease, nil
		default:
			return lease, r.WriteRegistration(ctx, lease.ID)
		}
	}
	lease, err := r.GrantLease(ctx, leaseTTL)
	if err != nil {
		return Lease{}, err
	}
	if err := r.WriteRegistration(ctx, lease.ID); err != nil {
		return Lease{}, err
	}
	return lease, nil
}

// isHeld reports whether there is a lease and it is of the present era.
func (r *Registrar) isHeld(lease Lease) bool { return lease.ID != 0 && lease.Era >= r.Era() }

func (r *Registrar) deregister(lease Lease) {
	if !r.isHeld(lease) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := r.RevokeLease(ctx, lease.ID); err != nil {
		r.log.Info("deregistration from the store failed", "error", err)
	}
}
