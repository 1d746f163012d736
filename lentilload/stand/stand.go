// Package stand injects faults into the stand-ins for backend servers and
// platform, and reads the ledger of calls that they received.
package stand

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilward.org/schema/dial"
	"lentilward.org/schema/standpb"
)

// Client is a client of the control interface of the stand-in process.
type Client struct {
	client standpb.StandClient
}

// New returns a client for the stand-ins at an address. It fails if the address
// is invalid.
func New(address string) (*Client, error) {
	conn, err := dial.NewFromString(address)
	if err != nil {
		return nil, err
	}
	return &Client{client: standpb.NewStandClient(conn)}, nil
}

// InjectFault makes the stand-ins apply a fault to a target for a duration. The
// meaning of amount depends on the kind of fault.
func (s *Client) InjectFault(ctx context.Context, kind, target string, duration time.Duration, amount float64) error {
	if _, err := s.client.Apply(ctx, &standpb.Fault{
		Kind: kind, Target: target, DurationMs: duration.Milliseconds(), Amount: amount,
	}); err != nil {
		return merry.Wrap(err)
	}
	return nil
}

// Ledger returns an entry for every call that reached a backend server.
func (s *Client) Ledger(ctx context.Context) ([]*standpb.LedgerEntry, error) {
	stream, err := s.client.Ledger(ctx, &standpb.LedgerRequest{})
	if err != nil {
		return nil, merry.Wrap(err)
	}
	var entries []*standpb.LedgerEntry
	for {
		e, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return entries, nil
		}
		if err != nil {
			return nil, merry.Wrap(err)
		}
		entries = append(entries, e)
	}
}

// Servers returns the state of all backend servers.
func (s *Client) Servers(ctx context.Context) ([]*standpb.Server, error) {
	r, err := s.client.Servers(ctx, &standpb.ServersRequest{})
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return r.Servers, nil
}
