package rollout

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"lentilward.org/lentilward/rollout/verdict"
	"lentilward.org/schema/domain"
)

// Controller decides one rollout. It is not safe for concurrent use.
type Controller struct {
	service string
	order   Order
	bounds  Bounds
	log     *slog.Logger
	// record is the record as it was last written, at revision; 0 if it was not yet.
	record   domain.RolloutRecord
	revision uint64
	// isLost is set while the store does not have the final record of the order.
	isLost bool
	// startedAt is when this controller started.
	startedAt, writtenAt, nextWriteAt time.Time
	ledger                            *ledger
	evidence                          *evidence
	// badReason is why the version is judged bad; "" if it is not. goodReason is the same
	// for a good one.
	badReason, goodReason string
	// newAtLoad is the number of replies of the new version at the begin of the phase under
	// load; -1 before.
	newAtLoad int
	// suspectSince is since when the version looks bad; zero if it does not.
	suspectSince time.Time
	judgedAt     time.Time
	// completing is set while the write of the good end is on its way.
	completing                bool
	movingSince, closingSince time.Time
	confirmations             map[string]confirmation
}

type confirmation struct {
	Confirmation
	at time.Time
}

// NewController returns the controller of an order that has no record yet, or of one whose
// record it takes over. earlier is the present record of the service, of this order or of
// an earlier one, at a revision; 0 if there is none.
func NewController(self string, s State, b Bounds, log *slog.Logger, now time.Time) *Controller {
	c := &Controller{
		service: s.Service, order: s.Order, bounds: b, log: log, startedAt: now, newAtLoad: -1,
		revision: s.Record.Revision, confirmations: make(map[string]confirmation),
	}
	c.record = domain.RolloutRecord{
		OrderRevision: s.Order.Revision, Target: s.Order.Target, Present: s.Present, State: domain.RolloutRunning,
		BegunAtMs: s.Order.KnownAt.UnixMilli(), Writes: s.Record.Writes,
	}
	if s.Present == s.Order.Target {
		c.record.State, c.movingSince = domain.RolloutMoving, now
	}
	if s.IsRecorded() {
		c.record, c.isLost = s.Record.RolloutRecord, s.Record.IsLost
		if c.record.State == domain.RolloutMoving {
			c.movingSince = now
		}
		c.order.KnownAt = begunAt(s, now)
	}
	c.record.Controller = self
	c.ledger, c.evidence = newLedger(c.record.Exposed), newEvidence(c.record.Requests)
	if s.Phase == RolledBack {
		c.judgeBad("another instance knows that it is bad")
	}
	c.log.Info("controlling a rollout", "service", c.service, "order", c.order.Revision, "target", c.record.Target, "present", c.record.Present,
		"state", string(c.record.State), "exposed", c.record.Exposed, "elapsed", now.Sub(c.order.KnownAt))
	return c
}

// begunAt returns when an order with a record was given. A process that was not running
// then goes by the record, and by the time of day if that is later: the time of day may
// have jumped, but less time than the record states can't have passed.
func begunAt(s State, now time.Time) time.Time {
	recorded := s.Record.KnownAt.Add(-time.Duration(s.Record.ElapsedMs) * time.Millisecond)
	if s.Order.Late {
		byClock := time.UnixMilli(s.Record.BegunAtMs)
		if age := now.Sub(byClock.Round(0)); age > now.Sub(recorded) && age < s.Order.Duration {
			recorded = now.Add(-age)
		}
		return recorded
	}
	if recorded.Before(s.Order.KnownAt) {
		return recorded
	}
	return s.Order.KnownAt
}

// Phase returns the phase that instances should follow.
func (c *Controller) Phase() Phase {
	switch {
	case c.badReason != "" && c.record.State != domain.RolloutCompleted:
		return RolledBack
	case c.record.State == domain.RolloutMoving && !c.closingSince.IsZero():
		return Closing
	}
	return PhaseOf(c.record.State)
}

// elapsed returns the time since the order was given.
func (c *Controller) elapsed(now time.Time) time.Duration { return now.Sub(c.order.KnownAt) }

// part returns a part of the duration.
func (c *Controller) part(share float64) time.Duration {
	return time.Duration(share * float64(c.order.Duration))
}

// finish returns the time that the end of a rollout takes.
func (c *Controller) finish() time.Duration { return min(maxFinish, c.part(finishShare)) }

// HandleReport takes over a report and grants permits.
func (c *Controller) HandleReport(r Report, now time.Time) Reply {
	if !c.order.Is(r.Order, r.Era) {
		return Reply{Wait: maxAskWait}
	}
	from := process{r.Instance, r.Incarnation}
	if !c.ledger.update(from, r.Sequence, r.Used, r.Held) {
		return Reply{Phase: c.Phase(), Wait: maxAskWait}
	}
	c.evidence.add(r, c.elapsed(now), now)
	if r.Phase == RolledBack {
		c.judgeBad("another instance knows that it is bad")
	}
	reply := Reply{Phase: c.Phase(), Medians: c.evidence.medians(now)}
	if reply.Phase != Running || c.writtenAt.IsZero() {
		reply.Wait = maxAskWait
		return reply
	}
	reply.Lacking, _ = c.evidence.lacking(1)
	if !c.suspectSince.IsZero() {
		reply.Wait = minAskWait
		return reply
	}
	if r.Wanted > 0 {
		reply.Granted = c.ledger.grant(from, min(r.Wanted, int(c.pace(now))-c.ledger.committed()))
	}
	if reply.Granted < r.Wanted {
		wait := min(maxAskWait, max(minAskWait, time.Duration(len(c.evidence.processes))*waitPerProcess))
		reply.Wait = wait/2 + rand.N(wait)
	}
	return reply
}

// Judge checks whether the version is bad. It must be called also while a write is on its
// way; while that of the end is, it is too late.
func (c *Controller) Judge(now time.Time) {
	if c.badReason != "" || c.completing || c.record.State.IsFinal() || now.Sub(c.judgedAt) < judgeInterval {
		return
	}
	c.judgedAt = now
	judgement, route := c.evidence.worst()
	if judgement != verdict.IsBad {
		c.suspectSince = time.Time{}
		return
	}
	if c.suspectSince.IsZero() {
		c.suspectSince = now
	}
	if c.record.State == domain.RolloutRunning && now.Sub(c.suspectSince) < min(settlePeriod, c.bounds.Rollback/4) {
		return
	}
	where := "on all routes together"
	if route != "" {
		where = "on route " + route
	}
	all := total(c.evidence.pooled())
	c.judgeBad(fmt.Sprintf("%d of %d replies bad, %d of %d of the old version, worst %s, after %v", all.NewBad, all.New, all.OldBad, all.Old,
		where, c.elapsed(now).Round(time.Millisecond)))
}

func (c *Controller) judgeBad(reason string) {
	if c.badReason != "" || c.completing || c.record.State.IsFinal() {
		return
	}
	c.badReason = reason
	c.log.Info("verdict on a rollout", "service", c.service, "order", c.order.Revision, "target", c.record.Target, "verdict", "bad", "reason", reason)
}

// isGood reports whether the version is good, and why.
func (c *Controller) isGood(now time.Time) (reason string, good bool) {
	if c.elapsed(now) < c.part(goodFrom) || c.newAtLoad < 0 {
		return "", false
	}
	all := total(c.evidence.pooled())
	if all.New-c.newAtLoad < loadReplies && c.elapsed(now) < c.part(loadFrom)+loadPeriod {
		return "", false
	}
	need := 1.0
	if c.elapsed(now) >= c.part(relaxedFrom) {
		need = relaxedShare
	}
	lacking, enough := c.evidence.lacking(need)
	judgement, _ := c.evidence.worst()
	if !enough || len(lacking) > 0 || judgement != verdict.NoDoubt {
		return "", false
	}
	return fmt.Sprintf("%d of %d replies bad, %d of %d of the old version", all.NewBad, all.New, all.OldBad, all.Old), true
}

// Step decides what follows from the time and from what is known, and returns the record
// to write, if any. alive has the names of the alive instances, this one included, and
// targetServers the number of servers of the target in service. The caller writes the
// record at Revision and reports the result to Written or WriteFailed.
func (c *Controller) Step(now time.Time, alive []string, targetServers int) (domain.RolloutRecord, bool) {
	next := c.record
	if c.IsDone() || now.Before(c.nextWriteAt) {
		return next, false
	}
	if c.record.State.IsFinal() {
		next.Writes++
		return next, true
	}
	c.Judge(now)
	if c.newAtLoad < 0 && c.elapsed(now) >= c.part(loadFrom) {
		c.newAtLoad = total(c.evidence.pooled()).New
	}
	switch {
	case c.badReason != "":
	case c.writtenAt.IsZero():
	case c.record.State == domain.RolloutRunning:
		if reason, good := c.isGood(now); good {
			c.noteGood(reason)
			next.State = domain.RolloutMoving
		} else if c.elapsed(now) >= c.order.Duration-c.finish()/2 {
			all := total(c.evidence.pooled())
			c.judgeBad(fmt.Sprintf("undecided: %d replies, %d bad", all.New, all.NewBad))
		}
	case c.hasMoved(now, alive):
		if targetServers > 0 && c.isStopSafe(alive) {
			next.State, c.completing = domain.RolloutCompleted, true
		} else {
			c.judgeBad("instances or servers were lost while the traffic moved")
		}
	}
	if c.badReason != "" {
		next.State = domain.RolloutRolledBack
	}
	raise := int(min(c.bound(), c.pace(now.Add(RenewInterval))))
	pause := raisePause
	if raise-c.ledger.recorded > minTrial {
		pause = writePause
	}
	due := now.Sub(c.writtenAt) >= RenewInterval ||
		c.ledger.recorded-c.ledger.committed() < minTrial && raise > c.ledger.recorded && now.Sub(c.writtenAt) >= pause
	// The first write makes this instance the controller.
	if c.writtenAt.IsZero() || next.State != c.record.State || due {
		c.complete(&next, raise, now)
		return next, true
	}
	return next, false
}

// complete sets the fields that each write renews.
func (c *Controller) complete(next *domain.RolloutRecord, raise int, now time.Time) {
	if next.State == domain.RolloutRunning {
		next.Exposed = max(next.Exposed, raise)
	}
	all := total(c.evidence.pooled())
	next.ElapsedMs = c.elapsed(now).Milliseconds()
	next.Requests, next.Samples, next.Bad = c.evidence.requests, max(next.Samples, all.New), max(next.Bad, all.NewBad)
	next.Reason, next.Writes = c.goodReason, c.record.Writes+1
	if c.badReason != "" {
		next.Reason = c.badReason
	}
}

func (c *Controller) noteGood(reason string) {
	if c.goodReason == "" {
		c.log.Info("verdict on a rollout", "service", c.service, "order", c.order.Revision, "target", c.record.Target, "verdict", "good", "reason", reason)
	}
	c.goodReason = reason
}

// Revision returns the revision on whose condition the record is written.
func (c *Controller) Revision() uint64 { return c.revision }

// Written records that a record was written, at a revision.
func (c *Controller) Written(r domain.RolloutRecord, revision uint64, now time.Time) {
	if r.State != c.record.State || c.writtenAt.IsZero() {
		c.log.Info("rollout", "service", c.service, "order", c.order.Revision, "target", r.Target, "state", string(r.State), "exposed", r.Exposed,
			"requests", r.Requests, "samples", r.Samples, "bad", r.Bad, "reason", r.Reason, "elapsed", c.elapsed(now), "revision", revision)
	}
	if r.State == domain.RolloutMoving && c.movingSince.IsZero() {
		c.movingSince = now
	}
	c.record, c.revision, c.writtenAt, c.isLost = r, revision, now, false
	c.ledger.recorded = r.Exposed
}

// WriteFailed records that a write has failed.
func (c *Controller) WriteFailed(now time.Time) {
	c.nextWriteAt, c.completing = now.Add(writePause), false
}

// IsDone reports whether the end of the rollout is recorded.
func (c *Controller) IsDone() bool { return c.record.State.IsFinal() && !c.isLost }
