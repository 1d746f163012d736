// Package backendrpc calls backend servers over gRPC.
package backendrpc

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/backendpb"
	"lentilward.org/schema/domain"
)

// New returns a client that calls one backend server through c.
func New(c backendpb.BackendClient) blackboard.Client {
	return blackboard.Client{
		Search: func(ctx context.Context, call *domain.ShardCall) (*domain.ShardReply, error) {
			reply, err := c.Search(ctx, &backendpb.SearchRequest{
				RequestId: call.RequestID, Attempt: call.Attempt, Service: call.Service, Version: call.Version,
				Shard: call.Shard, Query: call.Query, Instance: call.Instance,
			})
			if err != nil {
				return nil, translateError(err)
			}
			return shardReplyFromProto(reply), nil
		},
		Execute: func(ctx context.Context, requestID, service, instance string, payload []byte) ([]byte, error) {
			reply, err := c.Execute(ctx, &backendpb.ExecuteRequest{
				RequestId: requestID, Service: service, Payload: payload, Instance: instance,
			})
			if err != nil {
				return nil, translateError(err)
			}
			return reply.Result, nil
		},
		Status: func(ctx context.Context) (*domain.ServerStatus, error) {
			reply, err := c.Status(ctx, &backendpb.StatusRequest{})
			if err != nil {
				return nil, translateError(err)
			}
			return statusFromProto(reply), nil
		},
	}
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
