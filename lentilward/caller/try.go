package caller

import (
	"context"
	"math/rand/v2"

	"lentilward.org/lentilward/backend"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/suspect"
	"lentilward.org/schema/domain"
)

// try runs a query of unknown shape, or one that servers were lost with, on
// one shard before the others are asked. It refuses a query that servers are
// lost with again.
func (s *Server) try(ctx context.Context, q *backend.Request, services []*blackboard.ServiceRoutes) (*canary, *domain.Refusal) {
	fingerprint := suspect.QueryFingerprint(q.Query)
	crashes := s.board.Suspects.Load().Crashes(fingerprint)
	if crashes >= suspect.MaxCrashes {
		return nil, harmful(q, crashes)
	}
	shape := suspect.Shape(q.Query)
	if crashes == 0 && s.shapes.Contains(shape) {
		return nil, nil
	}
	for crashes < suspect.MaxCrashes {
		c := s.tryOnce(ctx, q, services)
		if c == nil {
			return nil, nil
		}
		if c.result.Err == nil {
			s.shapes.Add(shape)
			return c, nil
		}
		if c.lost == 0 {
			return c, nil
		}
		s.suspects.Crashed(ctx, fingerprint, 1)
		crashes = s.board.Suspects.Load().Crashes(fingerprint)
	}
	return nil, harmful(q, crashes)
}

// tryOnce runs the query on one random shard; nil if no shard has a holder.
func (s *Server) tryOnce(ctx context.Context, q *backend.Request, services []*blackboard.ServiceRoutes) *canary {
	careful := &backend.Request{
		ID: q.ID, Query: q.Query, Class: q.Class, Deadline: q.Deadline, WaitForServer: q.WaitForServer, Canary: true,
	}
	first := rand.IntN(len(services))
	for i := range services {
		r := services[(first+i)%len(services)]
		if r.Pin == nil || r.Pin.Covered() == 0 {
			continue
		}
		shard := rand.IntN(len(r.Pin.Holders))
		for len(r.Pin.Holders[shard]) == 0 {
			shard = (shard + 1) % len(r.Pin.Holders)
		}
		result := s.runner.Run(ctx, careful, backend.Task{Routes: r, Version: r.Pin, Shard: uint32(shard)})
		q.AddCalls(careful)
		return &canary{service: r.Service.Name, version: r.Pin.Version, result: result, lost: careful.LostCalls()}
	}
	return nil
}

// harmful refuses a query that servers were lost with.
func harmful(q *backend.Request, crashes uint32) *domain.Refusal {
	r := notRun(domain.Harmful, "query was running when %d backend servers went away", crashes)
	r.Outcome = q.Outcome()
	return r
}
