package platform

import (
	"context"
	"time"
)

// faults is what the store does wrong at the moment.
type faults struct {
	downUntil time.Time
	// lapse lets leases run out while the store is down.
	lapse bool
	// silent gives no answer while the store is down, in place of a refusal.
	silent    bool
	slowUntil time.Time
	slow      time.Duration
	loseUntil time.Time
	loseShare float64
	// late lets writes whose answer is lost take effect later.
	late bool
	// deafUntil is until when watches hear nothing.
	deafUntil time.Time
	// shut are the callers, by what their instance is called, that are refused
	// until a time while others are served.
	shut map[string]time.Time
}

// Outage makes every call fail for a while. Leases pause or lapse meanwhile.
func (s *Store) Outage(d time.Duration, silent, lapse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.faults.downUntil, s.faults.silent, s.faults.lapse = now.Add(d), silent, lapse
	if !lapse {
		for _, l := range s.leases {
			l.ends = l.ends.Add(d)
		}
	}
}

// Shut refuses the calls from one address for a while and serves the others.
func (s *Store) Shut(address string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.shut == nil {
		s.faults.shut = make(map[string]time.Time)
	}
	s.faults.shut[address] = time.Now().Add(d)
}

// Slow adds a delay to every call for a while.
func (s *Store) Slow(delay, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.slow, s.faults.slowUntil = delay, time.Now().Add(d)
}

// LoseAnswers makes a share of writes take effect without an answer, at once or
// later.
func (s *Store) LoseAnswers(share float64, d time.Duration, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseShare, s.faults.loseUntil, s.faults.late = share, time.Now().Add(d), late
}

// Compact lets watches hear nothing for a while, then forgets the history.
func (s *Store) Compact(deaf time.Duration) {
	s.mu.Lock()
	s.faults.deafUntil = time.Now().Add(deaf)
	s.mu.Unlock()
	time.AfterFunc(deaf, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.history, s.oldest = nil, s.revision
		s.wake()
	})
}

// Lapse ends all leases at once.
func (s *Store) Lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.drop(id)
	}
}

// admit counts a call, holds it to the rates and applies the faults.
func (s *Store) admit(ctx context.Context, from string, b *bucket, count *uint64) error {
	s.mu.Lock()
	*count++
	now := time.Now()
	delay := callTime
	if now.Before(s.faults.slowUntil) {
		delay += s.faults.slow
	}
	down, silent := now.Before(s.faults.downUntil), s.faults.silent
	shut := now.Before(s.faults.shut[from])
	within := b.take(now)
	if !within {
		s.counts.Refused++
	}
	s.mu.Unlock()
	switch {
	case down && silent:
		<-ctx.Done()
		return errSilent
	case down || shut:
		return errRefused
	case !within:
		return errLimited
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return errSilent
	}
}

// loses tells whether the answer to a write is lost, and whether the write
// takes effect later.
func (s *Store) loses() (lost, late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.faults.loseUntil) {
		return false, false
	}
	return s.rand.Float64() < s.faults.loseShare, s.faults.late
}
