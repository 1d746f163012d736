package caller

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lentilward.org/lentilward/backend"
	"lentilward.org/lentilward/backendrpc"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/monitor"
	"lentilward.org/lentilward/store"
	"lentilward.org/lentilward/suspect"
	"lentilward.org/schema/backendpb"
	"lentilward.org/schema/callerpb"
)

// fakeServer is an in-memory backend server. Each shard of a version has one
// match for every query.
type fakeServer struct {
	backendpb.BackendClient
	versions       []uint64
	connectionLost bool
	extraDelay     time.Duration
	calls          atomic.Int32
}

var errConnectionLost = status.Error(codes.Unavailable, "connection reset")

func (f *fakeServer) Search(ctx context.Context, r *backendpb.SearchRequest, _ ...grpc.CallOption) (*backendpb.SearchReply, error) {
	f.calls.Add(1)
	select {
	case <-time.After(10*time.Millisecond + f.extraDelay):
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	if f.connectionLost || r.Query == "poison" {
		return nil, errConnectionLost
	}
	for _, v := range f.versions {
		if v == r.Version {
			return &backendpb.SearchReply{
				RequestId: r.RequestId, Attempt: r.Attempt, Service: r.Service, Version: r.Version, Shard: r.Shard, BootId: 1,
				Matches: []*backendpb.Match{{
					Record: uint64(r.Shard), Score: 1 / float64(r.Shard+1),
					Text: fmt.Sprintf("%s shard %d version %d: %s", r.Service, r.Shard, r.Version, r.Query),
				}},
			}, nil
		}
	}
	s, err := status.New(codes.FailedPrecondition, "refused").WithDetails(
		&backendpb.Refusal{Reason: backendpb.RefusalReason_REFUSAL_REASON_VERSION_UNKNOWN})
	if err != nil {
		return nil, err
	}
	return nil, s.Err()
}

func (f *fakeServer) Execute(ctx context.Context, r *backendpb.ExecuteRequest, _ ...grpc.CallOption) (*backendpb.ExecuteReply, error) {
	f.calls.Add(1)
	select {
	case <-time.After(f.extraDelay):
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	if f.connectionLost {
		return nil, errConnectionLost
	}
	return &backendpb.ExecuteReply{RequestId: r.RequestId, Result: r.Payload, BootId: 1}, nil
}

// fakeStream records the messages of an answer.
type fakeStream struct {
	grpc.ServerStream
	ctx      context.Context
	messages []*callerpb.SearchReply
}

func (s *fakeStream) Context() context.Context { return s.ctx }

func (s *fakeStream) Send(r *callerpb.SearchReply) error {
	s.messages = append(s.messages, r)
	return nil
}

// testInstance is one instance with the services "billing", which has 2 shards,
// and "audit", which has 1, on two servers each.
type testInstance struct {
	board        *blackboard.Board
	server       *Server
	servers      map[string][]*fakeServer
	routes       map[string]*blackboard.ServiceRoutes
	storeMu      sync.Mutex
	storeEntries map[string]store.Entry
	storeDown    bool
}

func newTestInstance(ctx context.Context) *testInstance {
	inst := &testInstance{
		board:        blackboard.New(blackboard.LocalInstance{Name: "test", Phase: blackboard.Serving}),
		servers:      make(map[string][]*fakeServer),
		routes:       make(map[string]*blackboard.ServiceRoutes),
		storeEntries: make(map[string]store.Entry),
	}
	log := slog.New(slog.DiscardHandler)
	runner := backend.New(ctx, "test", backend.Policy{})
	inst.server = New(inst.board, runner, store.NewClaims(inst.fakeKeyValue(), "test", log), suspect.New(inst.board, suspect.MaxCrashes),
		monitor.NewMetrics(), backend.Policy{}, log)
	inst.addService("billing", 2, 1000)
	inst.addService("audit", 1, 2000)
	inst.publish()
	return inst
}

// addService adds a service whose servers hold version 1.
func (inst *testInstance) addService(name string, shards, port int) {
	state := &blackboard.ServiceState{}
	state.HedgeDelay.Store(int64(time.Second))
	state.MedianLatency.Store(int64(10 * time.Millisecond))
	r := &blackboard.ServiceRoutes{
		Service: &blackboard.Service{Name: name, Shards: uint32(shards), HedgeBudget: 0.05}, State: state,
	}
	for i := range 2 {
		f := &fakeServer{versions: []uint64{1}}
		s := &blackboard.Server{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port+i)),
			Service: name, Client: backendrpc.New(f, nil), RequestStatus: func() {},
		}
		s.SetBootID(1)
		s.WarmBootID.Store(1)
		s.Connected.Store(true)
		s.Slots.Store(4)
		s.Limit.Store(4)
		r.Servers = append(r.Servers, s)
		inst.servers[name] = append(inst.servers[name], f)
	}
	inst.routes[name] = r
	inst.pinVersion(name, 1, shards)
}

// pinVersion sets the version that new requests use.
func (inst *testInstance) pinVersion(name string, version uint64, shards int) {
	r := *inst.routes[name]
	r.PinnedVersion = &blackboard.VersionRoutes{Version: version, Holders: make([][]*blackboard.Server, shards)}
	for i := range shards {
		r.PinnedVersion.Holders[i] = r.Servers
	}
	inst.routes[name] = &r
}

func (inst *testInstance) publish() {
	routes := &blackboard.Routes{Services: make(map[string]*blackboard.ServiceRoutes), Revision: 1}
	for name, r := range inst.routes {
		routes.Services[name] = r
	}
	inst.board.Routes.Store(routes)
}

func (inst *testInstance) fakeKeyValue() *store.KeyValue {
	return &store.KeyValue{
		Get: func(_ context.Context, key string) (store.Entry, error) {
			inst.storeMu.Lock()
			defer inst.storeMu.Unlock()
			if inst.storeDown {
				return store.Entry{}, store.ErrUnavailable
			}
			return inst.storeEntries[key], nil
		},
		Put: func(_ context.Context, key string, value []byte, expected uint64) (uint64, error) {
			inst.storeMu.Lock()
			defer inst.storeMu.Unlock()
			if inst.storeDown {
				return 0, store.ErrUnavailable
			}
			if inst.storeEntries[key].Revision != expected {
				return 0, store.ErrConflict
			}
			inst.storeEntries[key] = store.Entry{Value: value, Revision: expected + 1}
			return expected + 1, nil
		},
	}
}
