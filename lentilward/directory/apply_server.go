package directory

import (
	"time"

	"lentilward.org/lentilward/mirror"
	"lentilward.org/lentilward/pace"
)

// applyServer applies the record of a server. It returns the server if the record
// was deleted.
func (d *Directory) applyServer(r mirror.Record, now time.Time) *trackedServer {
	tracked := d.servers[r.Key]
	delete(d.held, r.Key)
	if r.Deleted {
		if tracked != nil {
			tracked.deleted, tracked.era = true, r.Era
		}
		return tracked
	}
	b, err := d.recordFormat.Server(r.Key, r.Value)
	if err != nil {
		d.log.Warn("record of a backend server is malformed", "key", r.Key, "revision", r.Revision, "error", err)
		if tracked != nil {
			tracked.removeAt = now
		}
		return nil
	}
	switch verdict := d.judgeCopy(r, b, now); verdict {
	case keepKnown:
		tracked.era, tracked.deleted, tracked.removeAt = r.Era, false, time.Time{}
		return nil
	case holdRecord, ignoreRecord:
		if verdict == holdRecord {
			d.held[r.Key] = r
		}
		d.log.Info("record of a backend server is older than what is known of it", "id", b.ID, "service", b.Service,
			"held", verdict == holdRecord, "sequence", b.Sequence, "era", r.Era, "revision", r.Revision)
		return nil
	}
	cause := pace.Started
	if tracked != nil && (tracked.Incarnation != b.Incarnation || tracked.Address != b.Address || tracked.Service != b.Service || d.changesVersion(tracked, b)) {
		d.removeServer(r.Key, tracked, "restarted")
		tracked, cause = nil, pace.Restarted
	}
	if tracked == nil {
		tracked = &trackedServer{server: d.NewServer(b)}
		d.servers[r.Key] = tracked
		d.log.Debug("backend server added", "id", b.ID, "service", b.Service, "address", b.Address, "leaving", b.Draining)
		if !b.Draining {
			d.updateConnectionLimit(tracked, b)
			if d.isServed(b.Service) {
				tracked.server.StartPace(cause, now)
			}
			d.toOpen = append(d.toOpen, tracked.server)
		}
	}
	if b.Draining && !tracked.Draining {
		d.log.Info("backend server is draining", "id", b.ID, "service", b.Service, "revision", r.Revision)
	}
	if tracked.Draining && !b.Draining {
		tracked.server.CancelLeaving()
	}
	if b.ColdFor > 0 {
		tracked.server.SetCold(now.Add(b.ColdFor))
	}
	tracked.BackendServer, tracked.era, tracked.deleted, tracked.removeAt = b, r.Era, false, time.Time{}
	return nil
}
