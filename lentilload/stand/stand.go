// Package stand controls the stand-ins and reads their ledgers.
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

// Stand is the stand-in process.
type Stand struct {
	client standpb.StandClient
}

// New returns the stand-ins at an address.
func New(address string) (*Stand, error) {
	conn, err := dial.Parse(address)
	if err != nil {
		return nil, err
	}
	return &Stand{client: standpb.NewStandClient(conn)}, nil
}

// Apply brings about one fault.
func (s *Stand) Apply(ctx context.Context, kind, target string, d time.Duration, amount float64) error {
	if _, err := s.client.Apply(ctx, &standpb.Fault{
		Kind: kind, Target: target, DurationMs: d.Milliseconds(), Amount: amount,
	}); err != nil {
		return merry.Wrap(err)
	}
	return nil
}

// Ledger returns every call that reached a backend server.
func (s *Stand) Ledger(ctx context.Context) ([]*standpb.LedgerEntry, error) {
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

// Servers lists the backend servers.
func (s *Stand) Servers(ctx context.Context) ([]*standpb.Server, error) {
	r, err := s.client.Servers(ctx, &standpb.ServersRequest{})
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return r.Servers, nil
}
