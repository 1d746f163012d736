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
	// maxCallers bounds the callers with histograms of their own.
	maxCallers = 64
	// otherCallers is the label of those beyond.
	otherCallers = "other"
)

// Metrics are the measurements of one instance.
type Metrics struct {
	registry  *prometheus.Registry
	durations *prometheus.HistogramVec
	refusals  *prometheus.CounterVec
	attempts  prometheus.Counter
	hedges    prometheus.Counter
	missing   prometheus.Counter
	callers   sync.Map
	known     sync.Map
	count     int
	mu        sync.Mutex
}

// observerKey names one histogram.
type observerKey struct {
	caller string
	class  blackboard.Class
}

// NewMetrics registers the measurements.
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
		missing: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lentilward_missing_shards_total", Help: "Shards missing from answers.",
		}),
	}
	m.registry.MustRegister(m.durations, m.refusals, m.attempts, m.hedges, m.missing,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Gauge registers a value that is read when it is asked for.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Answered notes an answer with its time and cost.
func (m *Metrics) Answered(caller string, class blackboard.Class, d time.Duration, attempts, hedges, missing uint32) {
	m.observer(caller, class).Observe(d.Seconds())
	m.attempts.Add(float64(attempts))
	m.hedges.Add(float64(hedges))
	m.missing.Add(float64(missing))
}

// Refused notes a refusal.
func (m *Metrics) Refused(reason domain.Reason, outcome domain.Outcome) {
	m.refusals.WithLabelValues(reason.String(), outcome.String()).Inc()
}

// observer returns the histogram of a caller and class without a lock, once
// it was made.
func (m *Metrics) observer(caller string, class blackboard.Class) prometheus.Observer {
	key := observerKey{caller, class}
	if o, ok := m.callers.Load(key); ok {
		return o.(prometheus.Observer)
	}
	o := m.durations.WithLabelValues(m.label(caller), class.String())
	m.callers.Store(key, o)
	return o
}

func (m *Metrics) label(caller string) string {
	if _, ok := m.known.Load(caller); ok {
		return caller
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.count >= maxCallers {
		return otherCallers
	}
	m.count++
	m.known.Store(caller, true)
	return caller
}
