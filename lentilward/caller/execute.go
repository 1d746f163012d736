package caller

import (
	"context"
	"errors"
	"time"

	"lentilward.org/lentilward/backend"
	"lentilward.org/lentilward/platform"
	"lentilward.org/schema/callerpb"
)

// claimTimeout bounds the calls that settle a claim after the request.
const claimTimeout = 2 * time.Second

// Execute runs one non-idempotent request at most once.
func (s *Server) Execute(ctx context.Context, r *callerpb.ExecuteRequest) (*callerpb.ExecuteReply, error) {
	begin := time.Now()
	result, err := s.execute(ctx, r, begin)
	if err != nil {
		return nil, s.refuse(r.Caller, r.RequestId, r.Resent, err)
	}
	return &callerpb.ExecuteReply{RequestId: r.RequestId, Result: result, Instance: s.board.Own.Load().Name}, nil
}

func (s *Server) execute(ctx context.Context, r *callerpb.ExecuteRequest, begin time.Time) ([]byte, error) {
	leave, refused := s.admission.enter(r.Caller, r.RequestId)
	if refused != nil {
		return nil, refused
	}
	defer leave()
	if len(r.Payload) > maxPayload {
		return nil, notRun(callerpb.Reason_REASON_TOO_LARGE, "payload: at most %d bytes", maxPayload)
	}
	c, refused := class(r.Class)
	if refused != nil {
		return nil, refused
	}
	due, refused := deadline(ctx, r.DeadlineMs, begin)
	if refused != nil {
		return nil, refused
	}
	services, refused := selectServices(s.board.Routes.Load(), []string{r.Service})
	if refused != nil {
		return nil, refused
	}
	if len(services) != 1 {
		return nil, notRun(callerpb.Reason_REASON_INVALID, "service: want one name")
	}
	leaveLimits, refused := limit(services, r.Caller, c)
	if refused != nil {
		return nil, refused
	}
	defer leaveLimits()
	ctx, cancel := context.WithDeadline(ctx, due)
	defer cancel()
	claim, earlier, err := s.claims.Take(ctx, r.Caller, r.RequestId)
	if err != nil {
		return claimed(earlier, err)
	}
	q := &backend.Request{ID: r.RequestId, Class: c, Deadline: due, Patient: true}
	result, err := s.runner.Execute(ctx, q, services[0], r.Payload, ctx.Err)
	settle(claim, q.Outcome(), result)
	if err != nil {
		x := asRefusal(err)
		x.outcome = q.Outcome()
		return nil, x
	}
	s.metrics.Answered(r.Caller, c, time.Since(begin), q.Attempts(), 0, 0)
	return result, nil
}

// claimed answers a request that this instance does not run.
func claimed(earlier platform.Earlier, err error) ([]byte, error) {
	switch {
	case errors.Is(err, platform.ErrClaimed) && earlier.State == platform.ClaimDone:
		return earlier.Result, nil
	case errors.Is(err, platform.ErrClaimed):
		return nil, &refusal{
			reason: callerpb.Reason_REASON_CLAIMED, outcome: callerpb.Outcome_OUTCOME_UNKNOWN,
			message: "an earlier request of this id was claimed and may have run",
		}
	case errors.Is(err, platform.ErrLimited):
		return nil, notRun(callerpb.Reason_REASON_LIMITED, "too many requests need a claim")
	}
	return nil, notRun(callerpb.Reason_REASON_UNAVAILABLE, "cannot claim the request: %v", err)
}

// settle notes in the claim what became of the request. While nothing is
// certain the claim stays as it is.
func settle(claim *platform.Claim, outcome callerpb.Outcome, result []byte) {
	if outcome == callerpb.Outcome_OUTCOME_UNKNOWN {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		if outcome == callerpb.Outcome_OUTCOME_RAN {
			claim.Finish(ctx, result)
			return
		}
		claim.Release(ctx)
	}()
}
