// Package scatter runs the requests of callers on backend servers: it calls one
// server for each shard, hedges slow calls, retries failed ones and merges the
// replies into one answer.
package scatter

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/admission"
	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/memory"
	"lentilward.org/lentilward/suspect"
	"lentilward.org/schema/domain"
)

// Policy selects the mechanisms in use.
type Policy struct {
	// Hedge permits a second call while the first one is overdue, and gathering by
	// other instances.
	Hedge bool
	// EarlyAnswer permits an answer without all parts shortly before the target
	// latency of the route, if enough parts have replied.
	EarlyAnswer bool
	// AnswerMargin is how long before the target latency an early answer is sent,
	// so that it reaches the caller in time.
	AnswerMargin time.Duration
	// CPUShare is the share of a core that the machine has; 0 if unknown.
	CPUShare float64
}

// Engine runs requests.
type Engine struct {
	policy atomic.Pointer[Policy]
	codec  conn.Codec
	// OnLeaving is called when a server first says that it is leaving.
	OnLeaving func(*balance.Server)
	// OnReset is called when a server has reset a new connection, with the time for which
	// no other is opened.
	OnReset func(*balance.Server, time.Duration)
	// OnRan is called when a server has first answered a request with success, OnLost with
	// each call whose connection was lost, and OnGivenUp with each whose connection this side
	// has closed, or that the server has reset at once. The server may run the latter until
	// the deadline.
	OnRan     func(fingerprint uint64, at time.Time)
	OnLost    func(r suspect.Run, at time.Time)
	OnGivenUp func(r suspect.Run, deadline time.Time)
	// OnReplaced is called when another process has answered in place of a server.
	OnReplaced func(*balance.Server)
	// BudgetShare returns this instance's share of the slack of the retry budget
	// that all instances use together.
	BudgetShare func() float64
	// TenantUse returns what a tenant asks for over all instances as a share of its
	// allowance; nil if that is not known of any.
	TenantUse func(tenant string) float64
	// ChooseGatherer picks a gatherer: an instance in one of the given data
	// centres. parts has the number of parts with a server in each data centre.
	// ok is false if there is none.
	ChooseGatherer func(parts map[string]int) (address netip.AddrPort, dataCentre string, ok bool)
	// StartGather starts a gather at another instance. It returns at once; emit
	// and ended are called later and must not block. cancel ends the gather; with
	// abandoned set the gatherer also aborts its calls, since the caller has
	// disconnected.
	StartGather func(gatherer netip.AddrPort, g Gather, emit func(Partial), ended func(error)) (cancel func(abandoned bool), err error)
	// PlanHandover returns how a search is handed to holders; nil if this instance runs it
	// as if there were none.
	PlanHandover func(t *Task) *Handover
	// HolderShare is as BudgetShare for the searches that this instance runs as holder.
	HolderShare func() float64

	lateness lateness
	// stopAt is when the last request must have its final answer; nil unless the
	// engine is stopping, and set before stopping is closed.
	stopAt   atomic.Pointer[time.Time]
	stopping chan struct{}
}

// New returns an engine.
func New(codec conn.Codec) *Engine {
	e := &Engine{
		stopping: make(chan struct{}), codec: codec, OnLeaving: func(*balance.Server) {},
		OnReset: func(*balance.Server, time.Duration) {}, BudgetShare: func() float64 { return 1 },
		ChooseGatherer: func(map[string]int) (netip.AddrPort, string, bool) { return netip.AddrPort{}, "", false },
		PlanHandover:   func(*Task) *Handover { return nil }, HolderShare: func() float64 { return 1 },
		OnRan: func(uint64, time.Time) {}, OnLost: func(suspect.Run, time.Time) {}, OnGivenUp: func(suspect.Run, time.Time) {},
		OnReplaced: func(*balance.Server) {},
	}
	e.SetPolicy(Policy{})
	return e
}

// NewHold returns the hold of one request, which its replies share.
func (e *Engine) NewHold() *memory.Hold { return e.codec.Memory.NewHold() }

// SetPolicy replaces the policy for later requests.
func (e *Engine) SetPolicy(p Policy) { e.policy.Store(&p) }

// Stop gives each request its final answer by lastAnswer at the latest, those in
// flight included. Requests that are unlikely to be answered by then are refused as
// not run.
func (e *Engine) Stop(lastAnswer time.Time) {
	if e.stopAt.CompareAndSwap(nil, &lastAnswer) {
		close(e.stopping)
	}
}

// Task is one request with the configuration and state that it was admitted
// with. These stay the same until it ends.
type Task struct {
	Request *domain.Request
	Route   *domain.Route
	// Tenant is the party that sent the request; nil if that is not known.
	Tenant *domain.Tenant
	State  *balance.Route
	// Services has one service for each shard of a search, and otherwise the one
	// that runs the request.
	Services []*balance.Service
	// Admission limits the searches over the same services; nil sets no limit.
	Admission *admission.Limit
	// Begin is when the request arrived.
	Begin time.Time
	// Transit is the part of the caller's waiting time that passes on the network: the
	// round trips to the caller. 0 if unknown.
	Transit time.Duration
	// Hold gets the memory of the replies; nil releases it as soon as they are read.
	Hold *memory.Hold
	// Trial is set if the request is suspected to crash servers: it is sent to one server,
	// and a search to the others once that has replied.
	Trial bool
}

// Stats counts the work done to answer a request. Missing is the number of
// parts that the answer lacks.
type Stats struct {
	Calls, Hedges, Retries, Missing int
	// MissingServices names some of the missing services, with the reasons.
	MissingServices []string
	// ConnectionsLost is the number of calls whose connection was lost before a
	// complete reply.
	ConnectionsLost int
	// Delegated is the number of parts that a gatherer was asked for.
	Delegated int
	// Queued is the number of calls that waited for a free slot.
	Queued int
	// HoldersAsked is the number of holders that were asked to run the search or a part.
	HoldersAsked int
}

// priority returns the priority of the request among those that compete for slots.
func (t *Task) priority() int { return domain.RequestPriority(t.Route, t.Tenant) }

// maxRequestTimeout bounds the time of every request, also where neither caller
// nor route sets a timeout.
const maxRequestTimeout = 30 * time.Second

// Deadline returns when the answer must reach the caller.
func (t *Task) Deadline() time.Time {
	timeout := maxRequestTimeout
	if t.Request.TimeLeft > 0 {
		timeout = min(timeout, t.Request.TimeLeft)
	}
	if t.Route.Timeout > 0 {
		timeout = min(timeout, t.Route.Timeout)
	}
	return t.Begin.Add(timeout)
}

// Run answers or refuses a request. A context that ends means that the caller has
// disconnected: Run then aborts all calls and returns at once.
func (e *Engine) Run(ctx context.Context, t Task) (*domain.Answer, Stats, *domain.Refusal) {
	if t.Trial {
		return e.runTrial(ctx, t)
	}
	return e.run(ctx, t)
}

func (e *Engine) run(ctx context.Context, t Task) (*domain.Answer, Stats, *domain.Refusal) {
	r := newRun(ctx, e, t)
	defer r.finish()
	answer, refusal := r.loop(ctx)
	return answer, r.stats, refusal
}
