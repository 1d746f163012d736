// Package report computes the figures of an experiment from its records and
// writes them as tables and plots.
package report

import (
	"cmp"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lentilward.org/lentilload/audit"
	"lentilward.org/lentilload/caller"
	"lentilward.org/lentilload/instance"
	"lentilward.org/lentilstand/site"
)

const (
	// maxLatencyMicros and significantDigits are the upper bound, 1 min, and the
	// precision of the latencies that a histogram holds.
	maxLatencyMicros  = int64(time.Minute / time.Microsecond)
	significantDigits = 3
	// serviceTimeSigma is the standard deviation of the logarithm of the
	// stand-ins' service times, which are log-normally distributed.
	serviceTimeSigma = 0.25
)

// Figures holds latency percentiles in milliseconds, coverage and goodput as
// shares, and the number of refused requests of one run.
type Figures struct {
	P50          float64 `json:"p50-ms"`
	P99          float64 `json:"p99-ms"`
	P999         float64 `json:"p999-ms"`
	CoverageMean float64 `json:"coverage-mean"`
	CoverageMin  float64 `json:"coverage-min"`
	Goodput      float64 `json:"goodput"`
	Refused      int     `json:"refused"`
}

// Cost is the average resource usage of an instance during the measurement.
// Rates are per second and per instance.
type Cost struct {
	CPUShare       float64 `json:"cpu-share"`
	CPUPerAttempt  float64 `json:"cpu-per-attempt-us"`
	ResidentMB     float64 `json:"resident-mb"`
	PeerBytesPerS  float64 `json:"peer-bytes-per-s"`
	AttemptsPerSec float64 `json:"attempts-per-s"`
	PlatformPerSec float64 `json:"platform-calls-per-s"`
}

// NewCost returns the average cost of the instances from their usage before and
// after a measurement. It leaves out instances that did not answer before it or
// that restarted, and returns nil if none is left.
func NewCost(before, after []instance.Cost, duration time.Duration) *Cost {
	var total instance.Cost
	n := 0
	for i := range before {
		restarted := after[i].CPUSeconds < before[i].CPUSeconds || after[i].PeerBytes < before[i].PeerBytes
		if restarted || before[i].CPUSeconds == 0 {
			continue
		}
		n++
		total.CPUSeconds += after[i].CPUSeconds - before[i].CPUSeconds
		total.Attempts += after[i].Attempts - before[i].Attempts
		total.PeerBytes += after[i].PeerBytes - before[i].PeerBytes
		total.PlatformCalls += after[i].PlatformCalls - before[i].PlatformCalls
		total.ResidentBytes += after[i].ResidentBytes
	}
	if n == 0 {
		return nil
	}
	seconds := duration.Seconds() * float64(n)
	return &Cost{
		CPUShare:      roundFigure(total.CPUSeconds / seconds),
		CPUPerAttempt: roundFigure(total.CPUSeconds / math.Max(1, total.Attempts) * 1e6),
		ResidentMB:    roundFigure(total.ResidentBytes / float64(n) / (1 << 20)),
		PeerBytesPerS: roundFigure(total.PeerBytes / seconds), AttemptsPerSec: roundFigure(total.Attempts / seconds),
		PlatformPerSec: roundFigure(total.PlatformCalls / seconds),
	}
}

// ClassFigures are the number of requests of one class and their latencies, in
// milliseconds.
type ClassFigures struct {
	Requests int     `json:"requests"`
	Refused  int     `json:"refused"`
	P50      float64 `json:"p50-ms"`
	P99      float64 `json:"p99-ms"`
}

// Result holds the figures of one run. Baseline is set once the run has been
// joined with that of the plain fan-out.
type Result struct {
	Name     string `json:"name"`
	Site     string `json:"site"`
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	Figures
	ExtraLoad           float64                 `json:"extra-load"`
	Unanswered          int                     `json:"cut"`
	MixedSnapshots      int                     `json:"mixed-snapshots"`
	FalseCoverage       int                     `json:"false-coverage"`
	ColdOverloads       int                     `json:"cold-overloads"`
	CrashedServers      int                     `json:"crashed-servers"`
	WorkAfterWithdrawal float64                 `json:"work-after-withdrawal-s"`
	WorkAfterDrain      float64                 `json:"work-after-drain-s"`
	FalseNotRun         int                     `json:"false-not-run"`
	DoubleRuns          int                     `json:"double-runs"`
	WrongAnswers        int                     `json:"wrong-answers"`
	RevertedChanges     int                     `json:"reverted-changes"`
	ConfigInForceDelay  float64                 `json:"config-in-force-s"`
	RecoveryS           float64                 `json:"recovery-s"`
	Classes             map[string]ClassFigures `json:"classes"`
	// Cost is the average cost of one instance.
	Cost *Cost `json:"cost"`
	// Refusals counts refused requests by reason and outcome.
	Refusals map[string]int `json:"refusals"`
	Baseline *Figures       `json:"baseline"`
}

// Trace is the stored data of a run: its result and the data of its plots.
type Trace struct {
	Result Result `json:"result"`
	// Latencies are the latencies of answered searches in milliseconds, sorted.
	Latencies []float64 `json:"latencies-ms"`
	// ColdArrivals are the calls that arrived at cold servers.
	ColdArrivals []ColdArrival `json:"cold"`
	Examples     []string      `json:"examples"`
}

// ColdArrival is one call that arrived at a cold server: the time since the
// start of the measurement, the calls in flight on the server and its limit.
type ColdArrival struct {
	Seconds   float64 `json:"s"`
	InFlight  uint32  `json:"in-flight"`
	ColdLimit uint32  `json:"bears"`
}

// Summarize computes the result of a run. Requests of the warm-up and
// non-idempotent requests are left out of the latencies, coverage and goodput.
func Summarize(name string, s *site.Site, seed uint64, records []*caller.Record, f *audit.Findings, measurementStart time.Time) Result {
	r := Result{
		Name: name, Site: s.Name, Seed: seed,
		ExtraLoad: roundFigure(f.ExtraLoad), Unanswered: f.Unanswered, MixedSnapshots: f.MixedSnapshots, FalseCoverage: f.FalseCoverage,
		ColdOverloads: f.ColdOverloads, CrashedServers: f.CrashedServers,
		WorkAfterWithdrawal: roundFigure(f.WorkAfterWithdrawal.Seconds()),
		WorkAfterDrain:      roundFigure(f.WorkAfterDrain.Seconds()), FalseNotRun: f.FalseNotRun,
		DoubleRuns: f.DoubleRuns, WrongAnswers: f.WrongAnswers, RevertedChanges: f.RevertedChanges,
		ConfigInForceDelay: roundFigure(f.ConfigInForceDelay.Seconds()), Classes: make(map[string]ClassFigures),
		Refusals: make(map[string]int),
	}
	overall := newHistogram()
	classes := make(map[string]*hdrhistogram.Histogram)
	r.CoverageMin = 1
	var coverageSum float64
	allShardsRequests := 0
	for _, rec := range records {
		if rec.WarmUp || rec.Execute {
			continue
		}
		r.Requests++
		c := r.Classes[rec.Class]
		c.Requests++
		if classes[rec.Class] == nil {
			classes[rec.Class] = newHistogram()
		}
		switch rec.EndState {
		case caller.Refused:
			r.Refused++
			c.Refused++
			r.Refusals[rec.Reason.String()+" "+rec.Outcome.String()]++
		case caller.Answered:
			recordLatency(overall, rec.Latency)
			recordLatency(classes[rec.Class], rec.Latency)
			if rec.AllShards {
				share := float64(rec.Summary.ShardsCovered) / math.Max(1, float64(rec.Summary.ShardsTotal))
				coverageSum += share
				allShardsRequests++
				r.CoverageMin = min(r.CoverageMin, share)
			}
		}
		r.Classes[rec.Class] = c
	}
	if allShardsRequests > 0 {
		r.CoverageMean = roundFigure(coverageSum / float64(allShardsRequests))
	}
	r.P50, r.P99, r.P999 = percentileMillis(overall, 50), percentileMillis(overall, 99), percentileMillis(overall, 99.9)
	for name, h := range classes {
		c := r.Classes[name]
		c.P50, c.P99 = percentileMillis(h, 50), percentileMillis(h, 99)
		r.Classes[name] = c
	}
	r.Goodput = goodput(s, records, measurementStart)
	return r
}

// goodput returns the number of shards requested in searches that were answered
// within their deadline, divided by the number that could have been answered.
// The latter is, for each service and second, the smaller of the shards requested
// and the capacity of the servers; load beyond the capacity of one second is not
// carried over to the next.
func goodput(s *site.Site, records []*caller.Record, measurementStart time.Time) float64 {
	type serviceSecond struct {
		service string
		second  int
	}
	shards := make(map[string]float64)
	capacity := make(map[string]float64)
	for _, g := range s.Groups {
		meanSeconds := time.Duration(g.ServiceTime).Seconds() * math.Exp(serviceTimeSigma*serviceTimeSigma/2)
		for _, name := range g.ServiceNames() {
			shards[name] = float64(g.Shards)
			capacity[name] = float64(g.Servers) * float64(g.Slots) / meanSeconds
		}
	}
	requested := make(map[serviceSecond]float64)
	var answered, answerable float64
	for _, rec := range records {
		if rec.WarmUp || rec.Execute {
			continue
		}
		for _, name := range rec.Services {
			requested[serviceSecond{name, int(rec.Start.Sub(measurementStart) / time.Second)}] += shards[name]
			if rec.IsInTime() {
				answered += shards[name]
			}
		}
	}
	for key, n := range requested {
		answerable += min(n, capacity[key.service])
	}
	if answerable == 0 {
		return 0
	}
	return roundFigure(min(1, answered/answerable))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	us := min(max(1, latency.Microseconds()), maxLatencyMicros)
	if err := h.RecordValue(us); err != nil {
		return
	}
}

// percentileMillis returns a percentile of the latencies in milliseconds, or 0 if
// there are none.
func percentileMillis(h *hdrhistogram.Histogram, percent float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return roundFigure(float64(h.ValueAtQuantile(percent)) / 1000)
}

func roundFigure(value float64) float64 {
	const scale = 10000
	return math.Round(value*scale) / scale
}

// RecoveryTime returns the time from a fault to the end of the last one-second
// window whose 99th percentile of latency exceeds factor times that before the
// fault, or 0 if none does. Requests are assigned to windows by their start; only the first 60
// windows are considered.
func RecoveryTime(records []*caller.Record, faultTime time.Time, factor float64) time.Duration {
	const window = time.Second
	before := newHistogram()
	var after [60]*hdrhistogram.Histogram
	lastWindow := 0
	for _, rec := range records {
		if rec.WarmUp || rec.Execute || rec.EndState != caller.Answered {
			continue
		}
		i := int(rec.Start.Sub(faultTime) / window)
		switch {
		case rec.Start.Before(faultTime):
			recordLatency(before, rec.Latency)
		case i < len(after):
			if after[i] == nil {
				after[i] = newHistogram()
			}
			recordLatency(after[i], rec.Latency)
			lastWindow = max(lastWindow, i)
		}
	}
	for i := lastWindow; i >= 0; i-- {
		if after[i] != nil && percentileMillis(after[i], 99) > factor*percentileMillis(before, 99) {
			return time.Duration(i+1) * window
		}
	}
	return 0
}

// compareLatencies orders latencies from short to long.
func compareLatencies(a, b float64) int { return cmp.Compare(a, b) }
