// Package backend runs requests on backend servers: it acquires a slot on a
// server, calls it, hedges slow attempts and retries failed ones where that is
// safe.
package backend

import (
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/domain"
)

// Request is one caller's request, with the counts of its calls to all shards.
type Request struct {
	ID    string
	Query string
	Class blackboard.Class
	// Deadline is when the answer must be ready.
	Deadline time.Time
	// WaitForServer makes a task wait until a holder of its shard is usable. If
	// it is not set, the task fails with ErrNoServer while there is none.
	WaitForServer bool
	// Canary requests run one attempt at a time and are not retried after the
	// connection to a server was lost. Their calls go on for a while after they have ended.
	Canary bool
	// OnLost is called when the connection to a server is lost during a call, also after the
	// request has ended; it may be nil.
	OnLost func()

	attempts atomic.Uint32
	hedges   atomic.Uint32
	refused  atomic.Uint32
	replied  atomic.Uint32
	lost     atomic.Uint32
}

// Attempts returns the number of calls sent to backend servers.
func (r *Request) Attempts() uint32 { return r.attempts.Load() }

// Hedges returns the number of calls that were hedges.
func (r *Request) Hedges() uint32 { return r.hedges.Load() }

// LostCalls returns the number of calls during which the connection to the
// backend server was lost.
func (r *Request) LostCalls() uint32 { return r.lost.Load() }

// Replied returns the number of calls that a backend server has answered.
func (r *Request) Replied() uint32 { return r.replied.Load() }

// AddCalls adds the counts of another request that was made on behalf of this
// one.
func (r *Request) AddCalls(other *Request) {
	r.attempts.Add(other.attempts.Load())
	r.hedges.Add(other.hedges.Load())
	r.refused.Add(other.refused.Load())
	r.replied.Add(other.replied.Load())
	r.lost.Add(other.lost.Load())
}

// maxLostCalls is the number of lost calls at which a request stops retrying calls
// that were lost.
const maxLostCalls = 3

func (r *Request) mayRetryLost() bool {
	return !r.Canary && r.lost.Load() < maxLostCalls
}

// Outcome returns what is certain about the calls sent so far: Ran if a server
// replied, NotRun if all calls were refused, and Unknown otherwise.
func (r *Request) Outcome() domain.Outcome {
	switch {
	case r.replied.Load() > 0:
		return domain.Ran
	case r.attempts.Load() > r.refused.Load():
		return domain.Unknown
	}
	return domain.NotRun
}

// Task is the search of one shard of one version of a service.
type Task struct {
	Routes  *blackboard.ServiceRoutes
	Version *blackboard.VersionRoutes
	Shard   uint32
}

// Result is the result of a task. Err is nil if and only if Reply was checked
// against the task.
type Result struct {
	Shard uint32
	Reply *domain.ShardReply
	Err   error
	// Waited is the time from the start of the task to its first call, Elapsed
	// the time from the start to the end.
	Waited, Elapsed time.Duration
	// Calls is the number of calls made to servers.
	Calls int
}

// Policy selects how requests are run.
type Policy struct {
	// Plain turns off limits, hedges and retries, and picks servers at random.
	// It is the baseline for measurements.
	Plain bool
}
