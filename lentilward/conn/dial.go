package conn

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds one attempt to connect. It leaves time for one lost SYN
	// packet, which is sent again after one second.
	dialTimeout = 1200 * time.Millisecond
	// UnacknowledgedTimeout bounds how long bytes that were sent stay without an
	// acknowledgement, which a server gives at once, also while it is slow.
	UnacknowledgedTimeout = 800 * time.Millisecond
)

// idleProbes finds within two seconds that an idle connection has gone silent.
var idleProbes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

func dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	if err := LimitSilence(c, UnacknowledgedTimeout); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// DialNear is a Dial for servers in this data centre. Their idle connections are probed,
// so that those that have gone silent are found before the next call; probes to other
// data centres would cost more than they save.
func DialNear(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	c, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := c.(*net.TCPConn).SetKeepAliveConfig(idleProbes); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// LimitSilence closes a connection that has sent bytes for which it gets no
// acknowledgement. It is set on open connections only: the first packet of a new one may
// be sent again after a second.
func LimitSilence(c net.Conn, timeout time.Duration) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}
