package suspect

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/conn"
	"lentilward.org/schema/domain"
)

// fakeProcess is a server process that keeps the connections to it open until it crashes.
type fakeProcess struct {
	mu    sync.Mutex
	down  bool
	dials int
	conns []net.Conn
}

func (p *fakeProcess) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials++
	if p.down {
		return nil, syscall.ECONNREFUSED
	}
	client, server := net.Pipe()
	p.conns = append(p.conns, server)
	return client, nil
}

func (p *fakeProcess) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = true
	for _, c := range p.conns {
		c.Close()
	}
}

// watchTest has a watch and what it has reported.
type watchTest struct {
	*Watch
	process *fakeProcess
	server  *balance.Server
	lost    []string
}

func newWatchTest() *watchTest {
	w := &watchTest{Watch: NewWatch(slog.New(slog.DiscardHandler)), process: &fakeProcess{}}
	pool := conn.NewPool(netip.MustParseAddrPort("10.0.0.1:80"))
	pool.Dial = w.process.dial
	w.server = balance.NewServer(domain.BackendServer{ID: "i-1"}, pool, false)
	w.OnLoss = func(r Run, _ time.Time) { w.lost = append(w.lost, r.RequestID) }
	return w
}

func (w *watchTest) run(id string, hasRun bool) Run {
	return Run{RequestID: id, Server: w.server, HasRun: func() bool { return hasRun }}
}

func (w *watchTest) wantLost(t *testing.T, want ...string) {
	t.Helper()
	synctest.Wait()
	if len(w.lost) != len(want) {
		t.Fatalf("lost %v, want %v", w.lost, want)
	}
	for i := range want {
		if w.lost[i] != want[i] {
			t.Fatalf("lost %v, want %v", w.lost, want)
		}
	}
}

// Guards against blaming a request whose answer was lost while the server lives on.
func TestLostConnectionIsNoLostServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatchTest()
		w.server.Pool.OpenIdle(t.Context(), 1)
		time.Sleep(time.Second)
		w.Lost(w.run("a", false), time.Now())
		time.Sleep(time.Second)
		w.wantLost(t)
		w.Lost(w.run("b", false), time.Now())
		w.process.crash()
		time.Sleep(time.Second)
		w.wantLost(t, "b")
		w.Lost(w.run("c", true), time.Now())
		time.Sleep(time.Second)
		w.wantLost(t, "b")
	})
}

// Guards against a request that crashes its server after its caller has left, so that nobody
// sees the end of the call, whenever the server crashes before the deadline.
func TestServerThatCrashesAfterTheRunWasGivenUpIsFound(t *testing.T) {
	for _, after := range []time.Duration{0, 50 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second, 5900 * time.Millisecond} {
		for _, idle := range []int{0, 1} {
			synctest.Test(t, func(t *testing.T) {
				w := newWatchTest()
				w.server.Pool.Limit.Store(2)
				w.server.Pool.OpenIdle(t.Context(), idle)
				time.Sleep(time.Millisecond)
				w.GivenUp(w.run("a", false), time.Now().Add(6*time.Second))
				w.GivenUp(w.run("answered", true), time.Now().Add(6*time.Second))
				time.Sleep(after)
				w.process.crash()
				time.Sleep(20 * time.Second)
				w.wantLost(t, "a")
			})
		}
	}
}

// Guards against blaming a request for the planned stop of a server.
func TestServerThatStopsAsPlannedIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatchTest()
		w.GivenUp(w.run("a", false), time.Now().Add(6*time.Second))
		w.server.SetOutOfService(true)
		time.Sleep(time.Second)
		w.process.crash()
		w.Lost(w.run("b", false), time.Now())
		time.Sleep(20 * time.Second)
		w.wantLost(t)
	})
}

// Guards against a watch that goes on, or opens connections, without a reason.
func TestWatchEndsWithTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatchTest()
		w.server.Pool.OpenIdle(t.Context(), 1)
		time.Sleep(time.Millisecond)
		for range 200 {
			w.GivenUp(w.run("a", false), time.Now().Add(2*time.Second))
		}
		time.Sleep(3 * time.Second)
		if w.process.dials > 1 {
			t.Errorf("%d connections opened beside the idle one", w.process.dials-1)
		}
		time.Sleep(10 * time.Second)
		w.process.crash()
		time.Sleep(20 * time.Second)
		w.wantLost(t)
		if len(w.givenUp) > 0 {
			t.Error("the server is still watched")
		}
	})
}

// Guards against blaming a request whose answer was lost on the only connection to a server,
// and against missing a server that has crashed and is back as another process at once.
func TestServerThatAcceptsConnectionsIsLostIfReplaced(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := newWatchTest()
			w.Lost(w.run("a", false), time.Now())
			time.Sleep(500 * time.Millisecond)
			w.wantLost(t)
			if replaced {
				w.Replaced(w.server)
				w.wantLost(t, "a")
			} else {
				time.Sleep(20 * time.Second)
				w.Replaced(w.server)
				w.wantLost(t)
			}
			time.Sleep(20 * time.Second)
		})
	}
}

// Guards against a server whose loss is seen by the call of another request only.
func TestLossAccusesTheRunsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatchTest()
		w.GivenUp(w.run("a", false), time.Now().Add(6*time.Second))
		w.process.crash()
		w.Lost(w.run("b", false), time.Now())
		time.Sleep(100 * time.Millisecond)
		w.wantLost(t, "b", "a")
		time.Sleep(20 * time.Second)
		w.wantLost(t, "b", "a")
	})
}
