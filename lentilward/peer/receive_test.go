package peer

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"github.com/coder/websocket"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/member"
	"lentilward.org/lentilward/memory"
)

// newLimitedServer returns a server whose frames are held within a limit.
func newLimitedServer(t *testing.T, limit *memory.Limit) (*Server, *httptest.Server) {
	board := blackboard.New(blackboard.LocalInstance{})
	s := NewServer(board, NewPermits(board), &Traffic{}, slog.New(slog.DiscardHandler))
	s.Memory = limit
	s.Ping = func(_ context.Context, g member.Gossip) member.Gossip { return g }
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return s, server
}

// dialServer opens a connection of a peer.
func dialServer(t *testing.T, server *httptest.Server, mode websocket.CompressionMode) *websocket.Conn {
	c, _, err := websocket.Dial(t.Context(), server.URL+peerPath, &websocket.DialOptions{CompressionMode: mode})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.CloseNow() })
	return c
}

// sendMessageWithoutEnd sends one message until the connection fails.
func sendMessageWithoutEnd(t *testing.T, c *websocket.Conn, begin []byte) {
	w, err := c.Writer(t.Context(), websocket.MessageBinary)
	if err != nil {
		t.Error(err)
		return
	}
	block := make([]byte, 4<<10)
	for text := begin; ; text = block {
		if _, err := w.Write(text); err != nil {
			return
		}
	}
}

// Guards against frames without end on many connections at once, compressed and not, that
// take the memory of the instance, or keep out the small frames of others.
func TestFramesWithoutEndShareMemory(t *testing.T) {
	limit := memory.New(2 << 20)
	s, server := newLimitedServer(t, limit)
	done := make(chan struct{})
	const senders = 8
	for n := range senders {
		mode := websocket.CompressionDisabled
		if n%2 == 0 {
			mode = websocket.CompressionNoContextTakeover
		}
		c := dialServer(t, server, mode)
		go func() {
			sendMessageWithoutEnd(t, c, []byte{0xa3})
			done <- struct{}{}
		}()
	}
	l := NewLinks(&Traffic{})
	defer l.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	for ended := 0; ended < senders; {
		if n := limit.Used(); n > limit.Max() {
			t.Fatalf("%d of %d bytes are held", n, limit.Max())
		}
		if _, err := l.Ping(t.Context(), address, member.Gossip{}); err != nil {
			t.Fatalf("small frame beside others without end: %v", err)
		}
		select {
		case <-done:
			ended++
		default:
		}
	}
	if n := s.traffic.ReceivedBytes.Load(); n > senders*maxFrameBytes {
		t.Errorf("%d bytes were read", n)
	}
	for limit.Used() != 0 {
		runtime.Gosched()
	}
}

// Guards against frames that are held beside others while a slow handler works on them.
func TestFramesInHandlersShareMemory(t *testing.T) {
	limit := memory.New(200_000)
	s, server := newLimitedServer(t, limit)
	proceed := make(chan struct{})
	s.Ping = func(_ context.Context, g member.Gossip) member.Gossip {
		<-proceed
		return g
	}
	c := dialServer(t, server, websocket.CompressionDisabled)
	large := member.Gossip{From: blackboard.Member{Name: strings.Repeat("x", 30_000)}}
	for id := range uint64(10) {
		data, err := encodeFrame(id+1, kindPing, large)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Write(t.Context(), websocket.MessageBinary, data); err != nil {
			break
		}
	}
	if _, _, err := c.Read(t.Context()); err == nil {
		t.Error("a connection whose frames have no memory was not closed")
	}
	if n := limit.Used(); n > limit.Max()/2 {
		t.Errorf("%d bytes of large frames are held", n)
	}
	close(proceed)
	for limit.Used() != 0 {
		runtime.Gosched()
	}
}

// Guards against a peer that replies without end, in a head or in a frame, and takes the
// memory of the instance that has called it.
func TestRepliesOfPeersWithoutEndAreAbandoned(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	sent := make(chan int, 1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		total := 0
		for text := "HTTP/1.1 101 X\r\n"; err == nil; text = "X: y\r\n" {
			var n int
			n, err = io.WriteString(c, text)
			total += n
		}
		sent <- total
	}()
	l := NewLinks(&Traffic{})
	defer l.Close()
	if _, err := l.Ping(t.Context(), netip.MustParseAddrPort(listener.Addr().String()), member.Gossip{}); err == nil {
		t.Fatal("took a head without end for a connection")
	}
	if n := <-sent; n > 16<<20 {
		t.Errorf("the peer could send a head of %d bytes", n)
	}

	limit := memory.New(2 << 20)
	l.Memory = limit
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := websocket.Accept(w, r, nil)
		if err != nil {
			t.Error(err)
			return
		}
		defer c.CloseNow()
		if _, _, err := c.Read(t.Context()); err != nil {
			t.Error(err)
			return
		}
		sendMessageWithoutEnd(t, c, []byte{0xa3})
	}))
	defer server.Close()
	if _, err := l.Ping(t.Context(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), member.Gossip{}); err == nil {
		t.Fatal("took a frame without end for a reply")
	}
	if n := limit.Used(); n != 0 {
		t.Fatal(fmt.Sprint(n, " bytes are still held"))
	}
}
