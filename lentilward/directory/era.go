package directory

import (
	"cmp"
	"time"

	"lentilward.org/lentilward/member"
	"lentilward.org/lentilward/mirror"
	"lentilward.org/schema/domain"
)

// When the store comes back from an older copy, its records are older than what was in
// force before, until the operators and the servers have written theirs again.

const (
	// returnHold is how long after a return of the store what was in force goes before its
	// records. Later, a record that nobody has written again is the truth.
	returnHold = 10 * time.Second
	// proofHold is how long after a return the records prove nothing of what was withdrawn
	// before.
	proofHold = 3 * time.Second
	// minReturnInterval is the shortest time between two returns that peers tell apart.
	minReturnInterval = 500 * time.Millisecond
	// removedServerTTL is how long a server that was removed is remembered.
	removedServerTTL = 2 * time.Minute
)

// NoteNewEra records that the store has come back from an older copy.
func (d *Directory) NoteNewEra() {
	now := time.Now()
	d.newEraAt.Store(&now)
}

// NoteReturn records what a peer tells of a return of the store. An instance that started
// later can't tell by itself that the store may have lost withdrawals of keys.
func (d *Directory) NoteReturn(r member.StoreReturn) {
	newEraAt, known := time.Now().Add(-r.Age), d.newEraAt.Load()
	// The same return seems a little later with each peer that tells of it.
	if known == nil || newEraAt.Sub(*known) > minReturnInterval {
		d.newEraAt.Store(&newEraAt)
	}
	for told := d.toldConfiguration.Load(); told < r.Configuration; told = d.toldConfiguration.Load() {
		if d.toldConfiguration.CompareAndSwap(told, r.Configuration) {
			return
		}
	}
}

// LastReturn returns the last return of the store; nil if there was none within returnHold.
func (d *Directory) LastReturn() *member.StoreReturn {
	newEraAt, snapshot := d.newEraAt.Load(), d.Current.Load()
	if newEraAt == nil || snapshot == nil || time.Since(*newEraAt) >= returnHold {
		return nil
	}
	return &member.StoreReturn{Age: time.Since(*newEraAt), Configuration: snapshot.Configuration.Version}
}

// holdUntil returns until when what was in force before the last return goes before the
// records of the store.
func (d *Directory) holdUntil() time.Time {
	if newEraAt := d.newEraAt.Load(); newEraAt != nil {
		return newEraAt.Add(returnHold)
	}
	return time.Time{}
}

// knownServer is what was last known of a server: its process, its last heartbeat, and the
// era of the store in which that was learned.
type knownServer struct {
	incarnation int64
	sequence    float64
	era         uint64
	draining    bool
	// gone is set if the record was deleted, other than by a possible mass expiry.
	gone bool
	// removedAt is when the server was removed; zero if it was not.
	removedAt time.Time
}

func (s *trackedServer) known() knownServer {
	return knownServer{
		incarnation: s.Incarnation, sequence: s.Sequence, era: s.era, draining: s.Draining, gone: s.deleted && !s.maybeMassExpiry,
	}
}

// findKnown returns what is known of a server that is in use or was removed lately.
func (d *Directory) findKnown(key string, now time.Time) (_ knownServer, found bool) {
	if tracked := d.servers[key]; tracked != nil {
		return tracked.known(), true
	}
	known, found := d.removed[key]
	return known, found && now.Sub(known.removedAt) <= removedServerTTL
}

// copyVerdict says what to do with the record of a server.
type copyVerdict uint8

const (
	// applyRecord means that the record is news.
	applyRecord copyVerdict = iota
	// keepKnown means that the server is in use and the record is not newer.
	keepKnown
	// holdRecord means that the record may be from before the server left or was restarted. It
	// counts if the store still has it after returnHold.
	holdRecord
	// ignoreRecord means that the record is of a copy from before the server began to drain.
	ignoreRecord
)

// judgeCopy decides about the record of a server that may be of the copy from which the store
// came back. A later heartbeat than the last one that is known does not show that a server
// lives that has left.
func (d *Directory) judgeCopy(r mirror.Record, b domain.BackendServer, now time.Time) copyVerdict {
	known, found := d.findKnown(r.Key, now)
	if !r.Copied || !found || known.era >= r.Era || b.Draining && !known.draining {
		return applyRecord
	}
	sameProcess := b.Incarnation == known.incarnation
	isNewer := cmp.Or(cmp.Compare(b.Incarnation, known.incarnation), cmp.Compare(b.Sequence, known.sequence)) > 0
	switch {
	case isNewer && !(known.gone && sameProcess):
		return applyRecord
	case known.draining && sameProcess:
		return ignoreRecord
	case known.gone || !sameProcess:
		return holdRecord
	}
	return keepKnown
}

// rememberRemoved remembers a server that is removed, and forgets those of long ago.
func (d *Directory) rememberRemoved(key string, tracked *trackedServer) {
	now := time.Now()
	for key, known := range d.removed {
		if now.Sub(known.removedAt) > removedServerTTL {
			delete(d.removed, key)
		}
	}
	known := tracked.known()
	known.gone, known.removedAt = true, now
	d.removed[key] = known
}

// withdrawal is the state of a data centre that operators have withdrawn.
type withdrawal struct {
	// era is the era of the store in which the withdrawal was learned.
	era uint64
	// missing is set if the store has come back without it.
	missing bool
}

// applyWithdrawal applies the record of the withdrawal of a data centre. A withdrawal that
// is missing after the return of the store stays in force for returnHold.
func (d *Directory) applyWithdrawal(dataCentre string, r mirror.Record) {
	known, withdrawn := d.withdrawn[dataCentre]
	switch {
	case !r.Deleted:
		d.withdrawn[dataCentre] = withdrawal{era: r.Era}
	case !withdrawn:
		return
	case known.era < r.Era:
		if !known.missing {
			known.missing = true
			d.withdrawn[dataCentre] = known
			d.log.Warn("the store has come back without the withdrawal of a data centre; keeping it for now", "name", dataCentre,
				"until", d.holdUntil(), "era", r.Era, "revision", r.Revision)
		}
		return
	default:
		delete(d.withdrawn, dataCentre)
	}
	d.log.Info("withdrawal of a data centre changed", "name", dataCentre, "withdrawn", !r.Deleted, "era", r.Era, "revision", r.Revision)
}

// isWithdrawn reports whether a data centre must get no calls.
func (d *Directory) isWithdrawn(dataCentre string) bool {
	_, withdrawn := d.withdrawn[dataCentre]
	return withdrawn
}

// endHold takes over what the store still has, or still lacks, returnHold after its return. The
// store or a peer must confirm it then: this instance may be cut off from both.
func (d *Directory) endHold(now time.Time) {
	if holdUntil := d.holdUntil(); now.Before(holdUntil) || d.confirmedAt.Before(holdUntil) {
		return
	}
	for dataCentre, w := range d.withdrawn {
		if w.missing {
			delete(d.withdrawn, dataCentre)
			d.log.Info("withdrawal of a data centre changed", "name", dataCentre, "withdrawn", false, "era", w.era)
		}
	}
	for _, r := range d.held {
		r.Copied = false
		d.applyServer(r, now)
	}
}

// isHolding reports whether endHold has something to take over.
func (d *Directory) isHolding() bool {
	for _, w := range d.withdrawn {
		if w.missing {
			return true
		}
	}
	return len(d.held) > 0
}

// provesWithdrawals reports whether the records of the store are new enough to prove that no
// key was withdrawn that is still in use.
func (d *Directory) provesWithdrawals() bool {
	newEraAt, snapshot := d.newEraAt.Load(), d.Current.Load()
	switch {
	case newEraAt == nil:
		return true
	case time.Since(*newEraAt) < proofHold, d.storeIsBehind.Load():
		return false
	}
	return snapshot != nil && snapshot.Configuration.Version >= d.toldConfiguration.Load()
}
