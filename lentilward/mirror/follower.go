package mirror

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// WatchGracePeriod is how much longer than its wait a watch may take before it is
// cancelled and its connection taken to be dead.
const WatchGracePeriod = 800 * time.Millisecond

const (
	// waitJitterDivisor sets the jitter of watches: a wait is shortened by up to
	// Follower.MaxWatchWait/waitJitterDivisor.
	waitJitterDivisor = 3
	// pageTimeout bounds the call that lists one page.
	pageTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the backoff after a failed call. The pause
	// itself is 0.5 to 1.5 times the backoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
	// batchDelay is the pause after a watch that returned changes, so that the next
	// watch returns several changes at once.
	batchDelay = 300 * time.Millisecond
	// idleCheckInterval is the interval at which an instance that does not read
	// the store checks whether it has to.
	idleCheckInterval = 250 * time.Millisecond
)

// ErrCompacted is returned by Watch if the store has compacted the changes after
// the revision.
var ErrCompacted = errors.New("store has compacted the changes after the revision")

// errWatchTimeout is the cause of the cancellation of a watch that did not return
// within its wait plus WatchGracePeriod.
var errWatchTimeout = errors.New("watch did not return in time")

// Page is one page of a listing, or the changes that a watch returned.
type Page struct {
	Records  []Record
	Revision uint64
	More     bool
}

// Follower keeps a mirror up to date with the store by listing and watching it.
type Follower struct {
	mirror *Mirror
	log    *slog.Logger
	// currentAt is when the mirror was last confirmed to be up to date, and failedAt
	// when a call to the store last failed, in nanoseconds since start.
	currentAt, failedAt atomic.Int64
	// listedAt is when the last complete listing of the store began, in nanoseconds
	// since start.
	listedAt        atomic.Int64
	relistRequested chan struct{}
	start           time.Time

	// List returns one page of the records whose keys come after a key.
	List func(ctx context.Context, after string) (*Page, error)
	// Watch waits for changes after a revision and returns them. It returns
	// ErrCompacted if the store has compacted them.
	Watch func(ctx context.Context, after uint64, wait time.Duration) (*Page, error)
	// MaxWatchWait is the longest time for which a watch waits for changes.
	MaxWatchWait time.Duration
	// ReadsStore reports whether this instance is to read the store; the others get
	// the records from peers.
	ReadsStore func() bool
}

// NewFollower returns a follower. List, Watch and MaxWatchWait must be set
// before Run is called; ReadsStore returns true by default.
func NewFollower(m *Mirror, log *slog.Logger) *Follower {
	f := &Follower{mirror: m, log: log, start: time.Now(), relistRequested: make(chan struct{}, 1), ReadsStore: func() bool { return true }}
	f.listedAt.Store(-int64(time.Hour))
	f.currentAt.Store(-int64(time.Hour))
	f.failedAt.Store(-int64(time.Hour))
	return f
}

// Run keeps the mirror up to date until the context ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if !f.ReadsStore() {
			sleep(ctx, idleCheckInterval)
			continue
		}
		begunAt := time.Now()
		err := f.sync(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			backoff = minBackoff
			continue
		}
		f.failedAt.Store(int64(time.Since(f.start)))
		f.log.Warn("reading the store failed", "error", err, "took", time.Since(begunAt),
			"revision", f.mirror.Revision(), "age", f.Age(), "pause", backoff)
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// sleep pauses for a duration, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// sync watches for changes once, or lists all records if the mirror is empty, if a
// listing was requested, or if the changes were compacted.
func (f *Follower) sync(ctx context.Context) error {
	if f.mirror.Revision() == 0 {
		return f.listAll(ctx)
	}
	// Jitter keeps the watches of several instances from ending together.
	wait := f.MaxWatchWait - rand.N(f.MaxWatchWait/waitJitterDivisor+1)
	watchCtx, cancel := context.WithTimeoutCause(ctx, wait+WatchGracePeriod, errWatchTimeout)
	defer cancel()
	var relisting atomic.Bool
	go func() {
		select {
		case <-f.relistRequested:
			relisting.Store(true)
			cancel()
		case <-watchCtx.Done():
		}
	}()
	begunAt := time.Now()
	page, err := f.Watch(watchCtx, f.mirror.Revision(), wait)
	if relisting.Load() {
		return f.listAll(ctx)
	}
	if errors.Is(err, ErrCompacted) {
		f.log.Info("store has compacted its history; listing all records", "revision", f.mirror.Revision())
		return f.listAll(ctx)
	}
	if err != nil {
		return errors.Join(err, context.Cause(watchCtx))
	}
	f.mirror.Apply(page.Records, page.Revision)
	// The store replied no later than at the end of the wait, even if the reply was
	// on its way for longer.
	f.MarkCurrent(max(0, time.Since(begunAt)-wait))
	if len(page.Records) > 0 {
		// Changes come in bursts, and every call to the store is billed.
		sleep(ctx, batchDelay)
	}
	return nil
}

// listAll reads all records. The pages do not form a snapshot, so the mirror gets
// the revision of the first page, and the next watch returns the changes since.
func (f *Follower) listAll(ctx context.Context) error {
	var records []Record
	var revision uint64
	after := ""
	begunAt := time.Since(f.start)
	for {
		pageCtx, cancel := context.WithTimeout(ctx, pageTimeout)
		page, err := f.List(pageCtx, after)
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
	f.mirror.MergeListing(records, revision)
	f.listedAt.Store(int64(begunAt))
	f.MarkCurrent(time.Since(f.start) - begunAt)
	return nil
}

// Age returns how long ago the mirror was last confirmed to be up to date. An open
// watch confirms nothing until it returns, since its connection may be dead.
func (f *Follower) Age() time.Duration {
	return time.Since(f.start) - time.Duration(f.currentAt.Load())
}

// MarkCurrent records that the mirror was up to date as long ago as age,
// according to a peer with the same revision. An age above the present one has
// no effect.
func (f *Follower) MarkCurrent(age time.Duration) {
	currentAt := int64(time.Since(f.start) - age)
	for {
		old := f.currentAt.Load()
		if currentAt <= old || f.currentAt.CompareAndSwap(old, currentAt) {
			return
		}
	}
}

// Relist requests a listing of the whole store, which interrupts the current watch.
// It takes effect only while this instance reads the store.
func (f *Follower) Relist() {
	select {
	case f.relistRequested <- struct{}{}:
	default:
	}
}

// SinceListing returns how long ago the last complete listing of the store began.
func (f *Follower) SinceListing() time.Duration {
	return time.Since(f.start) - time.Duration(f.listedAt.Load())
}

// SinceFailure returns how long ago a call to the store last failed.
func (f *Follower) SinceFailure() time.Duration {
	return time.Since(f.start) - time.Duration(f.failedAt.Load())
}
