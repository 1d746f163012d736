// Package monitor serves health, status and metrics over HTTP.
package monitor

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/domain"
)

const (
	// maxCallers bounds the number of callers that have a label of their own, and
	// with it the number of time series.
	maxCallers = 64
	// otherCallers is the shared label of the callers beyond that bound.
	otherCallers = "other"
)

// Metrics holds the Prometheus metrics of one instance.
type Metrics struct {
	registry       *prometheus.Registry
	durations      *prometheus.HistogramVec
	refusals       *prometheus.CounterVec
	attempts       prometheus.Counter
	hedges         prometheus.Counter
	missingShards  prometheus.Counter
	observers      sync.Map
	labeledCallers sync.Map
	labeledCount   int
	mu             sync.Mutex
	tenants        tenantMetrics
}

// histogramKey identifies the histogram of one caller and class.
type histogramKey struct {
	caller string
	class  blackboard.Class
}

// NewMetrics creates and registers the metrics, including those of the Go runtime
// and the process.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lentilward_request_duration_seconds", Help: "Time to the whole answer, by caller and class.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.5, 20),
		}, []string{"caller", "class"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lentilward_refusals_total", Help: "Requests refused, by reason and outcome.",
		}, []string{"reason", "outcome"}),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lentilward_attempts_total", Help: "Calls sent to backend servers.",
		}),
		hedges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lentilward_hedges_total", Help: "Calls to backend servers that were hedges.",
		}),
		missingShards: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lentilward_missing_shards_total", Help: "Shards missing from answers.",
		}),
	}
	m.registry.MustRegister(m.durations, m.refusals, m.attempts, m.hedges, m.missingShards,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// RegisterGauge registers a gauge whose value is read at each scrape.
func (m *Metrics) RegisterGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// RecordAnswer records an answered request: its duration, the attempts and hedges
// that it took and the number of shards missing from the answer.
func (m *Metrics) RecordAnswer(caller string, class blackboard.Class, d time.Duration, attempts, hedges, missingShards uint32) {
	m.observer(caller, class).Observe(d.Seconds())
	m.attempts.Add(float64(attempts))
	m.hedges.Add(float64(hedges))
	m.missingShards.Add(float64(missingShards))
}

// RecordRefusal counts a refused request by reason and outcome.
func (m *Metrics) RecordRefusal(reason domain.Reason, outcome domain.Outcome) {
	m.refusals.WithLabelValues(reason.String(), outcome.String()).Inc()
}

// observer returns the histogram of a caller and class. Only the first call for a
// caller and class may take a lock.
func (m *Metrics) observer(caller string, class blackboard.Class) prometheus.Observer {
	key := histogramKey{caller, class}
	if o, ok := m.observers.Load(key); ok {
		return o.(prometheus.Observer)
	}
	o := m.durations.WithLabelValues(m.callerLabel(caller), class.String())
	m.observers.Store(key, o)
	return o
}

func (m *Metrics) callerLabel(caller string) string {
	if _, ok := m.labeledCallers.Load(caller); ok {
		return caller
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.labeledCount >= maxCallers {
		return otherCallers
	}
	m.labeledCount++
	m.labeledCallers.Store(caller, true)
	return caller
}
