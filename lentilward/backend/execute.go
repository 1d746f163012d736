package backend

import (
	"context"
	"errors"
	"time"

	"lentilward.org/lentilward/blackboard"
)

// leastTimeLeft is the least time to the deadline with which a non-idempotent
// request is still sent.
const leastTimeLeft = 5 * time.Millisecond

// Execute runs a non-idempotent request on one server. It is sent again only
// if the server refused before it ran. Check is called right before each call.
func (r *Runner) Execute(ctx context.Context, q *Request, routes *blackboard.ServiceRoutes, payload []byte, check func() error) ([]byte, error) {
	var tried []*blackboard.Server
	for {
		p, err := r.acquire(ctx, q, routes.Servers, tried, routes.Service.Name)
		if err != nil {
			return nil, err
		}
		tried = append(tried, p.server)
		if err := check(); err != nil || time.Until(q.Deadline) < leastTimeLeft {
			p.release(false)
			return nil, errors.Join(err, context.DeadlineExceeded)
		}
		q.attempts.Add(1)
		result, err := p.server.Client.Execute(ctx, q.ID, routes.Service.Name, r.instance, payload)
		p.end(err)
		if err == nil {
			q.replied.Add(1)
			return result, nil
		}
		if !notRun(err) {
			return nil, err
		}
		q.refused.Add(1)
		if len(tried) >= maxAttempts {
			return nil, err
		}
	}
}
