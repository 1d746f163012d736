// Package suspect records the queries and requests during which backend servers
// were lost, and the shapes of queries that have run without such a loss.
package suspect

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/domain"
)

const (
	// MaxQueryBytes is the size of the longest query that is accepted.
	MaxQueryBytes = 4096
	// MaxCrashes is the number of backend servers lost while they ran a query at
	// which the query is refused.
	MaxCrashes = 2
	// suspectTTL is how long a suspect is kept after it was last seen.
	suspectTTL = 10 * time.Minute
	// maxSuspects bounds the number of suspects kept.
	maxSuspects = 4096
	// shapeTableSize is the number of entries of a ShapeSet; a power of two.
	shapeTableSize = 1 << 14
)

// List records suspect requests. It is the only writer of the board's Suspects
// cell.
type List struct {
	board *blackboard.Board
	mu    sync.Mutex
	// Broadcast sends suspects to the peers. It must return soon.
	Broadcast func(ctx context.Context, suspects []blackboard.SuspectRequest)
	// Persist persists a suspect. It is called when a request is first classified
	// as poison and must not block.
	Persist func(blackboard.SuspectRequest)
}

// New returns an empty list.
func New(board *blackboard.Board) *List {
	return &List{
		board: board, Broadcast: func(context.Context, []blackboard.SuspectRequest) {}, Persist: func(blackboard.SuspectRequest) {},
	}
}

// RecordCrashes records that a number of backend servers were lost while they ran a
// query, and broadcasts the update to the peers.
func (s *List) RecordCrashes(ctx context.Context, fingerprint uint64, servers uint32) {
	update := blackboard.SuspectRequest{Fingerprint: fingerprint, LastSeen: time.Now()}
	previous := s.board.Suspects.Load().ByFingerprint[fingerprint]
	update.Crashes, update.Requests = previous.Crashes+servers, previous.Requests+1
	s.Merge([]blackboard.SuspectRequest{update})
	s.Broadcast(ctx, []blackboard.SuspectRequest{update})
	if isPoison(update) && !isPoison(previous) {
		s.Persist(update)
	}
}

// All returns all recorded suspects, in no particular order.
func (s *List) All() []blackboard.SuspectRequest {
	return slices.Collect(maps.Values(s.board.Suspects.Load().ByFingerprint))
}

// Merge merges suspects that a peer reported. It keeps the larger counts of
// each suspect, drops expired ones, and ignores new ones beyond maxSuspects.
func (s *List) Merge(suspects []blackboard.SuspectRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.board.Suspects.Load()
	next := maps.Clone(old.ByFingerprint)
	if next == nil {
		next = make(map[uint64]blackboard.SuspectRequest)
	}
	maps.DeleteFunc(next, func(_ uint64, recorded blackboard.SuspectRequest) bool {
		return time.Since(recorded.LastSeen) > suspectTTL
	})
	for _, update := range suspects {
		merged, found := next[update.Fingerprint]
		if !found && len(next) >= maxSuspects {
			continue
		}
		merged.Fingerprint, merged.LastSeen = update.Fingerprint, time.Now()
		merged.Crashes, merged.Requests = max(merged.Crashes, update.Crashes), max(merged.Requests, update.Requests)
		next[update.Fingerprint] = merged
	}
	s.board.Suspects.Store(&blackboard.SuspectRequests{ByFingerprint: next})
}

// ShapeSet is a bounded set of the shapes of queries that ran without losing a
// backend server. Shapes that collide replace each other.
type ShapeSet struct {
	table [shapeTableSize]atomic.Uint64
}

// Contains reports whether a shape is in the set.
func (s *ShapeSet) Contains(shape uint64) bool {
	return s.table[shape%shapeTableSize].Load() == shape
}

// Add adds the shape of a query that ran without losing a backend server.
func (s *ShapeSet) Add(shape uint64) {
	s.table[shape%shapeTableSize].Store(shape)
}

// minPoisonCrashes and minPoisonRequests define a poison request: at least that
// many backend servers were lost while they ran it, and it was received at least
// that often. A request that merely was in flight on the same servers as a
// poison request can therefore be sent once more.
const (
	minPoisonCrashes  = 3
	minPoisonRequests = 2
)

// IsPoison reports whether a request is recorded as a poison request.
func (s *List) IsPoison(fingerprint uint64) bool {
	return isPoison(s.board.Suspects.Load().ByFingerprint[fingerprint])
}

func isPoison(recorded blackboard.SuspectRequest) bool {
	return recorded.Crashes >= minPoisonCrashes && recorded.Requests >= minPoisonRequests
}

// RequestFingerprint returns a hash of the method, host, target and body of a
// request: all that a backend server sees of it.
func RequestFingerprint(r *domain.Request) uint64 {
	h := xxhash.New()
	for _, text := range []string{r.Method, r.Host, r.Target} {
		h.WriteString(text)
		h.WriteString("\x00")
	}
	h.Write(r.Body)
	return h.Sum64()
}

// QueryFingerprint returns a hash of the exact text of a query.
func QueryFingerprint(query string) uint64 {
	return xxhash.Sum64String(query)
}

// Shape returns a hash of a query in which all runs of digits count as equal.
// The query must not be longer than MaxQueryBytes.
func Shape(query string) uint64 {
	var shape [MaxQueryBytes]byte
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
