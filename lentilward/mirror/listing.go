package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"lentilward.org/lentilward/blackboard"
)

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
