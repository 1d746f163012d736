package backend

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/queue"
)

const (
	// queueWaitTimeout bounds one wait in a queue. Then the task checks again
	// which holders are usable and which are warm.
	queueWaitTimeout = 50 * time.Millisecond
	// serverRecheckDelay is the delay until a task that waits for a usable server
	// checks again whether there is one.
	serverRecheckDelay = 10 * time.Millisecond
	// permitRetryDelay is the delay until a permit is requested again after the
	// owner of a cold server granted none.
	permitRetryDelay = 5 * time.Millisecond
	// coldReleaseDelay is how long a cold server's slot stays taken after its
	// call was abandoned, since the server may still run it.
	coldReleaseDelay = 250 * time.Millisecond
)

// serverSlot is the right to have one request in flight on a server. It must be
// released exactly once, directly if no call was made and else by endCall or
// endCallWith. The argument of release says whether the server replied.
type serverSlot struct {
	server  *blackboard.Server
	cold    bool
	release func(replied bool)
	phase   atomic.Int32
}

// Phases of the call that uses a slot.
const (
	running int32 = iota
	// overdue means that the call has run longer than its overdue delay.
	overdue
	ended
)

// markOverdue counts the call on a warm server as overdue, unless it has ended.
func (s *serverSlot) markOverdue() {
	if !s.cold && s.phase.CompareAndSwap(running, overdue) {
		s.server.Overdue.Add(1)
	}
}

// endCall releases the slot after its call and stops counting the call as
// overdue.
func (s *serverSlot) endCall(replied bool) {
	if s.phase.Swap(ended) == overdue {
		s.server.Overdue.Add(-1)
	}
	s.release(replied)
}

// endCallWith releases the slot after a call that ended with a classified error
// or nil. A cold server may still run a call that was abandoned, so its slot
// stays taken for coldReleaseDelay.
func (s *serverSlot) endCallWith(err error) {
	abandoned := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
	if s.cold && abandoned {
		time.AfterFunc(coldReleaseDelay, func() { s.endCall(false) })
		return
	}
	s.endCall(err == nil)
}

// Permit is the reply of a cold server's owner to an instance that requested a
// slot on that server.
type Permit struct {
	Granted bool
	// Warm means that the server needs no permits as long as it runs the
	// process BootID.
	Warm   bool
	BootID uint64
	// Release releases the granted slot.
	Release func(replied bool)
}

// acquire acquires a slot on one of the holders. It waits for one until the
// context ends. It returns ErrNoServer at once if no holder is usable, unless
// the request has WaitForServer set and no server was tried yet.
func (r *Runner) acquire(ctx context.Context, req *Request, holders, tried []*blackboard.Server, service string) (*serverSlot, error) {
	for ctx.Err() == nil {
		if s := queue.TryAcquire(holders, tried, req.Class); s != nil {
			return r.newLocalSlot(s), nil
		}
		anyUsable, anyWarm := queue.AnyUsable(holders, tried)
		if !anyUsable {
			if !req.WaitForServer || len(tried) > 0 {
				return nil, ErrNoServer
			}
			sleep(ctx, serverRecheckDelay)
			continue
		}
		slot, err := r.waitForSlot(ctx, req, holders, tried, service, anyWarm)
		if slot != nil || err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return slot, err
		}
	}
	return nil, ctx.Err()
}

// waitForSlot waits once for a slot: in this instance's queue of the service,
// or, if all holders are cold, in the queue of the owner of a random one of
// them. It returns nil without an error if that owner granted none.
func (r *Runner) waitForSlot(ctx context.Context, req *Request, holders, tried []*blackboard.Server, service string, anyWarm bool) (*serverSlot, error) {
	if anyWarm {
		return r.waitInQueue(ctx, req, holders, tried, service)
	}
	s := queue.RandomUsable(holders, tried)
	if s == nil || s.OwnedLocally() {
		return r.waitInQueue(ctx, req, holders, tried, service)
	}
	slot := r.requestColdSlot(ctx, req, s)
	if slot == nil {
		sleep(ctx, permitRetryDelay)
	}
	return slot, nil
}

// waitInQueue waits in the queue of the service, for at most queueWaitTimeout.
func (r *Runner) waitInQueue(ctx context.Context, req *Request, holders, tried []*blackboard.Server, service string) (*serverSlot, error) {
	waitCtx, cancel := context.WithTimeout(ctx, queueWaitTimeout)
	defer cancel()
	w := &queue.Waiter{Holders: holders, Tried: tried, Class: req.Class, Deadline: req.Deadline}
	s, err := r.queues.ForService(service).Wait(waitCtx, w)
	if err != nil {
		return nil, err
	}
	return r.newLocalSlot(s), nil
}

// requestColdSlot requests a slot on a cold server from its owner. It returns
// nil if none was granted.
func (r *Runner) requestColdSlot(ctx context.Context, req *Request, s *blackboard.Server) *serverSlot {
	bootID := s.BootID.Load()
	if bootID == 0 {
		return nil
	}
	permit, err := r.RequestPermit(ctx, s, bootID, req.Class)
	if err != nil {
		return nil
	}
	if permit.Warm && permit.BootID == bootID {
		s.WarmBootID.Store(bootID)
	}
	if !permit.Granted {
		return nil
	}
	return &serverSlot{server: s, cold: true, release: permit.Release}
}

// newLocalSlot returns a slot that was acquired within this instance's own
// limit for the server.
func (r *Runner) newLocalSlot(s *blackboard.Server) *serverSlot {
	bootID := s.BootID.Load()
	return &serverSlot{server: s, cold: !s.Warm(), release: func(replied bool) {
		if replied && s.BootID.Load() == bootID {
			s.WarmUpReplies.Add(1)
		}
		s.InFlight.Add(-1)
		r.Wake(s)
	}}
}

// GrantPermit acquires a slot on a cold server that this instance owns, for another
// instance. It waits until a slot is free or the context ends. It grants
// nothing if the server runs another process or this instance does not own it,
// and returns at once if the server is warm.
func (r *Runner) GrantPermit(ctx context.Context, s *blackboard.Server, bootID uint64, class blackboard.Class) Permit {
	if s.BootID.Load() != bootID {
		s.RequestStatus()
		return Permit{}
	}
	if s.Warm() {
		return Permit{Warm: true, BootID: bootID}
	}
	if !s.OwnedLocally() {
		return Permit{}
	}
	deadline, _ := ctx.Deadline()
	w := &queue.Waiter{Holders: []*blackboard.Server{s}, Class: class, Deadline: deadline}
	if _, err := r.queues.ForService(s.Service).Wait(ctx, w); err != nil {
		return Permit{}
	}
	slot := r.newLocalSlot(s)
	return Permit{Granted: true, BootID: bootID, Release: slot.release}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
