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

// Server runs the requests of callers: searches and non-idempotent requests.
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
	stopper   *stopper
	// StartTrial asks whether a query that is refused may run on one server until the
	// deadline. If so, end must be called with whether it was sent; else end is nil, and
	// retryAfter says when it may.
	StartTrial func(ctx context.Context, fingerprint uint64, deadline time.Time) (end func(ran bool), retryAfter time.Duration)
}

// New returns a server that runs requests with the runner.
func New(board *blackboard.Board, runner *backend.Runner, claims *store.Claims, suspects *suspect.List, metrics *monitor.Metrics, policy backend.Policy, log *slog.Logger) *Server {
	return &Server{
		board: board, runner: runner, claims: claims, suspects: suspects, metrics: metrics, policy: policy, log: log,
		admission: admission{board: board}, capacity: capacity{maxShards: maxShardsInFlight}, stopper: newStopper(),
		StartTrial: func(context.Context, uint64, time.Time) (func(bool), time.Duration) { return nil, 0 },
	}
}

// Search runs one search. Its errors are of type *domain.Refusal.
func (s *Server) Search(ctx context.Context, r *domain.SearchRequest) (*domain.SearchAnswer, error) {
	begin := time.Now()
	answer, err := s.search(ctx, r, begin)
	if err != nil {
		return nil, s.recordRefusal(r.Caller, r.ID, r.Resent, err)
	}
	answer.Elapsed = time.Since(begin)
	s.metrics.RecordAnswer(r.Caller, r.Class, answer.Elapsed, answer.Attempts, answer.Hedges, answer.ShardsTotal-answer.ShardsCovered)
	return answer, nil
}

// recordRefusal counts and logs a refusal. If the request was sent before, its
// outcome becomes Unknown instead of NotRun, since the earlier one may have
// run.
func (s *Server) recordRefusal(caller, id string, resent bool, err error) error {
	refusal := asRefusal(err)
	if resent && refusal.Outcome == domain.NotRun {
		refusal.Outcome = domain.Unknown
	}
	s.metrics.RecordRefusal(refusal.Reason, refusal.Outcome)
	s.log.Debug("request refused", "caller", caller, "request-id", id, "reason", refusal.Reason, "outcome", refusal.Outcome,
		"message", refusal.Message)
	return refusal
}

// search admits a request, searches all shards and merges their matches.
func (s *Server) search(ctx context.Context, r *domain.SearchRequest, begin time.Time) (*domain.SearchAnswer, error) {
	endRequest, refused := s.admission.admit(r.Caller, r.ID)
	if refused != nil {
		return nil, refused
	}
	defer endRequest()
	req, refused := newRequest(ctx, r, begin)
	if refused != nil {
		return nil, refused
	}
	routes := s.board.Routes.Load()
	services, refused := selectServices(routes, r.Services)
	if refused != nil {
		return nil, refused
	}
	releaseLimits, refused := acquireLimits(services, r.Caller, req.Class)
	if refused != nil {
		return nil, refused
	}
	defer releaseLimits()
	releaseCapacity, refused := s.capacity.reserve(services, req.Class)
	if refused != nil {
		return nil, refused
	}
	defer releaseCapacity()
	if refused := s.checkExpectedWait(req, services, begin); refused != nil {
		return nil, refused
	}
	ctx, endLimit := s.stopper.limit(ctx)
	defer endLimit()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	results, refused := s.searchShards(ctx, req, services)
	if refused != nil {
		return nil, refused
	}
	s.logSlowRequest(req, results, time.Since(begin))
	answer, refused := s.buildAnswer(req, results, r.MinCoverage, routes.Revision)
	if refused != nil {
		return nil, s.stopper.explain(refused)
	}
	return answer, nil
}

// newRequest validates a search and returns the request to run.
func newRequest(ctx context.Context, r *domain.SearchRequest, begin time.Time) (*backend.Request, *domain.Refusal) {
	if r.Query == "" {
		return nil, notRunRefusal(domain.Malformed, "query: must not be empty")
	}
	if len(r.Query) > suspect.MaxQueryBytes {
		return nil, notRunRefusal(domain.TooLarge, "query: at most %d bytes", suspect.MaxQueryBytes)
	}
	if !(r.MinCoverage >= 0 && r.MinCoverage <= 1) {
		return nil, notRunRefusal(domain.Malformed, "least-coverage: want 0 to 1")
	}
	due, refused := answerDeadline(ctx, r.TimeLeft, begin)
	if refused != nil {
		return nil, refused
	}
	return &backend.Request{ID: r.ID, Query: r.Query, Class: r.Class, Deadline: due, WaitForServer: r.MinCoverage >= 1}, nil
}

// waitDivisor bounds the expected wait of a request to its remaining time divided
// by waitDivisor. The rest is left for the calls, which take as long as those of
// the slowest service, and a request may name many services.
const waitDivisor = 4

// checkExpectedWait refuses a request that would likely miss its deadline
// because of the requests that are queued already.
func (s *Server) checkExpectedWait(req *backend.Request, services []*blackboard.ServiceRoutes, now time.Time) *domain.Refusal {
	timeLeft := req.Deadline.Sub(now)
	for _, r := range services {
		if wait := s.runner.ExpectedWait(r, req.Class); wait > timeLeft/waitDivisor {
			refusal := notRunRefusal(domain.Overloaded, "service %q: expected wait of %v is too long for the deadline", r.Service.Name, wait)
			refusal.RetryAfter = wait
			return refusal
		}
	}
	return nil
}

// searchShards searches all shards. Unless the query is known to be safe, it
// searches one of them first.
func (s *Server) searchShards(ctx context.Context, req *backend.Request, services []*blackboard.ServiceRoutes) ([]serviceResult, *domain.Refusal) {
	if s.policy.Plain {
		return s.searchServices(ctx, req, services, nil), nil
	}
	c, refused := s.searchCanary(ctx, req, services)
	if refused != nil {
		return nil, refused
	}
	results := s.searchServices(ctx, req, services, c)
	if req.Replied() > 0 {
		s.suspects.RecordRun(ctx, suspect.QueryFingerprint(req.Query), time.Now())
	} else if req.LostCalls() > suspect.MaxCrashes {
		s.recordLoss(ctx, suspect.QueryFingerprint(req.Query), req)
	}
	return results, nil
}

// buildAnswer returns the answer, or a refusal if it covers less than
// minCoverage, a share from 0 to 1.
func (s *Server) buildAnswer(req *backend.Request, results []serviceResult, minCoverage float64, revision uint64) (*domain.SearchAnswer, *domain.Refusal) {
	covered, total := countCovered(results)
	if float64(covered) < minCoverage*float64(total) {
		return nil, incompleteRefusal(req, results, covered, total)
	}
	answer := &domain.SearchAnswer{
		Matches: mergeMatches(results), ShardsTotal: uint32(total), ShardsCovered: uint32(covered),
		Attempts: req.Attempts(), Hedges: req.Hedges(), Revision: revision, Instance: s.board.LocalInstance.Load().Name,
	}
	for i := range results {
		answer.Coverage = append(answer.Coverage, results[i].coverage())
	}
	return answer, nil
}

// slowRequestThreshold is the minimum duration of a request that is logged with
// its slowest shard.
const slowRequestThreshold = 100 * time.Millisecond

func (s *Server) logSlowRequest(req *backend.Request, results []serviceResult, elapsed time.Duration) {
	if elapsed < slowRequestThreshold || !s.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	slowest := results[0]
	for _, result := range results {
		if result.slowestShard.Elapsed > slowest.slowestShard.Elapsed {
			slowest = result
		}
	}
	r := slowest.slowestShard
	s.log.Debug("slow request", "request-id", req.ID, "took", elapsed, "service", slowest.service, "shard", r.Shard,
		"shard-took", r.Elapsed, "waited", r.Waited, "servers", r.Calls, "error", r.Err)
}
