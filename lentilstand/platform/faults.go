package platform

import (
	"context"
	"time"
)

// faults are the faults that are currently injected into the store.
type faults struct {
	downUntil time.Time
	// expireLeases lets leases expire while the store is down.
	expireLeases bool
	// noReply leaves calls without a reply while the store is down, instead of
	// refusing them.
	noReply          bool
	slowUntil        time.Time
	addedDelay       time.Duration
	loseRepliesUntil time.Time
	lostReplyShare   float64
	// delayLostWrites makes writes whose reply is lost take effect later.
	delayLostWrites bool
	// watchesMutedUntil is the time until which watches report no changes.
	watchesMutedUntil time.Time
	// refusedUntil maps the address of a caller to the time until which its calls are
	// refused while others are served.
	refusedUntil map[string]time.Time
}

// StartOutage makes every call fail for the duration d, without a reply if noReply
// is set. Leases are extended by d unless expireLeases is set.
func (s *Store) StartOutage(d time.Duration, noReply, expireLeases bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.faults.downUntil, s.faults.noReply, s.faults.expireLeases = now.Add(d), noReply, expireLeases
	if !expireLeases {
		for _, l := range s.leases {
			l.expiresAt = l.expiresAt.Add(d)
		}
	}
}

// RefuseCaller refuses the calls from one host for the duration d and serves the
// others.
func (s *Store) RefuseCaller(host string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.refusedUntil == nil {
		s.faults.refusedUntil = make(map[string]time.Time)
	}
	s.faults.refusedUntil[host] = time.Now().Add(d)
}

// SlowDown adds a delay to every call for the duration d.
func (s *Store) SlowDown(delay, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.addedDelay, s.faults.slowUntil = delay, time.Now().Add(d)
}

// LoseReplies leaves a share of writes without a reply for the duration d. These
// writes take effect at once, or later if delayWrites is set.
func (s *Store) LoseReplies(share float64, d time.Duration, delayWrites bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.lostReplyShare, s.faults.loseRepliesUntil, s.faults.delayLostWrites = share, time.Now().Add(d), delayWrites
}

// Compact makes watches report no changes for the duration muted, then compacts the
// history.
func (s *Store) Compact(muted time.Duration) {
	s.mu.Lock()
	s.faults.watchesMutedUntil = time.Now().Add(muted)
	s.mu.Unlock()
	time.AfterFunc(muted, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.history, s.compactedRevision = nil, s.revision
		s.wakeWatches()
	})
}

// ExpireLeases expires all leases at once.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.deleteLease(id)
	}
}

// admit counts a call, applies the rate limit and the injected faults, and waits
// for the latency of the call. It fails if the call must not be executed.
func (s *Store) admit(ctx context.Context, caller string, limiter *tokenBucket, count *uint64) error {
	s.mu.Lock()
	*count++
	now := time.Now()
	delay := callLatency
	if now.Before(s.faults.slowUntil) {
		delay += s.faults.addedDelay
	}
	down, noReply := now.Before(s.faults.downUntil), s.faults.noReply
	refused := now.Before(s.faults.refusedUntil[caller])
	admitted := limiter.take(now)
	if !admitted {
		s.counts.Refused++
	}
	s.mu.Unlock()
	switch {
	case down && noReply:
		<-ctx.Done()
		return errNoReply
	case down || refused:
		return errUnavailable
	case !admitted:
		return errRateLimited
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return errNoReply
	}
}

// drawLostReply decides at random whether the reply to a write is lost, and reports
// whether such a write takes effect later.
func (s *Store) drawLostReply() (lost, delayed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.faults.loseRepliesUntil) {
		return false, false
	}
	return s.rand.Float64() < s.faults.lostReplyShare, s.faults.delayLostWrites
}
