package web

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// transitKey is the key of a connection's transit in the contexts of its requests.
type transitKey struct{}

// transit tells how long requests and answers on one connection are on their way.
type transit struct {
	conn syscall.Conn
	// answered is set once a request was read on the connection. net/http serves the
	// requests of a connection one after the other.
	answered bool
}

// withTransit adds the transit of a connection to the context of its requests.
func withTransit(ctx context.Context, c net.Conn) context.Context {
	if limited, ok := c.(*callerConn); ok {
		c = limited.Conn
	}
	if raw, ok := c.(syscall.Conn); ok {
		return context.WithValue(ctx, transitKey{}, &transit{conn: raw})
	}
	return ctx
}

// transitTime returns how much of the time that a caller waits passes on the network, and
// not here: one round trip, and another one for the handshake if the request is the first
// on its connection. It returns 0 if the round trip is not known.
func transitTime(ctx context.Context) time.Duration {
	t, _ := ctx.Value(transitKey{}).(*transit)
	if t == nil {
		return 0
	}
	trips := time.Duration(2)
	if t.answered {
		trips = 1
	}
	t.answered = true
	return trips * t.roundTrip()
}

// roundTrip returns the round trip time that the kernel measures, or 0.
func (t *transit) roundTrip() time.Duration {
	raw, err := t.conn.SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	if err := raw.Control(func(fd uintptr) {
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil || info == nil {
		return 0
	}
	return time.Duration(info.Rtt) * time.Microsecond
}
