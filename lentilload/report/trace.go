package report

import (
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilward.org/lentilload/audit"
	"lentilward.org/lentilload/caller"
	"lentilward.org/schema/standpb"
)

// NewTrace returns the trace of a run, with times relative to the start of the
// measurement.
func NewTrace(r Result, records []*caller.Record, ledger []*standpb.LedgerEntry, measurementStart time.Time, examples []string) *Trace {
	t := &Trace{Result: r, Examples: examples}
	for _, rec := range records {
		if !rec.WarmUp && !rec.Execute && rec.EndState == caller.Answered {
			t.Latencies = append(t.Latencies, float64(rec.Latency.Microseconds())/1000)
		}
	}
	slices.SortFunc(t.Latencies, compareLatencies)
	for _, e := range audit.ColdArrivals(ledger) {
		t.ColdArrivals = append(t.ColdArrivals, ColdArrival{
			Seconds: time.UnixMicro(e.StartUs).Sub(measurementStart).Seconds(), InFlight: e.InFlight, ColdLimit: e.Bears,
		})
	}
	return t
}

// Write stores the trace as JSON in the file at path.
func (t *Trace) Write(path string) error {
	data, err := json.Marshal(t)
	if err != nil {
		return merry.Wrap(err)
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return merry.Wrap(err)
	}
	return nil
}

// ReadTrace reads a trace that Write stored. It fails if the file is missing or
// malformed.
func ReadTrace(path string) (*Trace, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	var t Trace
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, merry.Prepend(err, path)
	}
	return &t, nil
}
