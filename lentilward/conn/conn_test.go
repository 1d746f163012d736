package conn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/memory"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

var testCodec = Codec{AppendCall: platform.AppendCall, ReadReply: platform.ReadReply}

func newRequest(id string) *domain.Request {
	return &domain.Request{ID: id, Method: "GET", Host: "h", Target: "/p/", Header: http.Header{"Request-Id": {id}}}
}

func okReply(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s\r\nContent-Length: " +
		string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// serveReplies serves one connection: it writes the next reply for each request
// and closes the connection after the last one.
func serveReplies(c net.Conn, replies ...string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for _, reply := range replies {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := c.Write([]byte(reply)); err != nil {
			return
		}
	}
}

// newPipePool returns a pool whose connections are pipes. The nth connection is
// served with the nth list of replies.
func newPipePool(t *testing.T, replies ...[]string) *Pool {
	p := NewPool(netip.MustParseAddrPort("10.0.0.1:80"))
	p.Limit.Store(4)
	n := 0
	p.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
		client, server := net.Pipe()
		go serveReplies(server, replies[n]...)
		n++
		t.Cleanup(func() { client.Close() })
		return client, nil
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
	reply, reusable, err := c.Call(testCodec, nil, newRequest(id), "i-1", time.Now().Add(time.Second))
	c.ReleaseOrDiscard(reusable)
	return reply, err
}

func TestConnectionIsReused(t *testing.T) {
	p := newPipePool(t, []string{okReply("1", "a"), okReply("2", "b")})
	for _, id := range []string{"1", "2"} {
		if r, err := call(t, p, id); err != nil || !r.OK() {
			t.Fatal(r, err)
		}
	}
	if n := p.Opened.Load(); n != 1 {
		t.Fatalf("%d connections, want 1", n)
	}
}

// Guards against taking a second reply to an earlier request for the reply to
// the current one, and against reusing that connection.
func TestReplyToEarlierRequestIsSkipped(t *testing.T) {
	p := newPipePool(t, []string{okReply("1", "a"), okReply("1", "x") + okReply("2", "b")}, []string{okReply("3", "c")})
	for _, c := range []struct{ id, body string }{{"1", "a"}, {"2", "b"}, {"3", "c"}} {
		if r, err := call(t, p, c.id); err != nil || string(r.Body) != c.body {
			t.Fatal(r, err)
		}
	}
	if n := p.Opened.Load(); n != 2 {
		t.Fatalf("%d connections, want 2", n)
	}
}

// Guards against taking a late copy of the refusal of an earlier request for the reply
// to the current one, which would then be said not to have run.
func TestRefusalWithoutIDIsOnlyBelievedOnANewConnection(t *testing.T) {
	refusal := "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	p := newPipePool(t, []string{refusal, refusal + okReply("2", "b")}, []string{okReply("3", "c")})
	if r, err := call(t, p, "1"); err != nil || !r.NotRun {
		t.Fatal(r, err)
	}
	if r, err := call(t, p, "2"); !errors.Is(err, ErrReplyMismatch) {
		t.Fatalf("got %+v, %v", r, err)
	}
	if r, err := call(t, p, "3"); err != nil || string(r.Body) != "c" {
		t.Fatal(r, err)
	}
}

func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	p := newPipePool(t, []string{okReply("1", "a") + "junk"}, []string{okReply("2", "b")})
	for _, id := range []string{"1", "2"} {
		if r, err := call(t, p, id); err != nil || !r.OK() {
			t.Fatal(r, err)
		}
	}
	if n := p.Opened.Load(); n != 2 {
		t.Fatalf("%d connections, want 2", n)
	}
}

func TestIncompleteReplyIsAnError(t *testing.T) {
	whole := okReply("1", "abc")
	for name, text := range map[string]string{
		"short":    whole[:len(whole)-1],
		"no bytes": "",
		"header":   "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n",
		"garbage":  "\x00\x01\r\n\r\n",
		"chunk":    "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"other ID": strings.Repeat(okReply("9", "x"), 4),
	} {
		t.Run(name, func(t *testing.T) {
			if r, err := call(t, newPipePool(t, []string{text}), "1"); err == nil {
				t.Fatalf("accepted %+v as a reply", r)
			}
		})
	}
}

func TestReplyWithoutLengthIsReadUntilClose(t *testing.T) {
	p := newPipePool(t, []string{"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nServer-Stamp: s\r\n\r\nabc"}, []string{okReply("2", "b")})
	if r, err := call(t, p, "1"); err != nil || string(r.Body) != "abc" {
		t.Fatal(r, err)
	}
	if _, err := call(t, p, "2"); err != nil || p.Opened.Load() != 2 {
		t.Fatal(err, p.Opened.Load())
	}
}

func TestIdleConnectionIsClosedBeforeServerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := strings.Replace(okReply("1", "a"), "\r\nServer", "\r\nKeep-Alive: timeout=2\r\nServer", 1)
		p := newPipePool(t, []string{limited, okReply("2", "b")}, []string{okReply("2", "b"), okReply("3", "c")}, []string{okReply("3", "c")})
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

// Guards against reusing connections that were already idle when a call on
// another connection was sent that got no reply: they may be dead too.
func TestReplyTimeoutClosesOlderIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipePool(t, []string{okReply("1", "a"), okReply("3", "c")}, []string{okReply("2", "b"), okReply("3", "c")}, []string{okReply("3", "c")})
		first, _ := p.Get(t.Context())
		second, _ := p.Get(t.Context())
		first.Release()
		second.Release()
		time.Sleep(time.Second)
		p.RecordReplyTimeout(time.Now())
		if _, err := call(t, p, "3"); err != nil || p.Opened.Load() != 3 {
			t.Fatalf("%v: %d connections, want 3", err, p.Opened.Load())
		}
	})
}

func TestLimitBoundsConnections(t *testing.T) {
	p := newPipePool(t, nil, nil, nil)
	p.Limit.Store(2)
	var taken []*Conn
	for range 2 {
		c, err := p.Get(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		taken = append(taken, c)
	}
	if _, err := p.Get(t.Context()); !errors.Is(err, ErrConnectionLimit) {
		t.Fatalf("got %v, want ErrConnectionLimit", err)
	}
	p.Limit.Store(1)
	taken[0].Release()
	taken[1].Release()
	if len(p.idle) != 1 {
		t.Fatalf("%d idle connections after the limit fell to 1, want 1", len(p.idle))
	}
}

// Guards against reusing a connection that the server closed or wrote to while
// it was idle. It runs on real sockets, since pipes skip this check.
func TestClosedOrDirtyConnectionIsNotReused(t *testing.T) {
	for name, breakIdle := range map[string]func(net.Conn){
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
			serverEnd := <-accepted
			breakIdle(serverEnd)
			for c.isHealthy() {
				runtime.Gosched()
			}
			c.Release()
			again, err := p.Get(t.Context())
			if err != nil || p.Opened.Load() != 2 {
				t.Fatalf("%v: reused a closed or dirty connection", err)
			}
			again.Discard()
		})
	}
}

// Guards against a server that sends bytes without end, in a head or in a body, and
// takes the memory of the instance or holds the call until its deadline.
func TestEndlessReplyIsAbandoned(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nServer-Stamp: s\r\n"
	for name, c := range map[string]struct {
		begin, repeat string
		max           int
	}{
		"status line":     {"HTTP/1.1 200 ", "x", maxHeadBytes},
		"header line":     {head + "X: ", "x", maxHeadBytes},
		"folded line":     {head + "X: ", "x\r\n ", maxHeadBytes},
		"headers":         {head, "X: y\r\n", maxHeadBytes},
		"no line":         {"", "\x00", maxHeadBytes},
		"continues":       {"", "HTTP/1.1 100 Continue\r\n\r\n", maxHeadBytes},
		"body":            {head + "\r\n", "x", maxBodyBytes},
		"length":          {head + "Content-Length: 99999999999\r\n\r\n", "x", maxBodyBytes},
		"chunks":          {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", maxBodyBytes},
		"chunk extension": {head + "Transfer-Encoding: chunked\r\n\r\n", "1;x=y\r\nx\r\n", maxBodyBytes},
		"trailers":        {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", maxBodyBytes},
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			p := newPipePool(t)
			p.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
				client, server := net.Pipe()
				go func() { sent <- sendWithoutEnd(server, c.begin, c.repeat) }()
				return client, nil
			}
			connection, err := p.Get(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			limit := memory.New(8 * maxBodyBytes)
			codec := testCodec
			codec.Memory = limit
			reply, reusable, err := connection.Call(codec, nil, newRequest("1"), "i-1", time.Now().Add(time.Minute))
			connection.ReleaseOrDiscard(reusable)
			if err == nil || reusable {
				t.Fatalf("got a reply of status %d, %d bytes, reusable %v", reply.Status, len(reply.Body), reusable)
			}
			if n := <-sent; n > c.max+3*readBufferBytes+len(c.begin) {
				t.Fatalf("read %d bytes, want at most %d", n, c.max)
			}
			if n := limit.Used(); n != 0 {
				t.Fatalf("%d bytes of memory were not given back", n)
			}
		})
	}
}

// sendWithoutEnd reads a request, writes begin and then repeat until the connection
// is closed, and returns the number of bytes written.
func sendWithoutEnd(c net.Conn, begin, repeat string) int {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return 0
	}
	total, _ := c.Write([]byte(begin))
	block := []byte(strings.Repeat(repeat, 1+readBufferBytes/len(repeat)))
	for {
		n, err := c.Write(block)
		total += n
		if err != nil {
			return total
		}
	}
}

// largeReply is the reply to request 1 with a body of n bytes.
func largeReply(n int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nServer-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n))
}

// callOnce calls a server that replies with text. What the reply takes goes to hold.
func callOnce(t *testing.T, limit *memory.Limit, hold *memory.Hold, text string) error {
	codec := testCodec
	codec.Memory = limit
	c, err := newPipePool(t, []string{text}).Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	_, reusable, err := c.Call(codec, hold, newRequest("1"), "i-1", time.Now().Add(time.Minute))
	c.ReleaseOrDiscard(reusable)
	return err
}

// Guards against large replies that together take the memory of the instance, also once
// they are read and wait for a slow caller, and against small ones that are kept out.
func TestLargeRepliesShareMemory(t *testing.T) {
	limit := memory.New(400_000)
	var holds []*memory.Hold
	for range 2 {
		holds = append(holds, limit.NewHold())
		if err := callOnce(t, limit, holds[len(holds)-1], largeReply(90_000)); err != nil {
			t.Fatal(err)
		}
	}
	if n := limit.Used(); n < 180_000 {
		t.Fatalf("two replies that are kept count as %d bytes", n)
	}
	if err := callOnce(t, limit, nil, largeReply(90_000)); !errors.Is(err, memory.ErrExhausted) {
		t.Fatalf("got %v beside large replies that are kept", err)
	}
	if err := callOnce(t, limit, nil, okReply("1", "a")); err != nil {
		t.Fatalf("small reply beside large ones: %v", err)
	}
	for range 40 {
		holds = append(holds, limit.NewHold())
		if err := callOnce(t, limit, holds[len(holds)-1], largeReply(10_000)); err != nil {
			break
		}
	}
	if n := limit.Used(); n > limit.Max() || n < limit.Max()-11_000 {
		t.Fatalf("replies of all sizes take %d of %d bytes", n, limit.Max())
	}
	for _, h := range holds {
		h.Release()
	}
	if n := limit.Used(); n != 0 {
		t.Fatalf("%d bytes were not given back", n)
	}
	if err := callOnce(t, limit, nil, largeReply(90_000)); err != nil || limit.Used() != 0 {
		t.Fatalf("%v, %d bytes in use after others were given back", err, limit.Used())
	}
}

// Guards against one faulty server whose replies leave no memory to those of others.
func TestOneServerTakesAPartOfTheMemory(t *testing.T) {
	limit := memory.New(4_000_000)
	codec := testCodec
	codec.Memory = limit
	faulty := newPipePool(t)
	faulty.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
		client, server := net.Pipe()
		go sendWithoutEnd(server, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\n", "x")
		return client, nil
	}
	var pending sync.WaitGroup
	for range 4 {
		pending.Go(func() {
			for range 20 {
				c, err := faulty.Get(t.Context())
				if err != nil {
					t.Error(err)
					return
				}
				if _, _, err = c.Call(codec, nil, newRequest("1"), "i-1", time.Now().Add(time.Minute)); !errors.Is(err, ErrReplyTooLarge) {
					t.Errorf("got %v for a reply without end", err)
				}
				c.Discard()
			}
		})
	}
	for range 50 {
		if err := callOnce(t, limit, nil, largeReply(900_000)); err != nil {
			t.Errorf("reply of another server: %v", err)
		}
	}
	pending.Wait()
	if limit.Used() != 0 || faulty.largeReplies.Load() != 0 {
		t.Fatalf("%d and %d bytes were not given back", limit.Used(), faulty.largeReplies.Load())
	}
}

// Guards against idle connections that each keep the body of their last request.
func TestIdleConnectionKeepsNoLargeRequest(t *testing.T) {
	p := newPipePool(t)
	p.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			r, err := http.ReadRequest(bufio.NewReader(server))
			if err != nil {
				t.Error(err)
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				t.Error(err)
				return
			}
			io.WriteString(server, okReply("1", "a"))
		}()
		return client, nil
	}
	c, err := p.Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	request := newRequest("1")
	request.Method, request.Body = "POST", bytes.Repeat([]byte("x"), 1<<20)
	if _, _, err := c.Call(testCodec, nil, request, "i-1", time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	if n := cap(c.writeBuffer); n > maxKeptBufferBytes {
		t.Fatalf("an idle connection keeps %d bytes of its last request", n)
	}
}

// resetConn is a connection that the server resets once it has been written to.
type resetConn struct{ net.Conn }

func (resetConn) Write(b []byte) (int, error) { return len(b), nil }
func (resetConn) Read([]byte) (int, error)    { return 0, syscall.ECONNRESET }
func (resetConn) Close() error                { return nil }
func (resetConn) SetDeadline(time.Time) error { return nil }

// Guards against dialling again and again a server that resets the connections above
// its limit, each of which costs a request one of its attempts.
func TestNoConnectionIsOpenedForAWhileAfterAReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipePool(t)
		dials := 0
		p.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
			dials++
			return resetConn{}, nil
		}
		for attempt, backoff := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
			if _, err := call(t, p, "1"); !errors.Is(err, ErrConnectionReset) {
				t.Fatalf("got %v, want ErrConnectionReset", err)
			}
			p.RecordReset(time.Now())
			time.Sleep(backoff*time.Millisecond - time.Nanosecond)
			if _, err := p.Get(t.Context()); !errors.Is(err, ErrConnectionLimit) || p.CanConnect(time.Now()) {
				t.Fatalf("attempt %d: got %v, want ErrConnectionLimit", attempt, err)
			}
			time.Sleep(time.Nanosecond)
		}
		if dials != 6 {
			t.Fatalf("%d connections were opened, want 6", dials)
		}
		p.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
			client, server := net.Pipe()
			go serveReplies(server, okReply("2", "b"))
			return client, nil
		}
		if r, err := call(t, p, "2"); err != nil || !r.OK() || p.RecordReset(time.Now()) != minDialBackoff {
			t.Fatalf("got %+v, %v; want the shortest backoff after a reply", r, err)
		}
	})
}
