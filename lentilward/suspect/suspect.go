// Package suspect finds the requests that crash backend servers: it records which servers
// were lost while they ran which request, refuses a request that lost too many, and lets
// single trials through that end the refusal once one goes well.
package suspect

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilward.org/lentilward/blackboard"
)

const (
	// MaxCrashes is the number of backend servers lost while they ran a query at
	// which the query is refused, and MaxRequestCrashes the same for requests that are not
	// run on one server first.
	MaxCrashes        = 2
	MaxRequestCrashes = 3
	// suspectTTL is how long a lost server counts against a request, and how long it is
	// known that a suspect request has run well since.
	suspectTTL = 10 * time.Minute
	// refusedTTL is how long a refused request is kept after its latest trial. It is longer
	// than any delay between trials.
	refusedTTL = 2 * time.Hour
	// maxSuspects bounds the number of suspects kept.
	maxSuspects = 4096
)

// List records suspect requests. It is the only writer of the board's Suspects
// cell.
type List struct {
	board *blackboard.Board
	// maxLost is the number of servers lost while they ran a request, without a run that
	// went well in between, at which the request is refused.
	maxLost int
	// ran has the requests that ran well on this instance.
	ran runTable

	mu sync.Mutex
	// recorded has the requests of which this instance has recorded a lost server since
	// they have last run well. It tells the peers when one runs well again.
	recorded map[uint64]bool
	// trials has until when the trials run that this instance has granted.
	trials map[uint64]time.Time

	// Broadcast sends reports to the peers. It must return soon.
	Broadcast func(ctx context.Context, reports []Report)
	// Persist stores a request that is refused, or removes the record of one that is not
	// refused any more. It must not block.
	Persist func(blackboard.SuspectRequest)
	// OnChange is called when a request is refused or no longer is, or after a trial.
	OnChange func(blackboard.SuspectRequest)
}

// New returns an empty list that refuses a request once maxLost servers were lost while they
// ran it.
func New(board *blackboard.Board, maxLost int) *List {
	return &List{
		board: board, maxLost: maxLost, recorded: make(map[uint64]bool), trials: make(map[uint64]time.Time), Broadcast: func(context.Context, []Report) {},
		Persist: func(blackboard.SuspectRequest) {}, OnChange: func(blackboard.SuspectRequest) {},
	}
}

// RecordLoss records that a server process was lost at a time while it ran a request, and
// tells the peers. requestID identifies the request among those with the same fingerprint.
// A request that has run well since then is not suspect.
func (s *List) RecordLoss(ctx context.Context, fingerprint, process uint64, requestID string, at time.Time) {
	ranAt := s.ran.find(fingerprint)
	if !at.After(ranAt) {
		return
	}
	update := blackboard.SuspectRequest{
		Fingerprint: fingerprint, Proven: !ranAt.IsZero(),
		Lost: []blackboard.LostServer{{Process: process, Request: xxhash.Sum64String(requestID), At: at}},
	}
	s.mu.Lock()
	s.recorded[fingerprint] = true
	s.mu.Unlock()
	s.publish(ctx, update)
}

// RecordRun records that a server has answered a request with success at a time: it crashes
// no servers.
func (s *List) RecordRun(ctx context.Context, fingerprint uint64, at time.Time) {
	s.ran.add(fingerprint, at)
	known, found := s.board.Suspects.Load().ByFingerprint[fingerprint]
	if !found || len(known.Lost) == 0 && !known.IsRefused() {
		return
	}
	s.mu.Lock()
	recorded := s.recorded[fingerprint]
	s.mu.Unlock()
	update := blackboard.SuspectRequest{Fingerprint: fingerprint, RanAt: at, RunID: s.runID(at)}
	if recorded || known.IsRefused() {
		s.publish(ctx, update)
	} else {
		s.apply(update)
	}
}

// publish applies an update, tells the peers what is known of the request, and stores that
// it is not refused any more or has had another trial.
func (s *List) publish(ctx context.Context, update blackboard.SuspectRequest) {
	before, after := s.apply(update)
	s.Broadcast(ctx, []Report{newReport(after, time.Now())})
	if before.IsRefused() && (!after.IsRefused() || before.Trials != after.Trials) {
		s.Persist(after)
	}
}

// All returns reports about all recorded suspects, in no particular order.
func (s *List) All() []Report {
	now := time.Now()
	var reports []Report
	for _, r := range s.board.Suspects.Load().ByFingerprint {
		reports = append(reports, newReport(r, now))
	}
	return reports
}

// Find returns what is known of a request.
func (s *List) Find(fingerprint uint64) Report {
	known := s.board.Suspects.Load().ByFingerprint[fingerprint]
	known.Fingerprint = fingerprint
	return newReport(known, time.Now())
}

// IsRefused reports whether a request is refused but for trials.
func (s *List) IsRefused(fingerprint uint64) bool {
	return s.board.Suspects.Load().ByFingerprint[fingerprint].IsRefused()
}

// Merge merges what a peer reports. It returns reports of those of the requests that have
// run well on this instance since then.
func (s *List) Merge(reports []Report) []Report {
	now := time.Now()
	updates := make([]blackboard.SuspectRequest, 0, len(reports))
	var ran []Report
	for _, report := range reports {
		update := report.toRequest(now)
		if ranAt := s.ran.find(update.Fingerprint); len(update.Lost) > 0 && !ranAt.IsZero() {
			update.Proven = true
			if !update.Lost[len(update.Lost)-1].At.After(ranAt) {
				known := blackboard.SuspectRequest{Fingerprint: update.Fingerprint, RanAt: ranAt, RunID: s.runID(ranAt)}
				update = merge(update, known)
				ran = append(ran, newReport(known, now))
			}
		}
		updates = append(updates, update)
	}
	s.applyAll(updates)
	return ran
}

// runID identifies a run of this instance.
func (s *List) runID(at time.Time) uint64 {
	return xxhash.Sum64String(s.board.LocalInstance.Load().Name + "\x00" + strconv.FormatInt(at.UnixNano(), 16))
}

// AcceptRuns takes in that requests of which this instance has recorded lost servers have
// run well since on other instances, and tells all peers.
func (s *List) AcceptRuns(ctx context.Context, ran []Report) {
	for _, report := range ran {
		update := report.toRequest(time.Now())
		known := s.board.Suspects.Load().ByFingerprint[update.Fingerprint]
		if len(known.Lost) > 0 && update.RanAt.After(known.RanAt) {
			s.publish(ctx, update)
		}
	}
}

// MergeStored merges the record of a refused request from the store. It says nothing of
// its age, so that it counts only for requests of which nothing else is known. A trial
// may have run that the store could not record.
func (s *List) MergeStored(fingerprint uint64, proven bool, trials int) {
	if _, found := s.board.Suspects.Load().ByFingerprint[fingerprint]; found {
		return
	}
	now := time.Now()
	if !proven {
		trials = max(1, trials)
	}
	update := blackboard.SuspectRequest{Fingerprint: fingerprint, Proven: proven, RefusedAt: now, Trials: trials, FromStore: true}
	if trials > 0 {
		update.TrialAt = now
	}
	s.apply(update)
}

// apply merges an update into the list and returns what is known of the request before and
// after it.
func (s *List) apply(update blackboard.SuspectRequest) (before, after blackboard.SuspectRequest) {
	before = s.board.Suspects.Load().ByFingerprint[update.Fingerprint]
	s.applyAll([]blackboard.SuspectRequest{update})
	return before, s.board.Suspects.Load().ByFingerprint[update.Fingerprint]
}

// applyAll merges updates into the list and drops what has expired.
func (s *List) applyAll(updates []blackboard.SuspectRequest) {
	if len(updates) == 0 {
		return
	}
	s.mu.Lock()
	now := time.Now()
	next := maps.Clone(s.board.Suspects.Load().ByFingerprint)
	if next == nil {
		next = make(map[uint64]blackboard.SuspectRequest)
	}
	maps.DeleteFunc(next, func(_ uint64, r blackboard.SuspectRequest) bool { return isExpired(r, now) })
	var changed, refused []blackboard.SuspectRequest
	for _, update := range updates {
		known, merged, ok := s.mergeUpdate(next, update, now)
		if !ok {
			continue
		}
		if merged.IsRefused() != known.IsRefused() || merged.Trials != known.Trials {
			changed = append(changed, merged)
		}
		// Which of several instances sees the last of the losses depends on their messages,
		// so each that has seen any stores the refusal.
		if s.recorded[update.Fingerprint] && merged.IsRefused() && !known.IsRefused() {
			refused = append(refused, merged)
		}
		if len(merged.Lost) == 0 {
			delete(s.recorded, update.Fingerprint)
		}
	}
	maps.DeleteFunc(s.recorded, func(fingerprint uint64, _ bool) bool { _, found := next[fingerprint]; return !found })
	s.board.Suspects.Store(countSuspects(next))
	s.mu.Unlock()
	for _, r := range changed {
		s.OnChange(r)
	}
	for _, r := range refused {
		s.Persist(r)
	}
}

// mergeUpdate merges an update into requests, and returns what was known of the request and
// what is known now. ok is false if there is no room for it.
func (s *List) mergeUpdate(requests map[uint64]blackboard.SuspectRequest, update blackboard.SuspectRequest, now time.Time) (known, merged blackboard.SuspectRequest, ok bool) {
	known, found := requests[update.Fingerprint]
	if !found && len(requests) >= maxSuspects && !dropOldest(requests) {
		return known, known, false
	}
	if !known.IsRefused() {
		known.Lost = slices.DeleteFunc(slices.Clone(known.Lost), func(l blackboard.LostServer) bool { return now.Sub(l.At) > suspectTTL })
	}
	merged = merge(known, update)
	if merged.RefusedAt.IsZero() && len(merged.Lost) >= s.maxLost {
		merged.RefusedAt = merged.Lost[s.maxLost-1].At
	}
	requests[update.Fingerprint] = merged
	return known, merged, true
}

func countSuspects(byFingerprint map[uint64]blackboard.SuspectRequest) *blackboard.SuspectRequests {
	s := &blackboard.SuspectRequests{ByFingerprint: byFingerprint}
	for _, r := range byFingerprint {
		if r.IsRefused() {
			s.Refused++
		}
		if r.IsRefused() || len(r.Lost) > 0 {
			s.Suspected++
		}
	}
	return s
}

// isExpired reports whether a request has not been suspect for so long that it is forgotten.
func isExpired(r blackboard.SuspectRequest, now time.Time) bool {
	if r.IsRefused() {
		return now.Sub(later(r.RefusedAt, r.TrialAt)) > refusedTTL
	}
	return now.Sub(lastEvent(r)) > suspectTTL
}

// lastEvent returns when a request last ran well or lost a server.
func lastEvent(r blackboard.SuspectRequest) time.Time {
	if len(r.Lost) > 0 {
		return later(r.RanAt, r.Lost[len(r.Lost)-1].At)
	}
	return r.RanAt
}

// dropOldest drops the request whose last event is the oldest, and reports whether there is
// one that is not refused.
func dropOldest(requests map[uint64]blackboard.SuspectRequest) bool {
	var oldest blackboard.SuspectRequest
	found := false
	for _, r := range requests {
		if !r.IsRefused() && (!found || lastEvent(r).Before(lastEvent(oldest))) {
			oldest, found = r, true
		}
	}
	if found {
		delete(requests, oldest.Fingerprint)
	}
	return found
}
