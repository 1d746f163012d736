package rollout

import "time"

// Confirm takes over the reply of an instance to a notice that was sent at a time.
func (c *Controller) Confirm(instance string, reply Confirmation, sentAt time.Time) {
	if reply.Phase == RolledBack {
		c.judgeBad("another instance knows that it is bad")
	}
	c.confirmations[instance] = confirmation{Confirmation: reply, at: sentAt}
}

// confirmed returns how many of the instances follow a phase, and have no call to the old
// servers in flight if idle is set, as they told after a time.
func (c *Controller) confirmed(instances []string, phase Phase, idle bool, after time.Time) int {
	n := 0
	for _, name := range instances {
		reply, ok := c.confirmations[name]
		if ok && reply.Phase >= phase && !reply.at.Before(after) && (!idle || reply.OldCalls == 0) {
			n++
		}
	}
	return n
}

// hasMoved follows the end of a good rollout: for a time all first calls go to the new
// version, then all calls, and then the calls to the old servers end. It reports whether
// the old servers may stop, or the time for it is up.
func (c *Controller) hasMoved(now time.Time, alive []string) bool {
	// A controller that has taken over late waits for the instances too.
	deadline := c.order.KnownAt.Add(c.order.Duration - lastMoment)
	if earliest := c.startedAt.Add(movingPeriod + 2*movingBound); c.startedAt.Equal(c.movingSince) && deadline.Before(earliest) {
		deadline = earliest
	}
	moved := c.movingSince.Add(min(movingPeriod, max(0, deadline.Sub(c.movingSince)/3)))
	if now.Before(moved) {
		return false
	}
	if c.closingSince.IsZero() {
		all := c.confirmed(alive, Moving, false, c.movingSince) == len(alive)
		if all || !now.Before(moved.Add(movingBound)) || !now.Before(deadline) {
			c.closingSince = now
		}
		return false
	}
	if c.confirmed(alive, Closing, true, c.closingSince) == len(alive) {
		return true
	}
	return !now.Before(deadline)
}

// isStopSafe reports whether most instances follow the new version, so that the old
// servers may stop although others have not confirmed.
func (c *Controller) isStopSafe(alive []string) bool {
	return 2*c.confirmed(alive, Moving, false, c.movingSince) > len(alive)
}
