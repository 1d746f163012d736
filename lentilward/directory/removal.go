package directory

import (
	"time"
)

const (
	// unannouncedDeletionShare is the share of the drain period for which a server
	// that is not draining is kept after its record was deleted: it may register
	// again with its next heartbeat.
	unannouncedDeletionShare = 0.55
	// massExpiryDelay is how long a server is kept whose record may have been
	// deleted by a mass expiry: a live server registers again within two seconds.
	massExpiryDelay = 2200 * time.Millisecond
	// propagationReservePeriod is the part of the drain period that is reserved for
	// the deletion to reach this instance, and for the listing that confirms it.
	propagationReservePeriod = 650 * time.Millisecond
	// confirmTimeout is how long after a removal is due an instance that gets its
	// records from peers waits for one of them to list the store. A record that
	// is still missing then is taken to be deleted.
	confirmTimeout = 3 * time.Second
	// confirmInterval is the interval at which unconfirmed removals are checked.
	confirmInterval = 100 * time.Millisecond
	// storeFailurePeriod is how long after a failed call to the store a deletion
	// counts as a possible mass expiry.
	storeFailurePeriod = 4 * time.Second
	// massExpiryShare is the share of all servers whose records have to be deleted
	// at once to count as a mass expiry, since so many servers do not normally
	// stop at the same time.
	massExpiryShare = 0.25
	// minMassExpiryServers is the minimum number of deleted records for
	// massExpiryShare to apply.
	minMassExpiryServers = 3
)

// scheduleRemovals sets when servers whose records were deleted are due for
// removal: draining servers at once, others after unannouncedDeletionShare of the
// drain period, or in a possible mass expiry after boundedMassExpiryDelay.
func (d *Directory) scheduleRemovals(deleted []*trackedServer, now time.Time) {
	if len(deleted) == 0 {
		return
	}
	manyDeleted := len(deleted) >= minMassExpiryServers && float64(len(deleted)) >= massExpiryShare*float64(len(d.servers))
	maybeMassExpiry := manyDeleted || d.SinceStoreFailure() < storeFailurePeriod
	for _, tracked := range deleted {
		// The record may have been written again in the same batch.
		if !tracked.deleted || !tracked.removeAt.IsZero() {
			continue
		}
		tracked.removeAt = now
		tracked.maybeMassExpiry = maybeMassExpiry && !tracked.Draining
		switch {
		case tracked.maybeMassExpiry:
			tracked.removeAt = now.Add(d.boundedMassExpiryDelay())
		case !tracked.Draining:
			tracked.removeAt = now.Add(time.Duration(unannouncedDeletionShare * float64(d.drainPeriod.Load())))
		}
		if maybeMassExpiry {
			d.log.Info("record of a backend server was deleted, possibly by a mass expiry", "id", tracked.ID, "service", tracked.Service)
		}
	}
}

// boundedMassExpiryDelay returns massExpiryDelay, shortened if needed so that
// the removal can be confirmed within the drain period.
func (d *Directory) boundedMassExpiryDelay() time.Duration {
	drain := time.Duration(d.drainPeriod.Load())
	return min(massExpiryDelay, max(drain-propagationReservePeriod, drain/2))
}

// isRemovalConfirmed reports whether a server that is due for removal may be removed.
// After a possible mass expiry, the store or the peers must first confirm that the
// server's record is still missing. Until then the server stays, and its replies
// to calls decide whether it gets work.
func (d *Directory) isRemovalConfirmed(tracked *trackedServer, now time.Time) bool {
	if !tracked.maybeMassExpiry || d.listedAt.After(tracked.removeAt) {
		return true
	}
	if !d.ReadsStore() {
		return now.Sub(tracked.removeAt) > confirmTimeout
	}
	d.Relist()
	// If the store does not answer, the records that peers confirm decide, as on
	// instances that do not read it.
	return now.Add(-d.RecordAge()).Sub(tracked.removeAt) > confirmTimeout
}

func (d *Directory) nextRemovalCheck() time.Time {
	if !d.recheckAt.IsZero() {
		return d.recheckAt
	}
	var next time.Time
	for _, tracked := range d.servers {
		if !tracked.removeAt.IsZero() && (next.IsZero() || tracked.removeAt.Before(next)) {
			next = tracked.removeAt
		}
	}
	return next
}

func (d *Directory) removeServer(key string, tracked *trackedServer, cause string) {
	tracked.server.SetOutOfService(true)
	tracked.server.Pool.Close()
	delete(d.servers, key)
	d.log.Info("backend server removed", "id", tracked.ID, "service", tracked.Service, "why", cause)
}
