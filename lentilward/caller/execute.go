package caller

import (
	"context"
	"errors"
	"time"

	"lentilward.org/lentilward/backend"
	"lentilward.org/lentilward/store"
	"lentilward.org/schema/domain"
)

// claimTimeout bounds the calls that settle a claim after the request.
const claimTimeout = 2 * time.Second

// Execute runs one non-idempotent request at most once. Its errors are
// refusals.
func (s *Server) Execute(ctx context.Context, r *domain.ExecuteRequest) (*domain.ExecuteAnswer, error) {
	begin := time.Now()
	result, err := s.execute(ctx, r, begin)
	if err != nil {
		return nil, s.refuse(r.Caller, r.ID, r.Resent, err)
	}
	return &domain.ExecuteAnswer{Result: result, Instance: s.board.Own.Load().Name}, nil
}

func (s *Server) execute(ctx context.Context, r *domain.ExecuteRequest, begin time.Time) ([]byte, error) {
	leave, refused := s.admission.enter(r.Caller, r.ID)
	if refused != nil {
		return nil, refused
	}
	defer leave()
	if len(r.Payload) > maxPayload {
		return nil, notRun(domain.TooLarge, "payload: at most %d bytes", maxPayload)
	}
	due, refused := deadline(ctx, r.TimeLeft, begin)
	if refused != nil {
		return nil, refused
	}
	services, refused := selectServices(s.board.Routes.Load(), []string{r.Service})
	if refused != nil {
		return nil, refused
	}
	if len(services) != 1 {
		return nil, notRun(domain.Malformed, "service: want one name")
	}
	leaveLimits, refused := limit(services, r.Caller, r.Class)
	if refused != nil {
		return nil, refused
	}
	defer leaveLimits()
	ctx, cancel := context.WithDeadline(ctx, due)
	defer cancel()
	claim, earlier, err := s.claims.Take(ctx, r.Caller, r.ID)
	if err != nil {
		return claimed(earlier, err)
	}
	q := &backend.Request{ID: r.ID, Class: r.Class, Deadline: due, WaitForServer: true}
	result, err := s.runner.Execute(ctx, q, services[0], r.Payload, ctx.Err)
	settle(claim, q.Outcome(), result)
	if err != nil {
		x := asRefusal(err)
		x.Outcome = q.Outcome()
		return nil, x
	}
	s.metrics.Answered(r.Caller, r.Class, time.Since(begin), q.Attempts(), 0, 0)
	return result, nil
}

// claimed answers a request that this instance does not run.
func claimed(earlier store.Earlier, err error) ([]byte, error) {
	switch {
	case errors.Is(err, store.ErrClaimed) && earlier.State == store.ClaimDone:
		return earlier.Result, nil
	case errors.Is(err, store.ErrClaimed):
		return nil, &domain.Refusal{
			Reason: domain.Claimed, Outcome: domain.Unknown,
			Message: "an earlier request of this id was claimed and may have run",
		}
	case errors.Is(err, store.ErrLimited):
		return nil, notRun(domain.Limited, "too many requests need a claim")
	}
	return nil, notRun(domain.Unavailable, "cannot claim the request: %v", err)
}

// settle notes in the claim what became of the request. While nothing is
// certain the claim stays as it is.
func settle(claim *store.Claim, outcome domain.Outcome, result []byte) {
	if outcome == domain.Unknown {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		if outcome == domain.Ran {
			claim.Finish(ctx, result)
			return
		}
		claim.Release(ctx)
	}()
}
