package conn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

var testCodec = Codec{AppendCall: platform.AppendCall, ReadReply: platform.ReadReply}

func request(id string) *domain.Request {
	return &domain.Request{ID: id, Method: "GET", Host: "h", Target: "/p/", Header: http.Header{"Request-Id": {id}}}
}

func ok(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s\r\nContent-Length: " +
		string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// peer serves one connection: for each request it writes the next text, and
// closes the connection after the last one.
func peer(c net.Conn, texts ...string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for _, text := range texts {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := c.Write([]byte(text)); err != nil {
			return
		}
	}
}

// piped returns a pool whose connections are pipes, the nth served with the nth
// list of texts.
func piped(t *testing.T, conns ...[]string) *Pool {
	p := NewPool(netip.MustParseAddrPort("10.0.0.1:80"))
	p.Limit.Store(4)
	n := 0
	p.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
		near, far := net.Pipe()
		go peer(far, conns[n]...)
		n++
		t.Cleanup(func() { near.Close() })
		return near, nil
	}
	return p
}

func call(t *testing.T, p *Pool, id string) (*domain.Reply, error) {
	t.Helper()
	c, err := p.Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	reply, reusable, err := c.Call(testCodec, request(id), "i-1", time.Now().Add(time.Second))
	c.End(reusable)
	return reply, err
}

func TestConnectionIsUsedAgain(t *testing.T) {
	p := piped(t, []string{ok("1", "a"), ok("2", "b")})
	for _, id := range []string{"1", "2"} {
		if r, err := call(t, p, id); err != nil || !r.OK() {
			t.Fatal(r, err)
		}
	}
	if n := p.Opened.Load(); n != 1 {
		t.Fatalf("%d connections, want 1", n)
	}
}

// A late second reply to an earlier request is skipped, and the connection is
// not trusted any more.
func TestStrayReplyIsSkipped(t *testing.T) {
	p := piped(t, []string{ok("1", "a"), ok("1", "x") + ok("2", "b")}, []string{ok("3", "c")})
	for _, c := range []struct{ id, body string }{{"1", "a"}, {"2", "b"}, {"3", "c"}} {
		if r, err := call(t, p, c.id); err != nil || string(r.Body) != c.body {
			t.Fatal(r, err)
		}
	}
	if n := p.Opened.Load(); n != 2 {
		t.Fatalf("%d connections, want 2", n)
	}
}

func TestLeftoverBytesEndTheConnection(t *testing.T) {
	p := piped(t, []string{ok("1", "a") + "junk"}, []string{ok("2", "b")})
	for _, id := range []string{"1", "2"} {
		if r, err := call(t, p, id); err != nil || !r.OK() {
			t.Fatal(r, err)
		}
	}
	if n := p.Opened.Load(); n != 2 {
		t.Fatalf("%d connections, want 2", n)
	}
}

func TestHalfRepliesAreNoReplies(t *testing.T) {
	whole := ok("1", "abc")
	for name, text := range map[string]string{
		"short":    whole[:len(whole)-1],
		"no bytes": "",
		"header":   "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n",
		"garbage":  "\x00\x01\r\n\r\n",
		"chunk":    "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"others":   strings.Repeat(ok("9", "x"), 4),
	} {
		t.Run(name, func(t *testing.T) {
			if r, err := call(t, piped(t, []string{text}), "1"); err == nil {
				t.Fatalf("took %+v for a reply", r)
			}
		})
	}
}

func TestReplyWithoutLengthEndsWithItsConnection(t *testing.T) {
	p := piped(t, []string{"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nServer-Stamp: s\r\n\r\nabc"}, []string{ok("2", "b")})
	if r, err := call(t, p, "1"); err != nil || string(r.Body) != "abc" {
		t.Fatal(r, err)
	}
	if _, err := call(t, p, "2"); err != nil || p.Opened.Load() != 2 {
		t.Fatal(err, p.Opened.Load())
	}
}

func TestIdleConnectionIsDroppedBeforeTheServerDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := strings.Replace(ok("1", "a"), "\r\nServer", "\r\nKeep-Alive: timeout=2\r\nServer", 1)
		p := piped(t, []string{limited, ok("2", "b")}, []string{ok("2", "b"), ok("3", "c")}, []string{ok("3", "c")})
		for _, id := range []string{"1", "2"} {
			if _, err := call(t, p, id); err != nil {
				t.Fatal(err)
			}
			time.Sleep(1600 * time.Millisecond)
		}
		if n := p.Opened.Load(); n != 2 {
			t.Fatalf("%d connections after 1.6 s idle of 2 s, want 2", n)
		}
		if _, err := call(t, p, "3"); err != nil || p.Opened.Load() != 2 {
			t.Fatalf("%v: %d connections after 1.6 s idle without a limit, want 2", err, p.Opened.Load())
		}
	})
}

// After a silent connection those that were idle before it are not trusted.
func TestSilenceEndsOlderConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := piped(t, []string{ok("1", "a"), ok("3", "c")}, []string{ok("2", "b"), ok("3", "c")}, []string{ok("3", "c")})
		first, _ := p.Get(t.Context())
		second, _ := p.Get(t.Context())
		first.Release()
		second.Release()
		time.Sleep(time.Second)
		p.Silent(time.Now())
		if _, err := call(t, p, "3"); err != nil || p.Opened.Load() != 3 {
			t.Fatalf("%v: %d connections, want 3", err, p.Opened.Load())
		}
	})
}

func TestLimitBoundsConnections(t *testing.T) {
	p := piped(t, nil, nil, nil)
	p.Limit.Store(2)
	var taken []*Conn
	for range 2 {
		c, err := p.Get(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		taken = append(taken, c)
	}
	if _, err := p.Get(t.Context()); !errors.Is(err, ErrFull) {
		t.Fatalf("got %v, want ErrFull", err)
	}
	p.Limit.Store(1)
	taken[0].Release()
	taken[1].Release()
	if len(p.idle) != 1 {
		t.Fatalf("%d idle connections above a limit that fell to 1", len(p.idle))
	}
}

// On real sockets a connection that the server closed, or wrote to, while it
// was idle is not used.
func TestUnsoundConnectionIsNotUsed(t *testing.T) {
	for name, spoil := range map[string]func(net.Conn){
		"closed": func(c net.Conn) { c.Close() },
		"bytes":  func(c net.Conn) { c.Write(bytes.Repeat([]byte("x"), 1000)) },
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			accepted := make(chan net.Conn, 2)
			go func() {
				for range 2 {
					c, err := listener.Accept()
					if err != nil {
						return
					}
					accepted <- c
				}
			}()
			p := NewPool(netip.MustParseAddrPort(listener.Addr().String()))
			c, err := p.Get(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			far := <-accepted
			spoil(far)
			for c.sound() {
				runtime.Gosched()
			}
			c.Release()
			again, err := p.Get(t.Context())
			if err != nil || p.Opened.Load() != 2 {
				t.Fatalf("%v: used an unsound connection", err)
			}
			again.Discard()
		})
	}
}
