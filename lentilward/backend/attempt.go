package backend

import (
	"context"
	"errors"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/domain"
)

const (
	// coldCallTimeout bounds a call to a cold server. Such a call is not cancelled
	// with its request, since the server may go on running it.
	coldCallTimeout = time.Second
	// callLinger is how long the call of a canary, or of a request that runs once, goes on
	// after its request has ended: it tells whether the request crashes servers.
	callLinger = time.Second
)

// callResult is the result of one call.
type callResult struct {
	server *blackboard.Server
	reply  *domain.ShardReply
	err    error
}

// startCall makes a call in the background, releases its slot and sends the
// result to done, whose buffer must have room for it.
func (r *Runner) startCall(ctx context.Context, req *Request, task Task, slot *serverSlot, done chan<- callResult) {
	attempt := req.attempts.Add(1)
	go func() {
		if !slot.cold {
			if req.Canary {
				var end func()
				ctx, end = linger(ctx)
				defer end()
			}
			reply, err := r.call(ctx, req, task, slot.server, attempt)
			slot.endCall(err == nil)
			done <- callResult{slot.server, reply, err}
			return
		}
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), coldCallTimeout)
		defer cancel()
		reply, err := r.call(callCtx, req, task, slot.server, attempt)
		done <- callResult{slot.server, reply, err}
		slot.endCallWith(err)
	}()
}

// linger returns a context that ends callLinger after another, or with end.
func linger(ctx context.Context) (_ context.Context, end func()) {
	lingering, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, func() {
		select {
		case <-time.After(callLinger):
			cancel()
		case <-lingering.Done():
		}
	})
	return lingering, func() {
		detach()
		cancel()
	}
}

// call makes one call and records its result. It returns ErrMismatch if the
// reply does not belong to the call.
func (r *Runner) call(ctx context.Context, req *Request, task Task, s *blackboard.Server, attempt uint32) (*domain.ShardReply, error) {
	begin := time.Now()
	reply, err := s.Client.Search(ctx, &domain.ShardCall{
		RequestID: req.ID, Attempt: attempt, Service: task.Routes.Service.Name,
		Version: task.Version.Version, Shard: task.Shard, Query: req.Query, Instance: r.instance,
	})
	now := time.Now()
	if err != nil {
		return nil, r.recordFailure(req, task, s, err, now.Sub(begin))
	}
	req.replied.Add(1)
	s.SetBootID(reply.BootID)
	if !isExpectedReply(req, task, attempt, reply) {
		return nil, ErrMismatch
	}
	s.Observe(now.Sub(begin), now)
	task.Routes.State.Latencies.Observe(now.Sub(begin))
	if reply.Draining {
		s.RequestStatus()
	}
	return reply, nil
}

// recordFailure counts a failed call and updates the state of its server. It
// returns the error unchanged.
func (r *Runner) recordFailure(req *Request, task Task, s *blackboard.Server, err error, elapsed time.Duration) error {
	if isNotRun(err) {
		req.refused.Add(1)
		s.RequestStatus()
		return err
	}
	if errors.Is(err, domain.ErrConnectionLost) {
		req.lost.Add(1)
		if req.OnLost != nil {
			req.OnLost()
		}
		return err
	}
	s.ObserveAborted(elapsed, time.Now())
	return err
}

// isExpectedReply reports whether a reply names the request, attempt, service,
// version and shard of its call.
func isExpectedReply(req *Request, task Task, attempt uint32, reply *domain.ShardReply) bool {
	return reply.RequestID == req.ID &&
		reply.Attempt == attempt &&
		reply.Service == task.Routes.Service.Name &&
		reply.Version == task.Version.Version &&
		reply.Shard == task.Shard
}
