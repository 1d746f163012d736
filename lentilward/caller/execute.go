package caller

import (
	"context"
	"errors"
	"time"

	"lentilward.org/lentilward/backend"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/store"
	"lentilward.org/lentilward/suspect"
	"lentilward.org/schema/domain"
)

// claimUpdateTimeout bounds the update of a claim after its request has ended.
const claimUpdateTimeout = 2 * time.Second

// Execute runs one non-idempotent request at most once. Its errors are of type
// *domain.Refusal.
func (s *Server) Execute(ctx context.Context, r *domain.ExecuteRequest) (*domain.ExecuteAnswer, error) {
	begin := time.Now()
	result, err := s.execute(ctx, r, begin)
	if err != nil {
		return nil, s.recordRefusal(r.Caller, r.ID, r.Resent, err)
	}
	return &domain.ExecuteAnswer{Result: result, Instance: s.board.LocalInstance.Load().Name}, nil
}

func (s *Server) execute(ctx context.Context, r *domain.ExecuteRequest, begin time.Time) ([]byte, error) {
	endRequest, refused := s.admission.admit(r.Caller, r.ID)
	if refused != nil {
		return nil, refused
	}
	defer endRequest()
	if len(r.Payload) > maxPayloadBytes {
		return nil, notRunRefusal(domain.TooLarge, "payload: at most %d bytes", maxPayloadBytes)
	}
	due, refused := answerDeadline(ctx, r.TimeLeft, begin)
	if refused != nil {
		return nil, refused
	}
	services, refused := selectServices(s.board.Routes.Load(), []string{r.Service})
	if refused != nil {
		return nil, refused
	}
	if len(services) != 1 {
		return nil, notRunRefusal(domain.Malformed, "service: want one name")
	}
	releaseLimits, refused := acquireLimits(services, r.Caller, r.Class)
	if refused != nil {
		return nil, refused
	}
	defer releaseLimits()
	ctx, endLimit := s.stopper.limit(ctx)
	defer endLimit()
	ctx, cancel := context.WithDeadline(ctx, due)
	defer cancel()
	claim, earlier, err := s.claims.Acquire(ctx, r.Caller, r.ID)
	if err != nil {
		return claimedResult(earlier, err)
	}
	req := &backend.Request{ID: r.ID, Class: r.Class, Deadline: due, WaitForServer: true}
	result, err := s.runClaimed(ctx, r, req, services[0])
	s.updateClaim(claim, req.Outcome(), result)
	if err != nil {
		refusal := asRefusal(err)
		refusal.Outcome = req.Outcome()
		return nil, s.stopper.explain(refusal)
	}
	s.metrics.RecordAnswer(r.Caller, r.Class, time.Since(begin), req.Attempts(), 0, 0)
	return result, nil
}

// runClaimed runs a request that was claimed, unless it is known to crash servers.
func (s *Server) runClaimed(ctx context.Context, r *domain.ExecuteRequest, req *backend.Request, routes *blackboard.ServiceRoutes) ([]byte, error) {
	fingerprint := suspect.PayloadFingerprint(r.Service, r.Payload)
	req.OnLost = func() { s.recordLoss(context.WithoutCancel(ctx), fingerprint, req) }
	endTrial, refused := s.checkPoison(ctx, fingerprint, req)
	if refused != nil {
		return nil, refused
	}
	result, err := s.runner.Execute(ctx, req, routes, r.Payload, func() error { return s.stopper.check(ctx) })
	if err == nil {
		s.suspects.RecordRun(ctx, fingerprint, time.Now())
	}
	endTrial(req.Outcome() != domain.NotRun)
	return result, err
}

// checkPoison refuses a request that is known to crash servers unless a trial of it is due.
// The trial ends with end.
func (s *Server) checkPoison(ctx context.Context, fingerprint uint64, req *backend.Request) (end func(ran bool), _ *domain.Refusal) {
	known := s.board.Suspects.Load().ByFingerprint[fingerprint]
	if !known.IsRefused() {
		return func(bool) {}, nil
	}
	end, retryAfter := s.StartTrial(ctx, fingerprint, req.Deadline)
	if end == nil {
		return nil, poisonRefusal(req, known, retryAfter)
	}
	return end, nil
}

// claimedResult returns the result of a request that could not be claimed: the
// stored result if an earlier request with its id has finished, and else a
// refusal.
func claimedResult(earlier store.EarlierClaim, err error) ([]byte, error) {
	switch {
	case errors.Is(err, store.ErrClaimed) && earlier.State == store.ClaimDone:
		return earlier.Result, nil
	case errors.Is(err, store.ErrClaimed):
		return nil, &domain.Refusal{
			Reason: domain.Claimed, Outcome: domain.Unknown,
			Message: "an earlier request with this id was claimed and may have run",
		}
	case errors.Is(err, store.ErrLimited):
		return nil, notRunRefusal(domain.Limited, "rate limit for claims exceeded")
	}
	return nil, notRunRefusal(domain.Unavailable, "cannot claim the request: %v", err)
}

// updateClaim stores the result of a request in its claim, or releases the
// claim if the request did not run. If the outcome is unknown, the claim is
// left as it is. The update runs in the background.
func (s *Server) updateClaim(claim *store.Claim, outcome domain.Outcome, result []byte) {
	if outcome == domain.Unknown {
		return
	}
	s.stopper.claimUpdates.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimUpdateTimeout)
		defer cancel()
		update := claim.Release
		if outcome == domain.Ran {
			update = func(ctx context.Context) error { return claim.Finish(ctx, result) }
		}
		if err := update(ctx); err != nil {
			s.log.Warn("updating a claim failed", "outcome", outcome, "error", err)
		}
	})
}
