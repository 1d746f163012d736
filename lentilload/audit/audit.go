// Package audit checks what the system promises, from what callers got and
// from the ledgers of the stand-ins.
package audit

import (
	"time"

	"lentilward.org/lentilload/caller"
	"lentilward.org/lentilload/operator"
	"lentilward.org/schema/callerpb"
	"lentilward.org/schema/operatorpb"
	"lentilward.org/schema/standpb"
)

// Evidence is all that was seen in one run.
type Evidence struct {
	Records  []*caller.Record
	Ledger   []*standpb.LedgerEntry
	Servers  []*standpb.Server
	Accepted []operator.Accepted
	Configs  []*operatorpb.GetConfigReply
	History  [][]*operatorpb.HistoryEntry
}

// Findings are the broken promises of a run, and figures on how it kept them.
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
	ConfigInForce       time.Duration
	Cut                 int
	ExtraLoad           float64
	// Examples describes the first findings.
	Examples []string
}

const maxExamples = 20

// shardKey names one shard of one service within a request.
type shardKey struct {
	service string
	version uint64
	shard   uint32
}

// versionKey names one version of a service.
type versionKey struct {
	service string
	version uint64
}

// calls are the ledger entries of one request.
type calls struct {
	ran     map[shardKey]int
	runs    int
	execute int
	// first is when the first run began, in microseconds since 1970.
	first int64
	// shards is the number of shards of each version that ran.
	shards map[versionKey]uint32
}

// Check audits a run.
func Check(e *Evidence) *Findings {
	f := &Findings{}
	byRequest := index(e.Ledger)
	sendings := make(map[string]int)
	for _, r := range e.Records {
		sendings[r.ID]++
	}
	for _, r := range e.Records {
		c := byRequest[r.ID]
		if c == nil {
			c = &calls{}
		}
		f.checkRecord(r, c, sendings[r.ID])
	}
	f.checkExecutes(byRequest)
	f.checkServers(e)
	f.checkWithdrawals(e)
	f.checkChanges(e)
	f.ExtraLoad = extraLoad(e.Records, byRequest)
	return f
}

// index sorts the ledger by request.
func index(ledger []*standpb.LedgerEntry) map[string]*calls {
	byRequest := make(map[string]*calls)
	for _, e := range ledger {
		c := byRequest[e.RequestId]
		if c == nil {
			c = &calls{ran: make(map[shardKey]int), shards: make(map[versionKey]uint32)}
			byRequest[e.RequestId] = c
		}
		// What has no end yet may be running.
		if e.Result != "ran" && e.Result != "crashed" && e.Result != "" {
			continue
		}
		if c.runs == 0 || e.StartUs < c.first {
			c.first = e.StartUs
		}
		c.runs++
		if e.Execute {
			c.execute++
			continue
		}
		c.ran[shardKey{e.Service, e.Version, e.Shard}]++
		c.shards[versionKey{e.Service, e.Version}] = e.ShardCount
	}
	return byRequest
}

func (f *Findings) example(text string) {
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, text)
	}
}

func (f *Findings) checkRecord(r *caller.Record, c *calls, sendings int) {
	switch r.End {
	case caller.Cut:
		f.Cut++
		f.example("cut: " + r.ID + ": " + r.Message)
	case caller.Refused:
		// What began after the refusal belongs to another sending, if there is one.
		ran := c.runs > 0 && (sendings == 1 || c.first <= r.Begin.Add(r.Took).UnixMicro())
		if r.Outcome == callerpb.Outcome_OUTCOME_NOT_RUN && ran {
			f.FalseNotRun++
			f.example("false not-run: " + r.ID + ": " + r.Message)
		}
	case caller.Answered:
		if !r.Execute {
			f.checkAnswer(r, c)
		}
	}
}

// checkExecutes counts non-idempotent requests that ran more than once.
func (f *Findings) checkExecutes(byRequest map[string]*calls) {
	for id, c := range byRequest {
		if c.execute > 1 {
			f.DoubleRuns += c.execute - 1
			f.example("double run: " + id)
		}
	}
}

// extraLoad is the share of runs beyond one per shard that was asked.
func extraLoad(records []*caller.Record, byRequest map[string]*calls) float64 {
	needed, extra := 0, 0
	for _, r := range records {
		c := byRequest[r.ID]
		if r.WarmUp || r.Execute || c == nil {
			continue
		}
		needed += len(c.ran)
		extra += c.runs - len(c.ran)
	}
	if needed == 0 {
		return 0
	}
	return float64(extra) / float64(needed)
}
