package backend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener accepts a limited number of connections, each of which is
// ready only after a delay.
type limitedListener struct {
	net.Listener
	limit int64
	cost  time.Duration
	open  atomic.Int64
}

func newLimitedListener(l net.Listener, limit int, cost time.Duration) *limitedListener {
	return &limitedListener{Listener: l, limit: int64(limit), cost: cost}
}

// Accept waits for a connection within the limit and closes those above it.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &costlyConn{Conn: c, ready: time.Now().Add(l.cost), closed: func() { l.open.Add(-1) }}, nil
		}
		l.open.Add(-1)
		c.Close()
	}
}

// costlyConn delays its first read until it is ready.
type costlyConn struct {
	net.Conn
	ready  time.Time
	once   sync.Once
	closed func()
}

// Read waits until the connection is ready.
func (c *costlyConn) Read(b []byte) (int, error) {
	if d := time.Until(c.ready); d > 0 {
		time.Sleep(d)
	}
	return c.Conn.Read(b)
}

// Close gives the connection back to the limit.
func (c *costlyConn) Close() error {
	c.once.Do(c.closed)
	return c.Conn.Close()
}
