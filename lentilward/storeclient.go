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
	"lentilward.org/lentilward/registration"
	"lentilward.org/platform"
)

// dialFunc opens a network connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newStoreClient returns the client of the platform's store that all components
// of an instance share.
func newStoreClient(address netip.AddrPort, dial dialFunc) *platform.Store {
	return platform.NewStore(address, &http.Client{Transport: storeTransport{&http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: maxIdleStoreConnections, IdleConnTimeout: storeIdleTimeout,
		MaxResponseHeaderBytes: platform.MaxStoreHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, storeDialTimeout)
			defer cancel()
			return dial(ctx, network, address)
		},
	}}})
}

// storeTransport closes the idle connections after a call that got no reply: what
// made one connection silent may have affected the others as well.
type storeTransport struct{ *http.Transport }

// RoundTrip makes one call.
func (t storeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil && !errors.Is(r.Context().Err(), context.Canceled) {
		t.CloseIdleConnections()
	}
	return response, err
}

// newRegistrar returns the component that keeps an instance registered in the
// store's list of instances under a lease.
func newRegistrar(c *platform.Store, name string, peerAddress netip.AddrPort, log *slog.Logger) *registration.Registrar {
	key := platform.InstancePrefix + name
	r := registration.New(log)
	r.GrantLease = func(ctx context.Context, ttl time.Duration) (registration.Lease, error) {
		lease, err := c.GrantLease(ctx, ttl)
		return registration.Lease{ID: lease.ID, Era: lease.Era}, err
	}
	r.RenewLease = func(ctx context.Context, lease uint64) error {
		err := c.RenewLease(ctx, lease)
		if errors.Is(err, platform.ErrNotFound) {
			return registration.ErrLeaseExpired
		}
		return err
	}
	r.RevokeLease = c.RevokeLease
	r.WriteRegistration = func(ctx context.Context, lease uint64) error {
		value, err := platform.EncodeInstance(peerAddress)
		if err != nil {
			return err
		}
		_, err = c.Commit(ctx, nil, []platform.Write{{Key: key, Value: value, Lease: lease}}, nil)
		return err
	}
	r.IsRegistered = func() bool { return true }
	r.Era = c.Era
	return r
}

// storePoisonRequest writes a request that is refused under a lease, so that the record
// expires after ttl, or deletes the record of one that is not refused any more.
func storePoisonRequest(ctx context.Context, c *platform.Store, request blackboard.SuspectRequest, ttl time.Duration) error {
	if !request.IsRefused() {
		_, err := c.Commit(ctx, nil, nil, []string{poisonKey(request.Fingerprint)})
		return err
	}
	value, err := encodePoison(request)
	if err != nil {
		return err
	}
	lease, err := c.GrantLease(ctx, ttl)
	if err != nil {
		return err
	}
	_, err = c.Commit(ctx, nil, []platform.Write{{Key: poisonKey(request.Fingerprint), Value: value, Lease: lease.ID}}, nil)
	return err
}
