package main

import (
	"sync/atomic"
	"time"
)

// stableWindow is how long an instance or the store must have been undisturbed for bounds in
// time to hold.
const stableWindow = 4 * time.Second

// calm records until when something is disturbed.
type calm struct{ until atomic.Int64 }

// disturb records a disturbance from now on; overlapping ones end with the last of them.
func (c *calm) disturb(d time.Duration) {
	until := time.Now().Add(d).UnixNano()
	for old := c.until.Load(); old < until && !c.until.CompareAndSwap(old, until); {
		old = c.until.Load()
	}
}

// heldSince reports whether there was no disturbance at a time or later.
func (c *calm) heldSince(t time.Time) bool { return c.until.Load() < t.UnixNano() }

// bar keeps requests away from a server or a data centre from its acknowledgement on.
type bar struct{ since atomic.Int64 }

// acknowledge records the acknowledgement, unless there was one already.
func (b *bar) acknowledge() { b.since.CompareAndSwap(0, time.Now().UnixNano()) }

func (b *bar) lift() { b.since.Store(0) }

// age returns the time since the acknowledgement, or 0 without one.
func (b *bar) age() time.Duration {
	if since := b.since.Load(); since != 0 {
		return time.Since(time.Unix(0, since))
	}
	return 0
}
