package mirror

import "time"

// neverAge is the age of records that were never confirmed.
const neverAge = time.Hour

// Age returns how long ago the mirror was last confirmed to be up to date. An open
// watch confirms nothing until it returns, since its connection may be dead.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.currentAt.IsZero() {
		return neverAge
	}
	return time.Since(f.currentAt)
}

// MarkCurrent records that the mirror was up to date as long ago as age,
// according to a peer with the same revision. An age above the present one has
// no effect.
func (f *Follower) MarkCurrent(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	currentAt := time.Now().Add(-age)
	if !currentAt.After(f.currentAt) {
		return
	}
	f.currentAt = currentAt
	if f.isAway && currentAt.After(f.failedAt) {
		f.isAway, f.returnedAt = false, currentAt
	}
}

// recordFailure records that a call to the store has failed that began at a time. One
// that began before the store is known to have returned says nothing new.
func (f *Follower) recordFailure(begunAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isAway || !begunAt.Before(f.returnedAt) {
		f.isAway, f.failedAt = true, time.Now()
	}
}

// SinceReturn returns how long ago the store was first known to serve again after calls
// to it had failed: 0 while it is away, and neverAge or more if no call has failed.
func (f *Follower) SinceReturn() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.isAway:
		return 0
	case f.returnedAt.IsZero():
		return neverAge
	}
	return time.Since(f.returnedAt)
}

// NoteReturn records that the store has just been seen to have come back from an older copy.
func (f *Follower) NoteReturn() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isAway, f.returnedAt = false, time.Now()
}
