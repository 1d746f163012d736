// Package conn keeps the connections to one backend server and makes calls on
// them.
package conn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// dialTimeout bounds one attempt to connect: a dropped opening packet comes
	// again after one second.
	dialTimeout = 1200 * time.Millisecond
	// idleTimeout is how long a connection is kept if the server does not say.
	idleTimeout = 4 * time.Second
	// idleMargin is how much sooner than the server this side drops an idle
	// connection, so that no call crosses the server's close.
	idleMargin = 500 * time.Millisecond
	// readBuffer is the size of the buffer of one connection, in bytes.
	readBuffer = 2048
)

// Errors of a connection.
var (
	// ErrFull means that this instance has its share of connections in use.
	ErrFull = merry.Sentinel("no connection is free")
	// ErrUnreachable means that there is no connection, so nothing was sent.
	ErrUnreachable = merry.Sentinel("cannot connect")
)

// Pool has the connections from this instance to one backend server.
type Pool struct {
	address netip.AddrPort
	// Limit bounds the open connections.
	Limit atomic.Int32
	// Opened counts the connections that were made.
	Opened atomic.Int64
	// Dial makes a connection.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	mu sync.Mutex
	// idle has the free connections, the one used last at the end.
	idle   []*Conn
	open   int
	closed bool
	// silentSince is when a call was sent that got no reply on a connection.
	// Connections that were idle before may be dead as well.
	silentSince time.Time
}

// NewPool returns an empty pool.
func NewPool(address netip.AddrPort) *Pool {
	p := &Pool{address: address, Dial: dial}
	p.Limit.Store(1)
	return p
}

func dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return d.DialContext(ctx, "tcp", address.String())
}

// Conn is one connection to a backend server. One call at a time uses it.
type Conn struct {
	net.Conn
	pool      *Pool
	reader    *bufio.Reader
	buffer    []byte
	idleSince time.Time
	idleFor   time.Duration
}

// Get takes a connection: an idle one that is sound, or a new one.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	for {
		c, err := p.take(time.Now())
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.connect(ctx)
		}
		if c.sound() {
			return c, nil
		}
		c.Discard()
	}
}

// take returns an idle connection, or nil with a place to open one.
func (p *Pool) take(now time.Time) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if !c.expired(now) {
			return c, nil
		}
		p.drop(c)
	}
	if p.open >= int(p.Limit.Load()) {
		return nil, ErrFull
	}
	p.open++
	return nil, nil
}

// connect opens a connection for which take has made room.
func (p *Pool) connect(ctx context.Context) (*Conn, error) {
	raw, err := p.Dial(ctx, p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, merry.Prepend(ErrUnreachable, err.Error())
	}
	p.Opened.Add(1)
	return &Conn{
		Conn: raw, pool: p, reader: bufio.NewReaderSize(raw, readBuffer), idleFor: idleTimeout,
	}, nil
}

// drop closes a connection. The caller holds mu.
func (p *Pool) drop(c *Conn) {
	p.open--
	c.Close()
}

// Warm opens connections until there are n, for calls to come.
func (p *Pool) Warm(ctx context.Context, n int) {
	for range n {
		p.mu.Lock()
		room := !p.closed && p.open < n && p.open < int(p.Limit.Load())
		if room {
			p.open++
		}
		p.mu.Unlock()
		if !room {
			return
		}
		c, err := p.connect(ctx)
		if err != nil {
			return
		}
		c.Release()
	}
}

// Probe opens a connection, also above the limit, and keeps it if it can.
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

// Trim closes the idle connections whose time has passed and those above the
// limit.
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
}

// Close closes the idle connections, and those in use once they are free.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Trim(time.Now())
}

// Silent notes that a call sent at a time got no reply on its connection.
func (p *Pool) Silent(sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sent.After(p.silentSince) {
		p.silentSince = sent
	}
}

// Release gives a connection back after a whole reply.
func (c *Conn) Release() {
	p := c.pool
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > int(p.Limit.Load()) {
		p.drop(c)
		return
	}
	p.idle = append(p.idle, c)
}

// Discard closes a connection for good.
func (c *Conn) Discard() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.drop(c)
}

// expired tells whether the server may have dropped the idle connection. The
// caller holds the pool's mu.
func (c *Conn) expired(now time.Time) bool {
	return now.Sub(c.idleSince) >= c.idleFor || c.idleSince.Before(c.pool.silentSince)
}

// sound tells whether an idle connection is open and has nothing left to read:
// bytes that came meanwhile belong to no request.
func (c *Conn) sound() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
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

// Drain closes the idle connections.
func (p *Pool) Drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		p.drop(c)
	}
	clear(p.idle)
	p.idle = p.idle[:0]
}
