package backend

import (
	"context"
	"errors"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/domain"
)

// coldTimeout bounds a call to a cold server. Such a call is not cancelled
// with its request, since the server may go on running it.
const coldTimeout = time.Second

// outcome is the end of one attempt.
type outcome struct {
	server *blackboard.Server
	reply  *domain.ShardReply
	err    error
}

// start makes a call in the background and sends its outcome to done, which
// must have room for it.
func (r *Runner) start(ctx context.Context, q *Request, t Task, p *place, done chan<- outcome) {
	number := q.attempts.Add(1)
	go func() {
		if !p.cold {
			reply, err := r.call(ctx, q, t, p.server, number)
			p.free(err == nil)
			done <- outcome{p.server, reply, err}
			return
		}
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), coldTimeout)
		defer cancel()
		reply, err := r.call(call, q, t, p.server, number)
		done <- outcome{p.server, reply, err}
		p.end(err)
	}()
}

// call makes one call and checks that the reply is the one asked for.
func (r *Runner) call(ctx context.Context, q *Request, t Task, s *blackboard.Server, number uint32) (*domain.ShardReply, error) {
	begin := time.Now()
	reply, err := s.Client.Search(ctx, &domain.ShardCall{
		RequestID: q.ID, Attempt: number, Service: t.Routes.Service.Name,
		Version: t.Version.Version, Shard: t.Shard, Query: q.Query, Instance: r.instance,
	})
	now := time.Now()
	if err != nil {
		return nil, r.fail(q, t, s, err, now.Sub(begin))
	}
	q.replied.Add(1)
	s.SetBoot(reply.BootID)
	if !matches(q, t, number, reply) {
		return nil, ErrMismatch
	}
	s.Observe(now.Sub(begin), now)
	t.Routes.State.Latencies.Observe(now.Sub(begin))
	if reply.Draining {
		s.Refresh()
	}
	return reply, nil
}

// fail notes what a failed call tells about the server.
func (r *Runner) fail(q *Request, t Task, s *blackboard.Server, err error, elapsed time.Duration) error {
	if notRun(err) {
		q.refused.Add(1)
		s.Refresh()
		return err
	}
	if errors.Is(err, domain.ErrLost) {
		q.lost.Add(1)
		return err
	}
	s.ObserveGivenUp(elapsed, time.Now())
	return err
}

// matches checks that a reply names the request, attempt, version and shard.
func matches(q *Request, t Task, number uint32, reply *domain.ShardReply) bool {
	return reply.RequestID == q.ID &&
		reply.Attempt == number &&
		reply.Service == t.Routes.Service.Name &&
		reply.Version == t.Version.Version &&
		reply.Shard == t.Shard
}
