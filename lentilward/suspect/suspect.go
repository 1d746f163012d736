// Package suspect remembers queries that backend servers were lost with, and
// shapes of queries that ran without harm.
package suspect

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilward.org/lentilward/blackboard"
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
}

// New returns an empty list.
func New(board *blackboard.Board) *List {
	return &List{board: board, Tell: func(context.Context, []blackboard.Suspect) {}}
}

// Crashed notes servers lost with a query and tells the peers before it
// returns.
func (s *List) Crashed(ctx context.Context, fingerprint uint64, servers uint32) {
	x := blackboard.Suspect{Fingerprint: fingerprint, Seen: time.Now()}
	x.Crashes = s.board.Suspects.Load().Crashes(fingerprint) + servers
	s.Merge([]blackboard.Suspect{x})
	s.Tell(ctx, []blackboard.Suspect{x})
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
		if x.Crashes > next[x.Fingerprint].Crashes && len(next) < maxSuspects {
			x.Seen = time.Now()
			next[x.Fingerprint] = x
		}
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
