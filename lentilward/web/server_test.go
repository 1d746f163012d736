package web

import (
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
	"lentilward.org/lentilward/scatter"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

// newBed returns a server of callers with one backend server behind the route
// /a/.
func newBed(t *testing.T, backend http.HandlerFunc) (*Server, *httptest.Server) {
	far := httptest.NewServer(backend)
	t.Cleanup(far.Close)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	d := directory.New(directory.Records{}, log)
	service := balance.NewService("a", func() *balance.Allowance { return &balance.Allowance{Slack: 10, Window: time.Second} })
	pool := conn.NewPool(netip.MustParseAddrPort(strings.TrimPrefix(far.URL, "http://")))
	service.SetServers([]*balance.Server{balance.NewServer(domain.BackendServer{ID: "i-1"}, pool, false)})
	route := &domain.Route{
		Name: "r", Prefix: "/a/", Timeout: 5 * time.Second, MaxAttempts: 1, Split: []domain.Share{{Service: "a", Weight: 1}},
	}
	d.Current.Store(&directory.Snapshot{
		Configuration: &domain.Configuration{
			Routes: map[string][]*domain.Route{"h": {route}}, Limits: domain.Limits{BodyBytes: 10},
		},
		Services: map[string]*balance.Service{"a": service}, Routes: map[string]*balance.Route{"r": {}},
	})
	engine := scatter.New(conn.Codec{AppendCall: platform.AppendCall, ReadReply: platform.ReadReply})
	s := New(Format{platform.DecodeRequest, platform.EncodeAnswer, platform.EncodeRefusal}, d, engine, log)
	near := httptest.NewUnstartedServer(s)
	near.Config = s.HTTP()
	near.Start()
	t.Cleanup(near.Close)
	return s, near
}

func stamped(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Server-Stamp", "s")
	w.Header()["Content-Type"] = nil
	fmt.Fprintf(w, "%s %s %q <b>", r.Method, r.RequestURI, body)
}

func ask(t *testing.T, s *httptest.Server, method, target, id, body string) *http.Response {
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

func TestAnswerIsTheServersOwn(t *testing.T) {
	_, near := newBed(t, stamped)
	response := ask(t, near, "POST", "/a/b%2f//c?x", "q1", "hi")
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != `POST /a/b%2f//c?x "hi" <b>` || response.ContentLength != int64(len(body)) {
		t.Fatalf("%q, %v", body, err)
	}
	if h := response.Header; h.Get("Server-Stamp") != "s" || h.Get("Content-Type") != "" || h.Get("Content-Encoding") != "" {
		t.Fatalf("header %v", h)
	}
}

func TestRefusalsBeforeARun(t *testing.T) {
	s, near := newBed(t, stamped)
	for _, c := range []struct {
		target, id, body string
		want             int
	}{{"/a/", "", "", 400}, {"/b/", "q", "", 404}, {"/a/", "q", "longer than that", 413}} {
		if got := ask(t, near, "POST", c.target, c.id, c.body).StatusCode; got != c.want {
			t.Errorf("%+v: status %d", c, got)
		}
	}
	s.Current = func() bool { return false }
	if got := ask(t, near, "GET", "/b/", "q", ""); got.StatusCode != 503 || got.Header.Get("Retry-After") == "" {
		t.Errorf("unknown route with an old configuration: status %d", got.StatusCode)
	}
	s.directory.Current.Store(nil)
	if got := ask(t, near, "GET", "/a/", "q", "").StatusCode; got != 503 {
		t.Errorf("no configuration: status %d", got)
	}
}

func TestStoppingInstanceAnswersAndClosesConnections(t *testing.T) {
	s, near := newBed(t, stamped)
	s.Stop()
	if got := ask(t, near, "GET", "/a/", "q", ""); got.StatusCode != 200 || !got.Close {
		t.Fatalf("status %d, close %v", got.StatusCode, got.Close)
	}
}

// A caller that leaves ends the work of its request.
func TestCallThatIsLeftIsCut(t *testing.T) {
	began, cut := make(chan struct{}), make(chan struct{})
	_, near := newBed(t, func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(cut)
	})
	c, err := net.Dial("tcp", strings.TrimPrefix(near.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "GET /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: q\r\n\r\n")
	<-began
	c.Close()
	<-cut
}

// A request that loses backend servers each time is refused once it is known
// to, and the answer promises nothing.
func TestHarmfulRequestIsRefused(t *testing.T) {
	var runs, lost atomic.Int32
	s, near := newBed(t, func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	})
	s.Lost = func(_ *domain.Request, servers int) { lost.Add(int32(servers)) }
	s.Harmful = func(*domain.Request) bool { return lost.Load() >= 3 }
	for i := range 6 {
		if got := ask(t, near, "GET", "/a/", fmt.Sprint(i), "").StatusCode; got != 502 {
			t.Fatalf("status %d", got)
		}
	}
	if runs.Load() != 3 || lost.Load() != 3 {
		t.Fatalf("%d runs, %d servers lost", runs.Load(), lost.Load())
	}
}
