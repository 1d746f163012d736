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

// statusServer replies to status polls only.
type statusServer struct {
	backendpb.UnimplementedBackendServer
}

func (statusServer) Status(context.Context, *backendpb.StatusRequest) (*backendpb.StatusReply, error) {
	return &backendpb.StatusReply{BootId: 1, Healthy: true, Versions: []*backendpb.Version{{Service: "s", Version: 1, ShardCount: 1, Shards: []uint32{0}}}}, nil
}

// memoryInUse returns the bytes of heap and stack in use after a garbage
// collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// BenchmarkServerMemory reports the memory per connected backend server. Both ends
// of the connection are in this process and counted.
func BenchmarkServerMemory(b *testing.B) {
	const servers = 500
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	g := grpc.NewServer()
	backendpb.RegisterBackendServer(g, statusServer{})
	go g.Serve(l)
	defer g.Stop()
	address := netip.MustParseAddrPort(l.Addr().String())
	for range b.N {
		ctx, cancel := context.WithCancel(context.Background())
		reports := make(chan report, servers)
		before := memoryInUse()
		var connected []*blackboard.Server
		for range servers {
			s := &blackboard.Server{Address: address}
			w, err := newWatcher(s, nil, reports)
			if err != nil {
				b.Fatal(err)
			}
			connected = append(connected, s)
			go w.run(ctx)
		}
		for range servers {
			<-reports
		}
		b.ReportMetric((memoryInUse()-before)/servers, "B/server")
		cancel()
		runtime.KeepAlive(connected)
	}
}

// BenchmarkServiceMemory reports the memory per service, without its servers.
func BenchmarkServiceMemory(b *testing.B) {
	const services = 20000
	for range b.N {
		before := memoryInUse()
		c := (&blackboard.Config{}).Next(blackboard.Change{})
		f := New(blackboard.New(blackboard.LocalInstance{}), slog.New(slog.DiscardHandler))
		for i := range services {
			s := &blackboard.Service{Name: fmt.Sprintf("service-%d", i), BackendServers: make([]blackboard.BackendServer, 2)}
			c.Services[s.Name] = s
			f.ensureServiceState(s)
		}
		b.ReportMetric((memoryInUse()-before)/services, "B/service")
		runtime.KeepAlive(f)
		runtime.KeepAlive(c)
	}
}

// BenchmarkMemberMemory reports the memory per entry of Members.List.
func BenchmarkMemberMemory(b *testing.B) {
	const members = 20000
	for range b.N {
		before := memoryInUse()
		m := &blackboard.Members{}
		for i := range members {
			m.List = append(m.List, blackboard.Member{Name: fmt.Sprintf("instance-%d", i), Since: time.Now()})
		}
		b.ReportMetric((memoryInUse()-before)/members, "B/member")
		runtime.KeepAlive(m)
	}
}
