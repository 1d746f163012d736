// Package control lets an experiment read the stand-ins' ledgers and bring
// about their faults.
package control

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lentilward.org/lentilstand/backend"
	"lentilward.org/lentilstand/platform"
	"lentilward.org/schema/standpb"
)

// Control serves the control interface of one stand-in process.
type Control struct {
	standpb.UnimplementedStandServer
	servers []*backend.Server
	store   *platform.Store
}

// New returns a control of these stand-ins.
func New(servers []*backend.Server, store *platform.Store) *Control {
	return &Control{servers: servers, store: store}
}

// Ledger streams every call that reached a backend server.
func (c *Control) Ledger(_ *standpb.LedgerRequest, stream grpc.ServerStreamingServer[standpb.LedgerEntry]) error {
	for _, s := range c.servers {
		for _, e := range s.Ledger() {
			if err := stream.Send(e); err != nil {
				return err
			}
		}
	}
	return nil
}

// Servers lists the backend servers.
func (c *Control) Servers(context.Context, *standpb.ServersRequest) (*standpb.ServersReply, error) {
	reply := &standpb.ServersReply{}
	for _, s := range c.servers {
		reply.Servers = append(reply.Servers, s.Describe())
	}
	return reply, nil
}

// Apply brings about one fault.
func (c *Control) Apply(_ context.Context, f *standpb.Fault) (*standpb.FaultReply, error) {
	d := time.Duration(f.DurationMs) * time.Millisecond
	switch f.Kind {
	case "kv-outage":
		c.store.Outage(d, false, false)
		return &standpb.FaultReply{Summary: "outage of the key-value service"}, nil
	case "kv-slow":
		c.store.Slow(time.Duration(f.Amount)*time.Millisecond, d)
		return &standpb.FaultReply{Summary: "slow key-value service"}, nil
	case "kv-lose-answers":
		c.store.LoseAnswers(f.Amount, d, false)
		return &standpb.FaultReply{Summary: "key-value service loses answers"}, nil
	case "kv-lapse":
		c.store.Lapse()
		return &standpb.FaultReply{Summary: "all leases have ended"}, nil
	case "kv-compact":
		c.store.Compact(d)
		return &standpb.FaultReply{Summary: "history of the store is dropped"}, nil
	}
	apply, err := serverFault(f, d)
	if err != nil {
		return nil, err
	}
	n := 0
	for _, s := range c.servers {
		if targets(f.Target, s) {
			apply(s)
			n++
		}
	}
	return &standpb.FaultReply{Summary: fmt.Sprintf("%s on %d servers", f.Kind, n)}, nil
}

// serverFault returns what a fault does to one backend server.
func serverFault(f *standpb.Fault, d time.Duration) (func(*backend.Server), error) {
	switch f.Kind {
	case "restart":
		return func(s *backend.Server) { s.Restart(d) }, nil
	case "warm":
		return func(s *backend.Server) { s.Warm() }, nil
	case "slow":
		return func(s *backend.Server) { s.Slow(f.Amount, d) }, nil
	case "tail":
		const tailFactor = 10
		return func(s *backend.Server) { s.Tail(f.Amount, tailFactor) }, nil
	case "drain":
		return func(s *backend.Server) { s.Drain(f.Amount > 0) }, nil
	case "publish":
		return func(s *backend.Server) { s.Publish(0) }, nil
	case "repartition":
		return func(s *backend.Server) { s.Publish(1) }, nil
	case "corrupt-version":
		return func(s *backend.Server) { s.Corrupt("version") }, nil
	case "corrupt-matches":
		return func(s *backend.Server) { s.Corrupt("matches") }, nil
	case "corrupt-shard":
		return func(s *backend.Server) { s.Corrupt("shard") }, nil
	}
	return nil, status.Errorf(codes.InvalidArgument, "unknown fault %q", f.Kind)
}

func targets(target string, s *backend.Server) bool {
	switch target {
	case "*", s.Site.Service, s.Site.Address.String(), s.Site.DataCentre, s.Site.Group.Name:
		return true
	}
	return false
}
