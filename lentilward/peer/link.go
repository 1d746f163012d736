package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"lentilward.org/lentilward/memory"
)

const (
	// dialTimeout bounds an attempt to connect to a peer. The HTTP client does not
	// end one together with the call that needs it.
	dialTimeout = time.Second
	// writeTimeout bounds the write of one frame. A connection on which a write
	// times out is closed.
	writeTimeout = 2 * time.Second
	// minCompressedBytes is the size from which on frames are compressed: those with many
	// records of the store. Merged records and proofs do not compress.
	minCompressedBytes = 8 << 10
	// retiredLinkTTL is how long a connection stays open that was given up as
	// silent, so that gathers that are merely late can still finish on it.
	retiredLinkTTL = 5 * time.Second
)

// ErrClosed is returned if there is no connection to a peer, or if it was closed
// during a call.
var ErrClosed = merry.Sentinel("connection to peer is closed")

// Links are the connections from this instance to its peers, one for each peer.
type Links struct {
	byAddress sync.Map
	traffic   *Traffic
	// Opened counts the connections opened so far.
	Opened atomic.Int64
	client *http.Client

	// Memory bounds the bytes of the frames that are held. nil sets no bound.
	Memory *memory.Limit
	// Dial opens a network connection to a peer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnSilent is called when a connection is given up because the peer did not
	// reply to a ping on it and sent nothing else for silentFor.
	OnSilent func(address netip.AddrPort, silentFor time.Duration)
	// OnUnansweredGather is called when a gather ends before the peer has sent anything
	// for it. The connection gets no gathers until its next frame.
	OnUnansweredGather func(address netip.AddrPort)
}

// Traffic counts the bytes that were sent to and received from peers.
type Traffic struct {
	SentBytes, ReceivedBytes atomic.Int64
	// MalformedFrames counts frames that could not be decoded or are of an
	// unknown kind.
	MalformedFrames atomic.Int64
}

// NewLinks returns an empty set of connections that records its traffic in
// traffic.
func NewLinks(traffic *Traffic) *Links {
	l := &Links{traffic: traffic, Dial: (&net.Dialer{}).DialContext, OnSilent: func(netip.AddrPort, time.Duration) {}, OnUnansweredGather: func(netip.AddrPort) {}}
	l.client = &http.Client{Transport: &http.Transport{
		// A connection that is opened too late for its call is closed.
		MaxIdleConnsPerHost: -1, MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return l.Dial(ctx, network, address)
		},
	}}
	return l
}

// link is one connection over which this instance calls a peer. pending holds the
// reply channels of the calls in flight, by frame ID.
type link struct {
	conn    *websocket.Conn
	nextID  atomic.Uint64
	pending sync.Map
	// remoteGathers are the gathers that the peer runs for this instance, by frame
	// ID.
	remoteGathers sync.Map
	closed        chan struct{}
	traffic       *Traffic
	// lastFrame is when the last frame was received, or when the connection was
	// opened if there was none.
	lastFrame atomic.Pointer[time.Time]
	// suspect is set from a gather without an answer until the next frame.
	suspect atomic.Bool
}

// call sends a frame to a peer and decodes the reply's body into reply, unless that
// is nil. It dials the peer if there is no connection.
func (l *Links) call(ctx context.Context, address netip.AddrPort, k kind, body, reply any) error {
	c, err := l.getOrDial(ctx, address)
	if err != nil {
		return err
	}
	return c.call(ctx, k, body, reply)
}

func (l *Links) getOrDial(ctx context.Context, address netip.AddrPort) (*link, error) {
	if c, ok := l.byAddress.Load(address); ok {
		return c.(*link), nil
	}
	conn, _, err := websocket.Dial(ctx, "ws://"+address.String()+peerPath, &websocket.DialOptions{
		HTTPClient: l.client, CompressionMode: websocket.CompressionNoContextTakeover, CompressionThreshold: minCompressedBytes,
	})
	if err != nil {
		return nil, merry.Prepend(err, "dial peer "+address.String())
	}
	conn.SetReadLimit(maxFrameBytes)
	c := &link{conn: conn, closed: make(chan struct{}), traffic: l.traffic}
	c.markReceived()
	l.Opened.Add(1)
	if other, loaded := l.byAddress.LoadOrStore(address, c); loaded {
		conn.CloseNow()
		return other.(*link), nil
	}
	go func() {
		c.readFrames(l.Memory)
		l.byAddress.CompareAndDelete(address, c)
		close(c.closed)
		c.failRemoteGathers()
		conn.CloseNow()
	}()
	return c, nil
}

// Connected returns the addresses of the peers to which a connection is open.
func (l *Links) Connected() []netip.AddrPort {
	var addresses []netip.AddrPort
	l.byAddress.Range(func(address, _ any) bool {
		addresses = append(addresses, address.(netip.AddrPort))
		return true
	})
	return addresses
}

// CanGather reports whether a connection to the peer is open that can take a gather.
func (l *Links) CanGather(address netip.AddrPort) bool {
	c, ok := l.byAddress.Load(address)
	return ok && !c.(*link).suspect.Load()
}

// retire stops the use of a connection on which the peer has sent nothing since a
// time; the next call dials anew.
func (l *Links) retire(address netip.AddrPort, c *link, since time.Time) {
	lastFrame := *c.lastFrame.Load()
	if lastFrame.After(since) || !l.byAddress.CompareAndDelete(address, c) {
		return
	}
	l.OnSilent(address, time.Since(lastFrame))
	time.AfterFunc(retiredLinkTTL, func() { c.conn.CloseNow() })
}

// Close closes all connections.
func (l *Links) Close() {
	l.byAddress.Range(func(_, c any) bool {
		c.(*link).conn.CloseNow()
		return true
	})
}

// readFrames reads frames and passes them to the calls and gathers that wait for
// them, until the connection fails or a frame is malformed.
func (c *link) readFrames(limit *memory.Limit) {
	for {
		f, err := receiveFrame(context.Background(), c.conn, limit, c.traffic)
		if err != nil {
			return
		}
		c.markReceived()
		if !c.handleGatherFrame(f) {
			if received, ok := c.pending.LoadAndDelete(f.ID); ok {
				received.(chan frame) <- f
			}
		}
		// A call that waits decodes its frame at once.
		f.hold.Release()
	}
}

func (c *link) markReceived() {
	now := time.Now()
	c.lastFrame.Store(&now)
	c.suspect.Store(false)
}

func (c *link) call(ctx context.Context, k kind, body, reply any) error {
	id := c.nextID.Add(1)
	received := make(chan frame, 1)
	c.pending.Store(id, received)
	defer c.pending.Delete(id)
	if err := c.writeFrame(id, k, body); err != nil {
		return err
	}
	select {
	case f := <-received:
		return c.decodeReply(f, reply)
	case <-c.closed:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeFrame sends a frame. It does not use the context of the call: a cancelled
// write would close the connection, and all other calls on it would fail.
func (c *link) writeFrame(id uint64, k kind, body any) error {
	data, err := encodeFrame(id, k, body)
	if err != nil {
		return err
	}
	c.traffic.SentBytes.Add(int64(len(data)))
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	if err := c.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return merry.Prepend(ErrClosed, err.Error())
	}
	return nil
}

func (c *link) decodeReply(f frame, reply any) error {
	if f.Kind == kindError {
		var e errorBody
		if err := cbor.Unmarshal(f.Body, &e); err != nil {
			return merry.Prepend(err, "malformed error reply")
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
