package scatter

import (
	"fmt"
	"net/http"
	"time"

	"lentilward.org/lentilward/merge"
	"lentilward.org/schema/domain"
)

// least is the number of parts without which the request has failed.
func (r *run) least() int {
	if len(r.task.Route.Shards) == 0 {
		return 1
	}
	return r.task.Route.LeastParts()
}

// foresee refuses a request at once if its time is over, or if too few of its
// services can be reached.
func (r *run) foresee(now time.Time) *domain.Refusal {
	if !now.Before(r.end) {
		return &domain.Refusal{Reason: domain.TimedOut, Outcome: domain.NotRun, Message: "time is over"}
	}
	reachable := 0
	retryAfter := time.Duration(0)
	for i := range r.parts {
		s := r.parts[i].service
		if s.Reachable(now) {
			reachable++
		} else {
			retryAfter = max(retryAfter, s.RetryIn(now))
		}
	}
	if reachable >= r.least() {
		return nil
	}
	return &domain.Refusal{
		Reason: domain.NoServer, Outcome: domain.NotRun, RetryAfter: retryAfter,
		Message: fmt.Sprintf("%d of %d services have a backend server, want %d", reachable, len(r.parts), r.least()),
	}
}

// conclude ends the request once its answer is certain or its time is over.
func (r *run) conclude(now time.Time) (done bool, _ *domain.Answer, _ *domain.Refusal) {
	least := r.least()
	over := !now.Before(r.end)
	switch {
	case r.open == 0 && r.have >= least, over && r.have >= least, !now.Before(r.answerBy) && r.have >= least:
		return true, r.answer(), nil
	case r.have+r.open < least:
		if reply := r.passOn(); reply != nil {
			return true, &domain.Answer{Reply: reply}, nil
		}
		return true, nil, r.refuse(now, domain.Failed, "backend servers failed")
	case over:
		return true, nil, r.refuse(now, domain.TimedOut, "time is over")
	}
	return false, nil, nil
}

func (r *run) answer() *domain.Answer {
	if len(r.task.Route.Shards) == 0 {
		return &domain.Answer{Reply: r.parts[0].reply}
	}
	a := &domain.Answer{Proofs: make([]string, 0, r.have)}
	top := merge.NewTop(r.task.Route.Results)
	merged := make(map[*group]bool)
	for i := range r.parts {
		reply, group := r.parts[i].reply, r.parts[i].group
		if group != nil {
			if !merged[group] {
				merged[group] = true
				a.Proofs = append(a.Proofs, group.proofs...)
				top.Add(group.records)
			}
			continue
		}
		if reply == nil {
			a.Missing++
			if len(r.stats.Without) < maxNamed {
				r.stats.Without = append(r.stats.Without, r.parts[i].lack())
			}
			continue
		}
		a.Proofs = append(a.Proofs, reply.Proof)
		top.Add(reply.Body)
	}
	a.Records = top.Bytes()
	r.stats.Missing = a.Missing
	return a
}

// maxNamed bounds the missing services that are named.
const maxNamed = 3

// lack tells why a part is missing.
func (p *part) lack() string {
	why := "nothing tried"
	switch {
	case p.closed:
		why = "failed"
	case p.waiter != nil:
		why = "no room"
	case len(p.calls) > 0:
		why = "no reply yet"
	case p.helped:
		why = "at a peer"
	}
	return fmt.Sprintf("%s: %s after %d calls", p.service.Name, why, p.started)
}

// passOn returns a server's failure that the caller gets as it is. A status
// that promises that the request has not run is not passed on.
func (r *run) passOn() *domain.Reply {
	if len(r.task.Route.Shards) > 0 {
		return nil
	}
	reply := r.parts[0].failure
	if reply == nil || reply.Proof == "" || promisesNotRun(reply.Status) {
		return nil
	}
	return reply
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

// outcome tells what is certain about the calls of the request.
func (r *run) outcome() domain.Outcome {
	switch {
	case r.have > 0:
		return domain.Ran
	case r.stats.Calls > r.refused || r.stats.Delegated > 0:
		return domain.Unknown
	}
	return domain.NotRun
}

func (r *run) refuse(now time.Time, reason domain.Reason, message string) *domain.Refusal {
	refusal := &domain.Refusal{Reason: reason, Outcome: r.outcome(), Message: message}
	if refusal.Outcome == domain.NotRun {
		for i := range r.parts {
			if r.parts[i].reply == nil {
				refusal.RetryAfter = max(refusal.RetryAfter, r.parts[i].service.RetryIn(now))
			}
		}
	}
	if len(r.task.Route.Shards) > 0 && reason == domain.Failed {
		refusal.Reason = domain.Incomplete
		refusal.Message = fmt.Sprintf("%d of %d shards replied, want %d", r.have, len(r.parts), r.least())
	}
	return refusal
}
