// Package enlist keeps an instance in the store's list of instances, under a
// lease, so that others find it.
package enlist

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"
)

const (
	// ttl is how long an instance stays listed without a sign of life.
	ttl = 30 * time.Second
	// keepPeriod is the time between two signs of life.
	keepPeriod = 10 * time.Second
	// callTimeout bounds one call to the store.
	callTimeout = 2 * time.Second
	// retryPeriod is the pause after a call that failed.
	retryPeriod = 2 * time.Second
)

// ErrEnded means that the lease has ended.
var ErrEnded = errors.New("lease has ended")

// Enlister is the holder of the lease.
type Enlister struct {
	log *slog.Logger
	// Grant makes a lease.
	Grant func(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Keep renews it.
	Keep func(ctx context.Context, lease uint64) error
	// End ends it.
	End func(ctx context.Context, lease uint64) error
	// Write lists the instance under the lease.
	Write func(ctx context.Context, lease uint64) error
	// Listed tells whether the instance is known to be listed.
	Listed func() bool
}

// New returns an enlister; Run starts it once its fields are set.
func New(log *slog.Logger) *Enlister { return &Enlister{log: log} }

// Run keeps the instance listed until the context ends, then takes it out.
func (e *Enlister) Run(ctx context.Context) {
	var lease uint64
	for {
		next, err := e.step(ctx, lease)
		lease = next
		pause := keepPeriod
		if err != nil {
			e.log.Info("cannot list this instance", "error", err)
			pause = retryPeriod
		}
		timer := time.NewTimer(pause/2 + rand.N(pause/2))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			e.leave(lease)
			return
		}
	}
}

// step renews the lease, or makes one and lists the instance under it.
func (e *Enlister) step(ctx context.Context, lease uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if lease != 0 {
		err := e.Keep(ctx, lease)
		if err == nil && e.Listed() {
			return lease, nil
		}
		if err == nil {
			return lease, e.Write(ctx, lease)
		}
		if !errors.Is(err, ErrEnded) {
			return lease, err
		}
	}
	lease, err := e.Grant(ctx, ttl)
	if err != nil {
		return 0, err
	}
	if err := e.Write(ctx, lease); err != nil {
		return 0, err
	}
	return lease, nil
}

func (e *Enlister) leave(lease uint64) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := e.End(ctx, lease); err != nil {
		e.log.Info("cannot take this instance off the list", "error", err)
	}
}
