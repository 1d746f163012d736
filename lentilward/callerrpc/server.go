// Package callerrpc implements the gRPC interface for callers on top of package
// domain: it converts requests, answers and refusals.
package callerrpc

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lentilward.org/lentilward/memory"
	"lentilward.org/schema/callerpb"
	"lentilward.org/schema/domain"
)

// maxMatchesPerChunk is the maximum number of matches in one message of the reply
// stream of a search.
const maxMatchesPerChunk = 256

// Server implements the caller interface.
type Server struct {
	callerpb.UnimplementedCallerServer
	search  func(context.Context, *domain.SearchRequest) (*domain.SearchAnswer, error)
	execute func(context.Context, *domain.ExecuteRequest) (*domain.ExecuteAnswer, error)

	// Memory bounds the bytes of the requests that are held, and Replies those of the
	// replies of backend servers. nil sets no bound.
	Memory, Replies *memory.Limit
}

// New returns a Server that passes requests to search and execute.
func New(search func(context.Context, *domain.SearchRequest) (*domain.SearchAnswer, error), execute func(context.Context, *domain.ExecuteRequest) (*domain.ExecuteAnswer, error)) *Server {
	return &Server{search: search, execute: execute}
}

// Search runs one search and streams its answer.
func (s *Server) Search(r *callerpb.SearchRequest, stream grpc.ServerStreamingServer[callerpb.SearchReply]) error {
	class, err := classFromProto(r.Class)
	if err != nil {
		return err
	}
	request := &domain.SearchRequest{
		ID: r.RequestId, Caller: r.Caller, Services: r.Services, Query: r.Query, Class: class, Resent: r.Resent,
		TimeLeft: time.Duration(r.DeadlineMs) * time.Millisecond, MinCoverage: 1,
	}
	if r.LeastCoverage != nil {
		request.MinCoverage = *r.LeastCoverage
	}
	ctx, err := s.hold(stream.Context(), r)
	if err != nil {
		return err
	}
	answer, err := s.search(ctx, request)
	if err != nil {
		return refusalStatus(err)
	}
	beginAnswer(ctx)
	return sendAnswer(stream, r.RequestId, answer)
}

// Execute runs one non-idempotent request at most once.
func (s *Server) Execute(ctx context.Context, r *callerpb.ExecuteRequest) (*callerpb.ExecuteReply, error) {
	class, err := classFromProto(r.Class)
	if err != nil {
		return nil, err
	}
	ctx, err = s.hold(ctx, r)
	if err != nil {
		return nil, err
	}
	answer, err := s.execute(ctx, &domain.ExecuteRequest{
		ID: r.RequestId, Caller: r.Caller, Service: r.Service, Payload: r.Payload, Class: class, Resent: r.Resent,
		TimeLeft: time.Duration(r.DeadlineMs) * time.Millisecond,
	})
	if err != nil {
		return nil, refusalStatus(err)
	}
	beginAnswer(ctx)
	return &callerpb.ExecuteReply{RequestId: r.RequestId, Result: answer.Result, Instance: answer.Instance}, nil
}

// classFromProto converts a request's class; an unspecified one is interactive. It
// returns the status of a refusal if the class is unknown.
func classFromProto(c callerpb.Class) (domain.Class, error) {
	switch c {
	case callerpb.Class_CLASS_UNSPECIFIED, callerpb.Class_CLASS_INTERACTIVE:
		return domain.Interactive, nil
	case callerpb.Class_CLASS_URGENT:
		return domain.Urgent, nil
	case callerpb.Class_CLASS_BACKGROUND:
		return domain.Background, nil
	}
	return 0, refusalStatus(&domain.Refusal{Reason: domain.Malformed, Message: "unknown class " + c.String()})
}

// sendAnswer streams the matches in numbered chunks and then the summary, which has
// the number of chunks so that the receiver can detect an incomplete answer.
func sendAnswer(stream grpc.ServerStreamingServer[callerpb.SearchReply], id string, answer *domain.SearchAnswer) error {
	matchValues := make([]callerpb.Match, len(answer.Matches))
	matches := make([]*callerpb.Match, len(answer.Matches))
	for i, m := range answer.Matches {
		match := &matchValues[i]
		match.Service, match.Shard, match.Record, match.Score, match.Text = m.Service, m.Shard, m.Record, m.Score, m.Text
		matches[i] = match
	}
	chunk := uint32(0)
	for remaining := matches; len(remaining) > 0; chunk++ {
		n := min(len(remaining), maxMatchesPerChunk)
		if err := stream.Send(&callerpb.SearchReply{RequestId: id, Chunk: chunk, Matches: remaining[:n]}); err != nil {
			return err
		}
		remaining = remaining[n:]
	}
	return stream.Send(&callerpb.SearchReply{RequestId: id, Chunk: chunk, Summary: summaryToProto(answer, chunk)})
}

func summaryToProto(answer *domain.SearchAnswer, chunks uint32) *callerpb.Summary {
	s := &callerpb.Summary{
		Chunks: chunks, Matches: uint64(len(answer.Matches)), ShardsTotal: answer.ShardsTotal, ShardsCovered: answer.ShardsCovered,
		Attempts: answer.Attempts, Hedges: answer.Hedges, ElapsedUs: answer.Elapsed.Microseconds(), ConfigRevision: answer.Revision,
		Instance: answer.Instance,
	}
	for _, c := range answer.Coverage {
		s.Services = append(s.Services, &callerpb.ServiceCoverage{
			Service: c.Service, Version: c.Version, Shards: c.Shards, Missing: c.Missing,
		})
	}
	return s
}

// refusalStatus converts a domain.Refusal to a gRPC status that has the refusal as
// its detail. It returns other errors unchanged.
func refusalStatus(err error) error {
	var r *domain.Refusal
	if !errors.As(err, &r) {
		return err
	}
	s := status.New(statusCode(r.Reason), r.Message)
	detailed, err := s.WithDetails(&callerpb.Refusal{
		Reason: protoReasons[r.Reason], Outcome: protoOutcomes[r.Outcome], Message: r.Message,
		RetryAfterMs:  uint32(r.RetryAfter.Milliseconds()),
		ShardsCovered: uint32(r.CoveredShards), ShardsTotal: uint32(r.TotalShards),
	})
	if err != nil {
		return s.Err()
	}
	return detailed.Err()
}

var protoReasons = map[domain.Reason]callerpb.Reason{
	domain.NoConfiguration: callerpb.Reason_REASON_NOT_READY,
	domain.NoRoute:         callerpb.Reason_REASON_UNKNOWN_SERVICE,
	domain.TooLarge:        callerpb.Reason_REASON_TOO_LARGE,
	domain.Malformed:       callerpb.Reason_REASON_INVALID,
	domain.NoServer:        callerpb.Reason_REASON_UNAVAILABLE,
	domain.Overloaded:      callerpb.Reason_REASON_OVERLOADED,
	domain.TimedOut:        callerpb.Reason_REASON_DEADLINE,
	domain.Incomplete:      callerpb.Reason_REASON_COVERAGE,
	domain.Failed:          callerpb.Reason_REASON_FAILED,
	domain.Poison:          callerpb.Reason_REASON_SUSPECT,
	domain.Abandoned:       callerpb.Reason_REASON_FAILED,
	domain.Stopping:        callerpb.Reason_REASON_STOPPING,
	domain.Duplicate:       callerpb.Reason_REASON_DUPLICATE,
	domain.Limited:         callerpb.Reason_REASON_LIMITED,
	domain.Claimed:         callerpb.Reason_REASON_CLAIMED,
	domain.Unavailable:     callerpb.Reason_REASON_UNAVAILABLE,
}

var protoOutcomes = map[domain.Outcome]callerpb.Outcome{
	domain.NotRun:  callerpb.Outcome_OUTCOME_NOT_RUN,
	domain.Unknown: callerpb.Outcome_OUTCOME_UNKNOWN,
	domain.Ran:     callerpb.Outcome_OUTCOME_RAN,
}

func statusCode(reason domain.Reason) codes.Code {
	switch reason {
	case domain.Malformed, domain.TooLarge:
		return codes.InvalidArgument
	case domain.NoRoute:
		return codes.NotFound
	case domain.TimedOut:
		return codes.DeadlineExceeded
	case domain.Duplicate, domain.Claimed:
		return codes.AlreadyExists
	case domain.Limited, domain.Overloaded:
		return codes.ResourceExhausted
	case domain.Poison:
		return codes.FailedPrecondition
	}
	return codes.Unavailable
}
