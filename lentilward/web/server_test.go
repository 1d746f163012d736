package web

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/directory"
	"lentilward.org/lentilward/memory"
	"lentilward.org/lentilward/scatter"
	"lentilward.org/lentilward/suspect"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

// newTestServer returns a server with one backend server behind the route /a/, and
// the listener that callers connect to.
func newTestServer(t *testing.T, backend http.HandlerFunc) (*Server, *httptest.Server) {
	return newLimitedServer(t, backend, nil, nil)
}

// newLimitedServer returns a server as newTestServer does that holds requests and replies
// within limits.
func newLimitedServer(t *testing.T, backend http.HandlerFunc, requests, replies *memory.Limit) (*Server, *httptest.Server) {
	backendServer := httptest.NewServer(backend)
	t.Cleanup(backendServer.Close)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	d := directory.New(directory.RecordFormat{}, log)
	service := balance.NewService("a", func() *balance.RetryBudget { return &balance.RetryBudget{Slack: 10, Window: time.Second} })
	pool := conn.NewPool(netip.MustParseAddrPort(strings.TrimPrefix(backendServer.URL, "http://")))
	service.SetServers([]*balance.Server{balance.NewServer(domain.BackendServer{ID: "i-1"}, pool, false)})
	route := &domain.Route{
		Name: "r", Prefix: "/a/", Timeout: 5 * time.Second, MaxAttempts: 1, TrafficSplit: []domain.WeightedService{{Service: "a", Weight: 1}},
	}
	d.Current.Store(&directory.Snapshot{
		Configuration: &domain.Configuration{
			Routes: map[string][]*domain.Route{"h": {route}}, Limits: domain.Limits{MaxBodyBytes: 10},
		},
		Services: map[string]*balance.Service{"a": service}, Routes: map[string]*balance.Route{"r": {}},
	})
	engine := scatter.New(conn.Codec{AppendCall: platform.AppendCall, ReadReply: platform.ReadReply, Memory: replies})
	s := New(Format{platform.DecodeRequest, platform.EncodeAnswer, platform.EncodeRefusal, platform.SetTenant}, d, engine, log)
	s.Memory = requests
	frontend := httptest.NewUnstartedServer(s)
	frontend.Config, frontend.Listener = s.HTTP(), s.Limit(frontend.Listener)
	frontend.Start()
	t.Cleanup(frontend.Close)
	return s, frontend
}

// Guards against a 502 for HEAD, and against stating another length than the server.
func TestHeadIsAnsweredWithTheLengthOfTheServer(t *testing.T) {
	_, frontend := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Stamp", "s")
		w.Header().Set("Content-Length", "7")
	})
	response := sendRequest(t, frontend, "HEAD", "/a/b", "q1", "")
	if response.StatusCode != http.StatusOK || response.ContentLength != 7 || response.Header.Get("Server-Stamp") != "s" {
		t.Fatalf("status %d, length %d, header %v", response.StatusCode, response.ContentLength, response.Header)
	}
}

func echoRequest(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Stamp", "s")
	w.Header()["Content-Type"] = nil
	fmt.Fprintf(w, "%s %s %q <b>", r.Method, r.RequestURI, body)
}

func sendRequest(t *testing.T, s *httptest.Server, method, target, id, body string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(method, s.URL+target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	if id != "" {
		r.Header.Set("Request-Id", id)
	}
	response, err := s.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

func TestReplyIsPassedOnUnchanged(t *testing.T) {
	_, frontend := newTestServer(t, echoRequest)
	response := sendRequest(t, frontend, "POST", "/a/b%2f//c?x", "q1", "hi")
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != `POST /a/b%2f//c?x "hi" <b>` || response.ContentLength != int64(len(body)) {
		t.Fatalf("%q, %v", body, err)
	}
	if h := response.Header; h.Get("Server-Stamp") != "s" || h.Get("Content-Type") != "" || h.Get("Content-Encoding") != "" {
		t.Fatalf("header %v", h)
	}
}

func TestInvalidRequestsAreRefusedBeforeTheyRun(t *testing.T) {
	s, frontend := newTestServer(t, echoRequest)
	for _, c := range []struct {
		target, id, body string
		want             int
	}{{"/a/", "", "", 400}, {"/b/", "q", "", 404}, {"/a/", "q", "longer than that", 413}} {
		if got := sendRequest(t, frontend, "POST", c.target, c.id, c.body).StatusCode; got != c.want {
			t.Errorf("%+v: status %d", c, got)
		}
	}
	s.IsConfigurationCurrent = func() bool { return false }
	if got := sendRequest(t, frontend, "GET", "/b/", "q", ""); got.StatusCode != 503 || got.Header.Get("Retry-After") == "" {
		t.Errorf("unknown route with an outdated configuration: status %d", got.StatusCode)
	}
	s.directory.Current.Store(nil)
	if got := sendRequest(t, frontend, "GET", "/a/", "q", "").StatusCode; got != 503 {
		t.Errorf("no configuration: status %d", got)
	}
}

func TestStoppingInstanceRepliesAndClosesConnections(t *testing.T) {
	s, frontend := newTestServer(t, echoRequest)
	s.Stop(time.Now().Add(time.Minute))
	if got := sendRequest(t, frontend, "GET", "/a/", "q", ""); got.StatusCode != 200 || !got.Close {
		t.Fatalf("status %d, close %v", got.StatusCode, got.Close)
	}
}

// A caller that closes its connection cancels the call to the backend server.
func TestCallerDisconnectCancelsBackendCall(t *testing.T) {
	started, canceled := make(chan struct{}), make(chan struct{})
	_, frontend := newTestServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(canceled)
	})
	c, err := net.Dial("tcp", strings.TrimPrefix(frontend.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "GET /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: q\r\n\r\n")
	<-started
	c.Close()
	<-canceled
}

// A request that crashes a backend server at each run is refused once it is known
// as a poison request. Its outcome is reported as unknown.
func TestPoisonRequestIsRefused(t *testing.T) {
	var runs, lost atomic.Int32
	s, frontend := newTestServer(t, func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	})
	s.engine.OnLost = func(suspect.Run, time.Time) { lost.Add(1) }
	s.IsPoison = func(*domain.Request, string) bool { return lost.Load() >= 3 }
	for i := range 6 {
		if got := sendRequest(t, frontend, "GET", "/a/", fmt.Sprint(i), "").StatusCode; got != 502 {
			t.Fatalf("status %d", got)
		}
	}
	if runs.Load() != 3 || lost.Load() != 3 {
		t.Fatalf("%d runs, %d servers lost", runs.Load(), lost.Load())
	}
}

// Guards against a refused request that is not told when it may come again, against a trial
// that calls more than one server, and against one that is not ended.
func TestRefusedRequestRunsAsTrial(t *testing.T) {
	var runs atomic.Int32
	s, frontend := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if r.URL.Path == "/a/good" {
			echoRequest(w, r)
			return
		}
		panic(http.ErrAbortHandler)
	})
	s.directory.Current.Load().Configuration.Routes["h"][0].MaxAttempts = 3
	s.IsPoison = func(*domain.Request, string) bool { return true }
	granted, retryAfter := false, time.Duration(0)
	var ended []bool
	s.StartTrial = func(context.Context, *domain.Request, string, time.Time) (func(bool), time.Duration) {
		if !granted {
			return nil, retryAfter
		}
		return func(ran bool) { ended = append(ended, ran) }, 0
	}
	for _, c := range []struct {
		target     string
		granted    bool
		retryAfter time.Duration
		status     int
		header     string
	}{
		{"/a/good", false, time.Second, http.StatusServiceUnavailable, "1.000"},
		{"/a/good", false, time.Hour, http.StatusBadGateway, ""},
		{"/a/bad", true, 0, http.StatusBadGateway, ""},
		{"/a/good", true, 0, http.StatusOK, ""},
	} {
		granted, retryAfter = c.granted, c.retryAfter
		before := runs.Load()
		got := sendRequest(t, frontend, "GET", c.target, "q", "")
		if got.StatusCode != c.status || got.Header.Get("Retry-After") != c.header {
			t.Errorf("%+v: status %d, Retry-After %q", c, got.StatusCode, got.Header.Get("Retry-After"))
		}
		if ran := runs.Load() - before; ran > 1 || (ran == 1) != c.granted {
			t.Errorf("%+v: ran %d times", c, ran)
		}
	}
	if len(ended) != 2 || !ended[0] || !ended[1] {
		t.Errorf("trials ended with %v", ended)
	}
}

// Guards against an answer that looks whole from a server that closed its connection
// in the middle of the head of its reply.
func TestReplyThatStopsInItsHeadIsNoSuccess(t *testing.T) {
	const reply = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: q\r\nContent-Length: 3\r\n\r\nabc"
	length := 0
	_, frontend := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		fmt.Fprint(c, reply[:length])
	})
	for length = range len(reply) {
		if got := sendRequest(t, frontend, "GET", "/a/", "q", "").StatusCode; got != http.StatusBadGateway {
			t.Errorf("status %d after %q", got, reply[:length])
		}
	}
}

// Guards against 404 from a snapshot that was replaced while the request was being
// admitted, or that lacks records which are known but not applied yet.
func TestUnknownRouteIsMatchedAgainstTheNewestConfiguration(t *testing.T) {
	s, frontend := newTestServer(t, echoRequest)
	old := s.directory.Current.Load()
	next := *old
	next.Configuration = &domain.Configuration{Routes: map[string][]*domain.Route{"h": {{
		Name: "r", Prefix: "/b/", Timeout: 5 * time.Second, MaxAttempts: 1, TrafficSplit: []domain.WeightedService{{Service: "a", Weight: 1}},
	}}}}
	s.IsConfigurationCurrent = func() bool {
		s.directory.Current.Store(&next)
		return true
	}
	if got := sendRequest(t, frontend, "GET", "/b/", "q", "").StatusCode; got != http.StatusOK {
		t.Errorf("status %d for a route that was added while the request was being admitted", got)
	}
	if got := sendRequest(t, frontend, "GET", "/c/", "q", "").StatusCode; got != http.StatusNotFound {
		t.Errorf("status %d for a route that does not exist", got)
	}
}
