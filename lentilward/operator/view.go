package operator

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/operatorpb"
)

// GetConfig returns the configuration in force on this instance.
func (s *Server) GetConfig(context.Context, *operatorpb.GetConfigRequest) (*operatorpb.GetConfigReply, error) {
	c := s.board.Config.Load()
	reply := &operatorpb.GetConfigReply{Revision: c.Revision}
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		reply.Services = append(reply.Services, serviceToProto(c.Services[name]))
	}
	counts := countServers(c)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		_, withdrawn := c.Withdrawn[name]
		reply.DataCentres = append(reply.DataCentres, &operatorpb.DataCentre{
			Name: name, Withdrawn: withdrawn, BackendServers: counts[name],
		})
	}
	return reply, nil
}

// GetHistory returns the changes that the configuration's history retains, oldest
// first.
func (s *Server) GetHistory(context.Context, *operatorpb.GetHistoryRequest) (*operatorpb.GetHistoryReply, error) {
	return &operatorpb.GetHistoryReply{Entries: historyToProto(s.board.Config.Load().History)}, nil
}

// GetDiff returns the changes after one revision, up to and including another. It
// returns an OutOfRange status if the history does not cover them.
func (s *Server) GetDiff(_ context.Context, r *operatorpb.GetDiffRequest) (*operatorpb.GetDiffReply, error) {
	since, complete := s.board.Config.Load().Since(r.FromRevision)
	if !complete {
		return nil, status.Errorf(codes.OutOfRange, "the history does not reach back to revision %d", r.FromRevision)
	}
	end := slices.IndexFunc(since, func(h blackboard.Change) bool { return h.Revision > r.ToRevision })
	if end >= 0 {
		since = since[:end]
	}
	return &operatorpb.GetDiffReply{Entries: historyToProto(since)}, nil
}

// GetStatus returns the state of the members and, unless MembersOnly is set, of the
// backend servers as this instance observes them.
func (s *Server) GetStatus(_ context.Context, r *operatorpb.GetStatusRequest) (*operatorpb.GetStatusReply, error) {
	local := s.board.LocalInstance.Load()
	reply := &operatorpb.GetStatusReply{Instance: local.Name, ConfigRevision: s.board.Config.Load().Revision}
	for _, m := range s.board.Members.Load().List {
		member := &operatorpb.Member{
			Name: m.Name, DataCentre: m.DataCentre, State: m.State.String(), ConfigRevision: m.Revision,
		}
		if m.Name != local.Name {
			member.AgeMs = time.Since(m.LastSeen).Milliseconds()
		}
		reply.Members = append(reply.Members, member)
	}
	if r.MembersOnly {
		return reply, nil
	}
	for _, r := range s.board.Routes.Load().Services {
		for _, b := range r.Servers {
			reply.BackendServers = append(reply.BackendServers, serverStatus(r, b))
		}
	}
	slices.SortFunc(reply.BackendServers, func(a, b *operatorpb.BackendStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Address, b.Address))
	})
	return reply, nil
}

func serverStatus(r *blackboard.ServiceRoutes, b *blackboard.Server) *operatorpb.BackendStatus {
	backend := &operatorpb.BackendStatus{
		Service: b.Service, Address: b.Address.String(), DataCentre: b.DataCentre, State: b.State(),
		InFlight: uint32(b.InFlight.Load()), Limit: uint32(b.Limit.Load()), LatencyUs: b.Latency().Microseconds(),
	}
	if r.PinnedVersion != nil {
		backend.Version = r.PinnedVersion.Version
	}
	return backend
}

func serviceToProto(s *blackboard.Service) *operatorpb.Service {
	p := &operatorpb.Service{
		Name: s.Name, Shards: s.Shards, Priority: s.Priority, HedgeBudget: s.HedgeBudget, Revision: s.Revision,
	}
	for _, b := range s.BackendServers {
		p.BackendServers = append(p.BackendServers, &operatorpb.BackendServer{
			Address: b.Address.String(), DataCentre: b.DataCentre, Slots: b.Slots, Connections: b.Connections,
			ColdLimit: b.ColdLimit, WarmRuns: b.WarmRuns, Draining: b.Draining,
		})
	}
	for _, l := range s.Limits {
		p.Limits = append(p.Limits, &operatorpb.Limit{Caller: l.Caller, Class: l.Class, InFlight: l.InFlight})
	}
	return p
}

func historyToProto(history []blackboard.Change) []*operatorpb.HistoryEntry {
	var entries []*operatorpb.HistoryEntry
	for _, h := range history {
		entries = append(entries, &operatorpb.HistoryEntry{
			Revision: h.Revision, ChangeId: h.ID, Author: h.Author, Summary: h.Summary, UnixMs: h.Time.UnixMilli(),
		})
	}
	return entries
}
