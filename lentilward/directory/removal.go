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
	// the deletion to reach this instance, and for the call that confirms it.
	propagationReservePeriod = 650 * time.Millisecond
	// confirmInterval is the interval at which unconfirmed removals are checked.
	confirmInterval = 100 * time.Millisecond
	// massExpiryShare is the share of all servers whose records have to be deleted
	// at once to count as a mass expiry, since so many servers do not normally
	// stop at the same time.
	massExpiryShare = 0.25
	// minMassExpiryServers is the minimum number of deleted records for
	// massExpiryShare to apply.
	minMassExpiryServers = 3
)

// scheduleRemovals sets when servers whose records were deleted are due for removal:
// draining servers at once, others after a delay. knownAt is when the records were last
// confirmed before the deletions became known.
func (d *Directory) scheduleRemovals(deleted []*trackedServer, knownAt, now time.Time) {
	if len(deleted) == 0 {
		return
	}
	manyDeleted := len(deleted) >= minMassExpiryServers && float64(len(deleted)) >= massExpiryShare*float64(len(d.servers))
	sinceReturn := d.SinceStoreReturn()
	maybeMassExpiry := manyDeleted || sinceReturn < massExpiryDelay
	delay := d.removalDelay(knownAt, now)
	switch {
	case manyDeleted:
		delay = d.boundedMassExpiryDelay()
	case maybeMassExpiry:
		delay = max(delay, d.boundedMassExpiryDelay()-sinceReturn)
	}
	for _, tracked := range deleted {
		// The record may have been written again in the same batch.
		if !tracked.deleted || !tracked.removeAt.IsZero() {
			continue
		}
		tracked.removeAt = now
		tracked.maybeMassExpiry = maybeMassExpiry && !tracked.Draining
		if !tracked.Draining {
			tracked.removeAt = now.Add(delay)
		}
		d.log.Info("record of a backend server was deleted", "id", tracked.ID, "service", tracked.Service, "draining", tracked.Draining,
			"maybe-mass-expiry", maybeMassExpiry, "deleted", len(deleted), "since-store-return", sinceReturn,
			"known-for", now.Sub(knownAt), "removal-in", tracked.removeAt.Sub(now))
	}
}

// removalDelay returns for how long a server is kept whose record was deleted
// unannounced, between knownAt and now: unannouncedDeletionShare of the drain period,
// less what this instance has learned late.
func (d *Directory) removalDelay(knownAt, now time.Time) time.Duration {
	drain := time.Duration(d.drainPeriod.Load())
	left := knownAt.Add(drain - propagationReservePeriod).Sub(now)
	return max(0, min(left, time.Duration(unannouncedDeletionShare*float64(drain))))
}

// boundedMassExpiryDelay returns massExpiryDelay, shortened if needed so that
// the removal can be confirmed within the drain period.
func (d *Directory) boundedMassExpiryDelay() time.Duration {
	drain := time.Duration(d.drainPeriod.Load())
	return min(massExpiryDelay, max(drain-propagationReservePeriod, drain/2))
}

// isRemovalConfirmed reports whether a server that is due for removal may be removed.
// After a possible mass expiry, the store or a peer must first confirm that the
// server's record is still missing. Until then the server stays, and its replies
// to calls decide whether it gets work.
func (d *Directory) isRemovalConfirmed(tracked *trackedServer) bool {
	if !tracked.maybeMassExpiry || !d.confirmedAt.Before(tracked.removeAt) {
		return true
	}
	d.Confirm()
	return false
}

func (d *Directory) nextRemovalCheck() time.Time {
	if !d.recheckAt.IsZero() {
		return d.recheckAt
	}
	var next time.Time
	if d.isHolding() {
		next = d.holdUntil()
	}
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
	d.rememberRemoved(key, tracked)
	d.log.Info("backend server removed", "id", tracked.ID, "service", tracked.Service, "why", cause)
}
