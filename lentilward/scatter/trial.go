package scatter

import (
	"context"
	"math/rand/v2"

	"lentilward.org/lentilward/balance"
	"lentilward.org/schema/domain"
)

// runTrial runs a request that is suspected to crash servers on one server. A search is then
// run as usual if the server has answered with success.
func (e *Engine) runTrial(ctx context.Context, t Task) (*domain.Answer, Stats, *domain.Refusal) {
	route := *t.Route
	route.MaxAttempts = 1
	first := t
	first.Route = &route
	if len(route.Shards) == 0 {
		return e.run(ctx, first)
	}
	service := chooseTrialService(t.Services)
	if service == nil {
		return nil, Stats{}, &domain.Refusal{
			Reason: domain.NoServer, Outcome: domain.NotRun, RetryAfter: recheckDelay, Message: "no backend server may be called for a trial",
		}
	}
	route.Shards, route.TargetLatency = []string{service.Name}, 0
	first.Services, first.Admission = []*balance.Service{service}, nil
	_, trial, refusal := e.run(ctx, first)
	if refusal != nil {
		return nil, trial, refusal
	}
	// The server of the trial counts among those that a part may be sent to.
	whole := t
	wholeRoute := *t.Route
	wholeRoute.MaxAttempts = max(1, t.Route.MaxAttempts-1)
	whole.Route, whole.Trial = &wholeRoute, false
	answer, stats, refusal := e.run(ctx, whole)
	stats.Calls += trial.Calls
	stats.ConnectionsLost += trial.ConnectionsLost
	if refusal != nil && refusal.Outcome == domain.NotRun {
		refusal.Outcome = domain.Ran
	}
	return answer, stats, refusal
}

// chooseTrialService chooses a service at random to which this instance may connect; nil if
// there is none.
func chooseTrialService(services []*balance.Service) *balance.Service {
	first := rand.IntN(len(services))
	for i := range services {
		if s := services[(first+i)%len(services)]; s.MayConnect() {
			return s
		}
	}
	return nil
}
