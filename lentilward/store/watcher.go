package store

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"lentilward.org/lentilward/blackboard"
)

const (
	// watchTimeout bounds one waiting watch.
	watchTimeout = 20 * time.Second
	// watchers is the number of instances that keep a watch waiting; the
	// others learn from their peers and poll rarely.
	watchers = 4
	// pollPeriod is the mean time between two reads of an instance without a
	// watch.
	pollPeriod = 45 * time.Second
	// Failed calls are repeated after a delay that doubles.
	leastBackoff   = 200 * time.Millisecond
	largestBackoff = 5 * time.Second
)

// Watcher installs configurations that the key-value service holds.
type Watcher struct {
	store *Store
	board *blackboard.Board
	log   *slog.Logger
	// Rank is this instance's place among those that keep a watch.
	Rank func() int
	// Installed is called after a newer configuration was installed.
	Installed func()
}

// NewWatcher returns a watcher; Run starts it.
func NewWatcher(store *Store, board *blackboard.Board, log *slog.Logger) *Watcher {
	return &Watcher{store: store, board: board, log: log, Rank: func() int { return 0 }, Installed: func() {}}
}

// Run follows the configuration until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	var keyRevision uint64
	backoff := leastBackoff
	for ctx.Err() == nil {
		next, err := w.follow(ctx, keyRevision)
		if err == nil {
			keyRevision = next
			backoff = leastBackoff
			continue
		}
		w.log.Debug("cannot read the configuration", "error", err)
		sleep(ctx, rand.N(backoff)+backoff/2)
		backoff = min(2*backoff, largestBackoff)
	}
}

// follow waits for one change of the head, or polls it, and installs it.
func (w *Watcher) follow(ctx context.Context, after uint64) (uint64, error) {
	if w.Rank() >= watchers && after > 0 {
		sleep(ctx, pollPeriod/2+rand.N(pollPeriod))
		after = 0
	}
	call, cancel := context.WithTimeout(ctx, watchTimeout+callTimeout)
	defer cancel()
	e, err := w.store.kv.Wait(call, headKey, after, watchTimeout)
	if err != nil {
		return after, err
	}
	if e.Revision <= after {
		return after, nil
	}
	c, err := w.store.decode(call, e)
	if err != nil {
		return after, err
	}
	w.install(c)
	return e.Revision, nil
}

func (w *Watcher) install(c *blackboard.Config) {
	if w.board.Install(c) {
		w.log.Info("configuration in force", "revision", c.Revision, "source", "platform")
		w.Installed()
		return
	}
	if now := w.board.Config.Load().Revision; c.Revision < now {
		w.log.Error("platform holds an older configuration; keeping the newer one",
			"platform-revision", c.Revision, "revision", now)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
