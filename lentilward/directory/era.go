package directory

import (
	"cmp"
	"time"

	"lentilward.org/lentilward/mirror"
	"lentilward.org/schema/domain"
)

// When the store comes back from an older copy, its records are older than what was in
// force before, until the operators and the servers have written theirs again.

const (
	// withdrawalHold is how long a data centre stays withdrawn after the return of the store
	// if the copy does not have the withdrawal.
	withdrawalHold = 10 * time.Second
	// proofHold is how long after the return of the store its records prove nothing of what
	// was withdrawn before.
	proofHold = 3 * time.Second
	// removedServerTTL is how long a server that was removed is remembered. A copy is only
	// some seconds old.
	removedServerTTL = 2 * time.Minute
)

// knownServer is what was last known of a server: its process, its last heartbeat, and the
// era of the store in which that was learned.
type knownServer struct {
	incarnation int64
	sequence    float64
	era         uint64
	// removedAt is when the server was removed; zero if it was not.
	removedAt time.Time
}

// NoteNewEra records that the store has come back from an older copy.
func (d *Directory) NoteNewEra() {
	now := time.Now()
	d.newEraAt.Store(&now)
}

// isOutdated reports whether the record of a server is not newer than what was known of the
// server in an earlier era: the record is one of the copy, and the server may be draining or
// have left since.
func (d *Directory) isOutdated(r mirror.Record, b domain.BackendServer) bool {
	known, found := d.removed[r.Key]
	if tracked := d.servers[r.Key]; tracked != nil {
		known, found = knownServer{incarnation: tracked.Incarnation, sequence: tracked.Sequence, era: tracked.era}, true
	}
	return found && known.era < r.Era &&
		cmp.Or(cmp.Compare(b.Incarnation, known.incarnation), cmp.Compare(b.Sequence, known.sequence)) <= 0
}

// rememberRemoved remembers a server that is removed, and forgets those of long ago.
func (d *Directory) rememberRemoved(key string, tracked *trackedServer) {
	now := time.Now()
	for key, known := range d.removed {
		if now.Sub(known.removedAt) > removedServerTTL {
			delete(d.removed, key)
		}
	}
	d.removed[key] = knownServer{incarnation: tracked.Incarnation, sequence: tracked.Sequence, era: tracked.era, removedAt: now}
}

// withdrawal is the state of a data centre that operators have withdrawn.
type withdrawal struct {
	// era is the era of the store in which the withdrawal was learned.
	era uint64
	// liftAt is when the data centre is in service again; zero if it is withdrawn.
	liftAt time.Time
}

// applyWithdrawal applies the record of the withdrawal of a data centre. A withdrawal that
// is missing after the return of the store stays in force for withdrawalHold.
func (d *Directory) applyWithdrawal(dataCentre string, r mirror.Record, now time.Time) {
	known, withdrawn := d.withdrawn[dataCentre]
	switch {
	case !r.Deleted:
		d.withdrawn[dataCentre] = withdrawal{era: r.Era}
	case !withdrawn:
		return
	case known.era < r.Era:
		if known.liftAt.IsZero() {
			known.liftAt = now.Add(withdrawalHold)
			d.withdrawn[dataCentre] = known
			d.log.Warn("the store has come back without the withdrawal of a data centre; keeping it", "name", dataCentre,
				"for", withdrawalHold, "era", r.Era, "revision", r.Revision)
		}
		return
	default:
		delete(d.withdrawn, dataCentre)
	}
	d.log.Info("withdrawal of a data centre changed", "name", dataCentre, "withdrawn", !r.Deleted, "era", r.Era, "revision", r.Revision)
}

// liftWithdrawals ends the withdrawals that were kept for withdrawalHold.
func (d *Directory) liftWithdrawals(now time.Time) {
	for dataCentre, w := range d.withdrawn {
		if !w.liftAt.IsZero() && !now.Before(w.liftAt) {
			delete(d.withdrawn, dataCentre)
			d.log.Info("withdrawal of a data centre changed", "name", dataCentre, "withdrawn", false, "era", w.era)
		}
	}
}

// isWithdrawn reports whether a data centre must get no calls.
func (d *Directory) isWithdrawn(dataCentre string) bool {
	_, withdrawn := d.withdrawn[dataCentre]
	return withdrawn
}

// provesWithdrawals reports whether the records of the store are new enough to prove that no
// key was withdrawn that is still in use.
func (d *Directory) provesWithdrawals() bool {
	newEraAt := d.newEraAt.Load()
	return !d.storeIsBehind.Load() && (newEraAt == nil || time.Since(*newEraAt) >= proofHold)
}
