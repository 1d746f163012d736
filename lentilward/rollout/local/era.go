package local

import (
	"time"

	"lentilward.org/lentilward/rollout"
	"lentilward.org/schema/domain"
)

// orderHold is how long an order stays in force after the store has come back from a copy
// without it: the operator writes it again within some seconds.
const orderHold = 10 * time.Second

// returned is what is known of a service's rollout from before the store came back from an
// older copy.
type returned struct {
	// recordEra is the era of the record's revision. isRecordLost is set if the store does
	// not have the record, but stored.
	recordEra    uint64
	isRecordLost bool
	stored       domain.RolloutRecord
	// written is the last record that this instance itself has written.
	written domain.RolloutRecord
	// previous is the order before the present one. While the store has not got the present
	// one, replacement is what it has, to be taken over at replaceAt.
	previous    rollout.Order
	replacement *rollout.Order
	replaceAt   time.Time
}

// keepsOrder reports whether the present order stays although the store of another era has
// o: the same order, with the revision that it has there, or the one before it or none, until
// the operator has written the present one again. The caller holds mu.
func (s *Service) keepsOrder(o rollout.Order, now time.Time) bool {
	if s.order.Revision == 0 || o.Era <= s.order.Era {
		return false
	}
	switch {
	case o.Revision != 0 && o.RolloutOrder == s.order.RolloutOrder:
		isRecorded, isWritten := s.isRecorded(), rollout.IsAbout(s.written, s.order)
		s.order.Era, s.order.Revision = o.Era, o.Revision
		s.notice.Era, s.notice.Order = o.Era, o.Revision
		if isRecorded {
			s.record.OrderRevision = o.Revision
		}
		if isWritten {
			s.written.OrderRevision = o.Revision
		}
		// The reply to a report that is on its way is not taken over.
		s.permits.sequence++
		s.permits.asking = false
		s.replacement = nil
	case o.Revision == 0, o.Revision == s.previous.Revision && o.RolloutOrder == s.previous.RolloutOrder:
		s.replacement, s.replaceAt = &o, now.Add(orderHold)
	default:
		return false
	}
	s.local.log.Info("order of a rollout kept after the return of the store", "service", s.name, "target", s.order.Target,
		"era", o.Era, "revision", o.Revision, "written-again", s.replacement == nil)
	return true
}

// endHold replaces an order that was not written again after a return of the store. The
// caller holds mu.
func (s *Service) endHold(now time.Time) {
	if s.replacement != nil && !now.Before(s.replaceAt) {
		s.replaceOrder(*s.replacement, now)
	}
}

// replaceOrder takes over another order. The caller holds mu.
func (s *Service) replaceOrder(o rollout.Order, now time.Time) {
	// A record that the store does not have is about an order before.
	if s.isRecordLost || s.recordEra < o.Era {
		s.record.OrderRevision = 0
		if s.isRecordLost && rollout.IsAbout(s.stored, o) {
			s.setRecord(s.stored)
		}
		s.isRecordLost = false
	}
	s.replacement = nil
	if s.order.Revision != 0 {
		s.previous = s.order
	}
	s.order, s.notice = o, rollout.Notice{Service: s.name, Order: o.Revision, Era: o.Era}
	s.permits = permits{}
	s.local.log.Info("order of a rollout", "service", s.name, "target", o.Target, "duration", o.Duration, "era", o.Era, "revision", o.Revision,
		"age", now.Sub(o.KnownAt), "late", o.Late, "present", s.present)
}

// keepsRecord reports whether the present record stays since that of another era, at a
// revision, is an older one. Otherwise the end of a rollout that is known counts as news. The
// caller holds mu.
func (s *Service) keepsRecord(record domain.RolloutRecord, revision, era uint64, now time.Time) bool {
	isOtherEra := s.recordEra != 0 && era > s.recordEra
	if isOtherEra && s.written.Writes > s.record.Writes {
		s.setRecord(s.written)
	}
	isForOrder := rollout.IsAbout(record, s.order) && !s.isRecorded()
	if isOtherEra && !isForOrder && s.record.Writes > record.Writes {
		s.recordRevision, s.recordEra, s.recordAt, s.isRecordLost = revision, era, now, true
		s.local.log.Info("record of a rollout kept after the return of the store", "service", s.name, "target", s.record.Target,
			"state", string(s.record.State), "era", era, "revision", revision)
		return true
	}
	if (isOtherEra || s.isRecordLost) && s.isRecorded() && s.record.State.IsFinal() {
		s.notice.Phase = max(s.notice.Phase, rollout.PhaseOf(s.record.State))
	}
	s.isRecordLost = false
	return false
}

// NoteWritten notes a record that this instance has written.
func (r *Rollouts) NoteWritten(service string, record domain.RolloutRecord) {
	s := r.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written = record
}
