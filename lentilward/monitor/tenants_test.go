package monitor

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lentilward.org/lentilward/blackboard"
)

// Guards against time series without bound, and against metrics of tenants in deployments
// that have none.
func TestTenantsHaveBoundedLabels(t *testing.T) {
	m := NewMetrics()
	scrape := func() int {
		w := httptest.NewRecorder()
		promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		return strings.Count(w.Body.String(), "\nlentilward_tenant_")
	}
	if n := scrape(); n != 0 {
		t.Errorf("%d series of tenants before the first one", n)
	}
	for i := range 1000 {
		name := fmt.Sprint("t", i)
		m.RecordTenantAsked(name)
		m.RecordTenantResult(name, "served")
		m.RecordTenantLent(name, 1)
	}
	if n := scrape(); n != 3*(maxTenants+1) {
		t.Errorf("%d series, want %d", n, 3*(maxTenants+1))
	}
}

// Guards against a path that hides the others of the monitor.
func TestMonitorAnswersTenantsBesideTheRest(t *testing.T) {
	board := blackboard.New(blackboard.LocalInstance{Name: "n1"})
	h := WithTenants(Handler(board, NewMetrics()), func() []TenantStatus { return nil })
	for path, want := range map[string]string{"/tenants": "[]", "/healthz": "alive", "/metrics": "go_goroutines"} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		if w.Code != http.StatusOK || !strings.Contains(w.Body.String(), want) {
			t.Errorf("%s: status %d, %.80q, want %q", path, w.Code, w.Body, want)
		}
	}
}
