package member

import "time"

// limitNewsTTL is how long after a backend server last named a limit, to any instance, the
// instances count on others that name one.
const limitNewsTTL = 5 * time.Second

// SeesLimits reports whether a backend server has lately named a limit of requests to this
// instance, or to one whose news have come here.
func (t *Table) SeesLimits() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limitAge() > 0
}

// limitAge returns how long ago a backend server last named a limit as far as this instance
// knows; 0 if that is too long ago. The caller holds mu.
func (t *Table) limitAge() time.Duration {
	now := t.now()
	if t.NamesLimit() {
		t.limitSeenAt = now
	}
	if t.limitSeenAt.IsZero() || now.Sub(t.limitSeenAt) >= limitNewsTTL {
		return 0
	}
	return max(time.Nanosecond, now.Sub(t.limitSeenAt))
}

// mergeLimitAge takes over what another member knows. The caller holds mu.
func (t *Table) mergeLimitAge(age time.Duration) {
	if age <= 0 || age >= limitNewsTTL {
		return
	}
	if seenAt := t.now().Add(-age); seenAt.After(t.limitSeenAt) {
		t.limitSeenAt = seenAt
	}
}
