package peer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"lentilward.org/lentilward/scatter"
)

// remoteGather is a gather that a peer runs for this instance. It passes each
// partial result to emit, and calls done once the gather has ended.
type remoteGather struct {
	emit func(scatter.Partial)
	done func(error)
	// answered is set once the peer has sent a partial result.
	answered atomic.Bool
}

// Gather starts a gather at a peer and returns without waiting for results. It
// does not dial: without a connection to the peer it returns ErrClosed. The
// returned function cancels the gather; abandoned means that nobody needs its
// calls in flight any more.
func (l *Links) Gather(address netip.AddrPort, g scatter.Gather, emit func(scatter.Partial), done func(error)) (cancel func(abandoned bool), _ error) {
	c, ok := l.byAddress.Load(address)
	if !ok {
		return nil, ErrClosed
	}
	return c.(*link).startGather(g, emit, done, func() { l.OnUnansweredGather(address) })
}

func (c *link) startGather(g scatter.Gather, emit func(scatter.Partial), done func(error), onUnanswered func()) (cancel func(abandoned bool), _ error) {
	id := c.nextID.Add(1)
	gather := &remoteGather{emit: emit, done: done}
	c.remoteGathers.Store(id, gather)
	if err := c.writeFrame(id, kindGather, g); err != nil {
		c.remoteGathers.Delete(id)
		return nil, err
	}
	return func(abandoned bool) {
		if _, found := c.remoteGathers.LoadAndDelete(id); found {
			go c.writeFrame(c.nextID.Add(1), kindCancel, cancelBody{ID: id, Abandoned: abandoned})
			if !gather.answered.Load() && !abandoned && c.suspect.CompareAndSwap(false, true) {
				go onUnanswered()
			}
		}
	}, nil
}

// handleGatherFrame passes a frame to the remote gather that it belongs to, and
// reports whether it has consumed the frame. It drops partial results of gathers
// that have already ended.
func (c *link) handleGatherFrame(f frame) bool {
	gather, ok := c.remoteGathers.Load(f.ID)
	if !ok {
		return f.Kind == kindPartial
	}
	if f.Kind != kindPartial {
		c.remoteGathers.Delete(f.ID)
		gather.(*remoteGather).end(f)
		return true
	}
	var p scatter.Partial
	if err := cbor.Unmarshal(f.Body, &p); err != nil {
		c.traffic.MalformedFrames.Add(1)
		c.remoteGathers.Delete(f.ID)
		gather.(*remoteGather).done(err)
		return true
	}
	gather.(*remoteGather).answered.Store(true)
	gather.(*remoteGather).emit(p)
	return true
}

// failRemoteGathers ends all remote gathers of a closed connection with ErrClosed.
func (c *link) failRemoteGathers() {
	c.remoteGathers.Range(func(id, gather any) bool {
		c.remoteGathers.Delete(id)
		gather.(*remoteGather).done(ErrClosed)
		return true
	})
}

// runningGathers are the gathers that this instance runs for the peer at the other
// end of one connection, by frame ID.
type runningGathers struct {
	mu          sync.Mutex
	cancelFuncs map[uint64]context.CancelCauseFunc
}

func (g *runningGathers) add(id uint64, cancel context.CancelCauseFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancelFuncs[id] = cancel
}

// cancel cancels a gather with a cause. Unknown IDs are ignored.
func (g *runningGathers) cancel(id uint64, cause error) {
	g.mu.Lock()
	cancel := g.cancelFuncs[id]
	delete(g.cancelFuncs, id)
	g.mu.Unlock()
	if cancel != nil {
		cancel(cause)
	}
}

// cancelAll cancels all gathers of a closed connection as abandoned, since their
// results cannot be delivered any more.
func (g *runningGathers) cancelAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, cancel := range g.cancelFuncs {
		cancel(scatter.ErrAbandoned)
	}
}

// runGather runs a gather for a peer: it sends each partial result, then an empty
// reply when the gather has ended. After a cancellation it sends nothing.
func (s *Server) runGather(ctx context.Context, conn *websocket.Conn, f frame, running *runningGathers) {
	var g scatter.Gather
	if err := cbor.Unmarshal(f.Body, &g); err != nil || g.Request == nil {
		s.traffic.MalformedFrames.Add(1)
		s.sendFrame(ctx, conn, f.ID, kindError, errorBody{Message: "malformed gather request"})
		return
	}
	gatherCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	running.add(f.ID, cancel)
	defer running.cancel(f.ID, nil)
	ended := false
	s.Gather(gatherCtx, g, func(p scatter.Partial) {
		switch {
		case gatherCtx.Err() != nil:
		case p.Last:
			ended = true
			s.sendFrame(ctx, conn, f.ID, kindReply, newGatherEnd(p))
		default:
			s.sendFrame(ctx, conn, f.ID, kindPartial, p)
		}
	})
	if gatherCtx.Err() == nil && !ended {
		s.sendFrame(ctx, conn, f.ID, kindReply, struct{}{})
	}
}

// gatherEnd is the body of the last frame of a gather. That of a hand-over has the last
// results, so that a search takes one frame in each direction.
type gatherEnd struct {
	Partial    *scatter.Partial `cbor:"partial,omitempty"`
	Refused    bool             `cbor:"refused,omitempty"`
	RetryAfter time.Duration    `cbor:"retry-after,omitempty"`
}

func newGatherEnd(p scatter.Partial) gatherEnd {
	if p.Refused {
		return gatherEnd{Refused: true, RetryAfter: p.RetryAfter}
	}
	return gatherEnd{Partial: &p}
}

// end passes on what the last frame of a gather has.
func (g *remoteGather) end(f frame) {
	if f.Kind == kindError {
		g.done(errGatherFailed)
		return
	}
	var end gatherEnd
	if err := cbor.Unmarshal(f.Body, &end); err != nil {
		g.done(err)
		return
	}
	if end.Partial != nil {
		g.answered.Store(true)
		g.emit(*end.Partial)
	}
	if end.Refused {
		g.answered.Store(true)
		g.done(&scatter.HolderRefusal{RetryAfter: end.RetryAfter})
		return
	}
	g.done(nil)
}

// errGatherFailed is the error of a gather that the peer could not run.
var errGatherFailed = merry.Sentinel("peer could not run the gather")
