package backend

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"lentilward.org/schema/backendpb"
)

// echoServer replies to each search with 6 matches of 40 bytes.
type echoServer struct {
	backendpb.UnimplementedBackendServer
}

func (echoServer) Search(_ context.Context, r *backendpb.SearchRequest) (*backendpb.SearchReply, error) {
	reply := &backendpb.SearchReply{RequestId: r.RequestId, Attempt: r.Attempt, Service: r.Service, Version: r.Version, Shard: r.Shard, BootId: 1}
	for i := range 6 {
		reply.Matches = append(reply.Matches, &backendpb.Match{Record: uint64(i), Score: 0.5, Text: "0123456789012345678901234567890123456789"})
	}
	return reply, nil
}

// BenchmarkCall measures one unary call over loopback with client and server in
// one process.
func BenchmarkCall(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	g := grpc.NewServer()
	backendpb.RegisterBackendServer(g, echoServer{})
	go g.Serve(l)
	defer g.Stop()
	var bytes atomic.Int64
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return countedConn{c, &bytes}, err
		}))
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	client := backendpb.NewBackendClient(conn)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := client.Search(context.Background(), &backendpb.SearchRequest{RequestId: "bench", Service: "s", Version: 1, Query: "meter 4711"}); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}

// countedConn counts the bytes sent and received.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
