package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Modes of a proxy.
const (
	passing int32 = iota
	// delaying adds time to what goes through.
	delaying
	// silent passes nothing on and keeps connections open.
	silent
	// refusing closes new connections.
	refusing
)

// proxyDelay is what a proxy adds in either direction.
const proxyDelay = 30 * time.Millisecond

// proxy is a loopback proxy that spoils connections.
type proxy struct {
	address string
	target  string
	mode    atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), target: target, conns: make(map[net.Conn]bool)}
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

func (p *proxy) serve(near net.Conn) {
	defer near.Close()
	if p.mode.Load() == refusing {
		return
	}
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer far.Close()
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{near, far}, {far, near}} {
		go func() {
			p.copy(way[1], way[0])
			done <- struct{}{}
		}()
	}
	<-done
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

func (p *proxy) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		for p.mode.Load() == silent {
			time.Sleep(proxyDelay)
		}
		if p.mode.Load() == delaying {
			time.Sleep(proxyDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// cut resets all connections.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}
