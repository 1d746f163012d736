// Package rollout decides how a service's traffic moves to another version of its
// servers: how many requests the version may get, whether it is good, and when the old
// servers may stop. It uses no network.
package rollout

import (
	"time"

	"lentilward.org/schema/domain"
)

// Phase is the phase of a rollout as instances follow it. Of two phases of the same order
// the larger one counts.
type Phase uint8

// The phases. In Moving calls go to the new version first, and in Closing to no other, so
// that the old servers can be stopped.
const (
	Idle Phase = iota
	Running
	Moving
	Closing
	Completed
	RolledBack
)

// String returns the phase in lower case.
func (p Phase) String() string {
	return [...]string{"idle", "running", "moving", "closing", "completed", "rolled-back"}[min(p, RolledBack)]
}

// PhaseOf returns the phase that a record states.
func PhaseOf(s domain.RolloutState) Phase {
	switch s {
	case domain.RolloutRunning:
		return Running
	case domain.RolloutMoving:
		return Moving
	case domain.RolloutCompleted:
		return Completed
	}
	return RolledBack
}

// Notice tells the phase of an order: from the controller, or passed on by another
// instance.
type Notice struct {
	Service string `cbor:"service"`
	// Order is the revision of the order, and Era the era of the store that has it.
	Order uint64 `cbor:"order"`
	Era   uint64 `cbor:"era,omitempty"`
	Phase Phase  `cbor:"phase"`
}

// Confirmation is the reply to a Notice.
type Confirmation struct {
	// Phase is the phase that the instance follows; Idle if it does not know the order.
	Phase Phase `cbor:"phase"`
	// OldCalls is the number of its calls in flight to other versions than the target.
	OldCalls int `cbor:"old-calls"`
}

// Report is what an instance tells the controller of a rollout, with its request for
// permits.
type Report struct {
	Service     string `cbor:"service"`
	Order       uint64 `cbor:"order"`
	Era         uint64 `cbor:"era,omitempty"`
	Instance    string `cbor:"instance"`
	Incarnation uint64 `cbor:"incarnation"`
	Sequence    uint64 `cbor:"sequence"`
	// Used, Requests and Routes count from when the instance learned of the order.
	Used     int                   `cbor:"used"`
	Requests int                   `cbor:"requests"`
	Routes   map[string]RouteCount `cbor:"routes"`
	// Held is the number of permits that it holds, Wanted how many more it could use.
	Held   int   `cbor:"held"`
	Wanted int   `cbor:"wanted"`
	Phase  Phase `cbor:"phase"`
}

// RouteCount counts the replies of both versions on a route.
type RouteCount struct {
	_   struct{} `cbor:",toarray"`
	New VersionCount
	Old VersionCount
	// Recent has some reply times of the old version since the last report.
	Recent []time.Duration
}

// VersionCount counts the replies of a version, and the failures and slow ones among them.
type VersionCount struct {
	_        struct{} `cbor:",toarray"`
	Replies  int
	Failures int
	Slow     int
}

// Reply is the reply to a Report.
type Reply struct {
	// Granted is the number of permits granted. They expire PermitTTL after the report was
	// sent.
	Granted int `cbor:"granted"`
	// Wait is the time in which the instance should not ask again.
	Wait  time.Duration `cbor:"wait"`
	Phase Phase         `cbor:"phase"`
	// Lacking has the routes of which the controller needs replies most.
	Lacking []string `cbor:"lacking,omitempty"`
	// Medians has the median reply times of the old version over all instances.
	Medians map[string]time.Duration `cbor:"medians,omitempty"`
}

// Bad returns the number of bad replies.
func (c VersionCount) Bad() int { return min(c.Replies, c.Failures+c.Slow) }

// PermitTTL is how long a permit is valid at most. An instance that can't reach the controller
// sends nothing to the new version after it, which must be well within the time in which a
// bad version is rolled back.
const PermitTTL = 2 * time.Second
