package suspect

import (
	"slices"
	"time"

	"lentilward.org/lentilward/blackboard"
)

// maxLostServers bounds the lost servers that are kept of each request.
const maxLostServers = 8

// Report is what an instance tells others about a suspect request. Times are given as ages,
// since clocks differ; 0 stands for a time that is not set.
type Report struct {
	Fingerprint uint64        `cbor:"fingerprint"`
	Lost        []LostReport  `cbor:"lost-servers,omitempty"`
	Ran         time.Duration `cbor:"ran,omitempty"`
	RunID       uint64        `cbor:"run-id,omitempty"`
	Proven      bool          `cbor:"proven,omitempty"`
	Refused     time.Duration `cbor:"refused,omitempty"`
	Trials      int           `cbor:"trials,omitempty"`
	Trial       time.Duration `cbor:"trial,omitempty"`
	FromStore   bool          `cbor:"from-store,omitempty"`
}

// LostReport is a lost server in a Report.
type LostReport struct {
	Process uint64        `cbor:"process"`
	Request uint64        `cbor:"request"`
	Age     time.Duration `cbor:"age"`
}

func newReport(r blackboard.SuspectRequest, now time.Time) Report {
	report := Report{
		Fingerprint: r.Fingerprint, Ran: ageOf(r.RanAt, now), RunID: r.RunID, Proven: r.Proven, Refused: ageOf(r.RefusedAt, now),
		Trials: r.Trials, Trial: ageOf(r.TrialAt, now), FromStore: r.FromStore,
	}
	for _, l := range r.Lost {
		report.Lost = append(report.Lost, LostReport{l.Process, l.Request, ageOf(l.At, now)})
	}
	return report
}

func (r Report) toRequest(now time.Time) blackboard.SuspectRequest {
	request := blackboard.SuspectRequest{
		Fingerprint: r.Fingerprint, RanAt: timeOf(r.Ran, now), RunID: r.RunID, Proven: r.Proven, RefusedAt: timeOf(r.Refused, now),
		Trials: r.Trials, TrialAt: timeOf(r.Trial, now), FromStore: r.FromStore,
	}
	for _, l := range r.Lost {
		request.Lost = append(request.Lost, blackboard.LostServer{Process: l.Process, Request: l.Request, At: timeOf(max(1, l.Age), now)})
	}
	return request
}

func ageOf(at, now time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return max(1, now.Sub(at))
}

func timeOf(age time.Duration, now time.Time) time.Time {
	if age <= 0 {
		return time.Time{}
	}
	return now.Add(-age)
}

// merge returns what is known of a request from two sources. A run that went well ends all
// suspicion from before it; a server that both lost counts once. Each report adds the time
// that it has taken to the times in it, so of two for one event the earlier one is right.
func merge(a, b blackboard.SuspectRequest) blackboard.SuspectRequest {
	a, b = withoutStale(a, b), withoutStale(b, a)
	merged := blackboard.SuspectRequest{Fingerprint: b.Fingerprint, Proven: a.Proven || b.Proven}
	merged.RanAt, merged.RunID = a.RanAt, a.RunID
	if isSame := a.RunID == b.RunID; isSame && b.RanAt.Before(a.RanAt) || !isSame && b.RanAt.After(a.RanAt) {
		merged.RanAt, merged.RunID = b.RanAt, b.RunID
	}
	merged.Lost = mergeLost(a.Lost, b.Lost, merged.RanAt)
	for _, r := range []blackboard.SuspectRequest{a, b} {
		if r.RefusedAt.After(merged.RanAt) && (merged.RefusedAt.IsZero() || r.RefusedAt.Before(merged.RefusedAt)) {
			merged.RefusedAt = r.RefusedAt
		}
		if r.TrialAt.After(merged.RanAt) && (r.Trials > merged.Trials || r.Trials == merged.Trials && r.TrialAt.Before(merged.TrialAt)) {
			merged.Trials, merged.TrialAt = r.Trials, r.TrialAt
		}
	}
	merged.FromStore = merged.IsRefused() && (a.FromStore || !a.IsRefused()) && (b.FromStore || !b.IsRefused())
	return merged
}

// withoutStale returns r without a refusal that only the store's record speaks for, if the
// other source knows that the request has run well and is not refused: the store may have
// come back from a copy from before that.
func withoutStale(r, other blackboard.SuspectRequest) blackboard.SuspectRequest {
	if r.FromStore && !other.RanAt.IsZero() && !other.IsRefused() {
		r.RefusedAt, r.Trials, r.TrialAt, r.FromStore = time.Time{}, 0, time.Time{}, false
	}
	return r
}

// mergeLost returns the latest of the servers that were lost after a run that went well.
func mergeLost(a, b []blackboard.LostServer, ranAt time.Time) []blackboard.LostServer {
	var lost []blackboard.LostServer
	for _, l := range slices.Concat(a, b) {
		i := slices.IndexFunc(lost, func(other blackboard.LostServer) bool { return other.Process == l.Process })
		switch {
		case !l.At.After(ranAt):
		case i < 0:
			lost = append(lost, l)
		case l.At.Before(lost[i].At):
			lost[i].At = l.At
		}
	}
	slices.SortFunc(lost, func(x, y blackboard.LostServer) int { return x.At.Compare(y.At) })
	return lost[max(0, len(lost)-maxLostServers):]
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
