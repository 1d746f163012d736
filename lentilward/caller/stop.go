package caller

import (
	"context"
	"errors"
	"sync"
	"time"

	"lentilward.org/schema/domain"
)

// errStopping ends requests that a stopping instance has no more time for.
var errStopping = errors.New("instance is stopping; use another one")

// stopper ends the requests in flight when the instance stops.
type stopper struct {
	ctx context.Context
	end context.CancelFunc
	// claimUpdates are the updates of claims that are in progress.
	claimUpdates sync.WaitGroup
}

func newStopper() *stopper {
	ctx, end := context.WithCancel(context.Background())
	return &stopper{ctx: ctx, end: end}
}

// limit returns a context that ends when the requests in flight end.
func (s *stopper) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	detach := context.AfterFunc(s.ctx, cancel)
	return ctx, func() {
		detach()
		cancel()
	}
}

// check returns an error if a request must not be sent to a server any more. The slots that
// the end of requests frees go to none that are about to end too.
func (s *stopper) check(ctx context.Context) error {
	if s.ctx.Err() != nil {
		return errStopping
	}
	return ctx.Err()
}

// Stop gives each request in flight its final answer by lastAnswer at the latest. Those that
// no server has got are refused as not run.
func (s *Server) Stop(lastAnswer time.Time) { time.AfterFunc(time.Until(lastAnswer), s.stopper.end) }

// AwaitClaims waits until the claims of requests that have ended are up to date, so that what
// was refused as not run may run elsewhere. It returns the error of the context if that ends
// first.
func (s *Server) AwaitClaims(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.stopper.claimUpdates.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// explain gives a refusal the reason Stopping if the requests in flight were ended.
func (s *stopper) explain(refusal *domain.Refusal) *domain.Refusal {
	if s.ctx.Err() != nil {
		refusal.Reason, refusal.Message = domain.Stopping, errStopping.Error()
	}
	return refusal
}
