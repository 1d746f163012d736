package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Modes of a proxy. In mode forwarding it copies data unchanged.
const (
	forwarding int32 = iota
	// delaying adds proxyDelay to each chunk of data.
	delaying
	// stalling forwards no data and keeps connections open.
	stalling
	// refusing closes new connections at once.
	refusing
)

// proxyDelay is the delay that a delaying proxy adds in either direction.
const proxyDelay = 30 * time.Millisecond

// proxy is a loopback TCP proxy that can inject connection faults.
type proxy struct {
	address string
	target  string
	mode    atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
	// silenced has the connections that are open and forward nothing any more.
	silenced map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), target: target, conns: make(map[net.Conn]bool), silenced: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	if p.mode.Load() == refusing {
		return
	}
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	p.mu.Lock()
	p.conns[client], p.conns[upstream] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{client, upstream}, {upstream, client}} {
		go func() {
			p.copy(pair[1], pair[0])
			done <- struct{}{}
		}()
	}
	<-done
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, upstream)
	delete(p.silenced, client)
	delete(p.silenced, upstream)
	p.mu.Unlock()
}

func (p *proxy) copy(to io.Writer, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		for p.mode.Load() == stalling {
			time.Sleep(proxyDelay)
		}
		if p.isSilenced(from) {
			continue
		}
		if p.mode.Load() == delaying {
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) isSilenced(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silenced[c]
}

// silenceConns makes all open connections drop what they receive; new ones work.
func (p *proxy) silenceConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.silenced[c] = true
	}
}

// resetConns resets all open connections.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}
