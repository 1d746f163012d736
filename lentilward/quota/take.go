package quota

import "time"

// minAskInterval is the shortest time between two questions about a subject whose tokens
// the home has denied.
const minAskInterval = 40 * time.Millisecond

// TryTake takes a token of a subject without waiting, and reports whether one was at hand.
func (l *Local) TryTake(subject string, limit Limit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	t := l.ensureBorrower(subject, limit, now)
	if !t.takeLease(now) {
		if !t.isUnreachable(now) || t.fallback.Take(1, now) == 0 {
			return false
		}
		t.count.Fallback++
		t.spent++
		t.spentAt = now
	}
	t.count.Asked++
	t.count.Allowed++
	t.requests++
	t.requestedAt = now
	t.demand.add(1, now)
	l.askAhead(subject, t, now)
	return true
}

// HasToken reports whether TryTake would take a token now. It costs little: each choice of a
// server asks for several.
func (l *Local) HasToken(subject string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, now := l.borrowers[subject], time.Now()
	if t == nil {
		return false
	}
	t.expireLeases(now)
	return len(t.leases) > 0 || t.isUnreachable(now) && t.fallback.Level(now) >= 1
}

// Want asks for a token that was not at hand, and reports whether an answer is awaited. wake
// is called with the number of tokens once there are some, and with 1 once it is known that
// there are none now, and when to ask again.
func (l *Local) Want(subject string, limit Limit, wake func(tokens int)) (asked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	t := l.ensureBorrower(subject, limit, now)
	t.wake, t.requestedAt = wake, now
	if now.Before(t.deniedUntil) || t.isUnreachable(now) {
		t.starved = true
		return false
	}
	t.wanted++
	if !t.asking {
		l.askWanted(subject, t, now)
	}
	return true
}

// DeniedUntil returns until when the home has no token of a subject, as far as it has said so.
func (l *Local) DeniedUntil(subject string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.borrowers[subject]; t != nil && len(t.leases) == 0 {
		return t.deniedUntil
	}
	return time.Time{}
}

// Rate returns the number of tokens of a subject that this instance gets a second, at least
// its even share of the limit.
func (l *Local) Rate(subject string, limit Limit) float64 {
	share := limit.Rate / float64(max(1, l.Instances()))
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.borrowers[subject]
	if t == nil {
		return share
	}
	t.granted.advance(time.Now())
	return max(share, t.granted.perSecond)
}

// askWanted asks for the tokens that are wanted. The caller holds mu.
func (l *Local) askWanted(subject string, t *borrower, now time.Time) {
	need := t.wanted
	t.wanted = 0
	l.startAsk(subject, t, need, now)
}

// notify tells those who want tokens how a question has ended: they take them, look for
// another server, or ask again once the home has a token. The caller holds mu, and calls
// the result without it.
func (l *Local) notify(subject string, t *borrower, granted int, now time.Time) func() {
	wake := t.wake
	if wake == nil {
		return func() {}
	}
	if granted > 0 {
		if t.wanted > 0 {
			l.askWanted(subject, t, now)
		}
		return func() { wake(granted) }
	}
	t.wanted, t.starved = 0, false
	if t.lost {
		t.starved = true
		return func() { wake(1) }
	}
	t.deniedUntil = maxTime(t.deniedUntil, t.askedAt.Add(minAskInterval))
	time.AfterFunc(t.deniedUntil.Sub(now), func() { wake(allWaiting) })
	return func() { wake(1) }
}

// allWaiting is the number of tokens for which all that wait are woken.
const allWaiting = 1 << 30

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
