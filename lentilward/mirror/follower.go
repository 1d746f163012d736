package mirror

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// watchGrace is how much longer than its wait a watch may take before its
	// connection counts as dead.
	watchGrace = time.Second
	// listTimeout bounds the read of one page.
	listTimeout = 2 * time.Second
	// leastBackoff and largestBackoff bound the pause after a call that failed.
	leastBackoff   = 100 * time.Millisecond
	largestBackoff = 1500 * time.Millisecond
)

// ErrHistoryGone means that the store no longer knows the changes after a
// revision.
var ErrHistoryGone = errors.New("history is gone")

// Page is one page of a listing, or the changes that a watch saw.
type Page struct {
	Records  []Record
	Revision uint64
	More     bool
}

// Follower keeps a mirror up to date from the store.
type Follower struct {
	mirror *Mirror
	log    *slog.Logger
	// heard and trouble are when the store last answered and last failed, in
	// nanoseconds since the start.
	heard, trouble atomic.Int64
	epoch          time.Time

	// List reads one page of all records that follow a key.
	List func(ctx context.Context, after string) (*Page, error)
	// Watch waits for changes after a revision.
	Watch func(ctx context.Context, after uint64, wait time.Duration) (*Page, error)
	// Wait is how long a watch waits for changes.
	Wait func() time.Duration
}

// NewFollower returns a follower; Run starts it once its fields are set.
func NewFollower(m *Mirror, log *slog.Logger) *Follower {
	f := &Follower{mirror: m, log: log, epoch: time.Now()}
	f.heard.Store(-int64(time.Hour))
	f.trouble.Store(-int64(time.Hour))
	return f
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := leastBackoff
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			f.heard.Store(int64(time.Since(f.epoch)))
			backoff = leastBackoff
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.trouble.Store(int64(time.Since(f.epoch)))
		f.log.Warn("cannot follow the store", "error", err, "revision", f.mirror.Revision(), "pause", backoff)
		pause := time.NewTimer(backoff/2 + rand.N(backoff))
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
		}
		backoff = min(2*backoff, largestBackoff)
	}
}

// step waits for changes once, or reads all pages if nothing is known yet.
func (f *Follower) step(ctx context.Context) error {
	if f.mirror.Revision() == 0 {
		return f.list(ctx)
	}
	wait := f.Wait()
	call, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	page, err := f.Watch(call, f.mirror.Revision(), wait)
	if errors.Is(err, ErrHistoryGone) {
		f.log.Info("history of the store is gone, reading it anew", "revision", f.mirror.Revision())
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	f.mirror.Apply(page.Records, page.Revision)
	return nil
}

// list reads all records. Pages are no snapshot, so the changes after the first
// page are watched for again.
func (f *Follower) list(ctx context.Context) error {
	var records []Record
	var revision uint64
	after := ""
	for {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		page, err := f.List(call, after)
		cancel()
		if err != nil {
			return err
		}
		if revision == 0 {
			revision = page.Revision
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	f.mirror.Reset(records, revision)
	return nil
}

// Heard returns how long ago the store last answered.
func (f *Follower) Heard() time.Duration {
	return time.Since(f.epoch) - time.Duration(f.heard.Load())
}

// Troubled returns how long ago a call to the store last failed.
func (f *Follower) Troubled() time.Duration {
	return time.Since(f.epoch) - time.Duration(f.trouble.Load())
}
