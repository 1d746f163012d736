package caller

import (
	"context"
	"log/slog"
	"time"

	"google.golang.org/grpc"

	"lentilward.org/lentilward/backend"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/monitor"
	"lentilward.org/lentilward/platform"
	"lentilward.org/lentilward/suspect"
	"lentilward.org/schema/callerpb"
)

// matchesPerChunk is the number of matches in one frame of an answer.
const matchesPerChunk = 256

// Server serves the caller interface.
type Server struct {
	callerpb.UnimplementedCallerServer
	board     *blackboard.Board
	runner    *backend.Runner
	claims    *platform.Claims
	suspects  *suspect.List
	metrics   *monitor.Metrics
	log       *slog.Logger
	policy    backend.Policy
	admission admission
	capacity  capacity
	shapes    suspect.Shapes
}

// New returns a server.
func New(board *blackboard.Board, runner *backend.Runner, claims *platform.Claims, suspects *suspect.List, metrics *monitor.Metrics, policy backend.Policy, log *slog.Logger) *Server {
	return &Server{
		board: board, runner: runner, claims: claims, suspects: suspects, metrics: metrics, policy: policy, log: log,
		admission: admission{board: board}, capacity: capacity{most: maxShardsInFlight},
	}
}

// Search answers one search.
func (s *Server) Search(r *callerpb.SearchRequest, stream grpc.ServerStreamingServer[callerpb.SearchReply]) error {
	begin := time.Now()
	a, err := s.search(stream.Context(), r, begin)
	if err != nil {
		return s.refuse(r.Caller, r.RequestId, r.Resent, err)
	}
	a.summary.ElapsedUs = time.Since(begin).Microseconds()
	s.metrics.Answered(r.Caller, a.class, time.Since(begin), a.summary.Attempts, a.summary.Hedges,
		a.summary.ShardsTotal-a.summary.ShardsCovered)
	return send(stream, r.RequestId, a)
}

// answer is a whole answer that was not sent yet.
type answer struct {
	class   blackboard.Class
	matches []*callerpb.Match
	summary *callerpb.Summary
}

// send streams an answer in numbered chunks and ends it with its summary.
func send(stream grpc.ServerStreamingServer[callerpb.SearchReply], id string, a *answer) error {
	chunk := uint32(0)
	for rest := a.matches; len(rest) > 0; chunk++ {
		n := min(len(rest), matchesPerChunk)
		if err := stream.Send(&callerpb.SearchReply{RequestId: id, Chunk: chunk, Matches: rest[:n]}); err != nil {
			return err
		}
		rest = rest[n:]
	}
	a.summary.Chunks = chunk
	a.summary.Matches = uint64(len(a.matches))
	return stream.Send(&callerpb.SearchReply{RequestId: id, Chunk: chunk, Summary: a.summary})
}

// refuse counts and logs a refusal. Of a request that was sent before it is
// not known here whether it ran then.
func (s *Server) refuse(caller, id string, resent bool, err error) error {
	r := asRefusal(err)
	if resent && r.outcome == callerpb.Outcome_OUTCOME_NOT_RUN {
		r.outcome = callerpb.Outcome_OUTCOME_UNKNOWN
	}
	s.metrics.Refused(r.reason, r.outcome)
	s.log.Debug("refused", "caller", caller, "request-id", id, "reason", r.reason, "outcome", r.outcome,
		"message", r.message)
	return r
}

// search admits a request, searches all shards and merges what they found.
func (s *Server) search(ctx context.Context, r *callerpb.SearchRequest, begin time.Time) (*answer, error) {
	leave, refused := s.admission.enter(r.Caller, r.RequestId)
	if refused != nil {
		return nil, refused
	}
	defer leave()
	q, least, refused := newRequest(ctx, r, begin)
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
	return s.conclude(q, parts, least, routes.Revision)
}

// newRequest checks a search and returns the request to run.
func newRequest(ctx context.Context, r *callerpb.SearchRequest, begin time.Time) (_ *backend.Request, least float64, _ *refusal) {
	if r.Query == "" {
		return nil, 0, notRun(callerpb.Reason_REASON_INVALID, "query: must not be empty")
	}
	if len(r.Query) > suspect.MaxQuery {
		return nil, 0, notRun(callerpb.Reason_REASON_TOO_LARGE, "query: at most %d bytes", suspect.MaxQuery)
	}
	least = 1
	if r.LeastCoverage != nil {
		least = *r.LeastCoverage
	}
	if !(least >= 0 && least <= 1) {
		return nil, 0, notRun(callerpb.Reason_REASON_INVALID, "least-coverage: want 0 to 1")
	}
	c, refused := class(r.Class)
	if refused != nil {
		return nil, 0, refused
	}
	due, refused := deadline(ctx, r.DeadlineMs, begin)
	if refused != nil {
		return nil, 0, refused
	}
	return &backend.Request{ID: r.RequestId, Query: r.Query, Class: c, Deadline: due, Patient: least >= 1}, least, nil
}

// waitShare is the inverse of the share of its time that a request may be
// expected to wait. The rest is for the service that takes the longest of many.
const waitShare = 4

// foresee refuses a request that would likely miss its deadline behind those
// that wait already.
func (s *Server) foresee(q *backend.Request, services []*blackboard.ServiceRoutes, now time.Time) *refusal {
	left := q.Deadline.Sub(now)
	for _, r := range services {
		if wait := s.runner.ExpectedWait(r, q.Class); wait > left/waitShare {
			x := notRun(callerpb.Reason_REASON_OVERLOADED, "service %q: expected wait of %v exceeds the deadline", r.Service.Name, wait)
			x.retryAfter = wait
			return x
		}
	}
	return nil
}

// run asks all shards, after one of them if the query may do harm.
func (s *Server) run(ctx context.Context, q *backend.Request, services []*blackboard.ServiceRoutes) ([]part, *refusal) {
	if s.policy.Plain {
		return s.gather(ctx, q, services, nil), nil
	}
	c, refused := s.try(ctx, q, services)
	if refused != nil {
		return nil, refused
	}
	parts := s.gather(ctx, q, services, c)
	if q.Lost() > suspect.MaxCrashes {
		s.suspects.Crashed(ctx, suspect.Fingerprint(q.Query), 1)
	}
	return parts, nil
}

// conclude makes the answer, or a refusal if too few shards are covered.
func (s *Server) conclude(q *backend.Request, parts []part, least float64, revision uint64) (*answer, error) {
	have, total := covered(parts)
	if float64(have) < least*float64(total) {
		return nil, incomplete(q, parts, have, total)
	}
	a := &answer{class: q.Class, matches: merge(parts)}
	a.summary = &callerpb.Summary{
		ShardsTotal: uint32(total), ShardsCovered: uint32(have),
		Attempts: q.Attempts(), Hedges: q.Hedges(),
		ConfigRevision: revision, Instance: s.board.Own.Load().Name,
	}
	for i := range parts {
		a.summary.Services = append(a.summary.Services, parts[i].coverage())
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
