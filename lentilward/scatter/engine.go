// Package scatter runs the requests of callers on backend servers: one call
// for each shard, hedges for those that are slow, repeats for those that
// failed, and one answer.
package scatter

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/conn"
	"lentilward.org/schema/domain"
)

// Policy selects the mechanisms in use.
type Policy struct {
	// Hedge sends a second call where the first is slow.
	Hedge bool
	// EarlyAnswer answers with the parts that are there when the objective of
	// the route is about to pass.
	EarlyAnswer bool
	// AnswerMargin is how long before the objective that is: the answer has to
	// reach the caller.
	AnswerMargin time.Duration
}

// Engine runs requests.
type Engine struct {
	policy atomic.Pointer[Policy]
	codec  conn.Codec
	// Share returns this instance's share of an allowance that all instances
	// have together.
	Share func() float64
	// Helper picks a peer that is near to servers in one of the data centres,
	// which come with the number of parts that they have.
	Helper func(parts map[string]int) (address netip.AddrPort, dataCentre string, ok bool)
	// Ask lets a peer gather parts. It returns at once; emit and ended are called
	// later and must not block. Cancel ends the work at the peer, hard if nobody
	// waits for it any more.
	Ask func(peer netip.AddrPort, g Gather, emit func(Partial), ended func(error)) (cancel func(hard bool), err error)
}

// New returns an engine.
func New(codec conn.Codec) *Engine {
	e := &Engine{
		codec: codec, Share: func() float64 { return 1 },
		Helper: func(map[string]int) (netip.AddrPort, string, bool) { return netip.AddrPort{}, "", false },
	}
	e.SetPolicy(Policy{})
	return e
}

// SetPolicy replaces the policy of the requests to come.
func (e *Engine) SetPolicy(p Policy) { e.policy.Store(&p) }

// Task is one request with all that was pinned when it was admitted.
type Task struct {
	Request *domain.Request
	Route   *domain.Route
	State   *balance.Route
	// Services has the one that takes the request, or one for each shard.
	Services []*balance.Service
	// Begin is when the request arrived.
	Begin time.Time
}

// Stats are what it took to answer a request.
type Stats struct {
	Calls, Hedges, Repeats, Missing int
	// Without names a few of the services that are missing, and why.
	Without []string
	// Lost is the number of calls whose connection ended without a reply.
	Lost int
	// Delegated is the number of parts that a peer gathered.
	Delegated int
	// Waited is the number of calls that had to wait for room.
	Waited int
}

// maxTime bounds a request of which neither caller nor route say how long it
// may take.
const maxTime = 30 * time.Second

// end returns when the final answer to a task is due.
func (t *Task) end() time.Time {
	left := maxTime
	if t.Request.TimeLeft > 0 {
		left = min(left, t.Request.TimeLeft)
	}
	if t.Route.Timeout > 0 {
		left = min(left, t.Route.Timeout)
	}
	return t.Begin.Add(left)
}

// Run answers a request. It ends when the context does: the caller has left.
func (e *Engine) Run(ctx context.Context, t Task) (*domain.Answer, Stats, *domain.Refusal) {
	r := newRun(ctx, e, t)
	defer r.finish()
	answer, refusal := r.loop(ctx)
	return answer, r.stats, refusal
}
