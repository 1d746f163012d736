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
	// maxAttempts bounds the attempts at one shard.
	maxAttempts = 4
	// freeRetries is the number of retries per shard that cost no budget.
	freeRetries = 1
	// lateFactor is by how much a call takes longer than the mean of its server if
	// it does not just wait there.
	lateFactor = 3
	// borrowFactor is how many times its own share of extra runs a service may
	// have from the others, while its servers are slow and theirs are not.
	borrowFactor = 4
	// hedgePause is the time until a hedge that the budget did not allow is
	// tried again.
	hedgePause = 20 * time.Millisecond
)

// Runner runs the tasks of requests.
type Runner struct {
	instance string
	policy   Policy
	queues   *queue.Set
	// saved has what services have left of their budgets for others.
	saved blackboard.Budget
	// Permit asks the owner of a cold server for a place.
	Permit func(ctx context.Context, s *blackboard.Server, boot uint64, class blackboard.Class) (Permit, error)
}

// New returns a runner whose queues are served until the context ends.
func New(ctx context.Context, instance string, policy Policy) *Runner {
	return &Runner{
		instance: instance,
		policy:   policy,
		queues:   queue.NewSet(ctx),
		Permit: func(context.Context, *blackboard.Server, uint64, blackboard.Class) (Permit, error) {
			return Permit{}, ErrNoServer
		},
	}
}

// Wake tells the queue of a server's service that the server may have room.
func (r *Runner) Wake(s *blackboard.Server) {
	r.queues.ForService(s.Service).Wake(s)
}

// ExpectedWait estimates how long a new task of a class waits for a server of
// the service.
func (r *Runner) ExpectedWait(routes *blackboard.ServiceRoutes, class blackboard.Class) time.Duration {
	if r.policy.Plain {
		return 0
	}
	ahead := r.queues.ForService(routes.Service.Name).CountAhead(class)
	if ahead == 0 {
		return 0
	}
	var places int64
	for _, s := range routes.Servers {
		if s.Usable() {
			places += int64(s.Limit.Load())
		}
	}
	return time.Duration(routes.State.Typical.Load() * ahead / max(1, places))
}

// Run searches one shard. It hedges an attempt that takes longer than most,
// and repeats one that failed while that is safe and within bounds.
func (r *Runner) Run(ctx context.Context, q *Request, t Task) Result {
	if r.policy.Plain {
		return r.runPlain(ctx, q, t)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := shardRun{runner: r, request: q, task: t, done: make(chan outcome, maxAttempts), hedgePlace: make(chan *place), begin: time.Now()}
	result := s.run(ctx)
	result.Shard = t.Shard
	result.Waited, result.Took, result.Servers = s.waited, time.Since(s.begin), len(s.tried)
	return result
}

// shardRun is the state of one task.
type shardRun struct {
	runner  *Runner
	request *Request
	task    Task
	tried   []*blackboard.Server
	// first is the place of the first call.
	first *place
	done  chan outcome
	// hedgePlace hands over the place for a hedge.
	hedgePlace chan *place

	inFlight int
	lastErr  error
	begin    time.Time
	waited   time.Duration
}

func (s *shardRun) run(ctx context.Context) Result {
	err := s.attempt(ctx)
	s.waited = time.Since(s.begin)
	if err != nil {
		return Result{Err: err}
	}
	s.earn()
	hedge := time.NewTimer(time.Duration(s.task.Routes.State.HedgeDelay.Load()))
	defer hedge.Stop()
	late := time.NewTimer(s.lateAfter())
	defer late.Stop()
	if s.request.Careful {
		hedge.Stop()
	}
	for {
		select {
		case o := <-s.done:
			s.inFlight--
			if o.err == nil {
				return Result{Reply: o.reply}
			}
			s.lastErr = o.err
			if s.inFlight > 0 {
				continue
			}
			if err := s.retry(ctx); err != nil {
				return Result{Err: err}
			}
		case <-hedge.C:
			go s.awaitHedge(ctx, s.tried[0])
		case <-late.C:
			s.first.late()
			s.runner.Wake(s.first.server)
		case p := <-s.hedgePlace:
			if !s.hedge(ctx, p) {
				hedge.Reset(hedgePause)
			}
		case <-ctx.Done():
			return Result{Err: ctx.Err()}
		}
	}
}

// lateAfter is how long the first call may take before it counts as overdue:
// longer than a hedge waits for, if the server has a queue.
func (s *shardRun) lateAfter() time.Duration {
	delay := time.Duration(s.task.Routes.State.HedgeDelay.Load())
	return max(delay, lateFactor*s.first.server.Latency())
}

// attempt waits for a place and starts a call.
func (s *shardRun) attempt(ctx context.Context) error {
	holders := s.task.Version.Holders[s.task.Shard]
	p, err := s.runner.acquire(ctx, s.request, holders, s.tried, s.task.Routes.Service.Name)
	if err != nil {
		return err
	}
	s.start(ctx, p)
	return nil
}

func (s *shardRun) start(ctx context.Context, p *place) {
	s.tried = append(s.tried, p.server)
	if s.first == nil {
		s.first = p
	}
	s.inFlight++
	s.runner.start(ctx, s.request, s.task, p, s.done)
}

// awaitHedge waits for a place for a second call beside one on the first
// holder, in the order of the queue, and hands it on while the task still runs.
func (s *shardRun) awaitHedge(ctx context.Context, first *blackboard.Server) {
	for ctx.Err() == nil {
		holders := queue.HedgeHolders(s.task.Version.Holders[s.task.Shard], first)
		if len(holders) == 0 {
			return
		}
		p, err := s.runner.queuedPlace(ctx, s.request, holders, nil, s.task.Routes.Service.Name)
		if errors.Is(err, context.DeadlineExceeded) {
			continue
		}
		if err != nil {
			return
		}
		select {
		case s.hedgePlace <- p:
		case <-ctx.Done():
			p.release(false)
		}
		return
	}
}

// hedge starts a second call, if it is still of use. It returns false if the
// budget does not allow it now.
func (s *shardRun) hedge(ctx context.Context, p *place) bool {
	if s.inFlight != 1 || p.cold || len(s.tried) > 1 && slices.Contains(s.tried, p.server) {
		p.release(false)
		return true
	}
	if !s.spend() {
		p.release(false)
		return false
	}
	s.request.hedges.Add(1)
	s.start(ctx, p)
	return true
}

// earn adds what a task brings to the budgets: half for its own service, half
// for any that needs it.
func (s *shardRun) earn() {
	share := s.task.Routes.Service.HedgeBudget
	state := s.task.Routes.State
	state.Budget.Earn(share / 2)
	s.runner.saved.Earn(share / 2)
	state.Borrow.Earn(borrowFactor * share)
}

// spend pays for one extra run, from what others have saved if need be.
func (s *shardRun) spend() bool {
	state := s.task.Routes.State
	return state.Budget.Spend() || s.runner.saved.Available() && state.Borrow.Spend() && s.runner.saved.Spend()
}

// retry starts another call after all others have failed.
func (s *shardRun) retry(ctx context.Context) error {
	n := len(s.tried)
	if n >= maxAttempts || errors.Is(s.lastErr, domain.ErrLost) && !s.request.mayRepeatLost() {
		return s.lastErr
	}
	if n > freeRetries && !errors.Is(s.lastErr, domain.ErrRefused) && !s.spend() {
		return s.lastErr
	}
	if err := s.attempt(ctx); err != nil {
		if errors.Is(err, ErrNoServer) {
			return s.lastErr
		}
		return err
	}
	return nil
}

// runPlain calls one holder, the next in turn.
func (r *Runner) runPlain(ctx context.Context, q *Request, t Task) Result {
	holders := t.Version.Holders[t.Shard]
	if len(holders) == 0 {
		return Result{Shard: t.Shard, Err: ErrNoServer}
	}
	s := holders[rand.IntN(len(holders))]
	s.InFlight.Add(1)
	defer s.InFlight.Add(-1)
	reply, err := r.call(ctx, q, t, s, q.attempts.Add(1))
	return Result{Shard: t.Shard, Reply: reply, Err: err}
}
