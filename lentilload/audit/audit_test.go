package audit

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"lentilward.org/lentilload/caller"
	"lentilward.org/lentilload/operator"
	"lentilward.org/lentilstand/corpus"
	"lentilward.org/schema/callerpb"
	"lentilward.org/schema/operatorpb"
	"lentilward.org/schema/standpb"
)

const (
	service = "desk"
	query   = "meter 1"
	shards  = 3
)

var start = time.Unix(1000, 0)

// validEvidence returns a run in which one search over 3 shards was answered
// correctly.
func validEvidence() *Evidence {
	r := &caller.Record{
		ID: "a", Services: []string{service}, Query: query, AllShards: true, EndState: caller.Answered,
		Summary: &callerpb.Summary{
			ShardsTotal: shards, ShardsCovered: shards,
			Services: []*callerpb.ServiceCoverage{{Service: service, Version: 1, Shards: shards}},
		},
	}
	for _, match := range corpus.Matches(service, 1, query) {
		r.Matches = append(r.Matches, caller.Match{Service: service, Shard: corpus.ShardOf(match.ID, shards), Record: match.ID, Text: match.Text})
	}
	e := &Evidence{Records: []*caller.Record{r}}
	for shard := range uint32(shards) {
		e.Ledger = append(e.Ledger, &standpb.LedgerEntry{
			RequestId: "a", Service: service, Version: 1, Shard: shard, ShardCount: shards, Result: "ran",
			DataCentre: "north", StartUs: start.UnixMicro(), InFlight: 1, Bears: 1,
		})
	}
	return e
}

func TestCheckCountsViolations(t *testing.T) {
	convey.Convey("The audit of a run without violations has no findings", t, func() {
		e := validEvidence()
		convey.So(*Check(e), convey.ShouldResemble, Findings{})
	})
	convey.Convey("A run after a not-run refusal is no violation if the request was sent again", t, func() {
		e := validEvidence()
		e.Records[0].EndState, e.Records[0].Outcome = caller.Refused, callerpb.Outcome_OUTCOME_NOT_RUN
		e.Records[0].Start = start.Add(-time.Second)
		e.Records = append(e.Records, &caller.Record{ID: "a", Execute: true, EndState: caller.Answered})
		convey.So(Check(e).FalseNotRun, convey.ShouldEqual, 0)
	})
	convey.Convey("A run of two versions with different shard counts is no false coverage", t, func() {
		e := validEvidence()
		for shard := range uint32(shards + 1) {
			e.Ledger = append(e.Ledger, &standpb.LedgerEntry{
				RequestId: "a", Service: service, Version: 2, Shard: shard, ShardCount: shards + 1, Result: "ran",
				DataCentre: "north", StartUs: start.UnixMicro(), InFlight: 1, Bears: 1,
			})
		}
		convey.So(Check(e).FalseCoverage, convey.ShouldEqual, 0)
	})
	for name, c := range map[string]struct {
		violate func(e *Evidence)
		count   func(f *Findings) int
	}{
		"a match of another version": {
			func(e *Evidence) { e.Records[0].Matches[0].Text = service + "@2#0" },
			func(f *Findings) int { return f.MixedSnapshots },
		},
		"a missing match": {
			func(e *Evidence) { e.Records[0].Matches = e.Records[0].Matches[1:] },
			func(f *Findings) int { return f.WrongAnswers },
		},
		"a repeated match": {
			func(e *Evidence) {
				e.Records[0].Matches = append(e.Records[0].Matches, e.Records[0].Matches[0])
			},
			func(f *Findings) int { return f.WrongAnswers },
		},
		"a shard that is stated as covered but did not run": {
			func(e *Evidence) { e.Ledger = e.Ledger[1:] },
			func(f *Findings) int { return f.FalseCoverage },
		},
		"a stated number of shards that differs from the version's": {
			func(e *Evidence) { e.Ledger[2].ShardCount = shards + 1 },
			func(f *Findings) int { return f.FalseCoverage },
		},
		"a not-run refusal of a request that ran": {
			func(e *Evidence) {
				e.Records[0].EndState, e.Records[0].Outcome = caller.Refused, callerpb.Outcome_OUTCOME_NOT_RUN
			},
			func(f *Findings) int { return f.FalseNotRun },
		},
		"a not-run refusal of a request that ran before the refusal and was sent again": {
			func(e *Evidence) {
				e.Records[0].EndState, e.Records[0].Outcome = caller.Refused, callerpb.Outcome_OUTCOME_NOT_RUN
				e.Records[0].Start = start
				e.Records = append(e.Records, &caller.Record{ID: "a", Execute: true, EndState: caller.Answered})
			},
			func(f *Findings) int { return f.FalseNotRun },
		},
		"a non-idempotent request that ran twice": {
			func(e *Evidence) {
				for range 2 {
					e.Ledger = append(e.Ledger, &standpb.LedgerEntry{RequestId: "b", Execute: true, Result: "ran"})
				}
			},
			func(f *Findings) int { return f.DoubleRuns },
		},
		"a cold server with more calls in flight than its limit": {
			func(e *Evidence) { e.Ledger[0].Cold, e.Ledger[0].InFlight = true, 2 },
			func(f *Findings) int { return f.ColdOverloads },
		},
		"an unanswered request": {
			func(e *Evidence) { e.Records[0].EndState = caller.Unanswered },
			func(f *Findings) int { return f.Unanswered },
		},
		"work after a withdrawal": {
			func(e *Evidence) {
				e.Accepted = []operator.AcceptedChange{{DataCentre: "north", Withdrawn: true, AcceptedAt: start.Add(-4 * time.Second)}}
			},
			func(f *Findings) int { return int(f.WorkAfterWithdrawal / time.Second) },
		},
		"an accepted change that is missing from the history": {
			func(e *Evidence) {
				e.Accepted = []operator.AcceptedChange{{ID: "x", Revision: 1}}
				e.Histories = [][]*operatorpb.HistoryEntry{{{Revision: 1, ChangeId: "y"}}}
			},
			func(f *Findings) int { return f.RevertedChanges },
		},
	} {
		convey.Convey("The audit finds "+name, t, func() {
			e := validEvidence()
			c.violate(e)
			convey.So(c.count(Check(e)), convey.ShouldBeGreaterThan, 0)
		})
	}
}
