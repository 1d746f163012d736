package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"lentilward.org/lentilward/backendrpc"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/memory"
	"lentilward.org/schema/backendpb"
	"lentilward.org/schema/dial"
)

const (
	// statusPeriod is the time between two status polls of a server.
	statusPeriod = time.Second
	// statusTimeout bounds one status poll.
	statusTimeout = time.Second
)

// watcher maintains the connection to one server and polls its status.
type watcher struct {
	server  *blackboard.Server
	conn    *grpc.ClientConn
	reports chan<- report
	refresh chan struct{}
}

// newWatcher creates a separate connection for the server, without connecting yet.
func newWatcher(s *blackboard.Server, limit *memory.Limit, reports chan<- report) (*watcher, error) {
	conn, err := dial.New(s.Address, backendrpc.DialOptions()...)
	if err != nil {
		return nil, err
	}
	w := &watcher{server: s, conn: conn, reports: reports, refresh: make(chan struct{}, 1)}
	s.Client = backendrpc.New(backendpb.NewBackendClient(conn), limit)
	s.RequestStatus = w.requestPoll
	return w, nil
}

// requestPoll makes poll request the status at once. It does not block.
func (w *watcher) requestPoll() {
	select {
	case w.refresh <- struct{}{}:
	default:
	}
}

// run connects, polls and reconnects until the context ends.
func (w *watcher) run(ctx context.Context) {
	defer w.conn.Close()
	for ctx.Err() == nil {
		if !w.connect(ctx) {
			return
		}
		connectedCtx, cancel := context.WithCancel(ctx)
		go func() {
			w.conn.WaitForStateChange(ctx, connectivity.Ready)
			w.markDisconnected()
			cancel()
		}()
		w.poll(connectedCtx)
		cancel()
		w.sendReport(ctx, report{server: w.server})
	}
}

// connect waits until the connection is ready. It returns false if the context
// ends first.
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

// poll requests the status periodically until the context ends. The server gets no
// work before the first reply, which shows whether the process was restarted.
func (w *watcher) poll(ctx context.Context) {
	for ctx.Err() == nil {
		w.pollOnce(ctx)
		jitter := time.Duration(rand.Int64N(int64(statusPeriod / 5)))
		select {
		case <-time.After(statusPeriod - jitter):
		case <-w.refresh:
		case <-ctx.Done():
		}
	}
}

func (w *watcher) pollOnce(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := w.server.Client.Status(callCtx)
	if err != nil || ctx.Err() != nil {
		return
	}
	w.server.SetBootID(status.BootID)
	w.server.Connected.Store(true)
	w.sendReport(ctx, report{server: w.server, status: status})
}

// markDisconnected makes the server unusable and cold until its next status.
func (w *watcher) markDisconnected() {
	w.server.Connected.Store(false)
	w.server.SetBootID(0)
}

func (w *watcher) sendReport(ctx context.Context, r report) {
	select {
	case w.reports <- r:
	case <-ctx.Done():
	}
}
