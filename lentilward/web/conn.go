package web

import (
	"context"
	"net"
	"net/http"

	"lentilward.org/lentilward/memory"
)

// Limit returns a listener whose connections hold the bytes of the requests that they
// read, from the first byte of a head to the end of the answer, in the memory of the
// server.
func (s *Server) Limit(l net.Listener) net.Listener { return callerListener{l, s.Memory} }

type callerListener struct {
	net.Listener
	limit *memory.Limit
}

// Accept returns the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, hold: l.limit.NewHold()}, nil
}

// callerConn is the connection of a caller. Its hold has the bytes read since the last
// answer.
type callerConn struct {
	net.Conn
	hold *memory.Hold
	// failure is set once bytes were dropped; what follows them can't be read.
	failure error
}

// Read reads from the connection, and fails with memory.ErrExhausted.
func (c *callerConn) Read(b []byte) (int, error) {
	if c.failure != nil {
		return 0, c.failure
	}
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if failure := c.hold.Take(int64(n)); failure != nil {
		// net/http closes a connection without an answer only after such an error.
		c.failure = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: failure}
		return 0, c.failure
	}
	return n, err
}

// Close gives the memory back and closes the connection.
func (c *callerConn) Close() error {
	c.hold.Release()
	return c.Conn.Close()
}

// CloseWrite ends the sending side, if the connection can: net/http does so, so that the
// caller gets an answer before the connection is closed with bytes unread.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// holdKey is the key of a connection's hold in the contexts of its requests.
type holdKey struct{}

// withConn adds to the context of a connection's requests what is known of it.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return withTransit(withHold(ctx, c), c)
}

func withHold(ctx context.Context, c net.Conn) context.Context {
	if limited, ok := c.(*callerConn); ok {
		return context.WithValue(ctx, holdKey{}, limited.hold)
	}
	return ctx
}

// requestHold returns the hold of the connection of a request; nil if it has no limit.
func requestHold(r *http.Request) *memory.Hold {
	hold, _ := r.Context().Value(holdKey{}).(*memory.Hold)
	return hold
}
