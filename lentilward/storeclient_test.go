package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/platform"
)

// Guards against a store that sends bytes without end, in a head or in a body, and takes
// the memory of every instance that has called it.
func TestStoreReplyWithoutEndIsAbandoned(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	// socketBytes is what the sockets of both ends hold, on top of what is read.
	const socketBytes, maxHead, maxBody = 12 << 20, 1 << 20, 4<<20 + 1
	for name, reply := range map[string]struct {
		begin, repeat string
		max           int
	}{
		"status line": {"HTTP/1.1 200 ", "x", maxHead},
		"header line": {head + "X: ", "x", maxHead},
		"headers":     {head, "X: y\r\n", maxHead},
		"continues":   {"", "HTTP/1.1 100 Continue\r\n\r\n", maxHead},
		"body":        {head + "\r\n", "x", maxBody},
		"length":      {head + "Content-Length: 99999999999\r\n\r\n", "x", maxBody},
		"chunks":      {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", len("1\r\nx\r\n") * maxBody},
		"items":       {head + "\r\n{\"events\":[", "{},", maxBody},
	} {
		t.Run(name, func(t *testing.T) {
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
				total, block := 0, strings.Repeat(reply.repeat, 1+(8<<10)/len(reply.repeat))
				for text := reply.begin; err == nil; text = block {
					var n int
					n, err = io.WriteString(c, text)
					total += n
				}
				sent <- total
			}()
			store := newStoreClient(netip.MustParseAddrPort(listener.Addr().String()), (&net.Dialer{}).DialContext)
			if _, err := store.Watch(t.Context(), "", 1, time.Millisecond); err == nil {
				t.Fatal("took bytes without end for a reply")
			}
			if n := <-sent; n > reply.max+socketBytes {
				t.Fatalf("the store could send %d bytes, want %d and what the sockets hold", n, reply.max)
			}
		})
	}
}

// Guards against a reply that is short and decodes to many times its size.
func TestStoreReplyWithTooManyItemsIsRefused(t *testing.T) {
	reply := `{"items":[` + strings.Repeat("{},", 30_000) + `{}],"currentRev":7}`
	client := &http.Client{Transport: handlerTransport{http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, reply) }), "10.0.0.1"}}
	if page, err := platform.NewStore(storeAddress, client).Range(t.Context(), "", ""); err == nil {
		t.Fatalf("took %d items", len(page.Items))
	}
}

// Guards against an instance that never catches up once more has changed than one reply
// of the store may have.
func TestInstanceCatchesUpWithChangesTooLargeForOneReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newMemoryPlatform(t)
		p.publishRoutes(t, 1, "/a/")
		g := p.startInstance(t, 1)
		time.Sleep(5 * time.Second)
		p.network.isolate("10.0.0.1")
		for i := range 8 {
			p.write(t, fmt.Sprintf("servers/odd-%d", i), strings.Repeat("x", 1<<20))
		}
		p.publishRoutes(t, 2, "/a/", "/b/")
		time.Sleep(5 * time.Second)
		p.network.rejoin("10.0.0.1")
		time.Sleep(5 * time.Second)
		if got := statusOf(g, "/b/"); got != http.StatusOK {
			t.Fatalf("status %d for a route that was added 10 s ago, age %v", got, g.follower.Age())
		}
	})
}

// Guards against an instance whose registration is lost for good: the store has come back
// from a copy that has its lease, but not yet its registration.
func TestRegistrationIsWrittenAgainAfterStoreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(1)
		var older *standin.Copy
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/kv-txn" && older == nil {
				older = s.TakeCopy()
			}
			s.Handler().ServeHTTP(w, r)
		})
		c := platform.NewStore(storeAddress, &http.Client{Transport: handlerTransport{handler, "10.0.0.1"}})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			newRegistrar(c, "n1", netip.MustParseAddrPort("10.0.0.1:8102"), slog.New(slog.DiscardHandler)).Run(ctx)
			close(done)
		}()
		time.Sleep(time.Minute)
		calls := c.Calls.Load()
		time.Sleep(time.Minute)
		if n := c.Calls.Load() - calls; n > 12 {
			t.Errorf("%d calls in a minute without a return, want renewals only", n)
		}
		s.Restore(older)
		time.Sleep(15 * time.Second)
		if _, err := c.Get(t.Context(), platform.InstancePrefix+"n1"); err != nil {
			t.Errorf("registration after the return: %v", err)
		}
		cancel()
		<-done
		if _, err := c.Get(t.Context(), platform.InstancePrefix+"n1"); !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("registration of a stopped instance: %v, want none", err)
		}
	})
}
