// Package suspect remembers queries that backend servers were lost with, and
// shapes of queries that ran without harm.
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
	// MaxQuery is the size of the longest query, in bytes.
	MaxQuery = 4096
	// MaxCrashes is the number of servers that one query may take with it.
	MaxCrashes = 2
	// suspectLife is how long a suspect is remembered.
	suspectLife = 10 * time.Minute
	// maxSuspects bounds the suspects remembered.
	maxSuspects = 4096
	// shapeSlots is the number of query shapes remembered; a power of two.
	shapeSlots = 1 << 14
)

// List is the writer of the Suspects cell.
type List struct {
	board *blackboard.Board
	mu    sync.Mutex
	// Tell spreads suspects to the peers and returns soon.
	Tell func(ctx context.Context, suspects []blackboard.Suspect)
	// Keep is called once a request has turned out to be harmful. It must not block.
	Keep func(blackboard.Suspect)
}

// New returns an empty list.
func New(board *blackboard.Board) *List {
	return &List{
		board: board, Tell: func(context.Context, []blackboard.Suspect) {}, Keep: func(blackboard.Suspect) {},
	}
}

// Crashed notes servers lost with a query and tells the peers before it
// returns.
func (s *List) Crashed(ctx context.Context, fingerprint uint64, servers uint32) {
	x := blackboard.Suspect{Fingerprint: fingerprint, Seen: time.Now()}
	known := s.board.Suspects.Load().ByFingerprint[fingerprint]
	x.Crashes, x.Requests = known.Crashes+servers, known.Requests+1
	s.Merge([]blackboard.Suspect{x})
	s.Tell(ctx, []blackboard.Suspect{x})
	if harmful(x) && !harmful(known) {
		s.Keep(x)
	}
}

// All returns the suspects known.
func (s *List) All() []blackboard.Suspect {
	return slices.Collect(maps.Values(s.board.Suspects.Load().ByFingerprint))
}

// Merge takes in suspects that a peer told of.
func (s *List) Merge(suspects []blackboard.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.board.Suspects.Load()
	next := maps.Clone(old.ByFingerprint)
	if next == nil {
		next = make(map[uint64]blackboard.Suspect)
	}
	maps.DeleteFunc(next, func(_ uint64, x blackboard.Suspect) bool { return time.Since(x.Seen) > suspectLife })
	for _, x := range suspects {
		known, found := next[x.Fingerprint]
		if !found && len(next) >= maxSuspects {
			continue
		}
		known.Fingerprint, known.Seen = x.Fingerprint, time.Now()
		known.Crashes, known.Requests = max(known.Crashes, x.Crashes), max(known.Requests, x.Requests)
		next[x.Fingerprint] = known
	}
	s.board.Suspects.Store(&blackboard.Suspects{ByFingerprint: next})
}

// Shapes remembers the shapes of queries that ran without harm.
type Shapes struct {
	slots [shapeSlots]atomic.Uint64
}

// Known tells whether a shape ran without harm.
func (s *Shapes) Known(shape uint64) bool {
	return s.slots[shape%shapeSlots].Load() == shape
}

// Learn notes that a shape ran without harm.
func (s *Shapes) Learn(shape uint64) {
	s.slots[shape%shapeSlots].Store(shape)
}

// leastCrashes and leastRequests are the servers that a request has lost, and
// the times that it came, before it is refused: one that was in flight beside
// the harmful one is sent again once.
const (
	leastCrashes  = 3
	leastRequests = 2
)

// Harmful tells whether a request that came before is known to take servers
// with it.
func (s *List) Harmful(fingerprint uint64) bool {
	return harmful(s.board.Suspects.Load().ByFingerprint[fingerprint])
}

func harmful(x blackboard.Suspect) bool {
	return x.Crashes >= leastCrashes && x.Requests >= leastRequests
}

// RequestFingerprint names a request by all that a server sees of it.
func RequestFingerprint(r *domain.Request) uint64 {
	h := xxhash.New()
	for _, text := range []string{r.Method, r.Host, r.Target} {
		h.WriteString(text)
		h.WriteString("\x00")
	}
	h.Write(r.Body)
	return h.Sum64()
}

// Fingerprint names one exact query.
func Fingerprint(query string) uint64 {
	return xxhash.Sum64String(query)
}

// Shape hashes a query with every run of digits taken as the same.
func Shape(query string) uint64 {
	var shape [MaxQuery]byte
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
