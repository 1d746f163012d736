package directory

import (
	"time"
)

const (
	// vanishPart is the part of the time in which a leaving server must get no new
	// work, for which a server whose record has ended is believed to be there: it
	// may be back with its next sign of life.
	vanishPart = 0.55
	// lapseWait is how long a server whose record ended with a lapse of the store
	// is believed to be there: it comes back within two seconds if it lives.
	lapseWait = 2200 * time.Millisecond
	// lapseReserve is the part of the time in which a leaving server must get no
	// new work that is kept for the news of the end, and for the reading that
	// confirms it.
	lapseReserve = 650 * time.Millisecond
	// confirmWait is how long after that a reading of the store is waited for that
	// shows that the record is still missing, by instances that learn from peers.
	confirmWait = 3 * time.Second
	// confirmPeriod is the time between two looks at whether it was read.
	confirmPeriod = 100 * time.Millisecond
	// lapseMemory is how long after trouble with the store records that end may
	// have lapsed.
	lapseMemory = 4 * time.Second
	// lapseShare is the share of all servers that does not leave at once.
	lapseShare = 0.25
	// leastLapse is the number of servers from which on lapseShare counts.
	leastLapse = 3
)

// end takes out the servers whose records have ended. Where that may be a lapse
// of the store they keep their work for a while.
func (d *Directory) end(ended []*tracked, now time.Time) {
	if len(ended) == 0 {
		return
	}
	many := len(ended) >= leastLapse && float64(len(ended)) >= lapseShare*float64(len(d.servers))
	lapsed := many || d.Troubled() < lapseMemory
	for _, t := range ended {
		// It may have come back in the same reading.
		if !t.ended || !t.goneAt.IsZero() {
			continue
		}
		t.goneAt = now
		t.lapsed = lapsed && !t.Leaving
		switch {
		case t.lapsed:
			t.goneAt = now.Add(d.lapseWait())
		case !t.Leaving:
			t.goneAt = now.Add(time.Duration(vanishPart * float64(d.drain.Load())))
		}
		if lapsed {
			d.log.Info("record of a backend server has ended, perhaps by a lapse", "id", t.ID, "service", t.Service)
		}
	}
}

// lapseWait returns how long a record that may have lapsed is waited for, within
// the bound for servers that leave.
func (d *Directory) lapseWait() time.Duration {
	drain := time.Duration(d.drain.Load())
	return min(lapseWait, max(drain-lapseReserve, drain/2))
}

// confirmed tells whether a record that ended with a lapse is known to be
// missing still. While neither the store nor peers tell, the server's own answers
// decide.
func (d *Directory) confirmed(t *tracked, now time.Time) bool {
	if !t.lapsed || d.readAt.After(t.goneAt) {
		return true
	}
	if !d.Reading() {
		return now.Sub(t.goneAt) > confirmWait
	}
	d.Relist()
	// One that the store does not answer goes by its peers, as others do.
	return now.Add(-d.Age()).Sub(t.goneAt) > confirmWait
}

func (d *Directory) nextGone() time.Time {
	if !d.recheckAt.IsZero() {
		return d.recheckAt
	}
	var next time.Time
	for _, t := range d.servers {
		if !t.goneAt.IsZero() && (next.IsZero() || t.goneAt.Before(next)) {
			next = t.goneAt
		}
	}
	return next
}

func (d *Directory) remove(key string, t *tracked, why string) {
	t.server.SetOut(true)
	t.server.Pool.Close()
	delete(d.servers, key)
	d.log.Info("backend server is gone", "id", t.ID, "service", t.Service, "why", why)
}
