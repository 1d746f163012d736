package backend

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lentilward.org/lentilward/backendrpc"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/backendpb"
)

// fakeClient is an in-memory backend server.
type fakeClient struct {
	backendpb.BackendClient
	delay time.Duration
	// nextDelays are the delays of the next replies; delay applies after them.
	nextDelays []time.Duration
	err        error
	// corrupt modifies each reply before it is returned.
	corrupt func(*backendpb.SearchReply)

	mu          sync.Mutex
	inFlight    int
	calls       int
	maxInFlight int
	cancelled   int
}

func (f *fakeClient) enter() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	f.inFlight++
	f.maxInFlight = max(f.maxInFlight, f.inFlight)
}

// nextDelay returns the delay of the next reply.
func (f *fakeClient) nextDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.nextDelays) == 0 {
		return f.delay
	}
	d := f.nextDelays[0]
	f.nextDelays = f.nextDelays[1:]
	return d
}

func (f *fakeClient) leave(cancelled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
	if cancelled {
		f.cancelled++
	}
}

func (f *fakeClient) Search(ctx context.Context, r *backendpb.SearchRequest, _ ...grpc.CallOption) (*backendpb.SearchReply, error) {
	f.enter()
	defer func() { f.leave(ctx.Err() != nil) }()
	if f.err != nil {
		return nil, f.err
	}
	select {
	case <-time.After(f.nextDelay()):
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	reply := &backendpb.SearchReply{
		RequestId: r.RequestId, Attempt: r.Attempt, Service: r.Service, Version: r.Version, Shard: r.Shard, BootId: 1,
	}
	if f.corrupt != nil {
		f.corrupt(reply)
	}
	return reply, nil
}

func (f *fakeClient) Execute(ctx context.Context, r *backendpb.ExecuteRequest, _ ...grpc.CallOption) (*backendpb.ExecuteReply, error) {
	f.enter()
	defer func() { f.leave(ctx.Err() != nil) }()
	if f.err != nil {
		return nil, f.err
	}
	return &backendpb.ExecuteReply{RequestId: r.RequestId, Result: r.Payload, BootId: 1}, nil
}

// refusal returns the error of a server that refused a request without running
// it.
func refusal(reason backendpb.RefusalReason) error {
	s, err := status.New(codes.FailedPrecondition, "refused").WithDetails(&backendpb.Refusal{Reason: reason})
	if err != nil {
		panic(err)
	}
	return s.Err()
}

var errConnectionLost = status.Error(codes.Unavailable, "connection reset")

// fixture is a runner, and a service with one shard and the servers that hold
// it.
type fixture struct {
	runner  *Runner
	task    Task
	servers []*blackboard.Server
	clients []*fakeClient
}

// runWithFixture runs a test in a synctest bubble with n warm servers that
// reply after 10 ms.
func runWithFixture(t *testing.T, n int, test func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFixture(ctx, n)
		test(t, f)
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
	})
}

func newFixture(ctx context.Context, n int) *fixture {
	f := &fixture{runner: New(ctx, "test", Policy{})}
	state := &blackboard.ServiceState{}
	state.HedgeDelay.Store(int64(20 * time.Millisecond))
	state.MedianLatency.Store(int64(10 * time.Millisecond))
	f.task = Task{
		Routes:  &blackboard.ServiceRoutes{Service: &blackboard.Service{Name: "s", HedgeBudget: 0.05}, State: state},
		Version: &blackboard.VersionRoutes{Version: 7, Holders: make([][]*blackboard.Server, 1)},
	}
	for i := range n {
		c := &fakeClient{delay: 10 * time.Millisecond}
		s := &blackboard.Server{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i)),
			Service: "s", Client: backendrpc.New(c, nil), RequestStatus: func() {},
		}
		s.SetBootID(1)
		s.WarmBootID.Store(1)
		s.Connected.Store(true)
		s.Slots.Store(3)
		s.Limit.Store(3)
		f.servers = append(f.servers, s)
		f.clients = append(f.clients, c)
	}
	f.task.Version.Holders[0] = f.servers
	f.task.Routes.Servers = f.servers
	return f
}

// makeCold makes a server cold and, if owned is set, owned by this instance.
func (f *fixture) makeCold(i int, owned bool) {
	s := f.servers[i]
	s.WarmBootID.Store(0)
	s.Limit.Store(0)
	if owned {
		s.OwnedUntil.Store(blackboard.Monotonic() + int64(time.Hour))
		s.Limit.Store(1)
	}
}

func newRequest(timeout time.Duration) *Request {
	return &Request{ID: "r", Query: "q", Deadline: time.Now().Add(timeout), WaitForServer: true}
}

func (f *fixture) runTask(req *Request) Result {
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	return f.runner.Run(ctx, req, f.task)
}
