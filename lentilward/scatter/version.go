package scatter

import (
	"errors"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/memory"
	"lentilward.org/schema/domain"
)

// recordVersion records what the result of the call says about the version of its
// server. Calls that were not sent, and connections that a full server has reset, say
// nothing.
func (c *call) recordVersion(reply *domain.Reply, err error, aborted bool, now time.Time) {
	service := c.run.parts[c.partIndex].service
	if !service.ObservesVersions() {
		return
	}
	begin := c.begin
	if sentAt := c.sentAt.Load(); sentAt != nil {
		// New servers have fewer open connections than others.
		begin = *sentAt
	}
	result := balance.VersionResult{Route: c.run.task.Route.Name, Extra: c.extra, Elapsed: now.Sub(begin), Outcome: balance.Replied}
	switch {
	case errors.Is(err, conn.ErrNotSent), errors.Is(err, conn.ErrConnectionLimit), errors.Is(err, conn.ErrConnectionReset),
		errors.Is(err, memory.ErrExhausted):
		return
	case aborted:
		result.Outcome = balance.Abandoned
	case err != nil:
		result.Outcome = balance.Failed
	case reply.NotRun, reply.Misdirected:
		result.Outcome = balance.Refused
	case !reply.OK():
		result.Outcome = balance.Failed
	}
	service.RecordVersion(c.server, result)
}

// awaitPermit reports whether the first call of the part waits for a permit to go to a
// version on trial.
func (p *part) awaitPermit(now time.Time) bool {
	if p.askedPermit {
		return false
	}
	p.askedPermit = true
	if !p.service.AwaitsPermit(now) {
		return false
	}
	p.nextCallAt = now.Add(balance.PermitWait)
	return true
}
