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
	watchGrace = 800 * time.Millisecond
	// waitSpread is the inverse of the share by which waits differ.
	waitSpread = 3
	// listTimeout bounds the read of one page.
	listTimeout = 2 * time.Second
	// leastBackoff and largestBackoff bound the pause after a call that failed.
	leastBackoff   = 100 * time.Millisecond
	largestBackoff = 1500 * time.Millisecond
	// burstPause is how long changes are let gather after the first one.
	burstPause = 300 * time.Millisecond
	// idlePeriod is the time between two looks at whether to read the store.
	idlePeriod = 250 * time.Millisecond
)

// ErrHistoryGone means that the store no longer knows the changes after a
// revision.
var ErrHistoryGone = errors.New("history is gone")

// errSilent means that a watch did not end with its wait.
var errSilent = errors.New("watch is silent")

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
	// current is when the mirror was last known to be current, and trouble when
	// the store last failed, in nanoseconds since the start.
	current, trouble atomic.Int64
	// watching is set while the store would tell of a change.
	watching atomic.Bool
	// listed is when the store was last read as a whole, in nanoseconds since the
	// start.
	listed atomic.Int64
	relist chan struct{}
	epoch  time.Time

	// List reads one page of all records that follow a key.
	List func(ctx context.Context, after string) (*Page, error)
	// Watch waits for changes after a revision.
	Watch func(ctx context.Context, after uint64, wait time.Duration) (*Page, error)
	// Wait is how long a watch waits for changes.
	Wait time.Duration
	// Reading tells whether this instance is to read the store; the others
	// learn from peers.
	Reading func() bool
}

// NewFollower returns a follower; Run starts it once its fields are set.
func NewFollower(m *Mirror, log *slog.Logger) *Follower {
	f := &Follower{mirror: m, log: log, epoch: time.Now(), relist: make(chan struct{}, 1), Reading: func() bool { return true }}
	f.listed.Store(-int64(time.Hour))
	f.current.Store(-int64(time.Hour))
	f.trouble.Store(-int64(time.Hour))
	return f
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := leastBackoff
	for ctx.Err() == nil {
		if !f.Reading() {
			f.watching.Store(false)
			sleep(ctx, idlePeriod)
			continue
		}
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.watching.Store(err == nil)
		if err == nil {
			f.Told(0)
			backoff = leastBackoff
			continue
		}
		f.trouble.Store(int64(time.Since(f.epoch)))
		f.log.Warn("cannot follow the store", "error", err, "revision", f.mirror.Revision(), "pause", backoff)
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, largestBackoff)
	}
}

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// step waits for changes once, or reads all pages if nothing is known yet.
func (f *Follower) step(ctx context.Context) error {
	if f.mirror.Revision() == 0 {
		return f.list(ctx)
	}
	// The watches of several instances do not end together.
	wait := f.Wait - rand.N(f.Wait/waitSpread+1)
	call, cancel := context.WithTimeoutCause(ctx, wait+watchGrace, errSilent)
	defer cancel()
	var again atomic.Bool
	go func() {
		select {
		case <-f.relist:
			again.Store(true)
			cancel()
		case <-call.Done():
		}
	}()
	page, err := f.Watch(call, f.mirror.Revision(), wait)
	if again.Load() {
		return f.list(ctx)
	}
	if errors.Is(err, ErrHistoryGone) {
		f.log.Info("history of the store is gone, reading it anew", "revision", f.mirror.Revision())
		return f.list(ctx)
	}
	if err != nil {
		return errors.Join(err, context.Cause(call))
	}
	f.mirror.Apply(page.Records, page.Revision)
	if len(page.Records) > 0 {
		// Changes come in bursts, and each call is paid for.
		sleep(ctx, burstPause)
	}
	return nil
}

// list reads all records. Pages are no snapshot, so the changes after the first
// page are watched for again.
func (f *Follower) list(ctx context.Context) error {
	var records []Record
	var revision uint64
	after := ""
	begin := time.Since(f.epoch)
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
	f.listed.Store(int64(begin))
	return nil
}

// Age returns how long ago the mirror was last known to be current.
func (f *Follower) Age() time.Duration {
	if f.watching.Load() {
		return 0
	}
	return time.Since(f.epoch) - time.Duration(f.current.Load())
}

// Told notes that the mirror was current some time ago, as a peer says that
// knows as much.
func (f *Follower) Told(age time.Duration) {
	at := int64(time.Since(f.epoch) - age)
	for {
		old := f.current.Load()
		if at <= old || f.current.CompareAndSwap(old, at) {
			return
		}
	}
}

// Relist makes the follower read the store as a whole, if it reads it at all.
func (f *Follower) Relist() {
	select {
	case f.relist <- struct{}{}:
	default:
	}
}

// Listed returns how long ago the last whole reading of the store began.
func (f *Follower) Listed() time.Duration {
	return time.Since(f.epoch) - time.Duration(f.listed.Load())
}

// Troubled returns how long ago a call to the store last failed.
func (f *Follower) Troubled() time.Duration {
	return time.Since(f.epoch) - time.Duration(f.trouble.Load())
}
