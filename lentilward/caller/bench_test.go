package caller

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/grpc"

	"lentilward.org/lentilward/backend"
	"lentilward.org/lentilward/backendrpc"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/callerrpc"
	"lentilward.org/lentilward/monitor"
	"lentilward.org/lentilward/store"
	"lentilward.org/lentilward/suspect"
	"lentilward.org/schema/backendpb"
	"lentilward.org/schema/callerpb"
)

// instantServer replies at once with one match.
type instantServer struct {
	backendpb.BackendClient
}

func (instantServer) Search(_ context.Context, r *backendpb.SearchRequest, _ ...grpc.CallOption) (*backendpb.SearchReply, error) {
	return &backendpb.SearchReply{
		RequestId: r.RequestId, Attempt: r.Attempt, Service: r.Service, Version: r.Version, Shard: r.Shard, BootId: 1,
		Matches: []*backendpb.Match{{Record: uint64(r.Shard), Score: 0.5, Text: "match"}},
	}, nil
}

// BenchmarkSearch measures one search without the cost of calls: admission,
// choice of servers, collection of the replies and merging.
func BenchmarkSearch(b *testing.B) {
	for _, shards := range []int{40, 1100} {
		b.Run(fmt.Sprintf("shards-%d", shards), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			server := benchServer(ctx, shards)
			s := callerrpc.New(server.Search, server.Execute)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					id := fmt.Sprint(time.Now().UnixNano())
					stream := &fakeStream{ctx: ctx}
					if err := s.Search(&callerpb.SearchRequest{RequestId: id, Caller: "bench", Services: []string{"s"}, Query: "q", DeadlineMs: 60000}, stream); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(shards), "ns/shard")
		})
	}
}

// benchServer returns a server with one service that has a pair of backend
// servers for every 10 shards.
func benchServer(ctx context.Context, shards int) *Server {
	board := blackboard.New(blackboard.LocalInstance{Name: "bench", Phase: blackboard.Serving})
	state := &blackboard.ServiceState{}
	state.HedgeDelay.Store(int64(time.Minute))
	r := &blackboard.ServiceRoutes{
		Service: &blackboard.Service{Name: "s", Shards: uint32(shards), HedgeBudget: 0.05}, State: state,
		PinnedVersion: &blackboard.VersionRoutes{Version: 1, Holders: make([][]*blackboard.Server, shards)},
	}
	const shardsPerPair = 10
	for i := 0; i*shardsPerPair < shards; i++ {
		var pair []*blackboard.Server
		for j := range 2 {
			s := &blackboard.Server{
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(2*i+j+1)),
				Service: "s", Client: backendrpc.New(instantServer{}, nil), RequestStatus: func() {},
			}
			s.SetBootID(1)
			s.WarmBootID.Store(1)
			s.Connected.Store(true)
			s.Limit.Store(1 << 20)
			pair = append(pair, s)
		}
		for k := i * shardsPerPair; k < min(shards, (i+1)*shardsPerPair); k++ {
			r.PinnedVersion.Holders[k] = pair
		}
		r.Servers = append(r.Servers, pair...)
	}
	board.Routes.Store(&blackboard.Routes{Services: map[string]*blackboard.ServiceRoutes{"s": r}, Revision: 1})
	log := slog.New(slog.DiscardHandler)
	return New(board, backend.New(ctx, "bench", backend.Policy{}), store.NewClaims(nil, "bench", slog.New(slog.DiscardHandler)),
		suspect.New(board, suspect.MaxCrashes), monitor.NewMetrics(), backend.Policy{}, log)
}
