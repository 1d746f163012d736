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

// part is the part of an answer that came from one service. All its replies
// are of one version.
type part struct {
	service string
	version uint64
	// replies is indexed by shard; nil where a shard is missing.
	replies []*domain.ShardReply
	gone    bool
	err     error
	// slowest is the result that took the longest.
	slowest backend.Result
}

// canary is a shard whose result is known before the others are asked.
type canary struct {
	service string
	version uint64
	result  backend.Result
	// lost is the number of servers that went away during it.
	lost uint32
}

// gather searches all shards of the services.
func (s *Server) gather(ctx context.Context, q *backend.Request, services []*blackboard.ServiceRoutes, c *canary) []part {
	parts := make([]part, len(services))
	var wg sync.WaitGroup
	for i, routes := range services {
		wg.Go(func() { parts[i] = s.searchService(ctx, q, routes, c) })
	}
	wg.Wait()
	return parts
}

// searchService searches one version of a service. If that version goes away
// meanwhile it drops what it has and searches another one, once.
func (s *Server) searchService(ctx context.Context, q *backend.Request, routes *blackboard.ServiceRoutes, c *canary) part {
	p := s.scatter(ctx, q, routes, c)
	if !p.gone {
		return p
	}
	name := routes.Service.Name
	for {
		changed := s.board.Routes.Changed()
		routes = s.board.Routes.Load().Services[name]
		if routes != nil && routes.Pin != nil && routes.Pin.Version != p.version {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return p
		}
	}
	return s.scatter(ctx, q, routes, nil)
}

// scatter searches every shard of the pinned version.
func (s *Server) scatter(ctx context.Context, q *backend.Request, routes *blackboard.ServiceRoutes, c *canary) part {
	name := routes.Service.Name
	version := routes.Pin
	if version == nil {
		return part{service: name, replies: make([]*domain.ShardReply, routes.Service.Shards), err: backend.ErrNoServer}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	shards := len(version.Holders)
	p := part{service: name, version: version.Version, replies: make([]*domain.ShardReply, shards)}
	results := make(chan backend.Result, shards)
	for shard := range uint32(shards) {
		if c != nil && c.service == name && c.version == version.Version && c.result.Shard == shard {
			results <- c.result
			continue
		}
		go func() {
			results <- s.runner.Run(ctx, q, backend.Task{Routes: routes, Version: version, Shard: shard})
		}()
	}
	for range shards {
		r := <-results
		if r.Took > p.slowest.Took {
			p.slowest = r
		}
		if r.Err == nil {
			p.replies[r.Shard] = r.Reply
			continue
		}
		p.err = r.Err
		if errors.Is(r.Err, domain.ErrVersionGone) {
			clear(p.replies)
			p.gone = true
			return p
		}
	}
	return p
}

// covered returns the number of shards that replied, of all.
func covered(parts []part) (covered, total int) {
	for _, p := range parts {
		total += len(p.replies)
		for _, r := range p.replies {
			if r != nil {
				covered++
			}
		}
	}
	return covered, total
}

// coverage states what one service contributed.
func (p *part) coverage() domain.ServiceCoverage {
	c := domain.ServiceCoverage{Service: p.service, Version: p.version, Shards: uint32(len(p.replies))}
	for shard, r := range p.replies {
		if r == nil {
			c.Missing = append(c.Missing, uint32(shard))
		}
	}
	return c
}

// merge returns the matches of all parts, the best first.
func merge(parts []part) []domain.Match {
	n := 0
	for _, p := range parts {
		for _, r := range p.replies {
			if r != nil {
				n += len(r.Matches)
			}
		}
	}
	matches := make([]domain.Match, 0, n)
	for _, p := range parts {
		for shard, r := range p.replies {
			if r == nil {
				continue
			}
			for _, m := range r.Matches {
				matches = append(matches, domain.Match{
					Service: p.service, Shard: uint32(shard), Record: m.Record, Score: m.Score, Text: m.Text,
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
