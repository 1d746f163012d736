package main

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// memoryNetwork connects the instances and servers of a test in memory, so that
// they can run in a bubble of testing/synctest. Its open connections can be made
// silent, as by a middlebox that has lost their state.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	links     []*memoryLink
	// refused is set while new connections fail.
	refused bool
	// readDelay is how long accepted connections hold back the bytes that they have read,
	// as does a process that gets no processor time.
	readDelay time.Duration
	// isolated has the hosts that can't reach others or be reached.
	isolated map[string]bool
	// isCut reports whether two hosts can't reach each other; nil if all can.
	isCut func(a, b string) bool
}

func newMemoryNetwork(t *testing.T) *memoryNetwork {
	n := &memoryNetwork{listeners: make(map[string]*memoryListener), isolated: make(map[string]bool)}
	t.Cleanup(func() {
		n.close()
		// Calls in progress end by their timeouts.
		time.Sleep(time.Minute)
	})
	return n
}

// memoryLink is one connection. The bytes of either side pass through forward.
type memoryLink struct {
	silent atomic.Bool
	// hosts are the hosts at both ends.
	hosts [2]string
	ends  [4]net.Conn
}

// memoryListener accepts the connections to one address.
type memoryListener struct {
	network  *memoryNetwork
	address  net.Addr
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return delayedConn{c, l.network.readDelay}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// delayedConn returns what it has read after a delay.
type delayedConn struct {
	net.Conn
	delay time.Duration
}

func (c delayedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.delay > 0 {
		time.Sleep(c.delay)
	}
	return n, err
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return l.address }

// memoryConn is the accepting end of a connection, with the address of the host
// at the other end.
type memoryConn struct {
	net.Conn
	remote net.Addr
}

func (c memoryConn) RemoteAddr() net.Addr { return c.remote }

func (n *memoryNetwork) listen(address netip.AddrPort) (net.Listener, error) {
	l := &memoryListener{network: n, address: net.TCPAddrFromAddrPort(address), accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address.String()] = l
	return l, nil
}

// dialFrom returns a function that opens connections from a host.
func (n *memoryNetwork) dialFrom(host string) dialFunc {
	remote := net.TCPAddrFromAddrPort(netip.MustParseAddrPort(host + ":1"))
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		l, refused := n.listeners[address], n.refused
		target := netip.MustParseAddrPort(address).Addr().String()
		isolated := n.isolated[host] || n.isolated[target] || n.isCut != nil && n.isCut(host, target)
		n.mu.Unlock()
		if isolated {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if l == nil || refused {
			return nil, errUnreachable
		}
		link := &memoryLink{hosts: [2]string{host, target}}
		link.ends[0], link.ends[1] = net.Pipe()
		link.ends[2], link.ends[3] = net.Pipe()
		go link.forward(link.ends[1], link.ends[2])
		go link.forward(link.ends[2], link.ends[1])
		n.mu.Lock()
		n.links = append(n.links, link)
		n.mu.Unlock()
		select {
		case l.accepted <- memoryConn{link.ends[3], remote}:
			return link.ends[0], nil
		case <-l.closed:
		case <-ctx.Done():
		}
		link.close()
		return nil, errUnreachable
	}
}

// forward copies bytes until one end is closed. On a silent connection it drops
// them, and does not tell the other end when one is closed.
func (l *memoryLink) forward(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if l.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if err != nil {
			to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			from.Close()
			return
		}
	}
}

func (l *memoryLink) close() {
	for _, c := range l.ends {
		c.Close()
	}
}

// silenceOpenConnections makes all open connections silent; new ones work.
func (n *memoryNetwork) silenceOpenConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.silent.Store(true)
	}
}

// silenceOpenConnectionsOf makes the open connections of one host silent.
func (n *memoryNetwork) silenceOpenConnectionsOf(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if slices.Contains(l.hosts[:], host) {
			l.silent.Store(true)
		}
	}
}

// isolate makes the open connections of a host silent, and new ones hang until rejoin.
func (n *memoryNetwork) isolate(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[host] = true
	for _, l := range n.links {
		if slices.Contains(l.hosts[:], host) {
			l.silent.Store(true)
		}
	}
}

// cut makes the open connections between some pairs of hosts silent, and new ones hang,
// until isCut is nil.
func (n *memoryNetwork) cut(isCut func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isCut = isCut
	for _, l := range n.links {
		if isCut != nil && isCut(l.hosts[0], l.hosts[1]) {
			l.silent.Store(true)
		}
	}
}

// rejoin ends the isolation of a host.
func (n *memoryNetwork) rejoin(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.isolated, host)
}

// disconnect closes the listeners and connections of a host, as the end of its process
// does.
func (n *memoryNetwork) disconnect(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, l := range n.listeners {
		if strings.HasPrefix(address, host+":") {
			l.Close()
		}
	}
	for _, l := range n.links {
		if slices.Contains(l.hosts[:], host) {
			l.close()
		}
	}
}

// cutLinks closes the open connections of a host; new ones work.
func (n *memoryNetwork) cutLinks(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if slices.Contains(l.hosts[:], host) {
			l.close()
		}
	}
}

// refuseConnections makes all attempts to open a connection fail.
func (n *memoryNetwork) refuseConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused = true
}

// close closes all listeners and connections.
func (n *memoryNetwork) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		l.Close()
	}
	for _, l := range n.links {
		l.close()
	}
}
