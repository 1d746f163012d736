package caller

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"

	"lentilward.org/lentilward/backend"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/domain"
)

// serviceResult holds the replies of one service. All of them are from the same
// version.
type serviceResult struct {
	service string
	version uint64
	// replies is indexed by shard; entries of missing shards are nil.
	replies        []*domain.ShardReply
	versionNotHeld bool
	err            error
	// slowestShard is the result of the shard that took the longest.
	slowestShard backend.Result
}

// canary is the result of the one shard that was searched before the others.
type canary struct {
	service string
	version uint64
	result  backend.Result
	// lostCalls is the number of calls during which the connection was lost.
	lostCalls uint32
}

// searchServices searches all shards of the services in parallel. The shard of
// the canary, if there is one, is not searched again.
func (s *Server) searchServices(ctx context.Context, req *backend.Request, services []*blackboard.ServiceRoutes, c *canary) []serviceResult {
	results := make([]serviceResult, len(services))
	var wg sync.WaitGroup
	for i, routes := range services {
		wg.Go(func() { results[i] = s.searchService(ctx, req, routes, c) })
	}
	wg.Wait()
	return results
}

// searchService searches one version of a service. If the servers drop that
// version in the meantime, it discards the replies, waits until the routes name
// another version, and searches that one. It does so only once.
func (s *Server) searchService(ctx context.Context, req *backend.Request, routes *blackboard.ServiceRoutes, c *canary) serviceResult {
	result := s.searchVersion(ctx, req, routes, c)
	if !result.versionNotHeld {
		return result
	}
	name := routes.Service.Name
	for {
		changed := s.board.Routes.Changed()
		routes = s.board.Routes.Load().Services[name]
		if routes != nil && routes.PinnedVersion != nil && routes.PinnedVersion.Version != result.version {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return result
		}
	}
	return s.searchVersion(ctx, req, routes, nil)
}

// searchVersion searches every shard of the routes' pinned version. It stops when
// a server reports that it no longer has that version.
func (s *Server) searchVersion(ctx context.Context, req *backend.Request, routes *blackboard.ServiceRoutes, c *canary) serviceResult {
	name := routes.Service.Name
	version := routes.PinnedVersion
	if version == nil {
		return serviceResult{service: name, replies: make([]*domain.ShardReply, routes.Service.Shards), err: backend.ErrNoServer}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	shards := len(version.Holders)
	result := serviceResult{service: name, version: version.Version, replies: make([]*domain.ShardReply, shards)}
	results := make(chan backend.Result, shards)
	for shard := range uint32(shards) {
		if c != nil && c.service == name && c.version == version.Version && c.result.Shard == shard {
			results <- c.result
			continue
		}
		go func() {
			results <- s.runner.Run(ctx, req, backend.Task{Routes: routes, Version: version, Shard: shard})
		}()
	}
	for range shards {
		r := <-results
		if r.Elapsed > result.slowestShard.Elapsed {
			result.slowestShard = r
		}
		if r.Err == nil {
			result.replies[r.Shard] = r.Reply
			continue
		}
		result.err = r.Err
		if errors.Is(r.Err, domain.ErrVersionNotHeld) {
			clear(result.replies)
			result.versionNotHeld = true
			return result
		}
	}
	return result
}

// countCovered returns the number of shards that replied and the number of all
// shards.
func countCovered(results []serviceResult) (covered, total int) {
	for _, result := range results {
		total += len(result.replies)
		for _, r := range result.replies {
			if r != nil {
				covered++
			}
		}
	}
	return covered, total
}

// coverage returns the version, the number of shards and the missing shards of
// the service.
func (s *serviceResult) coverage() domain.ServiceCoverage {
	c := domain.ServiceCoverage{Service: s.service, Version: s.version, Shards: uint32(len(s.replies))}
	for shard, r := range s.replies {
		if r == nil {
			c.Missing = append(c.Missing, uint32(shard))
		}
	}
	return c
}

// mergeMatches returns the matches of all services by descending score.
func mergeMatches(results []serviceResult) []domain.Match {
	n := 0
	for _, result := range results {
		for _, r := range result.replies {
			if r != nil {
				n += len(r.Matches)
			}
		}
	}
	matches := make([]domain.Match, 0, n)
	for _, result := range results {
		for shard, r := range result.replies {
			if r == nil {
				continue
			}
			for _, m := range r.Matches {
				matches = append(matches, domain.Match{
					Service: result.service, Shard: uint32(shard), Record: m.Record, Score: m.Score, Text: m.Text,
				})
			}
		}
	}
	slices.SortFunc(matches, func(a, b domain.Match) int {
		if c := cmp.Compare(b.Score, a.Score); c != 0 {
			return c
		}
		return cmp.Compare(a.Record, b.Record)
	})
	return matches
}
