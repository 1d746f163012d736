package caller

import (
	"context"
	"errors"
	"fmt"

	"lentilward.org/lentilward/backend"
	"lentilward.org/lentilward/queue"
	"lentilward.org/schema/domain"
)

// incomplete refuses an answer that covers too few shards and says why.
func incomplete(q *backend.Request, parts []part, have, total int) *domain.Refusal {
	r := &domain.Refusal{Reason: domain.Incomplete, Outcome: q.Outcome(), Covered: have, Total: total}
	cause := "shards are missing"
	for _, p := range parts {
		switch {
		case p.err == nil:
			continue
		case errors.Is(p.err, queue.ErrOverloaded):
			r.Reason = domain.Overloaded
		case errors.Is(p.err, context.DeadlineExceeded):
			r.Reason = domain.TimedOut
		}
		cause = fmt.Sprintf("service %q: %v", p.service, p.err)
	}
	r.Message = fmt.Sprintf("answer covers %d of %d shards: %s", have, total, cause)
	return r
}
