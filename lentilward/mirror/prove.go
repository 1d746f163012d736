package mirror

import (
	"context"
	"errors"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/proof"
)

const (
	// proveTimeout bounds a read of the store's revision.
	proveTimeout = 800 * time.Millisecond
	// watchDelay is how long changes may take to come by the open watch before the store is
	// asked for them, and catchUpTimeout how long they may take then.
	watchDelay     = 50 * time.Millisecond
	catchUpTimeout = time.Second
	// catchUpInterval is the interval at which the revision is checked meanwhile.
	catchUpInterval = 10 * time.Millisecond
)

// errBehind means that the mirror has not got changes that the store has.
var errBehind = errors.New("changes that the store has did not come in time")

// Prove asks the store for its version and reports the moment of the question to OnProof
// once the mirror has the records up to it. The watches can't be relied on for this: one that
// is begun while they hear nothing does not report older changes either.
func (f *Follower) Prove(ctx context.Context) error {
	asked, err := f.Clock()
	if err != nil {
		return err
	}
	begunAt := time.Now()
	readCtx, cancel := context.WithTimeout(ctx, proveTimeout)
	defer cancel()
	version, err := f.ReadVersion(readCtx)
	if err != nil {
		return err
	}
	if !f.AwaitVersion(ctx, version, watchDelay) {
		f.Confirm()
		if !f.AwaitVersion(ctx, version, catchUpTimeout) {
			return errBehind
		}
	}
	if version.Era < f.mirror.Version().Era {
		return errOldEra
	}
	f.MarkCurrent(time.Since(begunAt))
	f.OnProof(asked)
	return nil
}

// AwaitVersion waits until the mirror has the records up to a version, and reports whether
// it has them within a duration.
func (f *Follower) AwaitVersion(ctx context.Context, v blackboard.Version, d time.Duration) bool {
	for waited := time.Duration(0); f.mirror.Version().Compare(v) < 0; waited += catchUpInterval {
		if waited >= d || ctx.Err() != nil {
			return false
		}
		sleep(ctx, catchUpInterval)
	}
	return true
}

// proveByWatch reports what a watch proves that has returned. Changes prove the moment at
// which it was asked. None prove the end of its wait less the time for which watches may
// hear nothing, if it has surely listened for longer than that: a shorter one, or one whose
// question was late, may have heard nothing at all.
func (f *Follower) proveByWatch(asked proof.Time, wait time.Duration, changed bool) {
	if changed {
		f.OnProof(asked)
		return
	}
	now, err := f.Clock()
	if err != nil {
		return
	}
	late := now.Sub(asked) - wait
	if late >= 0 && wait-late > proof.WatchGap {
		f.OnProof(asked.Add(wait - proof.WatchGap))
	}
}
