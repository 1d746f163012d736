package backend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener accepts up to maxConns connections at once, each of which can
// be read only after setupDelay, to simulate the cost of a new connection.
type limitedListener struct {
	net.Listener
	maxConns   int64
	setupDelay time.Duration
	openConns  atomic.Int64
}

func newLimitedListener(l net.Listener, maxConns int, setupDelay time.Duration) *limitedListener {
	return &limitedListener{Listener: l, maxConns: int64(maxConns), setupDelay: setupDelay}
}

// Accept returns the next connection within the limit and closes those above it.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.openConns.Add(1) <= l.maxConns {
			return &delayedConn{Conn: c, readyAt: time.Now().Add(l.setupDelay), release: func() { l.openConns.Add(-1) }}, nil
		}
		l.openConns.Add(-1)
		c.Close()
	}
}

// delayedConn blocks reads until readyAt and releases its slot when closed.
type delayedConn struct {
	net.Conn
	readyAt     time.Time
	releaseOnce sync.Once
	release     func()
}

// Read waits until readyAt, then reads.
func (c *delayedConn) Read(b []byte) (int, error) {
	if d := time.Until(c.readyAt); d > 0 {
		time.Sleep(d)
	}
	return c.Conn.Read(b)
}

// Close releases the connection's slot, once, and closes it.
func (c *delayedConn) Close() error {
	c.releaseOnce.Do(c.release)
	return c.Conn.Close()
}
