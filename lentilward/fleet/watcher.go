package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"lentilward.org/lentilward/backendrpc"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/backendpb"
	"lentilward.org/schema/dial"
)

const (
	// statusPeriod is the time between two status polls of a server.
	statusPeriod = time.Second
	// statusTimeout bounds one status poll.
	statusTimeout = time.Second
)

// watcher keeps the connection to one server and polls its status.
type watcher struct {
	server  *blackboard.Server
	conn    *grpc.ClientConn
	reports chan<- report
	refresh chan struct{}
}

// newWatcher prepares a connection of its own to the server.
func newWatcher(s *blackboard.Server, reports chan<- report) (*watcher, error) {
	conn, err := dial.New(s.Address, grpc.WithIdleTimeout(0))
	if err != nil {
		return nil, err
	}
	w := &watcher{server: s, conn: conn, reports: reports, refresh: make(chan struct{}, 1)}
	s.Client = backendrpc.New(backendpb.NewBackendClient(conn))
	s.Refresh = w.askSoon
	return w, nil
}

// askSoon makes poll ask at once.
func (w *watcher) askSoon() {
	select {
	case w.refresh <- struct{}{}:
	default:
	}
}

// run connects and polls until the context ends.
func (w *watcher) run(ctx context.Context) {
	defer w.conn.Close()
	for ctx.Err() == nil {
		if !w.connect(ctx) {
			return
		}
		lost, stop := context.WithCancel(ctx)
		go func() {
			w.conn.WaitForStateChange(ctx, connectivity.Ready)
			w.lose()
			stop()
		}()
		w.poll(lost)
		stop()
		w.send(ctx, report{server: w.server})
	}
}

// connect waits until the connection is ready.
func (w *watcher) connect(ctx context.Context) bool {
	for {
		state := w.conn.GetState()
		if state == connectivity.Ready {
			return true
		}
		w.conn.Connect()
		if !w.conn.WaitForStateChange(ctx, state) {
			return false
		}
	}
}

// poll asks for the status until the context ends. The server is used only
// after the first answer, which tells whether it was restarted.
func (w *watcher) poll(ctx context.Context) {
	for ctx.Err() == nil {
		w.ask(ctx)
		jitter := time.Duration(rand.Int64N(int64(statusPeriod / 5)))
		select {
		case <-time.After(statusPeriod - jitter):
		case <-w.refresh:
		case <-ctx.Done():
		}
	}
}

func (w *watcher) ask(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := w.server.Client.Status(call)
	if err != nil || ctx.Err() != nil {
		return
	}
	w.server.SetBoot(status.BootID)
	w.server.Connected.Store(true)
	w.send(ctx, report{server: w.server, status: status})
}

// lose makes the server unusable and cold until its next status.
func (w *watcher) lose() {
	w.server.Connected.Store(false)
	w.server.SetBoot(0)
}

func (w *watcher) send(ctx context.Context, r report) {
	select {
	case w.reports <- r:
	case <-ctx.Done():
	}
}
