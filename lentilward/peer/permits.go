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
	// permitTimeout bounds how long the owner of a cold server makes a peer wait
	// for a slot.
	permitTimeout = 200 * time.Millisecond
	// permitTTL is the time after which the owner frees a slot that its holder has
	// not released. It is longer than any call to a cold server.
	permitTTL = 1500 * time.Millisecond
	// releaseTimeout bounds the call that returns a permit to its owner.
	releaseTimeout = time.Second
)

// Permits are the slots of cold servers that this instance has granted to peers.
type Permits struct {
	board   *blackboard.Board
	nextID  atomic.Uint64
	granted sync.Map
	// GrantPermit acquires a slot of a server that this instance owns.
	GrantPermit func(ctx context.Context, s *blackboard.Server, bootID uint64, class blackboard.Class) backend.Permit
}

// NewPermits returns an empty table of permits.
func NewPermits(board *blackboard.Board) *Permits {
	return &Permits{board: board}
}

// grant handles a peer's request for a slot. A granted slot is freed after
// permitTTL at the latest.
func (p *Permits) grant(ctx context.Context, b permitBody) (permitReply, error) {
	s := p.board.Routes.Load().Servers[b.Address]
	if s == nil {
		return permitReply{}, merry.Errorf("unknown backend server %s", b.Address)
	}
	if b.Class >= blackboard.ClassCount {
		return permitReply{}, merry.Errorf("unknown request class %d", b.Class)
	}
	waitCtx, cancel := context.WithTimeout(ctx, min(b.Wait, permitTimeout))
	defer cancel()
	permit := p.GrantPermit(waitCtx, s, b.BootID, b.Class)
	reply := permitReply{Granted: permit.Granted, Warm: permit.Warm, BootID: permit.BootID}
	if permit.Granted {
		reply.ID = p.nextID.Add(1)
		p.granted.Store(reply.ID, permit)
		time.AfterFunc(permitTTL, func() { p.release(reply.ID, false) })
	}
	return reply, nil
}

// release frees a granted slot. Further calls for the same permit have no effect.
func (p *Permits) release(id uint64, succeeded bool) {
	if permit, ok := p.granted.LoadAndDelete(id); ok {
		permit.(backend.Permit).Release(succeeded)
	}
}

// AcquirePermit asks the owner of a cold server for a permit. A permit that arrives
// after the context has ended is released immediately.
func (l *Links) AcquirePermit(ctx context.Context, owner blackboard.Member, s *blackboard.Server, bootID uint64, class blackboard.Class) (backend.Permit, error) {
	wait := permitTimeout
	if deadline, bounded := ctx.Deadline(); bounded {
		wait = min(wait, time.Until(deadline))
	}
	body := permitBody{Address: s.Address, BootID: bootID, Class: class, Wait: wait}
	results := make(chan permitResult)
	go func() {
		result := l.requestPermit(context.WithoutCancel(ctx), owner, body)
		select {
		case results <- result:
		case <-ctx.Done():
			if result.permit.Granted {
				result.permit.Release(false)
			}
		}
	}()
	select {
	case result := <-results:
		return result.permit, result.err
	case <-ctx.Done():
		return backend.Permit{}, ctx.Err()
	}
}

// permitResult is the outcome of a request for a permit.
type permitResult struct {
	permit backend.Permit
	err    error
}

func (l *Links) requestPermit(ctx context.Context, owner blackboard.Member, body permitBody) permitResult {
	callCtx, cancel := context.WithTimeout(ctx, 2*permitTimeout)
	defer cancel()
	var reply permitReply
	if err := l.call(callCtx, owner.Address, kindPermit, body, &reply); err != nil {
		return permitResult{err: err}
	}
	releasePermit := func(succeeded bool) {
		releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		l.call(releaseCtx, owner.Address, kindRelease, releaseBody{ID: reply.ID, Succeeded: succeeded}, nil)
	}
	return permitResult{permit: backend.Permit{
		Granted: reply.Granted, Warm: reply.Warm, BootID: reply.BootID, Release: releasePermit,
	}}
}
