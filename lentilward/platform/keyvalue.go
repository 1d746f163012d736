// Package platform adapts the platform's key-value service and instance list.
// Its function fields are the only place that knows their protocol.
package platform

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lentilward.org/schema/dial"
	"lentilward.org/schema/platformpb"
)

// Errors of the key-value service.
var (
	// ErrConflict means that the key had another revision; nothing was written.
	ErrConflict = merry.Sentinel("key has another revision")
	// ErrUnavailable means that no answer came; a write may have taken effect.
	ErrUnavailable = merry.Sentinel("platform is unavailable")
	// ErrLimited means that the rate was exceeded; nothing was written.
	ErrLimited = merry.Sentinel("platform's rate exceeded")
	// ErrLeaseEnded means that the lease has ended; nothing was written.
	ErrLeaseEnded = merry.Sentinel("lease has ended")
)

// Entry is the value of a key. Revision is 0 if the key is absent.
type Entry struct {
	Value    []byte
	Revision uint64
}

// KeyValue is the key-value service.
type KeyValue struct {
	Get func(ctx context.Context, key string) (Entry, error)
	// Put writes if the key has the expected revision; 0 means absent.
	Put func(ctx context.Context, key string, value []byte, expected, lease uint64) (revision uint64, err error)
	// Delete removes a key.
	Delete func(ctx context.Context, key string) error
	// Wait returns when the key's revision is above after, or after timeout.
	Wait func(ctx context.Context, key string, after uint64, timeout time.Duration) (Entry, error)
	// GrantLease makes a lease that ends after ttl.
	GrantLease func(ctx context.Context, ttl time.Duration) (uint64, error)
}

// Instance is one entry of the platform's list of instances.
type Instance struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	Leaving    bool
}

// List returns the platform's list of instances, which lags.
type List func(ctx context.Context) ([]Instance, error)

// Dial returns the platform's services at an address and counts the calls. The
// connection is made when it is first used.
func Dial(address netip.AddrPort, calls *atomic.Int64) (*KeyValue, List, error) {
	count := func(ctx context.Context, method string, request, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
		calls.Add(1)
		return invoke(ctx, method, request, reply, conn, options...)
	}
	conn, err := dial.New(address, grpc.WithUnaryInterceptor(count))
	if err != nil {
		return nil, nil, err
	}
	return newKeyValue(platformpb.NewKeyValueClient(conn)), newList(platformpb.NewInstancesClient(conn)), nil
}

func newKeyValue(c platformpb.KeyValueClient) *KeyValue {
	return &KeyValue{
		Get: func(ctx context.Context, key string) (Entry, error) {
			r, err := c.Get(ctx, &platformpb.GetRequest{Key: key})
			if err != nil {
				return Entry{}, translate(err)
			}
			return Entry{Value: r.Value, Revision: r.Revision}, nil
		},
		Put: func(ctx context.Context, key string, value []byte, expected, lease uint64) (uint64, error) {
			r, err := c.Put(ctx, &platformpb.PutRequest{
				Key: key, Value: value, ExpectedRevision: expected, LeaseId: lease,
			})
			if err != nil {
				return 0, translate(err)
			}
			return r.Revision, nil
		},
		Delete: func(ctx context.Context, key string) error {
			if _, err := c.Delete(ctx, &platformpb.DeleteRequest{Key: key}); err != nil {
				return translate(err)
			}
			return nil
		},
		Wait: func(ctx context.Context, key string, after uint64, timeout time.Duration) (Entry, error) {
			r, err := c.Wait(ctx, &platformpb.WaitRequest{
				Key: key, AfterRevision: after, TimeoutMs: timeout.Milliseconds(),
			})
			if err != nil {
				return Entry{}, translate(err)
			}
			return Entry{Value: r.Value, Revision: r.Revision}, nil
		},
		GrantLease: func(ctx context.Context, ttl time.Duration) (uint64, error) {
			r, err := c.GrantLease(ctx, &platformpb.GrantLeaseRequest{TtlMs: ttl.Milliseconds()})
			if err != nil {
				return 0, translate(err)
			}
			return r.LeaseId, nil
		},
	}
}

func newList(c platformpb.InstancesClient) List {
	return func(ctx context.Context) ([]Instance, error) {
		r, err := c.List(ctx, &platformpb.ListRequest{})
		if err != nil {
			return nil, translate(err)
		}
		var list []Instance
		for _, i := range r.Instances {
			address, err := netip.ParseAddrPort(i.PeerAddress)
			if err != nil {
				continue
			}
			list = append(list, Instance{
				Name: i.Name, Address: address, DataCentre: i.DataCentre, Leaving: i.Leaving,
			})
		}
		return list, nil
	}
}

func translate(err error) error {
	switch status.Code(err) {
	case codes.FailedPrecondition:
		return ErrConflict
	case codes.ResourceExhausted:
		return ErrLimited
	case codes.NotFound:
		return ErrLeaseEnded
	case codes.InvalidArgument:
		return merry.Wrap(err)
	}
	return merry.Prepend(ErrUnavailable, status.Convert(err).Message())
}

// IsUnavailable tells whether a call may have taken effect without an answer.
func IsUnavailable(err error) bool {
	return errors.Is(err, ErrUnavailable)
}
