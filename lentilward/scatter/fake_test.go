package scatter

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/merge"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

// fakeServer is a backend server at the other end of a pipe.
type fakeServer struct {
	name string
	// answer returns what to write after the delay; an empty text cuts the
	// connection.
	answer func(r *http.Request) (delay time.Duration, text string)
	// refuse makes connecting fail.
	refuse bool

	mu    sync.Mutex
	runs  int
	cut   int
	conns []net.Conn
}

// reply is a whole reply to a request with some records.
func reply(r *http.Request, proof, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s",
		r.Header.Get("Request-Id"), proof, len(body), body)
}

// cuts is the number of calls whose connection was gone before the reply.
func (f *fakeServer) cuts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut
}

// quick answers after a delay with one record.
func quick(name string, delay time.Duration) func(*http.Request) (time.Duration, string) {
	return func(r *http.Request) (time.Duration, string) {
		return delay, reply(r, "stamp-"+name, pad(name))
	}
}

// failing answers at once with a status and extra headers.
func failing(status int, headers string) func(*http.Request) (time.Duration, string) {
	return func(r *http.Request) (time.Duration, string) {
		return 0, fmt.Sprintf("HTTP/1.1 %d X\r\nRequest-Id: %s\r\n%sContent-Length: 0\r\n\r\n",
			status, r.Header.Get("Request-Id"), headers)
	}
}

func pad(name string) string { return name + strings.Repeat(".", merge.RecordSize-len(name)) }

func (f *fakeServer) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	if f.refuse {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	f.mu.Lock()
	f.conns = append(f.conns, far)
	f.mu.Unlock()
	go f.serve(far)
	return near, nil
}

func (f *fakeServer) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.runs++
		f.mu.Unlock()
		delay, text := f.answer(r)
		time.Sleep(delay)
		if text == "" {
			return
		}
		if _, err := c.Write([]byte(text)); err != nil {
			f.mu.Lock()
			f.cut++
			f.mu.Unlock()
			return
		}
	}
}

func (f *fakeServer) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs
}

// close ends all connections.
func (f *fakeServer) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns {
		c.Close()
	}
}

// shard is a service with its servers.
func shard(t *testing.T, name string, servers ...*fakeServer) *balance.Service {
	t.Cleanup(func() {
		settle()
		for _, f := range servers {
			f.close()
		}
	})
	s := balance.NewService(name, func() *balance.Allowance {
		return &balance.Allowance{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}
	})
	var list []*balance.Server
	for i, f := range servers {
		p := conn.NewPool(netip.MustParseAddrPort("10.0.0.1:80"))
		p.Limit.Store(8)
		p.Dial = f.dial
		// The first server is near, so that it is called first.
		list = append(list, balance.NewServer(domain.BackendServer{ID: f.name}, p, i > 0))
	}
	s.SetServers(list)
	return s
}

var testPolicy = Policy{Hedge: true, EarlyAnswer: true, AnswerMargin: 15 * time.Millisecond}

func newTestEngine(p Policy) *Engine {
	e := New(conn.Codec{AppendCall: platform.AppendCall, ReadReply: platform.ReadReply})
	e.SetPolicy(p)
	return e
}

func searchRoute(shards int, least float64) *domain.Route {
	return &domain.Route{
		Name: "r", Idempotent: true, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond, MaxAttempts: 2,
		Shards: make([]string, shards), Results: 50, LeastShare: least,
	}
}

func singleRoute(idempotent bool) *domain.Route {
	return &domain.Route{
		Name: "r", Idempotent: idempotent, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond, MaxAttempts: 2,
		Split: []domain.Share{{Service: "s", Weight: 1}},
	}
}

func newTask(route *domain.Route, services ...*balance.Service) Task {
	return Task{
		Request:  &domain.Request{ID: "q1", Method: "GET", Host: "h", Target: "/a/b?c=d", Header: http.Header{"Request-Id": {"q1"}}, TimeLeft: time.Second},
		Route:    route,
		State:    &balance.Route{},
		Services: services, Begin: time.Now(),
	}
}

// settle lets calls that go on after their request come to their end.
func settle() { time.Sleep(2 * time.Hour) }

func run1(t *testing.T, task Task) (*domain.Answer, Stats, *domain.Refusal) {
	t.Helper()
	return newTestEngine(testPolicy).Run(t.Context(), task)
}
