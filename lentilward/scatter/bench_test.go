package scatter

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/conn"
	"lentilward.org/schema/domain"
)

// serveReplies answers each call on a socket with a body of about 1,000 bytes (62
// records) with as little work as possible.
func serveReplies(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	body := strings.Repeat("0123456789abcdef", 62)
	for {
		for {
			line, err := reader.ReadSlice('\n')
			if err != nil {
				return
			}
			if len(line) <= 2 {
				break
			}
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if err != nil {
			return
		}
	}
}

// BenchmarkSearch measures searches over sockets with the backend server in the
// same process.
func BenchmarkSearch(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveReplies(c)
		}
	}()
	address := netip.MustParseAddrPort(listener.Addr().String())
	for _, shards := range []int{1, 20, 50, 225} {
		b.Run(fmt.Sprintf("shards-%d", shards), func(b *testing.B) {
			var services []*balance.Service
			for i := range shards {
				s := balance.NewService(fmt.Sprint("s", i), func() *balance.RetryBudget { return &balance.RetryBudget{Window: time.Second} })
				pool := conn.NewPool(address)
				pool.Limit.Store(8)
				s.SetServers([]*balance.Server{balance.NewServer(domain.BackendServer{ID: "i"}, pool, false)})
				services = append(services, s)
				b.Cleanup(pool.Close)
			}
			e := newTestEngine(testPolicy)
			state := &balance.Route{}
			b.ReportAllocs()
			for b.Loop() {
				task := newTask(searchRoute(shards, 1), services...)
				task.State = state
				task.Request.TimeLeft, task.Route.TargetLatency, task.Route.Timeout = time.Minute, time.Minute, time.Minute
				if _, _, refusal := e.Run(b.Context(), task); refusal != nil {
					b.Fatal(refusal)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(shards), "ns/shard")
		})
	}
}
