package monitor

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// maxTenants bounds the number of tenants that have a label of their own. Those beyond it
// share otherCallers.
const maxTenants = 128

// tenantMetrics are the metrics of tenants.
type tenantMetrics struct {
	once    sync.Once
	asked   *prometheus.CounterVec
	results *prometheus.CounterVec
	lent    *prometheus.CounterVec

	mu     sync.Mutex
	labels map[string]bool
}

// tenantMetrics returns the metrics of tenants. They are registered when the first tenant
// is counted, so that deployments without tenants have none.
func (m *Metrics) tenantMetrics() *tenantMetrics {
	t := &m.tenants
	t.once.Do(func() {
		t.labels = make(map[string]bool)
		t.asked = prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lentilward_tenant_requests_total", Help: "Requests of tenants that arrived, by tenant.",
		}, []string{"tenant"})
		t.results = prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lentilward_tenant_results_total", Help: "Requests of tenants, by tenant and result: served, or the reason of the refusal.",
		}, []string{"tenant", "result"})
		t.lent = prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lentilward_tenant_lent_total", Help: "Requests of tenants that this instance let others and itself send, by tenant.",
		}, []string{"tenant"})
		m.registry.MustRegister(t.asked, t.results, t.lent)
	})
	return t
}

func (t *tenantMetrics) label(tenant string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.labels[tenant] {
		if len(t.labels) >= maxTenants {
			return otherCallers
		}
		t.labels[tenant] = true
	}
	return tenant
}

// RecordTenantAsked counts a request of a tenant.
func (m *Metrics) RecordTenantAsked(tenant string) {
	t := m.tenantMetrics()
	t.asked.WithLabelValues(t.label(tenant)).Inc()
}

// RecordTenantResult counts the result of a request of a tenant.
func (m *Metrics) RecordTenantResult(tenant, result string) {
	t := m.tenantMetrics()
	t.results.WithLabelValues(t.label(tenant), result).Inc()
}

// RecordTenantLent counts the requests of a tenant that this instance has permitted as its
// home.
func (m *Metrics) RecordTenantLent(tenant string, requests int) {
	t := m.tenantMetrics()
	t.lent.WithLabelValues(t.label(tenant)).Add(float64(requests))
}

// TenantStatus is what an instance knows of one tenant. The counts are those since its
// start, or since the tenant was forgotten after ten minutes without requests.
type TenantStatus struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Home is the instance that lends, as this one sees it.
	Home string `json:"home"`
	// Use is what the tenant asks for over all instances as a share of its rate.
	Use     float64 `json:"use"`
	Asked   int     `json:"asked"`
	Allowed int     `json:"allowed"`
	Refused int     `json:"refused"`
	// Fallback counts the requests allowed without a home, Lent those that this instance
	// has permitted as the home.
	Fallback int `json:"fallback"`
	Lent     int `json:"lent"`
}

// WithTenants returns a handler that answers /tenants with the tenants and everything else
// as next does.
func WithTenants(next http.Handler, tenants func() []TenantStatus) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", next)
	mux.HandleFunc("GET /tenants", func(w http.ResponseWriter, _ *http.Request) {
		list := tenants()
		if list == nil {
			list = []TenantStatus{}
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(list); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	return mux
}
