// Package report turns what an experiment saw into figures, tables and plots.
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
	// Histograms hold times from 1 µs to 1 min with 3 digits.
	largestTime = int64(time.Minute / time.Microsecond)
	digits      = 3
	// standSpread is the standard deviation of the logarithm of the
	// stand-ins' service times.
	standSpread = 0.25
)

// Figures are latency, coverage, goodput and refusals of one run.
type Figures struct {
	P50          float64 `json:"p50-ms"`
	P99          float64 `json:"p99-ms"`
	P999         float64 `json:"p999-ms"`
	CoverageMean float64 `json:"coverage-mean"`
	CoverageMin  float64 `json:"coverage-min"`
	Goodput      float64 `json:"goodput"`
	Refused      int     `json:"refused"`
}

// Cost is what an instance used during the measurement.
type Cost struct {
	CPUShare       float64 `json:"cpu-share"`
	CPUPerAttempt  float64 `json:"cpu-per-attempt-us"`
	ResidentMB     float64 `json:"resident-mb"`
	PeerBytesPerS  float64 `json:"peer-bytes-per-s"`
	AttemptsPerSec float64 `json:"attempts-per-s"`
	PlatformPerSec float64 `json:"platform-calls-per-s"`
}

// NewCost compares what instances had used before and after a time.
func NewCost(before, after []instance.Cost, d time.Duration) *Cost {
	var used instance.Cost
	n := 0
	for i := range before {
		restarted := after[i].CPUSeconds < before[i].CPUSeconds || after[i].PeerBytes < before[i].PeerBytes
		if restarted || before[i].CPUSeconds == 0 {
			continue
		}
		n++
		used.CPUSeconds += after[i].CPUSeconds - before[i].CPUSeconds
		used.Attempts += after[i].Attempts - before[i].Attempts
		used.PeerBytes += after[i].PeerBytes - before[i].PeerBytes
		used.PlatformCalls += after[i].PlatformCalls - before[i].PlatformCalls
		used.ResidentBytes += after[i].ResidentBytes
	}
	if n == 0 {
		return nil
	}
	seconds := d.Seconds() * float64(n)
	return &Cost{
		CPUShare:      round(used.CPUSeconds / seconds),
		CPUPerAttempt: round(used.CPUSeconds / math.Max(1, used.Attempts) * 1e6),
		ResidentMB:    round(used.ResidentBytes / float64(n) / (1 << 20)),
		PeerBytesPerS: round(used.PeerBytes / seconds), AttemptsPerSec: round(used.Attempts / seconds),
		PlatformPerSec: round(used.PlatformCalls / seconds),
	}
}

// ClassFigures are latencies of one class, in milliseconds.
type ClassFigures struct {
	Requests int     `json:"requests"`
	Refused  int     `json:"refused"`
	P50      float64 `json:"p50-ms"`
	P99      float64 `json:"p99-ms"`
}

// Result is the outcome of one run, or of an experiment once its baseline is
// filled in.
type Result struct {
	Name     string `json:"name"`
	Site     string `json:"site"`
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	Figures
	ExtraLoad           float64                 `json:"extra-load"`
	Cut                 int                     `json:"cut"`
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
	ConfigInForce       float64                 `json:"config-in-force-s"`
	RecoveryS           float64                 `json:"recovery-s"`
	Classes             map[string]ClassFigures `json:"classes"`
	// Cost is what one instance used on average.
	Cost *Cost `json:"cost"`
	// Refusals counts them by reason and outcome.
	Refusals map[string]int `json:"refusals"`
	Baseline *Figures       `json:"baseline"`
}

// Trace is what plots need besides the figures.
type Trace struct {
	Result Result `json:"result"`
	// Latencies are those of answers, in milliseconds, sorted.
	Latencies []float64 `json:"latencies-ms"`
	// Cold are arrivals at cold servers.
	Cold     []ColdPoint `json:"cold"`
	Examples []string    `json:"examples"`
}

// ColdPoint is one arrival at a cold server.
type ColdPoint struct {
	Seconds  float64 `json:"s"`
	InFlight uint32  `json:"in-flight"`
	Bears    uint32  `json:"bears"`
}

// Summarize computes the result of a run.
func Summarize(name string, s *site.Site, seed uint64, records []*caller.Record, f *audit.Findings, begin time.Time) Result {
	r := Result{
		Name: name, Site: s.Name, Seed: seed,
		ExtraLoad: round(f.ExtraLoad), Cut: f.Cut, MixedSnapshots: f.MixedSnapshots, FalseCoverage: f.FalseCoverage,
		ColdOverloads: f.ColdOverloads, CrashedServers: f.CrashedServers,
		WorkAfterWithdrawal: round(f.WorkAfterWithdrawal.Seconds()),
		WorkAfterDrain:      round(f.WorkAfterDrain.Seconds()), FalseNotRun: f.FalseNotRun,
		DoubleRuns: f.DoubleRuns, WrongAnswers: f.WrongAnswers, RevertedChanges: f.RevertedChanges,
		ConfigInForce: round(f.ConfigInForce.Seconds()), Classes: make(map[string]ClassFigures),
		Refusals: make(map[string]int),
	}
	all := newHistogram()
	classes := make(map[string]*hdrhistogram.Histogram)
	r.CoverageMin = 1
	var coverage float64
	asked := 0
	for _, x := range records {
		if x.WarmUp || x.Execute {
			continue
		}
		r.Requests++
		c := r.Classes[x.Class]
		c.Requests++
		if classes[x.Class] == nil {
			classes[x.Class] = newHistogram()
		}
		switch x.End {
		case caller.Refused:
			r.Refused++
			c.Refused++
			r.Refusals[x.Reason.String()+" "+x.Outcome.String()]++
		case caller.Answered:
			record(all, x.Took)
			record(classes[x.Class], x.Took)
			if x.All {
				share := float64(x.Summary.ShardsCovered) / math.Max(1, float64(x.Summary.ShardsTotal))
				coverage += share
				asked++
				r.CoverageMin = min(r.CoverageMin, share)
			}
		}
		r.Classes[x.Class] = c
	}
	if asked > 0 {
		r.CoverageMean = round(coverage / float64(asked))
	}
	r.P50, r.P99, r.P999 = quantile(all, 50), quantile(all, 99), quantile(all, 99.9)
	for name, h := range classes {
		c := r.Classes[name]
		c.P50, c.P99 = quantile(h, 50), quantile(h, 99)
		r.Classes[name] = c
	}
	r.Goodput = goodput(s, records, begin)
	return r
}

// goodput is the number of shards in answers within their deadline over the
// smaller of what was asked and what the servers could run, over all services.
// What was asked in one second can be run in that second only.
func goodput(s *site.Site, records []*caller.Record, begin time.Time) float64 {
	type window struct {
		service string
		second  int
	}
	shards := make(map[string]float64)
	could := make(map[string]float64)
	for _, g := range s.Groups {
		mean := time.Duration(g.ServiceTime).Seconds() * math.Exp(standSpread*standSpread/2)
		for _, name := range g.ServiceNames() {
			shards[name] = float64(g.Shards)
			could[name] = float64(g.Servers) * float64(g.Slots) / mean
		}
	}
	asked := make(map[window]float64)
	var done, possible float64
	for _, x := range records {
		if x.WarmUp || x.Execute {
			continue
		}
		for _, name := range x.Services {
			asked[window{name, int(x.Begin.Sub(begin) / time.Second)}] += shards[name]
			if x.InTime() {
				done += shards[name]
			}
		}
	}
	for w, n := range asked {
		possible += min(n, could[w.service])
	}
	if possible == 0 {
		return 0
	}
	return round(min(1, done/possible))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, largestTime, digits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(1, d.Microseconds()), largestTime)
	if err := h.RecordValue(us); err != nil {
		return
	}
}

// quantile returns a percentile in milliseconds.
func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return round(float64(h.ValueAtQuantile(percent)) / 1000)
}

func round(x float64) float64 {
	const unit = 10000
	return math.Round(x*unit) / unit
}

// Recovery is the time after a moment until the 99th percentile of requests
// begun in a window is back within a factor of what it was before.
func Recovery(records []*caller.Record, moment time.Time, factor float64) time.Duration {
	const window = time.Second
	before := newHistogram()
	var after [60]*hdrhistogram.Histogram
	last := 0
	for _, x := range records {
		if x.WarmUp || x.Execute || x.End != caller.Answered {
			continue
		}
		i := int(x.Begin.Sub(moment) / window)
		switch {
		case x.Begin.Before(moment):
			record(before, x.Took)
		case i < len(after):
			if after[i] == nil {
				after[i] = newHistogram()
			}
			record(after[i], x.Took)
			last = max(last, i)
		}
	}
	for i := last; i >= 0; i-- {
		if after[i] != nil && quantile(after[i], 99) > factor*quantile(before, 99) {
			return time.Duration(i+1) * window
		}
	}
	return 0
}

// byValue orders latencies.
func byValue(a, b float64) int { return cmp.Compare(a, b) }
