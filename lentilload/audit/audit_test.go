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

// evidence is a run in which one search over 3 shards was answered well.
func evidence() *Evidence {
	r := &caller.Record{
		ID: "a", Services: []string{service}, Query: query, All: true, End: caller.Answered,
		Summary: &callerpb.Summary{
			ShardsTotal: shards, ShardsCovered: shards,
			Services: []*callerpb.ServiceCoverage{{Service: service, Version: 1, Shards: shards}},
		},
	}
	for _, x := range corpus.Matches(service, 1, query) {
		r.Matches = append(r.Matches, caller.Match{Service: service, Shard: corpus.ShardOf(x.ID, shards), Record: x.ID, Text: x.Text})
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

func TestAudit(t *testing.T) {
	convey.Convey("A run that kept every promise", t, func() {
		e := evidence()
		convey.So(*Check(e), convey.ShouldResemble, Findings{})
	})
	convey.Convey("A request that was refused as not-run may run when it is sent again", t, func() {
		e := evidence()
		e.Records[0].End, e.Records[0].Outcome = caller.Refused, callerpb.Outcome_OUTCOME_NOT_RUN
		e.Records[0].Begin = start.Add(-time.Second)
		e.Records = append(e.Records, &caller.Record{ID: "a", Execute: true, End: caller.Answered})
		convey.So(Check(e).FalseNotRun, convey.ShouldEqual, 0)
	})
	convey.Convey("A request may be pinned anew to a version with other shards", t, func() {
		e := evidence()
		for shard := range uint32(shards + 1) {
			e.Ledger = append(e.Ledger, &standpb.LedgerEntry{
				RequestId: "a", Service: service, Version: 2, Shard: shard, ShardCount: shards + 1, Result: "ran",
				DataCentre: "north", StartUs: start.UnixMicro(), InFlight: 1, Bears: 1,
			})
		}
		convey.So(Check(e).FalseCoverage, convey.ShouldEqual, 0)
	})
	for name, c := range map[string]struct {
		spoil func(e *Evidence)
		count func(f *Findings) int
	}{
		"a match of another version": {
			func(e *Evidence) { e.Records[0].Matches[0].Text = service + "@2#0" },
			func(f *Findings) int { return f.MixedSnapshots },
		},
		"a match that is missing": {
			func(e *Evidence) { e.Records[0].Matches = e.Records[0].Matches[1:] },
			func(f *Findings) int { return f.WrongAnswers },
		},
		"a match that stands twice": {
			func(e *Evidence) {
				e.Records[0].Matches = append(e.Records[0].Matches, e.Records[0].Matches[0])
			},
			func(f *Findings) int { return f.WrongAnswers },
		},
		"a shard stated as covered that did not run": {
			func(e *Evidence) { e.Ledger = e.Ledger[1:] },
			func(f *Findings) int { return f.FalseCoverage },
		},
		"a number of shards that is not the version's": {
			func(e *Evidence) { e.Ledger[2].ShardCount = shards + 1 },
			func(f *Findings) int { return f.FalseCoverage },
		},
		"a refusal that says not-run of what ran": {
			func(e *Evidence) {
				e.Records[0].End, e.Records[0].Outcome = caller.Refused, callerpb.Outcome_OUTCOME_NOT_RUN
			},
			func(f *Findings) int { return f.FalseNotRun },
		},
		"a refusal that says not-run of what ran before it, though it was sent again": {
			func(e *Evidence) {
				e.Records[0].End, e.Records[0].Outcome = caller.Refused, callerpb.Outcome_OUTCOME_NOT_RUN
				e.Records[0].Begin = start
				e.Records = append(e.Records, &caller.Record{ID: "a", Execute: true, End: caller.Answered})
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
		"a cold server with more than it bears": {
			func(e *Evidence) { e.Ledger[0].Cold, e.Ledger[0].InFlight = true, 2 },
			func(f *Findings) int { return f.ColdOverloads },
		},
		"a request without an end": {
			func(e *Evidence) { e.Records[0].End = caller.Cut },
			func(f *Findings) int { return f.Cut },
		},
		"work after a withdrawal": {
			func(e *Evidence) {
				e.Accepted = []operator.Accepted{{DataCentre: "north", Withdrawn: true, Time: start.Add(-4 * time.Second)}}
			},
			func(f *Findings) int { return int(f.WorkAfterWithdrawal / time.Second) },
		},
		"an accepted change that is gone": {
			func(e *Evidence) {
				e.Accepted = []operator.Accepted{{ID: "x", Revision: 1}}
				e.History = [][]*operatorpb.HistoryEntry{{{Revision: 1, ChangeId: "y"}}}
			},
			func(f *Findings) int { return f.RevertedChanges },
		},
	} {
		convey.Convey("The audit finds "+name, t, func() {
			e := evidence()
			c.spoil(e)
			convey.So(c.count(Check(e)), convey.ShouldBeGreaterThan, 0)
		})
	}
}
