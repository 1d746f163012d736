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

// watch waits for changes and applies them. A request by Confirm interrupts it with
// errConfirm, unless its wait is confirmWait.
func (f *Follower) watch(ctx context.Context, wait time.Duration) error {
	timeoutCtx, cancelTimeout := context.WithTimeoutCause(ctx, wait+WatchGracePeriod, errWatchTimeout)
	defer cancelTimeout()
	watchCtx, cancel := context.WithCancelCause(timeoutCtx)
	defer cancel(nil)
	if wait > confirmWait {
		go func() {
			select {
			case <-f.confirmRequested:
				if watchCtx.Err() != nil {
					f.requestConfirmation()
				}
				cancel(errConfirm)
			case <-watchCtx.Done():
			}
		}()
	}
	asked, clockErr := f.Clock()
	begunAt := time.Now()
	after := f.mirror.Version()
	page, err := f.Watch(watchCtx, after.Revision, wait)
	cause := context.Cause(watchCtx)
	// A request by Confirm that has not ended this watch is for the next one.
	cancel(nil)
	if err == nil && errors.Is(cause, errConfirm) {
		f.requestConfirmation()
	}
	if errors.Is(err, ErrCompacted) {
		if page != nil && page.Version.Era > after.Era {
			return errNewEra
		}
		return err
	}
	if err != nil {
		return errors.Join(err, cause)
	}
	switch {
	case page.Version.Era > after.Era:
		// The revisions have passed that of the watch, which has missed the changes below.
		return errNewEra
	case page.Version.Era < after.Era:
		return errOldEra
	}
	version := seenVersion(page, after)
	f.mirror.Apply(page.Records, version)
	if version != page.Version {
		f.log.Warn("watch did not report all changes", "records", version, "store", page.Version, "changes", len(page.Records))
		sleep(ctx, batchDelay)
		return nil
	}
	if f.mirror.Version().Era != page.Version.Era {
		// A peer has told of another era meanwhile, of which the reply says nothing.
		return errOldEra
	}
	// The store replied no later than at the end of the wait, even if the reply was
	// on its way for longer.
	f.MarkCurrent(max(0, time.Since(begunAt)-wait))
	if clockErr == nil {
		f.proveByWatch(asked, wait, len(page.Records) > 0)
	}
	if len(page.Records) > 0 {
		// Changes come in bursts, and every call to the store is billed.
		f.awaitConfirmRequest(ctx, batchDelay)
	}
	return nil
}

// awaitPeers waits for the records of another version from a peer, and reports whether they
// have come. All instances that read the store notice its return at the same time, and their
// listings together would exceed its rate.
func (f *Follower) awaitPeers(ctx context.Context) bool {
	known := f.mirror.Version()
	for end := time.Now().Add(peersDelay/2 + rand.N(peersDelay/2)); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, catchUpInterval) {
		if f.mirror.Version() != known {
			return true
		}
	}
	return false
}

// seenVersion returns the version up to which a watch from a version has reported changes. It
// is older than that of the store if the watch heard nothing of some changes.
func seenVersion(page *Page, after blackboard.Version) blackboard.Version {
	for _, r := range page.Records {
		after.Revision = max(after.Revision, r.Revision)
	}
	return after
}

// listAll reads all records. The pages do not form a snapshot, so the mirror gets
// the version of the first page, and the next watch returns the changes since.
func (f *Follower) listAll(ctx context.Context) error {
	var records []Record
	var version blackboard.Version
	known, after := f.mirror.Version(), ""
	asked, clockErr := f.Clock()
	begunAt := time.Now()
	for {
		pageCtx, cancel := context.WithTimeout(ctx, pageTimeout)
		page, err := f.List(pageCtx, after)
		cancel()
		if err != nil {
			return err
		}
		if version.IsZero() {
			version = page.Version
		}
		if page.Version.Era != version.Era {
			return errNewEra
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	if version.Era == known.Era && version.Revision < known.Revision {
		return errOlderRevision
	}
	f.mirror.MergeListing(records, version)
	if f.mirror.Version().Era != version.Era {
		return errOldEra
	}
	f.MarkCurrent(time.Since(begunAt))
	if clockErr == nil {
		f.OnProof(asked)
	}
	return nil
}

// neverAge is the age of records that were never confirmed.
const neverAge = time.Hour

// Age returns how long ago the mirror was last confirmed to be up to date. An open
// watch confirms nothing until it returns, since its connection may be dead.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.currentAt.IsZero() {
		return neverAge
	}
	return time.Since(f.currentAt)
}

// MarkCurrent records that the mirror was up to date as long ago as age,
// according to a peer with the same revision. An age above the present one has
// no effect.
func (f *Follower) MarkCurrent(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	currentAt := time.Now().Add(-age)
	if !currentAt.After(f.currentAt) {
		return
	}
	f.currentAt = currentAt
	if f.isAway && currentAt.After(f.failedAt) {
		f.isAway, f.returnedAt = false, currentAt
	}
}

// recordFailure records that a call to the store has failed that began at a time. One
// that began before the store is known to have returned says nothing new.
func (f *Follower) recordFailure(begunAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isAway || !begunAt.Before(f.returnedAt) {
		f.isAway, f.failedAt = true, time.Now()
	}
}

// SinceReturn returns how long ago the store was first known to serve again after calls
// to it had failed: 0 while it is away, and neverAge or more if no call has failed.
func (f *Follower) SinceReturn() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.isAway:
		return 0
	case f.returnedAt.IsZero():
		return neverAge
	}
	return time.Since(f.returnedAt)
}

// NoteReturn records that the store has just been seen to have come back from an older copy.
func (f *Follower) NoteReturn() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isAway, f.returnedAt = false, time.Now()
}
