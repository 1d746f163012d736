package web

import (
	"context"
	"net/http"
	"testing"
	"time"

	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

// Guards against a refusal that does not say when to retry, against one that does not
// promise that nothing has run, and against asking for requests without a tenant.
func TestTenantOverItsAllowanceIsRefused(t *testing.T) {
	s, _ := newTestServer(t, echoRequest)
	if refusal := s.checkAllowance(t.Context(), &domain.Tenant{Name: "a"}); refusal != nil {
		t.Fatalf("refused without allowances: %v", refusal)
	}
	asked := 0
	s.Allow = func(_ context.Context, tenant *domain.Tenant) (time.Duration, bool) {
		asked++
		return 1250 * time.Millisecond, tenant.Name == "b"
	}
	if s.checkAllowance(t.Context(), nil) != nil || s.checkAllowance(t.Context(), &domain.Tenant{Name: "b"}) != nil || asked != 1 {
		t.Fatalf("refused; asked %d times, want once", asked)
	}
	refusal := s.checkAllowance(t.Context(), &domain.Tenant{Name: "a", RatePerSecond: 2, Burst: 1})
	if refusal == nil || refusal.Reason != domain.QuotaExceeded || refusal.Outcome != domain.NotRun {
		t.Fatalf("refusal %+v", refusal)
	}
	header := http.Header{}
	if status, _ := platform.EncodeRefusal(header, refusal); status != http.StatusTooManyRequests || header.Get("Retry-After") != "1.250" {
		t.Fatalf("status %d, header %v", status, header)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if refusal := s.checkAllowance(ctx, &domain.Tenant{Name: "a"}); refusal == nil || refusal.Reason != domain.Abandoned {
		t.Fatalf("refusal %+v for a caller that has left", refusal)
	}
}
