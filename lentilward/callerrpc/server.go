// Package callerrpc serves callers over gRPC.
package callerrpc

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lentilward.org/schema/callerpb"
	"lentilward.org/schema/domain"
)

// matchesPerChunk is the number of matches in one frame of an answer.
const matchesPerChunk = 256

// Server turns the calls of callers into requests.
type Server struct {
	callerpb.UnimplementedCallerServer
	search  func(context.Context, *domain.SearchRequest) (*domain.SearchAnswer, error)
	execute func(context.Context, *domain.ExecuteRequest) (*domain.ExecuteAnswer, error)
}

// New returns a server of the requests that the functions answer.
func New(search func(context.Context, *domain.SearchRequest) (*domain.SearchAnswer, error), execute func(context.Context, *domain.ExecuteRequest) (*domain.ExecuteAnswer, error)) *Server {
	return &Server{search: search, execute: execute}
}

// Search answers one search.
func (s *Server) Search(r *callerpb.SearchRequest, stream grpc.ServerStreamingServer[callerpb.SearchReply]) error {
	c, err := class(r.Class)
	if err != nil {
		return err
	}
	request := &domain.SearchRequest{
		ID: r.RequestId, Caller: r.Caller, Services: r.Services, Query: r.Query, Class: c, Resent: r.Resent,
		TimeLeft: time.Duration(r.DeadlineMs) * time.Millisecond, LeastCoverage: 1,
	}
	if r.LeastCoverage != nil {
		request.LeastCoverage = *r.LeastCoverage
	}
	a, err := s.search(stream.Context(), request)
	if err != nil {
		return encode(err)
	}
	return send(stream, r.RequestId, a)
}

// Execute runs one request at most once.
func (s *Server) Execute(ctx context.Context, r *callerpb.ExecuteRequest) (*callerpb.ExecuteReply, error) {
	c, err := class(r.Class)
	if err != nil {
		return nil, err
	}
	a, err := s.execute(ctx, &domain.ExecuteRequest{
		ID: r.RequestId, Caller: r.Caller, Service: r.Service, Payload: r.Payload, Class: c, Resent: r.Resent,
		TimeLeft: time.Duration(r.DeadlineMs) * time.Millisecond,
	})
	if err != nil {
		return nil, encode(err)
	}
	return &callerpb.ExecuteReply{RequestId: r.RequestId, Result: a.Result, Instance: a.Instance}, nil
}

// class returns the class of a request.
func class(c callerpb.Class) (domain.Class, error) {
	switch c {
	case callerpb.Class_CLASS_UNSPECIFIED, callerpb.Class_CLASS_INTERACTIVE:
		return domain.Interactive, nil
	case callerpb.Class_CLASS_URGENT:
		return domain.Urgent, nil
	case callerpb.Class_CLASS_BACKGROUND:
		return domain.Background, nil
	}
	return 0, encode(&domain.Refusal{Reason: domain.Malformed, Message: "unknown class " + c.String()})
}

// send streams an answer in numbered chunks and ends it with its summary.
func send(stream grpc.ServerStreamingServer[callerpb.SearchReply], id string, a *domain.SearchAnswer) error {
	storage := make([]callerpb.Match, len(a.Matches))
	matches := make([]*callerpb.Match, len(a.Matches))
	for i, m := range a.Matches {
		x := &storage[i]
		x.Service, x.Shard, x.Record, x.Score, x.Text = m.Service, m.Shard, m.Record, m.Score, m.Text
		matches[i] = x
	}
	chunk := uint32(0)
	for rest := matches; len(rest) > 0; chunk++ {
		n := min(len(rest), matchesPerChunk)
		if err := stream.Send(&callerpb.SearchReply{RequestId: id, Chunk: chunk, Matches: rest[:n]}); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return stream.Send(&callerpb.SearchReply{RequestId: id, Chunk: chunk, Summary: summary(a, chunk)})
}

func summary(a *domain.SearchAnswer, chunks uint32) *callerpb.Summary {
	s := &callerpb.Summary{
		Chunks: chunks, Matches: uint64(len(a.Matches)), ShardsTotal: a.ShardsTotal, ShardsCovered: a.ShardsCovered,
		Attempts: a.Attempts, Hedges: a.Hedges, ElapsedUs: a.Took.Microseconds(), ConfigRevision: a.Revision,
		Instance: a.Instance,
	}
	for _, c := range a.Coverage {
		s.Services = append(s.Services, &callerpb.ServiceCoverage{
			Service: c.Service, Version: c.Version, Shards: c.Shards, Missing: c.Missing,
		})
	}
	return s
}

// encode returns the status of a refusal, with the refusal as its detail.
func encode(err error) error {
	var r *domain.Refusal
	if !errors.As(err, &r) {
		return err
	}
	s := status.New(code(r.Reason), r.Message)
	detailed, err := s.WithDetails(&callerpb.Refusal{
		Reason: reasons[r.Reason], Outcome: outcomes[r.Outcome], Message: r.Message,
		RetryAfterMs:  uint32(r.RetryAfter.Milliseconds()),
		ShardsCovered: uint32(r.Covered), ShardsTotal: uint32(r.Total),
	})
	if err != nil {
		return s.Err()
	}
	return detailed.Err()
}

var reasons = map[domain.Reason]callerpb.Reason{
	domain.NoConfiguration: callerpb.Reason_REASON_NOT_READY,
	domain.NoRoute:         callerpb.Reason_REASON_UNKNOWN_SERVICE,
	domain.TooLarge:        callerpb.Reason_REASON_TOO_LARGE,
	domain.Malformed:       callerpb.Reason_REASON_INVALID,
	domain.NoServer:        callerpb.Reason_REASON_UNAVAILABLE,
	domain.Overloaded:      callerpb.Reason_REASON_OVERLOADED,
	domain.TimedOut:        callerpb.Reason_REASON_DEADLINE,
	domain.Incomplete:      callerpb.Reason_REASON_COVERAGE,
	domain.Failed:          callerpb.Reason_REASON_FAILED,
	domain.Harmful:         callerpb.Reason_REASON_SUSPECT,
	domain.Abandoned:       callerpb.Reason_REASON_FAILED,
	domain.Stopping:        callerpb.Reason_REASON_STOPPING,
	domain.Duplicate:       callerpb.Reason_REASON_DUPLICATE,
	domain.Limited:         callerpb.Reason_REASON_LIMITED,
	domain.Claimed:         callerpb.Reason_REASON_CLAIMED,
	domain.Unavailable:     callerpb.Reason_REASON_UNAVAILABLE,
}

var outcomes = map[domain.Outcome]callerpb.Outcome{
	domain.NotRun:  callerpb.Outcome_OUTCOME_NOT_RUN,
	domain.Unknown: callerpb.Outcome_OUTCOME_UNKNOWN,
	domain.Ran:     callerpb.Outcome_OUTCOME_RAN,
}

func code(reason domain.Reason) codes.Code {
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
	case domain.Harmful:
		return codes.FailedPrecondition
	}
	return codes.Unavailable
}
