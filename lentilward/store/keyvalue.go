// Package store keeps what must last in the platform's store: the operators'
// configuration, claims, and the list of instances.
package store

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilward.org/platform"
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

// List returns where other instances can be met.
type List func(ctx context.Context) ([]netip.AddrPort, error)

// NewKeyValue adapts a client of the platform's store.
func NewKeyValue(c *platform.Store) *KeyValue {
	return &KeyValue{
		Get: func(ctx context.Context, key string) (Entry, error) {
			i, err := c.Get(ctx, key)
			if errors.Is(err, platform.ErrNotFound) {
				return Entry{}, nil
			}
			if err != nil {
				return Entry{}, translate(err)
			}
			return Entry{Value: i.Value, Revision: i.Revision}, nil
		},
		Put: func(ctx context.Context, key string, value []byte, expected, lease uint64) (uint64, error) {
			revision, err := c.Commit(ctx, []platform.Condition{{Key: key, Revision: expected}},
				[]platform.Write{{Key: key, Value: value, Lease: lease}}, nil)
			if err != nil {
				return 0, translate(err)
			}
			return revision, nil
		},
		Delete: func(ctx context.Context, key string) error {
			if _, err := c.Commit(ctx, nil, nil, []string{key}); err != nil {
				return translate(err)
			}
			return nil
		},
		Wait: func(ctx context.Context, key string, after uint64, timeout time.Duration) (Entry, error) {
			return wait(ctx, c, key, after, timeout)
		},
		GrantLease: func(ctx context.Context, ttl time.Duration) (uint64, error) {
			lease, _, err := c.Grant(ctx, ttl)
			if err != nil {
				return 0, translate(err)
			}
			return lease, nil
		},
	}
}

// wait returns when the key's revision is above after. It reads the key first,
// since the store forgets changes after a while.
func wait(ctx context.Context, c *platform.Store, key string, after uint64, timeout time.Duration) (Entry, error) {
	page, err := c.Range(ctx, key, "")
	if err != nil {
		return Entry{}, translate(err)
	}
	e := last(page.Items, key, Entry{})
	if e.Revision > after {
		return e, nil
	}
	page, err = c.Watch(ctx, key, page.Revision, timeout)
	if errors.Is(err, platform.ErrHistoryGone) {
		return e, nil
	}
	if err != nil {
		return Entry{}, translate(err)
	}
	return last(page.Items, key, e), nil
}

// last returns the latest entry of a key among items, or e if there is none.
func last(items []platform.Item, key string, e Entry) Entry {
	for _, i := range items {
		if i.Key == key && !i.Deleted {
			e = Entry{Value: i.Value, Revision: i.Revision}
		}
	}
	return e
}

// NewList reads the instances that are listed in the store.
func NewList(c *platform.Store) List {
	return func(ctx context.Context) ([]netip.AddrPort, error) {
		var list []netip.AddrPort
		after := ""
		for {
			page, err := c.Range(ctx, platform.InstancePrefix, after)
			if err != nil {
				return nil, translate(err)
			}
			for _, i := range page.Items {
				after = i.Key
				if address, err := platform.DecodeInstance(i.Value); err == nil {
					list = append(list, address)
				}
			}
			if !page.More || len(page.Items) == 0 {
				return list, nil
			}
		}
	}
}

func translate(err error) error {
	switch {
	case errors.Is(err, platform.ErrConflict):
		return ErrConflict
	case errors.Is(err, platform.ErrLimited):
		return ErrLimited
	case errors.Is(err, platform.ErrNotFound):
		return ErrLeaseEnded
	}
	return merry.Prepend(ErrUnavailable, err.Error())
}

// IsUnavailable tells whether a call may have taken effect without an answer.
func IsUnavailable(err error) bool {
	return errors.Is(err, ErrUnavailable)
}
