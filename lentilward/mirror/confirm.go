package mirror

import (
	"context"
	"time"
)

// Confirm makes this instance ask the store at once whether the mirror is up to date,
// also if it gets its records from peers.
func (f *Follower) Confirm() {
	f.mu.Lock()
	if !f.confirmAskedAt.After(f.currentAt) {
		f.confirmAskedAt = time.Now()
	}
	f.mu.Unlock()
	f.requestConfirmation()
}

func (f *Follower) requestConfirmation() {
	select {
	case f.confirmRequested <- struct{}{}:
	default:
	}
}

// UnconfirmedFor returns for how long a request by Confirm has waited for a confirmation, from
// the store or a peer; 0 if none does.
func (f *Follower) UnconfirmedFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.confirmAskedAt.After(f.currentAt) {
		return 0
	}
	return time.Since(f.confirmAskedAt)
}

// AwaitConfirmation asks the store as Confirm does and waits until it has answered, or for a
// duration.
func (f *Follower) AwaitConfirmation(ctx context.Context, d time.Duration) {
	begunAt := time.Now()
	f.Confirm()
	for f.Age() > time.Since(begunAt) && time.Since(begunAt) < d && ctx.Err() == nil {
		sleep(ctx, catchUpInterval)
	}
}
