package audit

import (
	"fmt"
	"strings"

	"lentilward.org/lentilload/caller"
	"lentilward.org/lentilstand/corpus"
	"lentilward.org/schema/callerpb"
)

// checkAnswer compares the matches of an answer with the corpus of the services at
// the versions stated in the answer, and the stated coverage with the ledger.
func (f *Findings) checkAnswer(r *caller.Record, runs *requestRuns) {
	if r.FrameError != "" {
		f.WrongAnswers++
		f.addExample("malformed answer: " + r.ID + ": " + r.FrameError)
		return
	}
	byService := make(map[string][]caller.Match)
	for _, m := range r.Matches {
		byService[m.Service] = append(byService[m.Service], m)
	}
	var covered, total uint32
	for _, s := range r.Summary.Services {
		total += s.Shards
		covered += s.Shards - uint32(len(s.Missing))
		f.checkService(r, runs, s, byService[s.Service])
		delete(byService, s.Service)
	}
	if len(byService) > 0 || len(r.Summary.Services) != len(r.Services) {
		f.WrongAnswers++
		f.addExample("answer covers other services than requested: " + r.ID)
	}
	if covered != r.Summary.ShardsCovered || total != r.Summary.ShardsTotal {
		f.FalseCoverage++
		f.addExample("coverage is not the sum over the services: " + r.ID)
	}
}

// checkService checks the matches and the coverage of one service in an answer.
func (f *Findings) checkService(r *caller.Record, runs *requestRuns, s *callerpb.ServiceCoverage, matches []caller.Match) {
	missing := make(map[uint32]bool)
	for _, shard := range s.Missing {
		missing[shard] = true
	}
	ranShards := runs.shardCounts[versionKey{s.Service, s.Version}]
	if ranShards != s.Shards && len(missing) < int(s.Shards) {
		f.FalseCoverage++
		f.addExample(fmt.Sprintf("wrong number of shards: %s: %s ran with %d, answer states %d", r.ID, s.Service, ranShards, s.Shards))
	}
	for shard := range s.Shards {
		if !missing[shard] && runs.runsPerShard[shardKey{s.Service, s.Version, shard}] == 0 {
			f.FalseCoverage++
			f.addExample(fmt.Sprintf("false coverage: %s: %s shard %d is stated as covered but did not run", r.ID, s.Service, shard))
			return
		}
	}
	expected := make(map[uint64]bool)
	for _, match := range corpus.Matches(s.Service, s.Version, r.Query) {
		if s.Shards > 0 && !missing[corpus.ShardOf(match.ID, s.Shards)] {
			expected[match.ID] = true
		}
	}
	textPrefix := fmt.Sprintf("%s@%d#", s.Service, s.Version)
	for _, m := range matches {
		if !strings.HasPrefix(m.Text, textPrefix) {
			f.MixedSnapshots++
			f.addExample(fmt.Sprintf("mixed snapshot: %s: match %s in an answer of %s", r.ID, m.Text, textPrefix))
			return
		}
		if !expected[m.Record] {
			f.WrongAnswers++
			f.addExample(fmt.Sprintf("wrong or repeated match: %s: %s", r.ID, m.Text))
			return
		}
		delete(expected, m.Record)
	}
	if len(expected) > 0 {
		f.WrongAnswers++
		f.addExample(fmt.Sprintf("missing matches: %s: %s lacks %d", r.ID, s.Service, len(expected)))
	}
}
