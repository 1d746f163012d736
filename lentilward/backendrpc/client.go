// Package backendrpc calls backend servers over gRPC.
package backendrpc

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/memory"
	"lentilward.org/schema/backendpb"
	"lentilward.org/schema/domain"
)

// maxReplyBytes bounds a reply.
const maxReplyBytes = 4 << 20

// streamWindowBytes and connectionWindowBytes bound what a server may send ahead of what is
// read of one reply, and of all replies on a connection.
const (
	streamWindowBytes     = 64 << 10
	connectionWindowBytes = 1 << 20
)

// DialOptions are the options of connections to backend servers.
func DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithIdleTimeout(0), grpc.WithInitialWindowSize(streamWindowBytes), grpc.WithInitialConnWindowSize(connectionWindowBytes),
	}
}

// New returns a client that calls one backend server through c. Its replies are held in the
// limit, until they are returned or, if the context carries a hold, until that is released.
func New(c backendpb.BackendClient, limit *memory.Limit) blackboard.Client {
	return blackboard.Client{
		Search: func(ctx context.Context, call *domain.ShardCall) (*domain.ShardReply, error) {
			reply, err := receive(ctx, limit, func(option grpc.CallOption) (*backendpb.SearchReply, error) {
				return c.Search(ctx, &backendpb.SearchRequest{
					RequestId: call.RequestID, Attempt: call.Attempt, Service: call.Service, Version: call.Version,
					Shard: call.Shard, Query: call.Query, Instance: call.Instance,
				}, option)
			})
			if err != nil {
				return nil, err
			}
			return shardReplyFromProto(reply), nil
		},
		Execute: func(ctx context.Context, requestID, service, instance string, payload []byte) ([]byte, error) {
			reply, err := receive(ctx, limit, func(option grpc.CallOption) (*backendpb.ExecuteReply, error) {
				return c.Execute(ctx, &backendpb.ExecuteRequest{
					RequestId: requestID, Service: service, Payload: payload, Instance: instance,
				}, option)
			})
			if err != nil {
				return nil, err
			}
			return reply.Result, nil
		},
		Status: func(ctx context.Context) (*domain.ServerStatus, error) {
			reply, err := receive(ctx, limit, func(option grpc.CallOption) (*backendpb.StatusReply, error) {
				return c.Status(ctx, &backendpb.StatusRequest{}, option)
			})
			if err != nil {
				return nil, err
			}
			return statusFromProto(reply), nil
		},
	}
}

// receive makes a call whose reply may be as long as there is memory for it: gRPC reads a
// message whole. Without memory the call is not sent, and refused as not run.
func receive[T proto.Message](ctx context.Context, limit *memory.Limit, call func(grpc.CallOption) (T, error)) (reply T, _ error) {
	hold, length, err := limit.Reserve(maxReplyBytes)
	if err != nil {
		return reply, domain.ErrRefused
	}
	defer hold.Empty()
	reply, err = call(grpc.MaxCallRecvMsgSize(int(length)))
	if err != nil {
		return reply, translateError(err)
	}
	hold.Shrink(int64(proto.Size(reply)))
	memory.FromContext(ctx).Adopt(hold)
	return reply, nil
}

func shardReplyFromProto(reply *backendpb.SearchReply) *domain.ShardReply {
	r := &domain.ShardReply{
		RequestID: reply.RequestId, Attempt: reply.Attempt, Service: reply.Service, Version: reply.Version,
		Shard: reply.Shard, BootID: reply.BootId, Draining: reply.Draining,
		Matches: make([]domain.ShardMatch, len(reply.Matches)),
	}
	for i, m := range reply.Matches {
		r.Matches[i] = domain.ShardMatch{Record: m.Record, Score: m.Score, Text: m.Text}
	}
	return r
}

func statusFromProto(reply *backendpb.StatusReply) *domain.ServerStatus {
	s := &domain.ServerStatus{BootID: reply.BootId, Draining: reply.Draining}
	for _, v := range reply.Versions {
		s.Versions = append(s.Versions, domain.ServerVersion{
			Service: v.Service, Version: v.Version, ShardCount: v.ShardCount, Shards: v.Shards,
		})
	}
	return s
}

// translateError converts the gRPC error of a call to an error of package domain or
// context. It returns errors of other status codes unchanged.
func translateError(err error) error {
	for _, d := range status.Convert(err).Details() {
		if r, ok := d.(*backendpb.Refusal); ok {
			return refusalError(r.Reason)
		}
	}
	switch status.Code(err) {
	case codes.Unavailable:
		return domain.ErrConnectionLost
	case codes.DeadlineExceeded:
		return context.DeadlineExceeded
	case codes.Canceled:
		return context.Canceled
	}
	return err
}

func refusalError(reason backendpb.RefusalReason) error {
	switch reason {
	case backendpb.RefusalReason_REFUSAL_REASON_VERSION_UNKNOWN, backendpb.RefusalReason_REFUSAL_REASON_SHARD_UNKNOWN:
		return domain.ErrVersionNotHeld
	}
	return domain.ErrRefused
}
