// Package control implements the gRPC interface through which an experiment reads
// the stand-ins' ledgers and injects faults.
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

// Control implements the control interface of one stand-in process.
type Control struct {
	standpb.UnimplementedStandServer
	servers []*backend.Server
	store   *platform.Store
}

// New returns a Control for the given backend servers and store.
func New(servers []*backend.Server, store *platform.Store) *Control {
	return &Control{servers: servers, store: store}
}

// Ledger streams the entries of all calls that reached a backend server.
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

// Apply injects one fault. An unknown kind is an InvalidArgument error.
func (c *Control) Apply(_ context.Context, f *standpb.Fault) (*standpb.FaultReply, error) {
	d := time.Duration(f.DurationMs) * time.Millisecond
	switch f.Kind {
	case "kv-outage":
		c.store.StartOutage(d, false, false)
		return &standpb.FaultReply{Summary: "outage of the key-value service"}, nil
	case "kv-slow":
		c.store.SlowDown(time.Duration(f.Amount)*time.Millisecond, d)
		return &standpb.FaultReply{Summary: "slow key-value service"}, nil
	case "kv-lose-answers":
		c.store.LoseReplies(f.Amount, d, false)
		return &standpb.FaultReply{Summary: "key-value service loses replies"}, nil
	case "kv-lapse":
		c.store.ExpireLeases()
		return &standpb.FaultReply{Summary: "all leases expired"}, nil
	case "kv-compact":
		c.store.Compact(d)
		return &standpb.FaultReply{Summary: "history of the key-value service compacted"}, nil
	}
	apply, err := serverFault(f, d)
	if err != nil {
		return nil, err
	}
	affected := 0
	for _, s := range c.servers {
		if matchesTarget(f.Target, s) {
			apply(s)
			affected++
		}
	}
	return &standpb.FaultReply{Summary: fmt.Sprintf("%s on %d servers", f.Kind, affected)}, nil
}

// serverFault returns the function that injects a fault into one backend server.
func serverFault(f *standpb.Fault, d time.Duration) (func(*backend.Server), error) {
	switch f.Kind {
	case "restart":
		return func(s *backend.Server) { s.Restart(d) }, nil
	case "warm":
		return func(s *backend.Server) { s.WarmUp() }, nil
	case "slow":
		return func(s *backend.Server) { s.SlowDown(f.Amount, d) }, nil
	case "tail":
		const tailFactor = 10
		return func(s *backend.Server) { s.SetTailLatency(f.Amount, tailFactor) }, nil
	case "drain":
		return func(s *backend.Server) { s.SetDraining(f.Amount > 0) }, nil
	case "publish":
		return func(s *backend.Server) { s.PublishVersion(0) }, nil
	case "repartition":
		return func(s *backend.Server) { s.PublishVersion(1) }, nil
	case "corrupt-version":
		return func(s *backend.Server) { s.CorruptReplies("version") }, nil
	case "corrupt-matches":
		return func(s *backend.Server) { s.CorruptReplies("matches") }, nil
	case "corrupt-shard":
		return func(s *backend.Server) { s.CorruptReplies("shard") }, nil
	}
	return nil, status.Errorf(codes.InvalidArgument, "fault kind %q does not exist", f.Kind)
}

func matchesTarget(target string, s *backend.Server) bool {
	switch target {
	case "*", s.Config.Service, s.Config.Address.String(), s.Config.DataCentre, s.Config.Group.Name:
		return true
	}
	return false
}
