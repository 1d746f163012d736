package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/enlist"
	"lentilward.org/platform"
)

// newStoreClient returns the instance's one client of the platform's store.
func newStoreClient(address netip.AddrPort) *platform.Store {
	return platform.NewStore(address, &http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: storeConnections, IdleConnTimeout: storeIdle,
		DialContext: (&net.Dialer{Timeout: storeDialTimeout}).DialContext,
	}})
}

// newEnlister returns what keeps an instance in the store's list.
func newEnlister(c *platform.Store, name string, peers netip.AddrPort, log *slog.Logger) *enlist.Enlister {
	key := platform.InstancePrefix + name
	e := enlist.New(log)
	e.Grant = func(ctx context.Context, ttl time.Duration) (uint64, error) {
		lease, _, err := c.Grant(ctx, ttl)
		return lease, err
	}
	e.Keep = func(ctx context.Context, lease uint64) error {
		err := c.Keep(ctx, lease)
		if errors.Is(err, platform.ErrNotFound) {
			return enlist.ErrEnded
		}
		return err
	}
	e.End = c.End
	e.Write = func(ctx context.Context, lease uint64) error {
		value, err := platform.EncodeInstance(peers)
		if err != nil {
			return err
		}
		_, err = c.Commit(ctx, nil, []platform.Write{{Key: key, Value: value, Lease: lease}}, nil)
		return err
	}
	e.Listed = func() bool { return true }
	return e
}

// keepHarmful writes a harmful request under a lease, so that it is forgotten in
// time.
func keepHarmful(ctx context.Context, c *platform.Store, x blackboard.Suspect, life time.Duration) error {
	value, err := platform.EncodeHarmful(x.Crashes, x.Requests)
	if err != nil {
		return err
	}
	lease, _, err := c.Grant(ctx, life)
	if err != nil {
		return err
	}
	_, err = c.Commit(ctx, nil, []platform.Write{{Key: platform.HarmfulKey(x.Fingerprint), Value: value, Lease: lease}}, nil)
	return err
}
