package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilward.org/lentilward/backend"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/suspect"
	"lentilward.org/schema/domain"
)

// searchCanary runs a query on one shard before the others are searched. It does
// so if the shape of the query is not known to be safe, or if backend servers
// were lost while they ran the query. It refuses the query once suspect.MaxCrashes
// servers were lost in this way, but for trials. It returns nil if no canary is needed or
// no shard has a holder.
func (s *Server) searchCanary(ctx context.Context, req *backend.Request, services []*blackboard.ServiceRoutes) (*canary, *domain.Refusal) {
	fingerprint, shape := suspect.QueryFingerprint(req.Query), suspect.Shape(req.Query)
	known := s.board.Suspects.Load().ByFingerprint[fingerprint]
	if known.IsRefused() {
		return s.searchTrial(ctx, req, services, known)
	}
	if len(known.Lost) == 0 && s.shapes.Contains(shape) {
		return nil, nil
	}
	for !known.IsRefused() {
		c := s.searchCanaryOnce(ctx, req, services)
		if c == nil {
			return nil, nil
		}
		if c.result.Err == nil {
			s.shapes.Add(shape)
		}
		if c.result.Err == nil || c.lostCalls == 0 {
			return c, nil
		}
		known = s.board.Suspects.Load().ByFingerprint[fingerprint]
	}
	return nil, poisonRefusal(req, known, 0)
}

// searchTrial runs a query that is refused on one shard if a trial is due.
func (s *Server) searchTrial(ctx context.Context, req *backend.Request, services []*blackboard.ServiceRoutes, known blackboard.SuspectRequest) (*canary, *domain.Refusal) {
	end, refused := s.checkPoison(ctx, known.Fingerprint, req)
	if refused != nil {
		return nil, refused
	}
	c := s.searchCanaryOnce(ctx, req, services)
	end(c != nil)
	if c != nil && c.lostCalls > 0 {
		return nil, poisonRefusal(req, s.board.Suspects.Load().ByFingerprint[known.Fingerprint], 0)
	}
	return c, nil
}

// searchCanaryOnce runs the query on one random shard that has a holder. It
// returns nil if there is none.
func (s *Server) searchCanaryOnce(ctx context.Context, req *backend.Request, services []*blackboard.ServiceRoutes) *canary {
	canaryRequest := &backend.Request{
		ID: req.ID, Query: req.Query, Class: req.Class, Deadline: req.Deadline, WaitForServer: req.WaitForServer, Canary: true,
	}
	fingerprint := suspect.QueryFingerprint(req.Query)
	canaryRequest.OnLost = func() { s.recordLoss(context.WithoutCancel(ctx), fingerprint, canaryRequest) }
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
		if canaryRequest.Replied() > 0 {
			s.suspects.RecordRun(ctx, fingerprint, time.Now())
		}
		req.AddCalls(canaryRequest)
		return &canary{service: r.Service.Name, version: r.PinnedVersion.Version, result: result, lostCalls: canaryRequest.LostCalls()}
	}
	return nil
}

// recordLoss records that a server was lost while it ran a request. Each loss counts as one of
// another request, since the request was on one server only.
func (s *Server) recordLoss(ctx context.Context, fingerprint uint64, req *backend.Request) {
	now := time.Now()
	loss := s.board.LocalInstance.Load().Name + "\x00" + req.ID + "\x00" + now.String()
	s.suspects.RecordLoss(ctx, fingerprint, xxhash.Sum64String(loss), loss, now)
}

// poisonRefusal returns the refusal of a query or request during which backend servers
// were lost.
func poisonRefusal(req *backend.Request, known blackboard.SuspectRequest, retryAfter time.Duration) *domain.Refusal {
	what := "query"
	if req.Query == "" {
		what = "request"
	}
	refusal := notRunRefusal(domain.Poison, "%d backend servers were lost while they ran this %s", len(known.Lost), what)
	refusal.Outcome, refusal.RetryAfter = req.Outcome(), retryAfter
	return refusal
}
