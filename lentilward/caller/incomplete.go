package caller

import (
	"context"
	"errors"
	"fmt"

	"lentilward.org/lentilward/backend"
	"lentilward.org/lentilward/queue"
	"lentilward.org/schema/callerpb"
)

// incomplete refuses an answer that covers too few shards and says why.
func incomplete(q *backend.Request, parts []part, have, total int) *refusal {
	r := &refusal{reason: callerpb.Reason_REASON_COVERAGE, outcome: q.Outcome(), covered: have, total: total}
	cause := "shards are missing"
	for _, p := range parts {
		switch {
		case p.err == nil:
			continue
		case errors.Is(p.err, queue.ErrOverloaded):
			r.reason = callerpb.Reason_REASON_OVERLOADED
		case errors.Is(p.err, context.DeadlineExceeded):
			r.reason = callerpb.Reason_REASON_DEADLINE
		}
		cause = fmt.Sprintf("service %q: %v", p.service, p.err)
	}
	r.message = fmt.Sprintf("answer covers %d of %d shards: %s", have, total, cause)
	return r
}
