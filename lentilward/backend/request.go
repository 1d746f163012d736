// Package backend runs requests on backend servers: it waits for a place on a
// server, calls it, hedges slow attempts and repeats those that were not run.
package backend

import (
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/domain"
)

// Request is one caller's request with what its attempts have in common.
type Request struct {
	ID    string
	Query string
	Class blackboard.Class
	// Deadline is when the answer must be ready.
	Deadline time.Time
	// Patient requests wait for a server where no holder of a shard is up.
	Patient bool
	// Careful requests run one attempt at a time and are not repeated after a
	// server was lost.
	Careful bool

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

// Lost returns the number of servers that went away during a call.
func (r *Request) Lost() uint32 { return r.lost.Load() }

// Add counts the calls of another request, made on behalf of this one.
func (r *Request) Add(other *Request) {
	r.attempts.Add(other.attempts.Load())
	r.hedges.Add(other.hedges.Load())
	r.refused.Add(other.refused.Load())
	r.replied.Add(other.replied.Load())
	r.lost.Add(other.lost.Load())
}

// maxLost is the number of servers that one request may lose before its lost
// calls are no longer repeated.
const maxLost = 3

func (r *Request) mayRepeatLost() bool {
	return !r.Careful && r.lost.Load() < maxLost
}

// Outcome tells what is certain about the calls sent so far.
func (r *Request) Outcome() domain.Outcome {
	switch {
	case r.replied.Load() > 0:
		return domain.Ran
	case r.attempts.Load() > r.refused.Load():
		return domain.Unknown
	}
	return domain.NotRun
}

// Task is one shard to search.
type Task struct {
	Routes  *blackboard.ServiceRoutes
	Version *blackboard.VersionRoutes
	Shard   uint32
}

// Result is what came of a task. Err is nil if and only if Reply was checked
// against the task.
type Result struct {
	Shard uint32
	Reply *domain.ShardReply
	Err   error
	// Waited is the time until the first call, Took that until the end.
	Waited, Took time.Duration
	// Servers is the number of servers called.
	Servers int
}

// Policy selects the mechanisms in use.
type Policy struct {
	// Plain turns off limits, hedges and retries and takes servers in turn. It
	// is the baseline of measurements.
	Plain bool
}
