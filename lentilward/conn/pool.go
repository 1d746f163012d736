// Package conn pools the connections to one backend server and makes calls on
// them.
package conn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the server does
	// not announce a timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is how much earlier than the server this side closes an
	// idle connection, so that no call is sent while the server is closing it.
	idleTimeoutMargin = 500 * time.Millisecond
	// minDialBackoff and maxDialBackoff bound the time without new connections after the
	// server has reset one before its first reply, as it does with those above its
	// limit.
	minDialBackoff = 100 * time.Millisecond
	maxDialBackoff = time.Second
	// readBufferBytes is the size of the read buffer of one connection.
	readBufferBytes = 2048
)

// Errors of a connection.
var (
	// ErrConnectionLimit means that all connections that this instance may open to
	// the server are in use.
	ErrConnectionLimit = merry.Sentinel("all connections to the backend server are in use")
	// ErrUnreachable means that no connection could be opened, so nothing was sent.
	ErrUnreachable = merry.Sentinel("backend server unreachable")
)

// Pool holds the connections from this instance to one backend server.
type Pool struct {
	address netip.AddrPort
	// Limit bounds the open connections.
	Limit atomic.Int32
	// Opened counts the connections opened so far.
	Opened atomic.Int64
	// OnDemand is set while connections are opened only when a call needs one.
	OnDemand atomic.Bool
	// Dial opens a connection.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	// largeReplies is the number of bytes of large replies that are being read.
	largeReplies atomic.Int64

	mu sync.Mutex
	// idle has the free connections, the most recently used one last.
	idle   []*Conn
	open   int
	closed bool
	// lastUnanswered is the latest start of a call that got no reply. Connections
	// that were already idle at that time may be dead as well.
	lastUnanswered time.Time
	// dialAfter is when a connection may be opened again, in nanoseconds since
	// poolEpoch; 0 if there was no reset. idleCount is the length of idle, and
	// resets counts the resets since a connection has last got a reply.
	dialAfter atomic.Int64
	idleCount atomic.Int32
	resets    int
	// lastReply is when a connection was last released after a reply.
	lastReply time.Time
}

// poolEpoch is the reference time of Pool.dialAfter.
var poolEpoch = time.Now()

// CanConnect reports whether a call would get a connection: an idle one, or a new one
// unless the server has just reset such.
func (p *Pool) CanConnect(now time.Time) bool {
	return p.HasIdle() || p.canDial(now)
}

// HasIdle reports whether an idle connection is open.
func (p *Pool) HasIdle() bool { return p.idleCount.Load() > 0 }

// canDial reports whether a connection may be opened after resets of earlier ones.
func (p *Pool) canDial(now time.Time) bool {
	dialAfter := p.dialAfter.Load()
	return dialAfter == 0 || int64(now.Sub(poolEpoch)) >= dialAfter
}

// RecordReset records that the server has reset a new connection before any reply, and
// returns how long no other is opened.
func (p *Pool) RecordReset(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	backoff := min(minDialBackoff<<min(p.resets, 8), maxDialBackoff)
	p.resets++
	p.dialAfter.Store(int64(now.Add(backoff).Sub(poolEpoch)))
	return backoff
}

// recordReply records that a connection has got a reply.
func (p *Pool) recordReply() {
	if p.dialAfter.Load() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resets = 0
	p.dialAfter.Store(0)
}

// NewPool returns an empty pool with a limit of one connection.
func NewPool(address netip.AddrPort) *Pool {
	p := &Pool{address: address, Dial: dial}
	p.Limit.Store(1)
	return p
}

// Conn is one connection to a backend server. It carries one call at a time.
type Conn struct {
	net.Conn
	pool        *Pool
	source      *limitedSource
	reader      *bufio.Reader
	writeBuffer []byte
	openedAt    time.Time
	idleSince   time.Time
	idleTimeout time.Duration
	// lastRequestID is the ID of the request of the latest call; empty before one.
	lastRequestID string
}

// Get returns a healthy idle connection, or else opens a new one. It fails with
// ErrConnectionLimit or ErrUnreachable.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	for {
		c, err := p.takeIdleOrReserve(time.Now())
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.connect(ctx)
		}
		if c.isHealthy() {
			return c, nil
		}
		c.Discard()
	}
}

// takeIdleOrReserve returns an idle connection. If there is none it reserves a
// new one within the limit and returns nil; the caller must then connect.
func (p *Pool) takeIdleOrReserve(now time.Time) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.idleCount.Store(int32(len(p.idle)))
		if !c.expired(now) {
			return c, nil
		}
		p.drop(c)
	}
	if p.open >= int(p.Limit.Load()) || !p.canDial(now) {
		return nil, ErrConnectionLimit
	}
	p.open++
	return nil, nil
}

// connect opens a connection that the caller has already counted in p.open. On
// failure it undoes that count and returns ErrUnreachable.
func (p *Pool) connect(ctx context.Context) (*Conn, error) {
	raw, err := p.Dial(ctx, p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	p.Opened.Add(1)
	source := &limitedSource{conn: raw, largeReplies: &p.largeReplies}
	return &Conn{
		Conn: raw, pool: p, source: source, reader: bufio.NewReaderSize(source, readBufferBytes), idleTimeout: defaultIdleTimeout,
		openedAt: time.Now(),
	}, nil
}

// drop closes a connection and subtracts it from p.open. The caller holds mu.
func (p *Pool) drop(c *Conn) {
	p.open--
	c.Close()
}

// OpenIdle opens idle connections ahead of calls until n connections are open. It
// stops at the limit and at the first failure.
func (p *Pool) OpenIdle(ctx context.Context, n int) {
	for range n {
		p.mu.Lock()
		canOpen := !p.closed && !p.OnDemand.Load() && p.open < n && p.open < int(p.Limit.Load())
		if canOpen {
			p.open++
		}
		p.mu.Unlock()
		if !canOpen {
			return
		}
		c, err := p.connect(ctx)
		if err != nil {
			return
		}
		c.Release()
	}
}

// Probe tests whether the server can be connected to. It opens a connection
// even above the limit, and returns it to the pool if the limit allows.
func (p *Pool) Probe(ctx context.Context) error {
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	c, err := p.connect(ctx)
	if err != nil {
		return err
	}
	c.Release()
	return nil
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Trim closes the idle connections that have expired and those above the limit.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.expired(now) || p.closed || p.open > int(p.Limit.Load()) {
			p.drop(c)
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.idleCount.Store(int32(len(p.idle)))
}

// Close closes the idle connections, and those in use once they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Trim(time.Now())
}

// RecordReplyTimeout records that the call started at sent got no reply in time.
// Connections that have been idle since before then are not used again.
func (p *Pool) RecordReplyTimeout(sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sent.After(p.lastUnanswered) {
		p.lastUnanswered = sent
	}
}

// Release returns a connection on which no reply is outstanding to its pool.
func (c *Conn) Release() {
	p := c.pool
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.lastRequestID != "" {
		p.lastReply = c.idleSince
	}
	if p.closed || p.open > int(p.Limit.Load()) {
		p.drop(c)
		return
	}
	p.idle = append(p.idle, c)
	p.idleCount.Store(int32(len(p.idle)))
}

// Discard closes a connection instead of returning it to its pool.
func (c *Conn) Discard() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.drop(c)
}

// expired reports whether the server may have closed the idle connection. The
// caller holds the pool's mu.
func (c *Conn) expired(now time.Time) bool {
	return now.Sub(c.idleSince) >= c.idleTimeout || c.idleSince.Before(c.pool.lastUnanswered)
}

// isHealthy reports whether an idle connection is open and has no unread bytes:
// bytes that arrive while it is idle belong to no request.
func (c *Conn) isHealthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return c.timesOut()
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		p.drop(c)
	}
	clear(p.idle)
	p.idle = p.idle[:0]
	p.idleCount.Store(0)
}
