package backend

import (
	"context"
	"errors"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/domain"
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
		result, err := r.callExecute(ctx, req, slot, routes.Service.Name, payload)
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

// callExecute makes one call. If the context ends first, the call goes on for a while: it
// tells whether the request crashes servers.
func (r *Runner) callExecute(ctx context.Context, req *Request, slot *serverSlot, service string, payload []byte) ([]byte, error) {
	type result struct {
		reply []byte
		err   error
	}
	done := make(chan result, 1)
	go func() {
		callContext, end := linger(ctx)
		defer end()
		reply, err := slot.server.Client.Execute(callContext, req.ID, service, r.instance, payload)
		slot.endCallWith(err)
		if errors.Is(err, domain.ErrConnectionLost) && req.OnLost != nil {
			req.OnLost()
		}
		done <- result{reply, err}
	}()
	select {
	case r := <-done:
		return r.reply, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
