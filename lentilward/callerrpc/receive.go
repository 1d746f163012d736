package callerrpc

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
	"google.golang.org/protobuf/proto"

	"lentilward.org/lentilward/memory"
	"lentilward.org/schema/domain"
)

const (
	// maxRequestBytes bounds a request: its payload, and what comes with it.
	maxRequestBytes = 1<<20 + 64<<10
	// maxHeaderListBytes bounds the headers of a request.
	maxHeaderListBytes = 16 << 10
	// streamWindowBytes and connectionWindowBytes bound what a caller may send ahead of
	// what is read of one request, and of all requests on a connection.
	streamWindowBytes     = 64 << 10
	connectionWindowBytes = 1 << 20
	// receiveTimeout bounds the time that a request may take to arrive, and
	// answerTimeout the time that its caller may take to read the answer.
	receiveTimeout = 10 * time.Second
	answerTimeout  = 30 * time.Second
	// minReceiving is the minimum number of requests that may arrive at the same time.
	minReceiving = 32
	// memoryRetryDelay is the Retry-After of requests that are refused because there is
	// no memory for them.
	memoryRetryDelay = 200 * time.Millisecond
)

// errReceiving refuses requests beyond those that may arrive at the same time.
var errReceiving = status.Error(codes.Unavailable, "too many requests are arriving")

// ServerOptions are the options of the gRPC server for callers. gRPC reads a request whole
// before its handler is called, so they bound the requests that arrive at the same time.
func (s *Server) ServerOptions() []grpc.ServerOption {
	receiving := &receiving{max: minReceiving}
	if s.Memory != nil {
		receiving.max = max(minReceiving, s.Memory.Max()/maxRequestBytes)
	}
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxRequestBytes), grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.InitialWindowSize(streamWindowBytes), grpc.InitialConnWindowSize(connectionWindowBytes),
		grpc.InTapHandle(receiving.begin),
	}
}

// receiving counts the requests that are arriving.
type receiving struct {
	count atomic.Int64
	max   int64
}

// exchange is one request with its answer.
type exchange struct {
	receiving *receiving
	received  atomic.Bool
	timer     *time.Timer
	cancel    context.CancelFunc
}

// exchangeKey is the key of an exchange in the context of its stream.
type exchangeKey struct{}

// begin admits a request whose headers have arrived.
func (r *receiving) begin(ctx context.Context, _ *tap.Info) (context.Context, error) {
	if r.count.Add(1) > r.max {
		r.count.Add(-1)
		return nil, errReceiving
	}
	ctx, cancel := context.WithCancel(ctx)
	e := &exchange{receiving: r, timer: time.AfterFunc(receiveTimeout, cancel), cancel: cancel}
	context.AfterFunc(ctx, func() {
		e.timer.Stop()
		e.endReceiving()
	})
	return context.WithValue(ctx, exchangeKey{}, e), nil
}

func (e *exchange) endReceiving() {
	if e.received.CompareAndSwap(false, true) {
		e.receiving.count.Add(-1)
	}
}

// hold holds a request that has arrived, and gives the context that its replies are held
// with, both until its stream has ended. It returns a refusal if there is no memory.
func (s *Server) hold(ctx context.Context, request proto.Message) (context.Context, error) {
	if e, ok := ctx.Value(exchangeKey{}).(*exchange); ok {
		e.timer.Stop()
		e.endReceiving()
	}
	hold := s.Memory.NewHold()
	replies := s.Replies.NewHold()
	context.AfterFunc(ctx, func() {
		hold.Release()
		replies.Release()
	})
	if err := hold.Take(int64(proto.Size(request))); err != nil {
		return nil, refusalStatus(&domain.Refusal{
			Reason: domain.Overloaded, Outcome: domain.NotRun, RetryAfter: memoryRetryDelay, Message: "no memory is left for the request",
		})
	}
	return memory.NewContext(ctx, replies), nil
}

// beginAnswer cancels the stream if its caller does not read the answer in time.
func beginAnswer(ctx context.Context) {
	if e, ok := ctx.Value(exchangeKey{}).(*exchange); ok {
		e.timer.Reset(answerTimeout)
	}
}
