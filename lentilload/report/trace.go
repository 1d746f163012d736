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

// NewTrace collects what plots need.
func NewTrace(r Result, records []*caller.Record, ledger []*standpb.LedgerEntry, begin time.Time, examples []string) *Trace {
	t := &Trace{Result: r, Examples: examples}
	for _, x := range records {
		if !x.WarmUp && !x.Execute && x.End == caller.Answered {
			t.Latencies = append(t.Latencies, float64(x.Took.Microseconds())/1000)
		}
	}
	slices.SortFunc(t.Latencies, byValue)
	for _, e := range audit.ColdLoad(ledger) {
		t.Cold = append(t.Cold, ColdPoint{
			Seconds: time.UnixMicro(e.StartUs).Sub(begin).Seconds(), InFlight: e.InFlight, Bears: e.Bears,
		})
	}
	return t
}

// Write stores a trace.
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

// ReadTrace reads a stored trace.
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
