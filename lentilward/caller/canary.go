package caller

import (
	"context"
	"math/rand/v2"

	"lentilward.org/lentilward/backend"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/suspect"
	"lentilward.org/schema/domain"
)

// searchCanary runs a query on one shard before the others are searched. It does
// so if the shape of the query is not known to be safe, or if backend servers
// were lost while they ran the query. It refuses the query once suspect.MaxCrashes
// servers were lost in this way. It returns nil if no canary is needed or
// no shard has a holder.
func (s *Server) searchCanary(ctx context.Context, req *backend.Request, services []*blackboard.ServiceRoutes) (*canary, *domain.Refusal) {
	fingerprint := suspect.QueryFingerprint(req.Query)
	crashes := s.board.Suspects.Load().Crashes(fingerprint)
	if crashes >= suspect.MaxCrashes {
		return nil, poisonRefusal(req, crashes)
	}
	shape := suspect.Shape(req.Query)
	if crashes == 0 && s.shapes.Contains(shape) {
		return nil, nil
	}
	for crashes < suspect.MaxCrashes {
		c := s.searchCanaryOnce(ctx, req, services)
		if c == nil {
			return nil, nil
		}
		if c.result.Err == nil {
			s.shapes.Add(shape)
			return c, nil
		}
		if c.lostCalls == 0 {
			return c, nil
		}
		s.suspects.RecordCrashes(ctx, fingerprint, 1)
		crashes = s.board.Suspects.Load().Crashes(fingerprint)
	}
	return nil, poisonRefusal(req, crashes)
}

// searchCanaryOnce runs the query on one random shard that has a holder. It
// returns nil if there is none.
func (s *Server) searchCanaryOnce(ctx context.Context, req *backend.Request, services []*blackboard.ServiceRoutes) *canary {
	canaryRequest := &backend.Request{
		ID: req.ID, Query: req.Query, Class: req.Class, Deadline: req.Deadline, WaitForServer: req.WaitForServer, Canary: true,
	}
	first := rand.IntN(len(services))
	for i := range services {
		r := services[(first+i)%len(services)]
		if r.PinnedVersion == nil || r.PinnedVersion.CoveredShards() == 0 {
			continue
		}
		shard := rand.IntN(len(r.PinnedVersion.Holders))
		for len(r.PinnedVersion.Holders[shard]) == 0 {
			shard = (shard + 1) % len(r.PinnedVersion.Holders)
		}
		result := s.runner.Run(ctx, canaryRequest, backend.Task{Routes: r, Version: r.PinnedVersion, Shard: uint32(shard)})
		req.AddCalls(canaryRequest)
		return &canary{service: r.Service.Name, version: r.PinnedVersion.Version, result: result, lostCalls: canaryRequest.LostCalls()}
	}
	return nil
}

// poisonRefusal returns the refusal of a query during which backend servers
// were lost.
func poisonRefusal(req *backend.Request, crashes uint32) *domain.Refusal {
	refusal := notRunRefusal(domain.Poison, "%d backend servers were lost while they ran this query", crashes)
	refusal.Outcome = req.Outcome()
	return refusal
}
