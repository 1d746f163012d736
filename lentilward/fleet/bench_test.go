package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"google.golang.org/grpc"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/backendpb"
)

// quietServer answers status polls of any address.
type quietServer struct {
	backendpb.UnimplementedBackendServer
}

func (quietServer) Status(context.Context, *backendpb.StatusRequest) (*backendpb.StatusReply, error) {
	return &backendpb.StatusReply{BootId: 1, Healthy: true, Versions: []*backendpb.Version{{Service: "s", Version: 1, ShardCount: 1, Shards: []uint32{0}}}}, nil
}

// heap returns what is in use after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// BenchmarkServerMemory reports the memory of a connected backend server, both
// ends of the connection in one process.
func BenchmarkServerMemory(b *testing.B) {
	const servers = 500
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	g := grpc.NewServer()
	backendpb.RegisterBackendServer(g, quietServer{})
	go g.Serve(l)
	defer g.Stop()
	address := netip.MustParseAddrPort(l.Addr().String())
	for range b.N {
		ctx, cancel := context.WithCancel(context.Background())
		reports := make(chan report, servers)
		before := heap()
		var kept []*blackboard.Server
		for range servers {
			s := &blackboard.Server{Address: address}
			w, err := newWatcher(s, reports)
			if err != nil {
				b.Fatal(err)
			}
			kept = append(kept, s)
			go w.run(ctx)
		}
		for range servers {
			<-reports
		}
		b.ReportMetric((heap()-before)/servers, "B/server")
		cancel()
		runtime.KeepAlive(kept)
	}
}

// BenchmarkServiceMemory reports the memory of a service without its servers.
func BenchmarkServiceMemory(b *testing.B) {
	const services = 20000
	for range b.N {
		before := heap()
		c := (&blackboard.Config{}).Next(blackboard.Change{})
		f := New(blackboard.New(blackboard.Own{}), slog.New(slog.DiscardHandler))
		for i := range services {
			s := &blackboard.Service{Name: fmt.Sprintf("service-%d", i), BackendServers: make([]blackboard.BackendServer, 2)}
			c.Services[s.Name] = s
			f.state(s)
		}
		b.ReportMetric((heap()-before)/services, "B/service")
		runtime.KeepAlive(f)
		runtime.KeepAlive(c)
	}
}

// BenchmarkMemberMemory reports the memory of a member in a view.
func BenchmarkMemberMemory(b *testing.B) {
	const members = 20000
	for range b.N {
		before := heap()
		m := &blackboard.Members{}
		for i := range members {
			m.List = append(m.List, blackboard.Member{Name: fmt.Sprintf("instance-%d", i), Since: time.Now()})
		}
		b.ReportMetric((heap()-before)/members, "B/member")
		runtime.KeepAlive(m)
	}
}
