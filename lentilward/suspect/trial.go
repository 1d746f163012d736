package suspect

import (
	"context"
	"slices"
	"time"

	"lentilward.org/lentilward/blackboard"
)

// trialDelays are the delays after which a refused request may run as a trial: the first
// after it was refused, the next ones after the latest trial. The last one repeats. The more
// speaks against a request that has not run well before, the more of the first are left out.
var trialDelays = []time.Duration{0, 10 * time.Second, time.Minute, 10 * time.Minute, time.Hour}

// momentLength is the time within which servers are lost that one event has ended.
const momentLength = time.Second

// trialRetryDelay is when to ask again while another trial runs.
const trialRetryDelay = 250 * time.Millisecond

// Grant is the answer to the question whether a refused request may run as a trial.
type Grant struct {
	Granted bool `cbor:"granted"`
	// RetryAfter is when a trial may be granted if none was.
	RetryAfter time.Duration `cbor:"retry-after,omitempty"`
}

// GrantTrial decides whether a refused request may run as a trial of at most the length
// given. Only one instance decides about a request, so that one trial runs at a time. An
// instance that is isolated may be one of several, and waits for longer.
func (s *List) GrantTrial(ctx context.Context, known Report, length time.Duration, isolated bool) Grant {
	s.Merge([]Report{known})
	now := time.Now()
	s.mu.Lock()
	until, running := s.trials[known.Fingerprint]
	if running && now.Before(until) {
		s.mu.Unlock()
		return Grant{RetryAfter: min(until.Sub(now), trialRetryDelay)}
	}
	delete(s.trials, known.Fingerprint)
	s.mu.Unlock()
	if running {
		// Nobody has told how the trial ended, so the server may have been lost.
		s.RecordTrial(ctx, known.Fingerprint)
	}
	request := s.board.Suspects.Load().ByFingerprint[known.Fingerprint]
	if !request.IsRefused() {
		return Grant{Granted: true}
	}
	if wait := trialDueAt(request, isolated).Sub(now); wait > 0 {
		return Grant{RetryAfter: wait}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if until, running := s.trials[known.Fingerprint]; running && now.Before(until) {
		return Grant{RetryAfter: trialRetryDelay}
	}
	s.trials[known.Fingerprint] = now.Add(length)
	return Grant{Granted: true}
}

// EndTrial lets the next trial be granted.
func (s *List) EndTrial(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.trials, fingerprint)
}

// RecordTrial records that a trial was sent to a server, unless the request has run well.
func (s *List) RecordTrial(ctx context.Context, fingerprint uint64) {
	request := s.board.Suspects.Load().ByFingerprint[fingerprint]
	if request.IsRefused() {
		request.Trials, request.TrialAt, request.FromStore = request.Trials+1, time.Now(), false
		s.publish(ctx, request)
	}
}

// trialDueAt returns when the next trial of a refused request may run.
func trialDueAt(r blackboard.SuspectRequest, isolated bool) time.Time {
	n := r.Trials
	if isolated {
		n++
	}
	if !r.Proven && !hasComeOnce(r) {
		n++
	}
	if !r.Proven && !isOneMoment(r) {
		n++
	}
	return later(r.RefusedAt, r.TrialAt).Add(trialDelays[min(n, len(trialDelays)-1)])
}

// hasComeOnce reports whether all servers were lost with a single request of a caller, which
// may have been in flight on them when they were lost for another reason.
func hasComeOnce(r blackboard.SuspectRequest) bool {
	return len(r.Lost) > 0 && !slices.ContainsFunc(r.Lost, func(l blackboard.LostServer) bool { return l.Request != r.Lost[0].Request })
}

// isOneMoment reports whether all servers for which the request was refused were lost at about
// the same time, as in an event that ends all of them.
func isOneMoment(r blackboard.SuspectRequest) bool {
	return len(r.Lost) == 0 || r.RefusedAt.Sub(r.Lost[0].At) < momentLength
}
