// Package caller serves the requests of callers.
package caller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lentilward.org/schema/callerpb"
)

// refusal is an error that tells the caller whether its request was run.
type refusal struct {
	reason     callerpb.Reason
	outcome    callerpb.Outcome
	message    string
	retryAfter time.Duration
	covered    int
	total      int
}

// Error returns the message.
func (r *refusal) Error() string { return r.message }

// GRPCStatus returns the status with the refusal as its detail.
func (r *refusal) GRPCStatus() *status.Status {
	s := status.New(r.code(), r.message)
	detailed, err := s.WithDetails(&callerpb.Refusal{
		Reason: r.reason, Outcome: r.outcome, Message: r.message,
		RetryAfterMs:  uint32(r.retryAfter.Milliseconds()),
		ShardsCovered: uint32(r.covered), ShardsTotal: uint32(r.total),
	})
	if err != nil {
		return s
	}
	return detailed
}

func (r *refusal) code() codes.Code {
	switch r.reason {
	case callerpb.Reason_REASON_INVALID, callerpb.Reason_REASON_TOO_LARGE:
		return codes.InvalidArgument
	case callerpb.Reason_REASON_UNKNOWN_SERVICE:
		return codes.NotFound
	case callerpb.Reason_REASON_DEADLINE:
		return codes.DeadlineExceeded
	case callerpb.Reason_REASON_DUPLICATE, callerpb.Reason_REASON_CLAIMED:
		return codes.AlreadyExists
	case callerpb.Reason_REASON_LIMITED, callerpb.Reason_REASON_OVERLOADED:
		return codes.ResourceExhausted
	case callerpb.Reason_REASON_SUSPECT:
		return codes.FailedPrecondition
	}
	return codes.Unavailable
}

// notRun is a refusal before any backend server was called.
func notRun(reason callerpb.Reason, format string, args ...any) *refusal {
	return &refusal{
		reason: reason, outcome: callerpb.Outcome_OUTCOME_NOT_RUN, message: fmt.Sprintf(format, args...),
	}
}

// asRefusal returns the refusal that an error is.
func asRefusal(err error) *refusal {
	var r *refusal
	if errors.As(err, &r) {
		return r
	}
	reason := callerpb.Reason_REASON_FAILED
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		reason = callerpb.Reason_REASON_DEADLINE
	}
	return &refusal{reason: reason, outcome: callerpb.Outcome_OUTCOME_UNKNOWN, message: err.Error()}
}
