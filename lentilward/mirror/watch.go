package mirror

import (
	"context"
	"errors"
	"time"

	"lentilward.org/lentilward/blackboard"
)

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

// seenVersion returns the version up to which a watch from a version has reported changes. It
// is older than that of the store if the watch heard nothing of some changes.
func seenVersion(page *Page, after blackboard.Version) blackboard.Version {
	for _, r := range page.Records {
		after.Revision = max(after.Revision, r.Revision)
	}
	return after
}
