package store

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/blackboard"
)

const (
	// watchTimeout is how long one watch call waits for a change. With callTimeout it
	// bounds how long a dead connection goes unnoticed.
	watchTimeout = 3 * time.Second
	// maxConfirmedAge is the time without a confirmation of the configuration, by the
	// store or a peer, after which an instance that holds no watch reads the store.
	maxConfirmedAge = 7 * time.Second
	// turnCheckInterval is the interval at which it checks whether it has to.
	turnCheckInterval = 250 * time.Millisecond
	// maxWatchingInstances bounds the instances that hold a watch. The others
	// receive changes from their peers and poll at a long interval.
	maxWatchingInstances = 4
	// pollInterval is the mean interval between two reads by an instance that
	// holds no watch.
	pollInterval = 45 * time.Second
	// minBackoff and maxBackoff bound the exponential backoff after failed calls.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Watcher watches the configuration in the key-value service and installs new
// revisions on this instance.
type Watcher struct {
	store *Store
	board *blackboard.Board
	log   *slog.Logger
	// Rank returns the position of this instance, from 0, in the order by which
	// the instances that hold a watch are selected.
	Rank func() int
	// OnInstall is called after a newer configuration has been installed.
	OnInstall func()

	// currentAt is when the configuration in force was last known to be the newest, in
	// nanoseconds since start.
	currentAt atomic.Int64
	start     time.Time
	// headRevision is the revision of the configuration that was last read from the store;
	// only Run uses it. isBehind is set if that was older than the one in force when the
	// store was last asked.
	headRevision uint64
	isBehind     bool
}

// NewWatcher returns a Watcher, which Run starts. Rank returns 0 and OnInstall does
// nothing until they are set.
func NewWatcher(store *Store, board *blackboard.Board, log *slog.Logger) *Watcher {
	w := &Watcher{store: store, board: board, log: log, start: time.Now(), Rank: func() int { return 0 }, OnInstall: func() {}}
	w.currentAt.Store(-int64(time.Hour))
	return w
}

// Age returns how long ago the configuration in force was last known to be the newest.
func (w *Watcher) Age() time.Duration {
	return time.Since(w.start) - time.Duration(w.currentAt.Load())
}

// MarkCurrent records that the configuration in force was the newest as long ago as age,
// according to a peer that has the same one. An age above the present one has no effect.
func (w *Watcher) MarkCurrent(age time.Duration) {
	currentAt := int64(time.Since(w.start) - age)
	for {
		old := w.currentAt.Load()
		if currentAt <= old || w.currentAt.CompareAndSwap(old, currentAt) {
			return
		}
	}
}

// awaitTurn waits until this instance has to read the store although it held no watch: it
// is among those that hold one, no peer confirms its configuration any more, or a poll is
// due.
func (w *Watcher) awaitTurn(ctx context.Context) {
	pollAt := time.Now().Add(pollInterval/2 + rand.N(pollInterval))
	for ctx.Err() == nil && w.Rank() >= maxWatchingInstances && time.Now().Before(pollAt) {
		// A store that is behind confirms nothing, however often it is read.
		if age := w.Age(); age > maxConfirmedAge && !w.isBehind {
			w.log.Info("no peer confirms the configuration; reading the store", "age", age, "revision", w.board.Config.Load().Revision)
			return
		}
		sleep(ctx, turnCheckInterval)
	}
}

// Run installs new configurations until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var known Entry
	backoff := minBackoff
	for ctx.Err() == nil {
		next, err := w.waitAndInstall(ctx, known)
		if err == nil {
			known = next
			backoff = minBackoff
			continue
		}
		w.log.Debug("reading the configuration failed", "error", err)
		sleep(ctx, rand.N(backoff)+backoff/2)
		backoff = min(2*backoff, maxBackoff)
	}
}

// waitAndInstall waits for one change of the head, by watch or by poll according to
// Rank, and installs it. It returns the head that is known then.
func (w *Watcher) waitAndInstall(ctx context.Context, known Entry) (Entry, error) {
	if w.Rank() >= maxWatchingInstances && known.Revision > 0 {
		w.awaitTurn(ctx)
		known = Entry{}
	}
	callCtx, cancel := context.WithTimeout(ctx, watchTimeout+callTimeout)
	defer cancel()
	begunAt := time.Now()
	e, err := w.store.kv.Wait(callCtx, headKey, known, watchTimeout)
	if err != nil {
		return known, err
	}
	// The store replied no later than at the end of the wait.
	age := max(0, time.Since(begunAt)-watchTimeout)
	if e.equal(known) {
		w.confirm(age)
		return known, nil
	}
	c, err := w.store.resolveHead(callCtx, e)
	if err != nil {
		return known, err
	}
	w.install(c)
	w.headRevision = c.Revision
	w.confirm(time.Since(begunAt))
	return e, nil
}

// confirm records that the configuration in force was the newest as long ago as age, unless
// the store has an older one and so does not tell.
func (w *Watcher) confirm(age time.Duration) {
	if w.isBehind = w.headRevision < w.board.Config.Load().Revision; !w.isBehind {
		w.MarkCurrent(age)
	}
}

func (w *Watcher) install(c *blackboard.Config) {
	if w.board.Install(c) {
		w.log.Info("configuration in force", "revision", c.Revision, "source", "platform")
		w.OnInstall()
		return
	}
	if installed := w.board.Config.Load().Revision; c.Revision < installed {
		w.log.Error("platform holds an older configuration; keeping the newer one",
			"platform-revision", c.Revision, "revision", installed)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
