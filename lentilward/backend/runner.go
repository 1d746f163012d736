package backend

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/queue"
	"lentilward.org/schema/domain"
)

const (
	// maxAttempts bounds the attempts per shard, and the calls of one Execute.
	maxAttempts = 4
	// unbudgetedRetries is the number of retries per shard that are not charged
	// to the retry budget.
	unbudgetedRetries = 1
	// overdueThresholdFactor is the multiple of a server's mean latency after
	// which a call to it counts as overdue. A call that is slow only because it
	// waits in the server's queue takes less than that.
	overdueThresholdFactor = 3
	// borrowFactor bounds how many hedges and retries a service may take from
	// the budget shared by all services, as a multiple of its own share. This
	// lets a service with slow servers use the budget that services with fast
	// servers do not need.
	borrowFactor = 4
	// hedgeRetryDelay is the delay until a hedge that the retry budget did not
	// allow is tried again.
	hedgeRetryDelay = 20 * time.Millisecond
)

// Runner runs the tasks of requests.
type Runner struct {
	instance string
	policy   Policy
	queues   *queue.Set
	// sharedBudget is the part of the retry budgets that any service may use.
	sharedBudget blackboard.Budget
	// RequestPermit requests a slot on a cold server from the instance that owns
	// it.
	RequestPermit func(ctx context.Context, s *blackboard.Server, bootID uint64, class blackboard.Class) (Permit, error)
}

// New returns a runner. Its queues run until the context ends.
func New(ctx context.Context, instance string, policy Policy) *Runner {
	return &Runner{
		instance: instance,
		policy:   policy,
		queues:   queue.NewSet(ctx),
		RequestPermit: func(context.Context, *blackboard.Server, uint64, blackboard.Class) (Permit, error) {
			return Permit{}, ErrNoServer
		},
	}
}

// Wake signals the queue of a server's service that the server may have a free
// slot.
func (r *Runner) Wake(s *blackboard.Server) {
	r.queues.ForService(s.Service).Wake(s)
}

// ExpectedWait estimates how long a new task of a class waits for a slot on a
// server of the service.
func (r *Runner) ExpectedWait(routes *blackboard.ServiceRoutes, class blackboard.Class) time.Duration {
	if r.policy.Plain {
		return 0
	}
	ahead := r.queues.ForService(routes.Service.Name).CountAhead(class)
	if ahead == 0 {
		return 0
	}
	var slots int64
	for _, s := range routes.Servers {
		if s.Usable() {
			slots += int64(s.Limit.Load())
		}
	}
	return time.Duration(routes.State.MedianLatency.Load() * ahead / max(1, slots))
}

// Run searches one shard. It hedges a slow attempt, and retries a failed one as
// long as that is safe and within the bounds on attempts and the retry budget.
func (r *Runner) Run(ctx context.Context, req *Request, task Task) Result {
	if r.policy.Plain {
		return r.runPlain(ctx, req, task)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := shardRun{runner: r, request: req, task: task, done: make(chan callResult, maxAttempts), hedgeSlot: make(chan *serverSlot), begin: time.Now()}
	result := s.run(ctx)
	result.Shard = task.Shard
	result.Waited, result.Elapsed, result.Calls = s.waited, time.Since(s.begin), len(s.tried)
	return result
}

// shardRun is the state of one running task.
type shardRun struct {
	runner  *Runner
	request *Request
	task    Task
	tried   []*blackboard.Server
	// firstSlot is the slot of the first call.
	firstSlot *serverSlot
	done      chan callResult
	// hedgeSlot passes the slot for a hedge from waitForHedgeSlot to run.
	hedgeSlot chan *serverSlot

	inFlight int
	lastErr  error
	begin    time.Time
	waited   time.Duration
}

func (s *shardRun) run(ctx context.Context) Result {
	err := s.startAttempt(ctx)
	s.waited = time.Since(s.begin)
	if err != nil {
		return Result{Err: err}
	}
	s.earnBudget()
	hedgeTimer := time.NewTimer(time.Duration(s.task.Routes.State.HedgeDelay.Load()))
	defer hedgeTimer.Stop()
	overdueTimer := time.NewTimer(s.overdueDelay())
	defer overdueTimer.Stop()
	if s.request.Canary {
		hedgeTimer.Stop()
	}
	for {
		select {
		case result := <-s.done:
			s.inFlight--
			if result.err == nil {
				return Result{Reply: result.reply}
			}
			s.lastErr = result.err
			if s.inFlight > 0 {
				continue
			}
			if err := s.retry(ctx); err != nil {
				return Result{Err: err}
			}
		case <-hedgeTimer.C:
			go s.waitForHedgeSlot(ctx, s.tried[0])
		case <-overdueTimer.C:
			s.firstSlot.markOverdue()
			s.runner.Wake(s.firstSlot.server)
		case slot := <-s.hedgeSlot:
			if !s.startHedge(ctx, slot) {
				hedgeTimer.Reset(hedgeRetryDelay)
			}
		case <-ctx.Done():
			return Result{Err: ctx.Err()}
		}
	}
}

// overdueDelay returns how long the first call may take before it counts as
// overdue: at least the hedge delay, and longer if the calls of its server take
// long on average, as they do while the server has a queue.
func (s *shardRun) overdueDelay() time.Duration {
	delay := time.Duration(s.task.Routes.State.HedgeDelay.Load())
	return max(delay, overdueThresholdFactor*s.firstSlot.server.Latency())
}

// startAttempt waits for a slot and starts a call.
func (s *shardRun) startAttempt(ctx context.Context) error {
	holders := s.task.Version.Holders[s.task.Shard]
	slot, err := s.runner.acquire(ctx, s.request, holders, s.tried, s.task.Routes.Service.Name)
	if err != nil {
		return err
	}
	s.startCall(ctx, slot)
	return nil
}

func (s *shardRun) startCall(ctx context.Context, slot *serverSlot) {
	s.tried = append(s.tried, slot.server)
	if s.firstSlot == nil {
		s.firstSlot = slot
	}
	s.inFlight++
	s.runner.startCall(ctx, s.request, s.task, slot, s.done)
}

// waitForHedgeSlot waits in the queue for a slot for a hedge of the call on the
// first server, and passes it to run, or releases it if the task has ended.
func (s *shardRun) waitForHedgeSlot(ctx context.Context, first *blackboard.Server) {
	for ctx.Err() == nil {
		holders := queue.HedgeHolders(s.task.Version.Holders[s.task.Shard], first)
		if len(holders) == 0 {
			return
		}
		slot, err := s.runner.waitInQueue(ctx, s.request, holders, nil, s.task.Routes.Service.Name)
		if errors.Is(err, context.DeadlineExceeded) {
			continue
		}
		if err != nil {
			return
		}
		select {
		case s.hedgeSlot <- slot:
		case <-ctx.Done():
			slot.release(false)
		}
		return
	}
}

// startHedge starts a hedge, or releases its slot if the hedge is no longer of
// use. It returns false if the retry budget does not allow the hedge now.
func (s *shardRun) startHedge(ctx context.Context, slot *serverSlot) bool {
	if s.inFlight != 1 || slot.cold || len(s.tried) > 1 && slices.Contains(s.tried, slot.server) {
		slot.release(false)
		return true
	}
	if !s.spendBudget() {
		slot.release(false)
		return false
	}
	s.request.hedges.Add(1)
	s.startCall(ctx, slot)
	return true
}

// earnBudget credits the retry budgets with the share of one task: half goes to
// the budget of its own service and half to the shared budget.
func (s *shardRun) earnBudget() {
	share := s.task.Routes.Service.HedgeBudget
	state := s.task.Routes.State
	state.RetryBudget.Earn(share / 2)
	s.runner.sharedBudget.Earn(share / 2)
	state.SharedBudgetLimit.Earn(borrowFactor * share)
}

// spendBudget charges one hedge or retry to the budget of the service, or else
// to the shared budget. It reports whether either allowed it.
func (s *shardRun) spendBudget() bool {
	state := s.task.Routes.State
	return state.RetryBudget.Spend() || s.runner.sharedBudget.CanSpend() && state.SharedBudgetLimit.Spend() && s.runner.sharedBudget.Spend()
}

// retry starts another attempt after all others have failed. It returns the
// last error if no further attempt is allowed or possible.
func (s *shardRun) retry(ctx context.Context) error {
	n := len(s.tried)
	if n >= maxAttempts || errors.Is(s.lastErr, domain.ErrConnectionLost) && !s.request.mayRetryLost() {
		return s.lastErr
	}
	if n > unbudgetedRetries && !errors.Is(s.lastErr, domain.ErrRefused) && !s.spendBudget() {
		return s.lastErr
	}
	if err := s.startAttempt(ctx); err != nil {
		if errors.Is(err, ErrNoServer) {
			return s.lastErr
		}
		return err
	}
	return nil
}

// runPlain calls one holder, chosen at random.
func (r *Runner) runPlain(ctx context.Context, req *Request, task Task) Result {
	holders := task.Version.Holders[task.Shard]
	if len(holders) == 0 {
		return Result{Shard: task.Shard, Err: ErrNoServer}
	}
	s := holders[rand.IntN(len(holders))]
	s.InFlight.Add(1)
	defer s.InFlight.Add(-1)
	reply, err := r.call(ctx, req, task, s, req.attempts.Add(1))
	return Result{Shard: task.Shard, Reply: reply, Err: err}
}
