package caller

import (
	"context"
	"errors"
	"fmt"

	"lentilward.org/lentilward/backend"
	"lentilward.org/lentilward/queue"
	"lentilward.org/schema/domain"
)

// incompleteRefusal returns the refusal of an answer that covers too few
// shards. Its message contains the error of the last service that has one.
func incompleteRefusal(req *backend.Request, results []serviceResult, covered, total int) *domain.Refusal {
	refusal := &domain.Refusal{Reason: domain.Incomplete, Outcome: req.Outcome(), CoveredShards: covered, TotalShards: total}
	cause := "shards are missing"
	for _, result := range results {
		switch {
		case result.err == nil:
			continue
		case errors.Is(result.err, queue.ErrOverloaded):
			refusal.Reason = domain.Overloaded
		case errors.Is(result.err, context.DeadlineExceeded):
			refusal.Reason = domain.TimedOut
		}
		cause = fmt.Sprintf("service %q: %v", result.service, result.err)
	}
	refusal.Message = fmt.Sprintf("answer covers %d of %d shards: %s", covered, total, cause)
	return refusal
}
