package caller

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilward.org/lentilward/backend"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/callerpb"
)

const (
	// maxCrashes is the number of servers that one query may take with it.
	maxCrashes = 2
	// suspectLife is how long a suspect is remembered.
	suspectLife = 10 * time.Minute
	// maxSuspects bounds the suspects remembered.
	maxSuspects = 4096
	// shapeSlots is the number of query shapes remembered; a power of two.
	shapeSlots = 1 << 14
)

// Suspects is the writer of the Suspects cell.
type Suspects struct {
	board *blackboard.Board
	mu    sync.Mutex
	// Tell spreads suspects to the peers and returns soon.
	Tell func(ctx context.Context, suspects []blackboard.Suspect)
}

// NewSuspects returns an empty list.
func NewSuspects(board *blackboard.Board) *Suspects {
	return &Suspects{board: board, Tell: func(context.Context, []blackboard.Suspect) {}}
}

// Crashed notes servers lost with a query and tells the peers before it
// returns.
func (s *Suspects) Crashed(ctx context.Context, fingerprint uint64, servers uint32) {
	x := blackboard.Suspect{Fingerprint: fingerprint, Seen: time.Now()}
	x.Crashes = s.board.Suspects.Load().Crashes(fingerprint) + servers
	s.Merge([]blackboard.Suspect{x})
	s.Tell(ctx, []blackboard.Suspect{x})
}

// Merge takes in suspects that a peer told of.
func (s *Suspects) Merge(suspects []blackboard.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.board.Suspects.Load()
	next := maps.Clone(old.ByFingerprint)
	if next == nil {
		next = make(map[uint64]blackboard.Suspect)
	}
	maps.DeleteFunc(next, func(_ uint64, x blackboard.Suspect) bool { return time.Since(x.Seen) > suspectLife })
	for _, x := range suspects {
		if x.Crashes > next[x.Fingerprint].Crashes && len(next) < maxSuspects {
			x.Seen = time.Now()
			next[x.Fingerprint] = x
		}
	}
	s.board.Suspects.Store(&blackboard.Suspects{ByFingerprint: next})
}

// shapes remembers the shapes of queries that ran without harm.
type shapes struct {
	slots [shapeSlots]atomic.Uint64
}

func (s *shapes) known(shape uint64) bool {
	return s.slots[shape%shapeSlots].Load() == shape
}

func (s *shapes) learn(shape uint64) {
	s.slots[shape%shapeSlots].Store(shape)
}

// fingerprintOf names one exact query.
func fingerprintOf(query string) uint64 {
	return xxhash.Sum64String(query)
}

// shapeOf hashes a query with every run of digits taken as the same.
func shapeOf(query string) uint64 {
	var shape [maxQuery]byte
	n := 0
	for i := range len(query) {
		c := query[i]
		if c >= '0' && c <= '9' {
			c = '#'
			if n > 0 && shape[n-1] == '#' {
				continue
			}
		}
		shape[n] = c
		n++
	}
	return xxhash.Sum64(shape[:n])
}

// try runs a query of unknown shape, or one that servers were lost with, on
// one shard before the others are asked. It refuses a query that servers are
// lost with again.
func (s *Server) try(ctx context.Context, q *backend.Request, services []*blackboard.ServiceRoutes) (*canary, *refusal) {
	fingerprint := fingerprintOf(q.Query)
	crashes := s.board.Suspects.Load().Crashes(fingerprint)
	if crashes >= maxCrashes {
		return nil, suspect(q, crashes)
	}
	shape := shapeOf(q.Query)
	if crashes == 0 && s.shapes.known(shape) {
		return nil, nil
	}
	for crashes < maxCrashes {
		c := s.tryOnce(ctx, q, services)
		if c == nil {
			return nil, nil
		}
		if c.result.Err == nil {
			s.shapes.learn(shape)
			return c, nil
		}
		if lost := q.Lost(); lost == 0 {
			return c, nil
		}
		s.suspects.Crashed(ctx, fingerprint, 1)
		crashes = s.board.Suspects.Load().Crashes(fingerprint)
	}
	return nil, suspect(q, crashes)
}

// tryOnce runs the query on one random shard; nil if no shard has a holder.
func (s *Server) tryOnce(ctx context.Context, q *backend.Request, services []*blackboard.ServiceRoutes) *canary {
	careful := &backend.Request{
		ID: q.ID, Query: q.Query, Class: q.Class, Deadline: q.Deadline, Patient: q.Patient, Careful: true,
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
		q.Add(careful)
		return &canary{service: r.Service.Name, version: r.Pin.Version, result: result}
	}
	return nil
}

func suspect(q *backend.Request, crashes uint32) *refusal {
	r := notRun(callerpb.Reason_REASON_SUSPECT, "query was running when %d backend servers went away", crashes)
	r.outcome = q.Outcome()
	return r
}
