package rollout

import (
	"maps"
	"slices"
	"time"

	"lentilward.org/lentilward/rollout/verdict"
)

const (
	// spanLength is the length of the spans of time within which both versions are
	// compared.
	spanLength = 2 * time.Second
	// minSamples is the number of replies of the new version that suffice on a route and
	// in all; where a version that fails every fourth request gives 20 replies, one is bad
	// in 997 of 1000 cases. sampleShare is the share of a route's replies that suffices on
	// routes with less traffic, and totalSampleShare the same for all routes together.
	minSamples       = 20
	sampleShare      = 0.15
	totalSampleShare = 0.3
	// relaxedShare is the part of these numbers that suffices late, in place of a rollback
	// of a version of which nothing bad is known.
	relaxedShare = 0.4
	// minRouteReplies is the number of replies below which a route is not waited for.
	minRouteReplies = 5
	// maxRecent, minRecent and recentPeriod bound the reply times of the old version from
	// which its median is taken; the last minRecent are used whatever their age.
	maxRecent    = 64
	minRecent    = 5
	recentPeriod = 4 * time.Second
)

// evidence is what the instances have told about both versions. Counts of a process are
// cumulative, so that they are complete after one report from each.
type evidence struct {
	processes map[process]*processCounts
	// requests is the sum over all processes, or what an earlier controller has recorded
	// if that is more.
	requests, recorded int
	routes             map[string]map[int]verdict.Sample
	recent             map[string][]recentReply
}

// recentReply is the time of a reply of the old version that an instance has told.
type recentReply struct {
	elapsed time.Duration
	at      time.Time
}

type processCounts struct {
	requests int
	routes   map[string]RouteCount
}

func newEvidence(recordedRequests int) *evidence {
	return &evidence{
		processes: make(map[process]*processCounts), routes: make(map[string]map[int]verdict.Sample),
		recent: make(map[string][]recentReply), recorded: recordedRequests, requests: recordedRequests,
	}
}

// add takes over the counts of a report, sent since the order was given.
func (e *evidence) add(r Report, since time.Duration, now time.Time) {
	from := process{r.Instance, r.Incarnation}
	known := e.processes[from]
	if known == nil {
		known = &processCounts{}
		e.processes[from] = known
	}
	span := int(since / spanLength)
	for route, count := range r.Routes {
		e.addRecent(route, count.Recent, now)
		before := known.routes[route]
		if e.routes[route] == nil {
			e.routes[route] = make(map[int]verdict.Sample)
		}
		e.routes[route][span] = e.routes[route][span].Plus(verdict.Sample{
			New: max(0, count.New.Replies-before.New.Replies), NewBad: max(0, count.New.Bad()-before.New.Bad()),
			Old: max(0, count.Old.Replies-before.Old.Replies), OldBad: max(0, count.Old.Bad()-before.Old.Bad()),
		})
	}
	known.requests, known.routes = max(known.requests, r.Requests), r.Routes
	sum := 0
	for _, p := range e.processes {
		sum += p.requests
	}
	e.requests = max(e.recorded, sum)
}

// pooled returns the samples of all routes by time.
func (e *evidence) pooled() map[int]verdict.Sample {
	sums := make(map[int]verdict.Sample)
	for _, spans := range e.routes {
		for span, s := range spans {
			sums[span] = sums[span].Plus(s)
		}
	}
	return sums
}

// judge judges samples by time. Replies of the same moment may be told in adjacent spans,
// so a version must be worse also where spans are taken together by twos, in both ways.
func judge(spans map[int]verdict.Sample) verdict.Judgement {
	if total(spans).NewBad == 0 {
		return verdict.NoDoubt
	}
	best := verdict.IsBad
	for _, group := range []struct{ width, shift int }{{1, 0}, {2, 0}, {2, 1}} {
		sums := make(map[int]verdict.Sample)
		for span, s := range spans {
			n := (span + group.shift) / group.width
			sums[n] = sums[n].Plus(s)
		}
		var list []verdict.Sample
		for _, n := range slices.Sorted(maps.Keys(sums)) {
			list = append(list, sums[n])
		}
		best = min(best, verdict.Judge(list))
	}
	return best
}

func total(spans map[int]verdict.Sample) verdict.Sample {
	var sum verdict.Sample
	for _, s := range spans {
		sum = sum.Plus(s)
	}
	return sum
}

// worst returns the judgement of all routes, and the route of the worst; "" for all
// together.
func (e *evidence) worst() (verdict.Judgement, string) {
	worst, where := judge(e.pooled()), ""
	for _, route := range slices.Sorted(maps.Keys(e.routes)) {
		if j := judge(e.routes[route]); j > worst {
			worst, where = j, route
		}
	}
	return worst, where
}

// lacking returns the routes that carry traffic and have too few replies of the new
// version, and whether there are enough in all. need is 1, or the part of the usual number
// that suffices.
func (e *evidence) lacking(need float64) (routes []string, enough bool) {
	for _, route := range slices.Sorted(maps.Keys(e.routes)) {
		t := total(e.routes[route])
		replies := t.New + t.Old
		if replies >= minRouteReplies && float64(t.New) < need*min(minSamples, sampleShare*float64(replies)) {
			routes = append(routes, route)
		}
	}
	all := total(e.pooled())
	return routes, all.New > 0 && float64(all.New) >= need*min(minSamples, totalSampleShare*float64(all.New+all.Old))
}

// addRecent takes over reply times of the old version on a route.
func (e *evidence) addRecent(route string, times []time.Duration, now time.Time) {
	for _, d := range times[:min(len(times), maxRecent)] {
		e.recent[route] = append(e.recent[route], recentReply{d, now})
	}
	if extra := len(e.recent[route]) - maxRecent; extra > 0 {
		e.recent[route] = e.recent[route][extra:]
	}
}

// medians returns for each route the median of the old version's last reply times over all
// instances.
func (e *evidence) medians(now time.Time) map[string]time.Duration {
	medians := make(map[string]time.Duration)
	for route, recent := range e.recent {
		for len(recent) > minRecent && now.Sub(recent[0].at) > recentPeriod {
			recent = recent[1:]
		}
		e.recent[route] = recent
		if len(recent) < minRecent {
			continue
		}
		times := make([]time.Duration, 0, maxRecent)
		for _, r := range recent {
			times = append(times, r.elapsed)
		}
		slices.Sort(times)
		medians[route] = times[len(times)/2]
	}
	return medians
}
