package platform

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// StoreEraHeader is the header of all replies that has the number of times that the store
// has come back from a copy.
const StoreEraHeader = "Store-Era"

// Copy is a copy of the store's state.
type Copy struct {
	items                       map[string]item
	history                     []item
	leases                      map[uint64]time.Duration
	revision, compactedRevision uint64
}

// TakeCopy returns a copy of the present state.
func (s *Store) TakeCopy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	c := &Copy{
		items: maps.Clone(s.items), history: slices.Clone(s.history), leases: make(map[uint64]time.Duration),
		revision: s.revision, compactedRevision: s.compactedRevision,
	}
	for id, l := range s.leases {
		c.leases[id] = l.ttl
	}
	return c
}

// Restore replaces the state by an older copy, in which leases have their whole TTL left,
// and begins the next era. Calls in progress get no reply.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.era++
	s.items, s.history = maps.Clone(c.items), slices.Clone(c.history)
	s.revision, s.compactedRevision = c.revision, c.compactedRevision
	s.leases = make(map[uint64]*lease)
	for id, ttl := range c.leases {
		s.leases[id] = &lease{ttl: ttl, expiresAt: now.Add(ttl)}
	}
	s.wakeWatches()
}

// Era returns the number of times that the store has come back from a copy, plus one.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// replyInEra sets the header StoreEraHeader, and closes the connections of calls during
// which another era has begun.
func (s *Store) replyInEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		era := s.Era()
		w.Header().Set(StoreEraHeader, strconv.FormatUint(era, 10))
		next.ServeHTTP(&eraWriter{ResponseWriter: w, store: s, era: era}, r)
	})
}

// eraWriter writes a reply unless another era than its own has begun.
type eraWriter struct {
	http.ResponseWriter
	store *Store
	era   uint64
}

func (w *eraWriter) WriteHeader(status int) {
	w.check()
	w.ResponseWriter.WriteHeader(status)
}

func (w *eraWriter) Write(b []byte) (int, error) {
	w.check()
	return w.ResponseWriter.Write(b)
}

func (w *eraWriter) check() {
	if w.store.Era() != w.era {
		panic(http.ErrAbortHandler)
	}
}
