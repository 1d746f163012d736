package web

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"lentilward.org/lentilward/memory"
)

// dialFrontend opens a connection of a caller, which the test closes.
func dialFrontend(t *testing.T, s *httptest.Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// await waits until a condition holds.
func await(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

// maxUsed observes a limit until stop is called, which returns the most that was in use.
func maxUsed(l *memory.Limit) (stop func() int64) {
	done, result := make(chan struct{}), make(chan int64)
	go func() {
		most := int64(0)
		for {
			select {
			case <-done:
				result <- most
				return
			default:
				most = max(most, l.Used())
				runtime.Gosched()
			}
		}
	}()
	return func() int64 {
		close(done)
		return <-result
	}
}

// Guards against callers that send heads without end on many connections at once, and
// take the memory of the instance.
func TestHeadsWithoutEndShareMemory(t *testing.T) {
	limit := memory.New(200_000)
	_, frontend := newLimitedServer(t, echoRequest, limit, nil)
	stop := maxUsed(limit)
	var pending sync.WaitGroup
	for range 30 {
		c := dialFrontend(t, frontend)
		pending.Go(func() {
			if _, err := io.WriteString(c, "GET /a/ HTTP/1.1\r\nHost: h\r\n"); err != nil {
				return
			}
			for i := 0; ; i++ {
				if _, err := fmt.Fprintf(c, "X-%d: %s\r\n", i, strings.Repeat("x", 200)); err != nil {
					return
				}
			}
		})
	}
	for i := range 50 {
		if got := sendRequest(t, frontend, "GET", "/a/", fmt.Sprint("q", i), "").StatusCode; got != http.StatusOK {
			t.Errorf("status %d beside heads without end", got)
		}
	}
	pending.Wait()
	if most := stop(); most > limit.Max() || most < memory.SmallBytes {
		t.Errorf("%d bytes of %d were in use", most, limit.Max())
	}
	frontend.Client().CloseIdleConnections()
	await(func() bool { return limit.Used() == 0 })
}

// Guards against request bodies that together take the memory of the instance.
func TestRequestBodiesShareMemory(t *testing.T) {
	limit := memory.New(200_000)
	s, frontend := newLimitedServer(t, echoRequest, limit, nil)
	s.directory.Current.Load().Configuration.Limits.MaxBodyBytes = 1 << 20
	begun := make([]net.Conn, 4)
	for i := range begun {
		begun[i] = dialFrontend(t, frontend)
		fmt.Fprintf(begun[i], "POST /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: b%d\r\nContent-Length: 30000\r\n\r\n%s", i, strings.Repeat("x", 20_000))
	}
	await(func() bool { return limit.Used() > 80_000 })
	refused := sendRequest(t, frontend, "POST", "/a/", "q", strings.Repeat("x", 25_000))
	if refused.StatusCode != http.StatusServiceUnavailable || refused.Header.Get("Retry-After") == "" {
		t.Errorf("status %d for a body without memory", refused.StatusCode)
	}
	if got := sendRequest(t, frontend, "POST", "/a/", "q", "hi").StatusCode; got != http.StatusOK {
		t.Errorf("status %d for a small body beside large ones", got)
	}
	for i, c := range begun {
		io.WriteString(c, strings.Repeat("x", 10_000))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		// Not all of them fit to their end.
		if i == 0 && response.StatusCode != http.StatusOK {
			t.Errorf("status %d for a body that fits", response.StatusCode)
		}
		c.Close()
	}
	frontend.Client().CloseIdleConnections()
	await(func() bool { return limit.Used() == 0 })
}

// Guards against large replies that wait for callers who do not read them, and together
// take the memory of the instance.
func TestRepliesToSlowCallersShareMemory(t *testing.T) {
	const replyBytes = 4 << 20
	limit := memory.New(24 << 20)
	body := strings.Repeat("x", replyBytes)
	s, frontend := newLimitedServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Server-Stamp", "s")
		if r.URL.Path == "/a/large" {
			io.WriteString(w, body)
		}
	}, nil, limit)
	s.directory.Current.Load().Services["a"].Servers()[0].Pool.Limit.Store(100)
	var slow []net.Conn
	for i := range 20 {
		c := dialFrontend(t, frontend)
		slow = append(slow, c)
		fmt.Fprintf(c, "GET /a/large HTTP/1.1\r\nHost: h\r\nRequest-Id: s%d\r\n\r\n", i)
		response, err := http.ReadResponse(bufio.NewReaderSize(c, 16), nil)
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusBadGateway {
			t.Fatalf("status %d", response.StatusCode)
		}
	}
	if n := limit.Used(); n < replyBytes || n > limit.Max()/2 {
		t.Errorf("replies that wait for their callers count as %d bytes of %d", n, limit.Max())
	}
	if got := sendRequest(t, frontend, "GET", "/a/small", "q", "").StatusCode; got != http.StatusOK {
		t.Errorf("status %d for a small reply beside large ones", got)
	}
	for _, c := range slow {
		c.Close()
	}
	await(func() bool { return limit.Used() == 0 })
	if got := sendRequest(t, frontend, "GET", "/a/large", "q", "").StatusCode; got != http.StatusOK {
		t.Errorf("status %d for a large reply once the others are gone", got)
	}
}

// Guards against a caller that never reads its answer and keeps the memory for good.
func TestAnswerThatIsNotReadIsGivenUp(t *testing.T) {
	r := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	if err := writeBody(r, make([]byte, largeAnswerBytes+1)); err != nil || len(r.deadlines) != 2 ||
		time.Until(r.deadlines[0]) > answerWriteTimeout || !r.deadlines[1].IsZero() {
		t.Fatalf("%v, write deadlines %v", err, r.deadlines)
	}
}

// deadlineRecorder records the write deadlines that are set.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (r *deadlineRecorder) SetWriteDeadline(deadline time.Time) error {
	r.deadlines = append(r.deadlines, deadline)
	return nil
}
