package caller

import (
	"context"
	"log/slog"
	"time"

	"lentilward.org/lentilward/backend"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/monitor"
	"lentilward.org/lentilward/store"
	"lentilward.org/lentilward/suspect"
	"lentilward.org/schema/domain"
)

// Server serves the caller interface.
type Server struct {
	board     *blackboard.Board
	runner    *backend.Runner
	claims    *store.Claims
	suspects  *suspect.List
	metrics   *monitor.Metrics
	log       *slog.Logger
	policy    backend.Policy
	admission admission
	capacity  capacity
	shapes    suspect.ShapeSet
}

// New returns a server.
func New(board *blackboard.Board, runner *backend.Runner, claims *store.Claims, suspects *suspect.List, metrics *monitor.Metrics, policy backend.Policy, log *slog.Logger) *Server {
	return &Server{
		board: board, runner: runner, claims: claims, suspects: suspects, metrics: metrics, policy: policy, log: log,
		admission: admission{board: board}, capacity: capacity{most: maxShardsInFlight},
	}
}

// Search answers one search. Its errors are refusals.
func (s *Server) Search(ctx context.Context, r *domain.SearchRequest) (*domain.SearchAnswer, error) {
	begin := time.Now()
	a, err := s.search(ctx, r, begin)
	if err != nil {
		return nil, s.refuse(r.Caller, r.ID, r.Resent, err)
	}
	a.Took = time.Since(begin)
	s.metrics.Answered(r.Caller, r.Class, a.Took, a.Attempts, a.Hedges, a.ShardsTotal-a.ShardsCovered)
	return a, nil
}

// refuse counts and logs a refusal. Of a request that was sent before it is
// not known here whether it ran then.
func (s *Server) refuse(caller, id string, resent bool, err error) error {
	r := asRefusal(err)
	if resent && r.Outcome == domain.NotRun {
		r.Outcome = domain.Unknown
	}
	s.metrics.Refused(r.Reason, r.Outcome)
	s.log.Debug("refused", "caller", caller, "request-id", id, "reason", r.Reason, "outcome", r.Outcome,
		"message", r.Message)
	return r
}

// search admits a request, searches all shards and merges what they found.
func (s *Server) search(ctx context.Context, r *domain.SearchRequest, begin time.Time) (*domain.SearchAnswer, error) {
	leave, refused := s.admission.enter(r.Caller, r.ID)
	if refused != nil {
		return nil, refused
	}
	defer leave()
	q, refused := newRequest(ctx, r, begin)
	if refused != nil {
		return nil, refused
	}
	routes := s.board.Routes.Load()
	services, refused := selectServices(routes, r.Services)
	if refused != nil {
		return nil, refused
	}
	leaveLimits, refused := limit(services, r.Caller, q.Class)
	if refused != nil {
		return nil, refused
	}
	defer leaveLimits()
	leaveCapacity, refused := s.capacity.enter(services, q.Class)
	if refused != nil {
		return nil, refused
	}
	defer leaveCapacity()
	if refused := s.foresee(q, services, begin); refused != nil {
		return nil, refused
	}
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	parts, refused := s.run(ctx, q, services)
	if refused != nil {
		return nil, refused
	}
	s.logSlow(q, parts, time.Since(begin))
	return s.conclude(q, parts, r.LeastCoverage, routes.Revision)
}

// newRequest checks a search and returns the request to run.
func newRequest(ctx context.Context, r *domain.SearchRequest, begin time.Time) (*backend.Request, *domain.Refusal) {
	if r.Query == "" {
		return nil, notRun(domain.Malformed, "query: must not be empty")
	}
	if len(r.Query) > suspect.MaxQueryBytes {
		return nil, notRun(domain.TooLarge, "query: at most %d bytes", suspect.MaxQueryBytes)
	}
	if !(r.LeastCoverage >= 0 && r.LeastCoverage <= 1) {
		return nil, notRun(domain.Malformed, "least-coverage: want 0 to 1")
	}
	due, refused := deadline(ctx, r.TimeLeft, begin)
	if refused != nil {
		return nil, refused
	}
	return &backend.Request{ID: r.ID, Query: r.Query, Class: r.Class, Deadline: due, WaitForServer: r.LeastCoverage >= 1}, nil
}

// waitShare is the inverse of the share of its time that a request may be
// expected to wait. The rest is for the service that takes the longest of many.
const waitShare = 4

// foresee refuses a request that would likely miss its deadline behind those
// that wait already.
func (s *Server) foresee(q *backend.Request, services []*blackboard.ServiceRoutes, now time.Time) *domain.Refusal {
	left := q.Deadline.Sub(now)
	for _, r := range services {
		if wait := s.runner.ExpectedWait(r, q.Class); wait > left/waitShare {
			x := notRun(domain.Overloaded, "service %q: expected wait of %v exceeds the deadline", r.Service.Name, wait)
			x.RetryAfter = wait
			return x
		}
	}
	return nil
}

// run asks all shards, after one of them if the query may do harm.
func (s *Server) run(ctx context.Context, q *backend.Request, services []*blackboard.ServiceRoutes) ([]part, *domain.Refusal) {
	if s.policy.Plain {
		return s.gather(ctx, q, services, nil), nil
	}
	c, refused := s.try(ctx, q, services)
	if refused != nil {
		return nil, refused
	}
	parts := s.gather(ctx, q, services, c)
	if q.LostCalls() > suspect.MaxCrashes {
		s.suspects.Crashed(ctx, suspect.QueryFingerprint(q.Query), 1)
	}
	return parts, nil
}

// conclude makes the answer, or a refusal if too few shards are covered.
func (s *Server) conclude(q *backend.Request, parts []part, least float64, revision uint64) (*domain.SearchAnswer, error) {
	have, total := covered(parts)
	if float64(have) < least*float64(total) {
		return nil, incomplete(q, parts, have, total)
	}
	a := &domain.SearchAnswer{
		Matches: merge(parts), ShardsTotal: uint32(total), ShardsCovered: uint32(have),
		Attempts: q.Attempts(), Hedges: q.Hedges(), Revision: revision, Instance: s.board.Own.Load().Name,
	}
	for i := range parts {
		a.Coverage = append(a.Coverage, parts[i].coverage())
	}
	return a, nil
}

// slowRequest is the time from which a request is logged with its slowest
// shard.
const slowRequest = 100 * time.Millisecond

func (s *Server) logSlow(q *backend.Request, parts []part, took time.Duration) {
	if took < slowRequest || !s.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	slowest := parts[0]
	for _, p := range parts {
		if p.slowest.Took > slowest.slowest.Took {
			slowest = p
		}
	}
	r := slowest.slowest
	s.log.Debug("slow request", "request-id", q.ID, "took", took, "service", slowest.service, "shard", r.Shard,
		"shard-took", r.Took, "waited", r.Waited, "servers", r.Servers, "error", r.Err)
}
