package suspect

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"lentilward.org/schema/domain"
)

// MaxQueryBytes is the size of the longest query that is accepted.
const MaxQueryBytes = 4096

// RequestFingerprint returns a hash of the method, host, target and body of a request and
// of the tenant that sent it: all of it that is the same when the request comes again.
func RequestFingerprint(r *domain.Request, tenant string) uint64 {
	h := xxhash.New()
	for _, text := range []string{r.Method, r.Host, r.Target, tenant} {
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

// PayloadFingerprint returns a hash of a non-idempotent request: its service and payload.
func PayloadFingerprint(service string, payload []byte) uint64 {
	h := xxhash.New()
	h.WriteString(service)
	h.WriteString("\x00")
	h.Write(payload)
	return h.Sum64()
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

// shapeTableSize is the number of entries of a ShapeSet and of a runTable; a power of two.
const shapeTableSize = 1 << 14

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

// runTable has the latest times at which requests ran without losing a backend server.
// Requests that collide replace each other.
type runTable struct {
	table [shapeTableSize]atomic.Pointer[knownRun]
}

type knownRun struct {
	fingerprint uint64
	at          time.Time
}

func (t *runTable) add(fingerprint uint64, at time.Time) {
	t.table[fingerprint%shapeTableSize].Store(&knownRun{fingerprint, at})
}

// find returns when a request last ran; zero if that is not known.
func (t *runTable) find(fingerprint uint64) time.Time {
	if run := t.table[fingerprint%shapeTableSize].Load(); run != nil && run.fingerprint == fingerprint {
		return run.at
	}
	return time.Time{}
}
