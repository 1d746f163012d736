package web

import (
	"context"
	"fmt"

	"lentilward.org/schema/domain"
)

// checkAllowance refuses a request whose tenant has used up its allowance.
func (s *Server) checkAllowance(ctx context.Context, tenant *domain.Tenant) *domain.Refusal {
	if s.Allow == nil || tenant == nil {
		return nil
	}
	retryAfter, ok := s.Allow(ctx, tenant)
	switch {
	case ok:
		return nil
	case ctx.Err() != nil:
		return &domain.Refusal{Reason: domain.Abandoned, Message: "caller disconnected"}
	}
	return &domain.Refusal{
		Reason: domain.QuotaExceeded, RetryAfter: retryAfter,
		Message: fmt.Sprintf("tenant %q has used up its allowance of %g requests a second, %g at once", tenant.Name, tenant.RatePerSecond, tenant.Burst),
	}
}
