package peer

import (
	"context"
	"net/netip"
	"sync"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"lentilward.org/lentilward/scatter"
)

// stream is a gather that a peer runs for this instance.
type stream struct {
	emit  func(scatter.Partial)
	ended func(error)
}

// Gather lets a peer gather part of a search. It returns at once, with an error
// if there is no connection to the peer.
func (l *Links) Gather(address netip.AddrPort, g scatter.Gather, emit func(scatter.Partial), ended func(error)) (cancel func(hard bool), _ error) {
	c, ok := l.byAddress.Load(address)
	if !ok {
		return nil, ErrClosed
	}
	return c.(*link).gather(g, emit, ended)
}

func (c *link) gather(g scatter.Gather, emit func(scatter.Partial), ended func(error)) (cancel func(hard bool), _ error) {
	id := c.next.Add(1)
	c.streams.Store(id, &stream{emit, ended})
	if err := c.write(id, kindGather, g); err != nil {
		c.streams.Delete(id)
		return nil, err
	}
	return func(hard bool) {
		if _, open := c.streams.LoadAndDelete(id); open {
			go c.write(c.next.Add(1), kindCancel, cancelBody{ID: id, Hard: hard})
		}
	}, nil
}

// receivePartial hands on what a peer gathered. It returns false if the frame
// belongs to no gather.
func (c *link) receivePartial(f frame) bool {
	s, ok := c.streams.Load(f.ID)
	if !ok {
		return f.Kind == kindPartial
	}
	if f.Kind != kindPartial {
		c.streams.Delete(f.ID)
		s.(*stream).ended(nil)
		return true
	}
	var p scatter.Partial
	if err := cbor.Unmarshal(f.Body, &p); err != nil {
		c.bytes.Malformed.Add(1)
		c.streams.Delete(f.ID)
		s.(*stream).ended(err)
		return true
	}
	s.(*stream).emit(p)
	return true
}

// endStreams tells all gathers that the connection is closed.
func (c *link) endStreams() {
	c.streams.Range(func(id, s any) bool {
		c.streams.Delete(id)
		s.(*stream).ended(ErrClosed)
		return true
	})
}

// gathers are the gathers that run for one connection.
type gathers struct {
	mu     sync.Mutex
	cancel map[uint64]context.CancelCauseFunc
}

func (g *gathers) add(id uint64, cancel context.CancelCauseFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancel[id] = cancel
}

// end ends a gather with a cause.
func (g *gathers) end(id uint64, cause error) {
	g.mu.Lock()
	cancel := g.cancel[id]
	delete(g.cancel, id)
	g.mu.Unlock()
	if cancel != nil {
		cancel(cause)
	}
}

// endAll ends all gathers of a connection that is closed: nobody waits for them.
func (g *gathers) endAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, cancel := range g.cancel {
		cancel(scatter.ErrAbandoned)
	}
}

// gather runs a gather for a peer and tells it what comes.
func (s *Server) gather(ctx context.Context, conn *websocket.Conn, f frame, running *gathers) {
	var g scatter.Gather
	if err := cbor.Unmarshal(f.Body, &g); err != nil || g.Request == nil {
		s.traffic.Malformed.Add(1)
		s.send(ctx, conn, f.ID, kindError, errorBody{Message: "malformed gather"})
		return
	}
	work, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	running.add(f.ID, cancel)
	defer running.end(f.ID, nil)
	s.Gather(work, g, func(p scatter.Partial) {
		if work.Err() == nil {
			s.send(ctx, conn, f.ID, kindPartial, p)
		}
	})
	if work.Err() == nil {
		s.send(ctx, conn, f.ID, kindReply, struct{}{})
	}
}
