package mirror

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/proof"
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
	// peersDelay is the longest time for which an instance waits for the records of a new era
	// from peers before it lists them itself.
	peersDelay = 2 * time.Second
	// confirmWait is the wait of a watch that only finds out whether there are changes.
	confirmWait = time.Millisecond
)

// ErrCompacted is returned by Watch if the store has compacted the changes after
// the revision, or does not have the revision.
var ErrCompacted = errors.New("store does not have the changes after the revision")

// Errors of a listing.
var (
	errNewEra = errors.New("store came back from an older copy")
	errOldEra = errors.New("reply is of an era before that of the records at hand")
	// errOlderRevision means that the store does not have the records at hand and does not
	// say that it came back from an older copy.
	errOlderRevision = errors.New("store is at an older revision than the records at hand")
)

// errConfirm is the cause of the cancellation of a watch in favour of another one that
// returns at once.
var errConfirm = errors.New("a confirmation was requested")

// errWatchTimeout is the cause of the cancellation of a watch that did not return
// within its wait plus WatchGracePeriod.
var errWatchTimeout = errors.New("watch did not return in time")

// Page is one page of a listing, or the changes that a watch returned.
type Page struct {
	Records []Record
	Version blackboard.Version
	More    bool
}

// Follower keeps a mirror up to date with the store by listing and watching it.
type Follower struct {
	mirror           *Mirror
	log              *slog.Logger
	confirmRequested chan struct{}

	mu sync.Mutex
	// currentAt is when the mirror was last confirmed to be up to date; zero if never.
	currentAt time.Time
	// failedAt is when a call to the store last failed, and isAway is set until a
	// later confirmation shows that the store serves again; returnedAt is when it did.
	failedAt, returnedAt time.Time
	isAway               bool
	// confirmAskedAt is when the first request by Confirm was made since then.
	confirmAskedAt time.Time

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
	// ReadsForPeers reports whether this instance reads the store in normal operation, so that
	// peers get its records.
	ReadsForPeers func() bool
	// ReadVersion returns the present version of the store.
	ReadVersion func(ctx context.Context) (blackboard.Version, error)
	// Clock reads the boot clock. OnProof is called after each answer of the store with the
	// latest moment at which the store is known to have had no newer records than the mirror.
	Clock   func() (proof.Time, error)
	OnProof func(at proof.Time)
}

// NewFollower returns a follower. List, Watch and MaxWatchWait must be set
// before Run is called; ReadsStore returns true by default.
func NewFollower(m *Mirror, log *slog.Logger) *Follower {
	return &Follower{
		mirror: m, log: log, confirmRequested: make(chan struct{}, 1), ReadsStore: func() bool { return true },
		ReadsForPeers: func() bool { return true },
		Clock:         proof.BootTime, OnProof: func(proof.Time) {},
	}
}

// Run keeps the mirror up to date until the context ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := minBackoff
	reading := false
	for ctx.Err() == nil {
		if reads := f.ReadsStore(); reads != reading {
			reading = reads
			f.log.Info("reading of the store changed", "reads", reads, "age", f.Age(), "records", f.mirror.Version())
		}
		if !reading && !f.awaitConfirmRequest(ctx, idleCheckInterval) {
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
		f.recordFailure(begunAt)
		f.log.Warn("reading the store failed", "error", err, "took", time.Since(begunAt),
			"records", f.mirror.Version(), "age", f.Age(), "pause", backoff)
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

// awaitConfirmRequest waits for a request by Confirm and reports whether there was one
// within a duration. The request stays pending.
func (f *Follower) awaitConfirmRequest(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-f.confirmRequested:
		f.requestConfirmation()
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// sync watches for changes once, or lists all records if the mirror is empty, if the
// changes were compacted or if the store has come back from an older copy.
func (f *Follower) sync(ctx context.Context) error {
	if f.mirror.Version().IsZero() {
		return f.listAll(ctx)
	}
	// Jitter keeps the watches of several instances from ending together.
	wait := f.MaxWatchWait - rand.N(f.MaxWatchWait/waitJitterDivisor+1)
	select {
	case <-f.confirmRequested:
		wait = confirmWait
	default:
	}
	err := f.watch(ctx, wait)
	// A watch without a reply says more of its connection than of the store.
	if errors.Is(err, errConfirm) || errors.Is(err, errWatchTimeout) && wait > confirmWait {
		err = f.watch(ctx, confirmWait)
	}
	if errors.Is(err, errNewEra) && !f.ReadsForPeers() && f.awaitPeers(ctx) {
		return nil
	}
	if errors.Is(err, ErrCompacted) || errors.Is(err, errNewEra) {
		f.log.Info("listing all records", "why", err, "records", f.mirror.Version())
		return f.listAll(ctx)
	}
	return err
}
