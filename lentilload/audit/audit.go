// Package audit checks the guarantees of the system by comparing the results
// that callers received with the ledger of the stand-ins.
package audit

import (
	"time"

	"lentilward.org/lentilload/caller"
	"lentilward.org/lentilload/operator"
	"lentilward.org/schema/callerpb"
	"lentilward.org/schema/operatorpb"
	"lentilward.org/schema/standpb"
)

// Evidence is the data of one run that the audit uses.
type Evidence struct {
	Records   []*caller.Record
	Ledger    []*standpb.LedgerEntry
	Servers   []*standpb.Server
	Accepted  []operator.AcceptedChange
	Configs   []*operatorpb.GetConfigReply
	Histories [][]*operatorpb.HistoryEntry
}

// Findings counts the violations of guarantees in a run, and contains the measured
// delays and the extra load.
type Findings struct {
	MixedSnapshots      int
	FalseCoverage       int
	ColdOverloads       int
	CrashedServers      int
	WorkAfterWithdrawal time.Duration
	WorkAfterDrain      time.Duration
	FalseNotRun         int
	DoubleRuns          int
	WrongAnswers        int
	RevertedChanges     int
	ConfigInForceDelay  time.Duration
	Unanswered          int
	ExtraLoad           float64
	// Examples describes the first maxExamples violations.
	Examples []string
}

const maxExamples = 20

// shardKey identifies one shard of one version of a service.
type shardKey struct {
	service string
	version uint64
	shard   uint32
}

// versionKey identifies one version of a service.
type versionKey struct {
	service string
	version uint64
}

// requestRuns summarizes the ledger entries of one request.
type requestRuns struct {
	runsPerShard map[shardKey]int
	runs         int
	executeRuns  int
	// firstStartMicros is when the first run started, in microseconds since 1970.
	firstStartMicros int64
	// shardCounts is the number of shards of each version that ran.
	shardCounts map[versionKey]uint32
}

// Check audits a run and returns the violations found.
func Check(e *Evidence) *Findings {
	f := &Findings{}
	byRequest := indexByRequest(e.Ledger)
	sends := make(map[string]int)
	for _, r := range e.Records {
		sends[r.ID]++
	}
	for _, r := range e.Records {
		runs := byRequest[r.ID]
		if runs == nil {
			runs = &requestRuns{}
		}
		f.checkRecord(r, runs, sends[r.ID])
	}
	f.checkDoubleRuns(byRequest)
	f.checkServers(e)
	f.checkWithdrawals(e)
	f.checkChanges(e)
	f.ExtraLoad = extraLoad(e.Records, byRequest)
	return f
}

// indexByRequest groups the ledger by request id. It leaves out calls that
// were refused, or cancelled before they ran.
func indexByRequest(ledger []*standpb.LedgerEntry) map[string]*requestRuns {
	byRequest := make(map[string]*requestRuns)
	for _, e := range ledger {
		runs := byRequest[e.RequestId]
		if runs == nil {
			runs = &requestRuns{runsPerShard: make(map[shardKey]int), shardCounts: make(map[versionKey]uint32)}
			byRequest[e.RequestId] = runs
		}
		// An entry without a result may still be running.
		if e.Result != "ran" && e.Result != "crashed" && e.Result != "" {
			continue
		}
		if runs.runs == 0 || e.StartUs < runs.firstStartMicros {
			runs.firstStartMicros = e.StartUs
		}
		runs.runs++
		if e.Execute {
			runs.executeRuns++
			continue
		}
		runs.runsPerShard[shardKey{e.Service, e.Version, e.Shard}]++
		runs.shardCounts[versionKey{e.Service, e.Version}] = e.ShardCount
	}
	return byRequest
}

func (f *Findings) addExample(text string) {
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, text)
	}
}

func (f *Findings) checkRecord(r *caller.Record, runs *requestRuns, sends int) {
	switch r.EndState {
	case caller.Unanswered:
		f.Unanswered++
		f.addExample("unanswered: " + r.ID + ": " + r.Message)
	case caller.Refused:
		// If the request was sent more than once, a run that started after this
		// refusal belongs to another send.
		ran := runs.runs > 0 && (sends == 1 || runs.firstStartMicros <= r.Start.Add(r.Latency).UnixMicro())
		if r.Outcome == callerpb.Outcome_OUTCOME_NOT_RUN && ran {
			f.FalseNotRun++
			f.addExample("false not-run: " + r.ID + ": " + r.Message)
		}
	case caller.Answered:
		if !r.Execute {
			f.checkAnswer(r, runs)
		}
	}
}

// checkDoubleRuns counts the repeated runs of non-idempotent requests.
func (f *Findings) checkDoubleRuns(byRequest map[string]*requestRuns) {
	for id, runs := range byRequest {
		if runs.executeRuns > 1 {
			f.DoubleRuns += runs.executeRuns - 1
			f.addExample("double run: " + id)
		}
	}
}

// extraLoad returns the number of repeated shard runs, for example by hedges and
// retries, per shard that ran. Non-idempotent requests are left out.
func extraLoad(records []*caller.Record, byRequest map[string]*requestRuns) float64 {
	needed, extra := 0, 0
	for _, r := range records {
		runs := byRequest[r.ID]
		if r.WarmUp || r.Execute || runs == nil {
			continue
		}
		needed += len(runs.runsPerShard)
		extra += runs.runs - len(runs.runsPerShard)
	}
	if needed == 0 {
		return 0
	}
	return float64(extra) / float64(needed)
}
