package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilward.org/lentilward/backend"
	"lentilward.org/lentilward/blackboard"
)

const (
	// permitWait is how long the owner lets a peer wait for a place.
	permitWait = 200 * time.Millisecond
	// permitLife is after what time a place is free again though its holder
	// did not give it back. It is longer than any call to a cold server.
	permitLife = 1500 * time.Millisecond
	// releaseTimeout bounds the message that gives a place back.
	releaseTimeout = time.Second
)

// Permits are the places on cold servers that this instance granted to peers.
type Permits struct {
	board *blackboard.Board
	next  atomic.Uint64
	held  sync.Map
	// Admit takes a place on a server that this instance owns.
	Admit func(ctx context.Context, s *blackboard.Server, boot uint64, class blackboard.Class) backend.Permit
}

// NewPermits returns a table without permits.
func NewPermits(board *blackboard.Board) *Permits {
	return &Permits{board: board}
}

// grant serves a peer's request for a place.
func (p *Permits) grant(ctx context.Context, b permitBody) (permitReply, error) {
	s := p.board.Routes.Load().Servers[b.Address]
	if s == nil {
		return permitReply{}, merry.Errorf("unknown backend server %s", b.Address)
	}
	if b.Class >= blackboard.Classes {
		return permitReply{}, merry.Errorf("unknown class %d", b.Class)
	}
	wait, cancel := context.WithTimeout(ctx, min(b.Wait, permitWait))
	defer cancel()
	permit := p.Admit(wait, s, b.BootID, b.Class)
	reply := permitReply{Granted: permit.Granted, Warm: permit.Warm, BootID: permit.BootID}
	if permit.Granted {
		reply.ID = p.next.Add(1)
		p.held.Store(reply.ID, permit)
		time.AfterFunc(permitLife, func() { p.release(reply.ID, false) })
	}
	return reply, nil
}

// release gives a granted place back, at most once.
func (p *Permits) release(id uint64, proven bool) {
	if permit, ok := p.held.LoadAndDelete(id); ok {
		permit.(backend.Permit).Release(proven)
	}
}

// Request asks the owner of a cold server for a place. A place that is granted
// after the context has ended is given back at once.
func (l *Links) Request(ctx context.Context, owner blackboard.Member, s *blackboard.Server, boot uint64, class blackboard.Class) (backend.Permit, error) {
	wait := permitWait
	if deadline, bounded := ctx.Deadline(); bounded {
		wait = min(wait, time.Until(deadline))
	}
	body := permitBody{Address: s.Address, BootID: boot, Class: class, Wait: wait}
	answered := make(chan permitAnswer)
	go func() {
		a := l.request(context.WithoutCancel(ctx), owner, body)
		select {
		case answered <- a:
		case <-ctx.Done():
			if a.permit.Granted {
				a.permit.Release(false)
			}
		}
	}()
	select {
	case a := <-answered:
		return a.permit, a.err
	case <-ctx.Done():
		return backend.Permit{}, ctx.Err()
	}
}

// permitAnswer is what came of a request for a place.
type permitAnswer struct {
	permit backend.Permit
	err    error
}

func (l *Links) request(ctx context.Context, owner blackboard.Member, body permitBody) permitAnswer {
	call, cancel := context.WithTimeout(ctx, 2*permitWait)
	defer cancel()
	var reply permitReply
	if err := l.call(call, owner.Address, kindPermit, body, &reply); err != nil {
		return permitAnswer{err: err}
	}
	release := func(proven bool) {
		back, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		l.call(back, owner.Address, kindRelease, releaseBody{ID: reply.ID, Proven: proven}, nil)
	}
	return permitAnswer{permit: backend.Permit{
		Granted: reply.Granted, Warm: reply.Warm, BootID: reply.BootID, Release: release,
	}}
}
