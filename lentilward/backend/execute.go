package backend

import (
	"context"
	"errors"
	"time"

	"lentilward.org/lentilward/blackboard"
)

// minTimeLeft is the minimum time left until the deadline for a non-idempotent
// request to be sent.
const minTimeLeft = 5 * time.Millisecond

// Execute runs a non-idempotent request on one server. It sends the request to
// another server only if the previous one refused it without running it. check
// is called right before each call; no call is made if it returns an error.
func (r *Runner) Execute(ctx context.Context, req *Request, routes *blackboard.ServiceRoutes, payload []byte, check func() error) ([]byte, error) {
	var tried []*blackboard.Server
	for {
		slot, err := r.acquire(ctx, req, routes.Servers, tried, routes.Service.Name)
		if err != nil {
			return nil, err
		}
		tried = append(tried, slot.server)
		if err := check(); err != nil || time.Until(req.Deadline) < minTimeLeft {
			slot.release(false)
			return nil, errors.Join(err, context.DeadlineExceeded)
		}
		req.attempts.Add(1)
		result, err := slot.server.Client.Execute(ctx, req.ID, routes.Service.Name, r.instance, payload)
		slot.endCallWith(err)
		if err == nil {
			req.replied.Add(1)
			return result, nil
		}
		if !isNotRun(err) {
			return nil, err
		}
		req.refused.Add(1)
		if len(tried) >= maxAttempts {
			return nil, err
		}
	}
}
