package web

import (
	"context"
	"net"
	"testing"
	"time"
)

// Guards against a round trip that is not measured, and against a handshake that is
// counted for later requests of a connection or not for the first.
func TestTransitCountsTheHandshakeOnce(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ctx := withConn(t.Context(), &callerConn{Conn: c})
	first := transitTime(ctx)
	if later := transitTime(ctx); later <= 0 || first != 2*later {
		t.Errorf("first request %v, later request %v", first, later)
	}
}

// Guards against a failure for connections that are no sockets.
func TestTransitOfOtherConnectionsIsUnknown(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	for _, ctx := range []context.Context{t.Context(), withConn(t.Context(), a)} {
		if got := transitTime(ctx); got != time.Duration(0) {
			t.Errorf("transit %v", got)
		}
	}
}
