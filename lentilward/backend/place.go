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
	// waitSlice is how long a task waits in a queue before it looks again at
	// what has changed.
	waitSlice = 50 * time.Millisecond
	// reconnectWait is how long a patient task waits when no holder is up.
	reconnectWait = 10 * time.Millisecond
	// refusedWait is the pause after an owner granted no place.
	refusedWait = 5 * time.Millisecond
	// cancelGrace is how long a cold server's place stays taken after a call
	// that was given up, since the server may still run it.
	cancelGrace = 250 * time.Millisecond
)

// place is the right to have one request on a server. Release must be called
// once; proven tells that the server replied.
type place struct {
	server  *blackboard.Server
	cold    bool
	release func(proven bool)
	phase   atomic.Int32
}

// Phases of the call on a place.
const (
	running int32 = iota
	// overdue calls take longer than most.
	overdue
	ended
)

// late notes that the call on the place takes longer than most.
func (p *place) late() {
	if !p.cold && p.phase.CompareAndSwap(running, overdue) {
		p.server.Overdue.Add(1)
	}
}

// free gives the place back after its call.
func (p *place) free(proven bool) {
	if p.phase.Swap(ended) == overdue {
		p.server.Overdue.Add(-1)
	}
	p.release(proven)
}

// end gives the place back after a call that ended with a classified error. A cold server may still run a call that
// was given up, so its place stays taken for a while.
func (p *place) end(err error) {
	gaveUp := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
	if p.cold && gaveUp {
		time.AfterFunc(cancelGrace, func() { p.free(false) })
		return
	}
	p.free(err == nil)
}

// Permit is the answer of the instance that owns a cold server.
type Permit struct {
	Granted bool
	// Warm tells that the server needs no permits, if it runs the process
	// BootID.
	Warm   bool
	BootID uint64
	// Release gives the place back.
	Release func(proven bool)
}

// acquire takes a place on a holder of the task's shard. It waits until the
// context ends.
func (r *Runner) acquire(ctx context.Context, q *Request, holders, tried []*blackboard.Server, service string) (*place, error) {
	for ctx.Err() == nil {
		if s := queue.TryAcquire(holders, tried, q.Class); s != nil {
			return r.localPlace(s), nil
		}
		anyUsable, anyWarm := queue.AnyUsable(holders, tried)
		if !anyUsable {
			if !q.Patient || len(tried) > 0 {
				return nil, ErrNoServer
			}
			pause(ctx, reconnectWait)
			continue
		}
		p, err := r.await(ctx, q, holders, tried, service, anyWarm)
		if p != nil || err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return p, err
		}
	}
	return nil, ctx.Err()
}

// await waits for a slice of time: in the service's own queue, or if all
// holders are cold in that of the owner of one of them.
func (r *Runner) await(ctx context.Context, q *Request, holders, tried []*blackboard.Server, service string, anyWarm bool) (*place, error) {
	if anyWarm {
		return r.queuedPlace(ctx, q, holders, tried, service)
	}
	s := queue.RandomUsable(holders, tried)
	if s == nil || s.Owned() {
		return r.queuedPlace(ctx, q, holders, tried, service)
	}
	p := r.remotePlace(ctx, q, s)
	if p == nil {
		pause(ctx, refusedWait)
	}
	return p, nil
}

// queuedPlace waits for at most a slice of time in the service's queue.
func (r *Runner) queuedPlace(ctx context.Context, q *Request, holders, tried []*blackboard.Server, service string) (*place, error) {
	slice, cancel := context.WithTimeout(ctx, waitSlice)
	defer cancel()
	w := &queue.Waiter{Holders: holders, Tried: tried, Class: q.Class, Deadline: q.Deadline}
	s, err := r.queues.ForService(service).Wait(slice, w)
	if err != nil {
		return nil, err
	}
	return r.localPlace(s), nil
}

// remotePlace asks the owner of a cold server for a place.
func (r *Runner) remotePlace(ctx context.Context, q *Request, s *blackboard.Server) *place {
	boot := s.BootID.Load()
	if boot == 0 {
		return nil
	}
	p, err := r.Permit(ctx, s, boot, q.Class)
	if err != nil {
		return nil
	}
	if p.Warm && p.BootID == boot {
		s.WarmBootID.Store(boot)
	}
	if !p.Granted {
		return nil
	}
	return &place{server: s, cold: true, release: p.Release}
}

// localPlace wraps a place that was taken on this instance's own limit.
func (r *Runner) localPlace(s *blackboard.Server) *place {
	boot := s.BootID.Load()
	return &place{server: s, cold: !s.Warm(), release: func(proven bool) {
		if proven && s.BootID.Load() == boot {
			s.Proven.Add(1)
		}
		s.InFlight.Add(-1)
		r.Wake(s)
	}}
}

// Admit takes a place on a cold server for another instance. It answers at
// once that the server is warm, or waits until there is room.
func (r *Runner) Admit(ctx context.Context, s *blackboard.Server, boot uint64, class blackboard.Class) Permit {
	if s.BootID.Load() != boot {
		s.Refresh()
		return Permit{}
	}
	if s.Warm() {
		return Permit{Warm: true, BootID: boot}
	}
	if !s.Owned() {
		return Permit{}
	}
	deadline, _ := ctx.Deadline()
	w := &queue.Waiter{Holders: []*blackboard.Server{s}, Class: class, Deadline: deadline}
	if _, err := r.queues.ForService(s.Service).Wait(ctx, w); err != nil {
		return Permit{}
	}
	p := r.localPlace(s)
	return Permit{Granted: true, BootID: boot, Release: p.release}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
