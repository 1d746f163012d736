package callerrpc

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"lentilward.org/lentilward/memory"
	"lentilward.org/schema/callerpb"
	"lentilward.org/schema/dial"
	"lentilward.org/schema/domain"
)

// serveCallers serves a server and returns a connection to it.
func serveCallers(t *testing.T, s *Server) *grpc.ClientConn {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(s.ServerOptions()...)
	callerpb.RegisterCallerServer(server, s)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	c, err := dial.New(netip.MustParseAddrPort(listener.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// Guards against payloads that together take the memory of the instance while their
// requests wait for a server.
func TestRequestsShareMemory(t *testing.T) {
	proceed := make(chan struct{})
	s := New(nil, func(_ context.Context, r *domain.ExecuteRequest) (*domain.ExecuteAnswer, error) {
		if len(r.Payload) > 0 {
			<-proceed
		}
		return &domain.ExecuteAnswer{}, nil
	})
	s.Memory = memory.New(8 << 20)
	client := callerpb.NewCallerClient(serveCallers(t, s))
	results := make(chan error)
	const requests = 20
	for range requests {
		go func() {
			_, err := client.Execute(t.Context(), &callerpb.ExecuteRequest{RequestId: "r", Payload: make([]byte, 1<<20)})
			results <- err
		}()
	}
	refused := 0
	for refused < requests-3 {
		err := <-results
		refused++
		s := status.Convert(err)
		if len(s.Details()) != 1 || s.Details()[0].(*callerpb.Refusal).Outcome != callerpb.Outcome_OUTCOME_NOT_RUN || s.Code() != codes.ResourceExhausted {
			t.Fatalf("got %v for a request without memory", err)
		}
	}
	if n := s.Memory.Used(); n > s.Memory.Max()/2 || n == 0 {
		t.Errorf("%d bytes of %d are held", n, s.Memory.Max())
	}
	if _, err := client.Execute(t.Context(), &callerpb.ExecuteRequest{RequestId: "r"}); err != nil {
		t.Errorf("small request beside large ones: %v", err)
	}
	close(proceed)
	for range requests - refused {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	for s.Memory.Used() != 0 {
		runtime.Gosched()
	}
}

// Guards against requests that never end arriving on many streams at once.
func TestArrivingRequestsAreBounded(t *testing.T) {
	s := New(nil, func(context.Context, *domain.ExecuteRequest) (*domain.ExecuteAnswer, error) {
		return &domain.ExecuteAnswer{}, nil
	})
	c := serveCallers(t, s)
	ctx, cancel := context.WithCancel(t.Context())
	for range minReceiving {
		// The stream's request is never sent.
		if _, err := c.NewStream(ctx, &grpc.StreamDesc{ClientStreams: true}, callerpb.Caller_Execute_FullMethodName); err != nil {
			t.Fatal(err)
		}
	}
	client := callerpb.NewCallerClient(c)
	execute := func() error {
		_, err := client.Execute(t.Context(), &callerpb.ExecuteRequest{RequestId: "r"})
		return err
	}
	for execute() == nil {
		runtime.Gosched()
	}
	cancel()
	for execute() != nil {
		runtime.Gosched()
	}
}

// Guards against headers without end, and against a request larger than any that is valid.
func TestLargeRequestIsRefusedBeforeItIsRead(t *testing.T) {
	s := New(nil, func(context.Context, *domain.ExecuteRequest) (*domain.ExecuteAnswer, error) {
		t.Error("the request was run")
		return &domain.ExecuteAnswer{}, nil
	})
	client := callerpb.NewCallerClient(serveCallers(t, s))
	ctx := metadata.AppendToOutgoingContext(t.Context(), "x", strings.Repeat("x", 4*maxHeaderListBytes))
	if _, err := client.Execute(ctx, &callerpb.ExecuteRequest{RequestId: "r"}); err == nil {
		t.Error("took headers beyond the limit")
	}
	if _, err := client.Execute(t.Context(), &callerpb.ExecuteRequest{RequestId: "r", Payload: make([]byte, maxRequestBytes)}); status.Code(err) != codes.ResourceExhausted {
		t.Errorf("got %v for a request beyond the limit", err)
	}
}
