package peer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

// ErrClosed means that the connection to a peer ended during a call.
var ErrClosed = merry.Sentinel("connection to peer is closed")

// Links are the connections from this instance to its peers.
type Links struct {
	byAddress sync.Map
	bytes     *Traffic
}

// Traffic counts what was sent to and received from peers, in bytes.
type Traffic struct {
	Sent, Received atomic.Int64
	// Malformed counts frames that could not be read.
	Malformed atomic.Int64
}

// NewLinks returns an empty set of connections.
func NewLinks(traffic *Traffic) *Links {
	return &Links{bytes: traffic}
}

// link is one connection on which calls are made.
type link struct {
	conn    *websocket.Conn
	next    atomic.Uint64
	pending sync.Map
	// streams are the gathers that the peer runs for this instance.
	streams sync.Map
	closed  chan struct{}
	bytes   *Traffic
}

// call sends a frame to a peer and reads the reply into reply, unless it is
// nil. It connects first if there is no connection.
func (l *Links) call(ctx context.Context, address netip.AddrPort, k kind, body, reply any) error {
	c, err := l.get(ctx, address)
	if err != nil {
		return err
	}
	return c.call(ctx, k, body, reply)
}

func (l *Links) get(ctx context.Context, address netip.AddrPort) (*link, error) {
	if c, ok := l.byAddress.Load(address); ok {
		return c.(*link), nil
	}
	conn, _, err := websocket.Dial(ctx, "ws://"+address.String()+path, nil)
	if err != nil {
		return nil, merry.Prepend(err, "peer "+address.String())
	}
	conn.SetReadLimit(maxFrame)
	c := &link{conn: conn, closed: make(chan struct{}), bytes: l.bytes}
	if other, loaded := l.byAddress.LoadOrStore(address, c); loaded {
		conn.CloseNow()
		return other.(*link), nil
	}
	go func() {
		c.read()
		l.byAddress.CompareAndDelete(address, c)
		close(c.closed)
		c.endStreams()
		conn.CloseNow()
	}()
	return c, nil
}

// Close ends all connections.
func (l *Links) Close() {
	l.byAddress.Range(func(_, c any) bool {
		c.(*link).conn.CloseNow()
		return true
	})
}

// read hands replies to those that wait for them.
func (c *link) read() {
	for {
		_, data, err := c.conn.Read(context.Background())
		if err != nil {
			return
		}
		c.bytes.Received.Add(int64(len(data)))
		f, err := decode(data)
		if err != nil {
			c.bytes.Malformed.Add(1)
			return
		}
		if c.receivePartial(f) {
			continue
		}
		if ch, ok := c.pending.LoadAndDelete(f.ID); ok {
			ch.(chan frame) <- f
		}
	}
}

func (c *link) call(ctx context.Context, k kind, body, reply any) error {
	id := c.next.Add(1)
	answer := make(chan frame, 1)
	c.pending.Store(id, answer)
	defer c.pending.Delete(id)
	if err := c.write(id, k, body); err != nil {
		return err
	}
	select {
	case f := <-answer:
		return c.result(f, reply)
	case <-c.closed:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// write sends a frame. A write that is cancelled would close the connection
// under the calls of others, so that none is.
func (c *link) write(id uint64, k kind, body any) error {
	data, err := encode(id, k, body)
	if err != nil {
		return err
	}
	c.bytes.Sent.Add(int64(len(data)))
	if err := c.conn.Write(context.Background(), websocket.MessageBinary, data); err != nil {
		return merry.Prepend(ErrClosed, err.Error())
	}
	return nil
}

func (c *link) result(f frame, reply any) error {
	if f.Kind == kindError {
		var e errorBody
		if err := cbor.Unmarshal(f.Body, &e); err != nil {
			return merry.Prepend(err, "malformed error")
		}
		return merry.New(e.Message)
	}
	if reply == nil {
		return nil
	}
	if err := cbor.Unmarshal(f.Body, reply); err != nil {
		return merry.Prepend(err, "malformed reply")
	}
	return nil
}
