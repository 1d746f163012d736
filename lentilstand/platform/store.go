// Package platform simulates the platform's key-value store and its faults.
package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxValueBytes is the maximum size of a value.
	maxValueBytes = 1 << 20
	// maxPageBytes bounds the values on one page, unless there is only one.
	maxPageBytes = 1 << 20
	// maxKeyBytes is the maximum length of a key.
	maxKeyBytes = 200
	// maxPageItems is the maximum number of items in one page of a range.
	maxPageItems = 50
	// writesPerSecond and readsPerSecond are the store's rate limits.
	writesPerSecond = 400
	readsPerSecond  = 2000
	// callLatency is the duration of a call without faults.
	callLatency = 2 * time.Millisecond
	// maxWatchWait bounds how long a watch waits for changes.
	maxWatchWait = 30 * time.Second
	// historyRetention is how long changes stay available to watches.
	historyRetention = 20 * time.Second
	// maxLateWriteDelay bounds the delay of a write that takes effect after its reply
	// was lost.
	maxLateWriteDelay = 3 * time.Second
)

// Errors of a call.
var (
	errUnavailable = errors.New("store unavailable; call not executed")
	errRateLimited = errors.New("rate limit exceeded")
	errConflict    = errors.New("revision of a condition does not match")
	errNotFound    = errors.New("key or lease does not exist")
	errCompacted   = errors.New("history after this revision was compacted")
	errInvalid     = errors.New("call malformed or above a size limit")
	// errNoReply makes the handler close the connection without a reply.
	errNoReply = errors.New("no reply")
)

// item is the state of a key after a write or deletion.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
	changedAt time.Time
}

// condition is the revision that a key must have for a commit; 0 means that the
// key must not exist.
type condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// write is a key to write, bound to a lease unless Lease is 0.
type write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease uint64 `json:"lease"`
}

// lease is a time limit on keys: when it expires, the keys bound to it are deleted.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store simulates the platform's key-value store.
type Store struct {
	mu       sync.Mutex
	rand     *rand.Rand
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	revision uint64
	// era rises when the store comes back from a copy.
	era uint64
	// compactedRevision is the revision after which the history is complete.
	compactedRevision uint64
	changed           chan struct{}
	readLimiter       tokenBucket
	writeLimiter      tokenBucket
	counts            Counts
	faults            faults
}

// Counts are the numbers of calls received, by kind, and of those refused because
// of the rate limits.
type Counts struct {
	Reads, Writes, Watches, Refused uint64
}

// New returns an empty store; seed determines lease ids and random faults.
func New(seed uint64) *Store {
	return &Store{
		rand: rand.New(rand.NewPCG(seed, 0)), items: make(map[string]item), leases: make(map[uint64]*lease),
		revision: 1, era: 1, changed: make(chan struct{}),
		readLimiter:  tokenBucket{rate: readsPerSecond, tokens: readsPerSecond},
		writeLimiter: tokenBucket{rate: writesPerSecond, tokens: writesPerSecond},
	}
}

// Counts returns the numbers of calls received so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// get returns the item of a key and the current revision.
func (s *Store) get(key string) (item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	i, ok := s.items[key]
	if !ok {
		return item{}, s.revision, errNotFound
	}
	return i, s.revision, nil
}

// list returns one page of the items whose keys have a prefix and are greater than
// after, in the order of the keys.
func (s *Store) list(prefix, after string) (page []item, more bool, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, i)
		}
	}
	slices.SortFunc(page, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	size := 0
	for n, i := range page {
		size += len(i.Value)
		if n == maxPageItems || n > 0 && size > maxPageBytes {
			return page[:n], true, s.revision
		}
	}
	return page, false, s.revision
}

// watch waits for changes of keys with a prefix after a revision and returns them
// with the current revision. It returns no changes if the wait ends first, and
// errCompacted if the history no longer reaches back to the revision or does not have it
// yet. It gets no reply if another era begins meanwhile.
func (s *Store) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]item, uint64, error) {
	timer := time.NewTimer(min(wait, maxWatchWait))
	defer timer.Stop()
	begunIn := s.Era()
	for {
		s.mu.Lock()
		s.expireLeases(time.Now())
		events, revision, compactedRevision, changed := s.changesSince(prefix, after), s.revision, s.compactedRevision, s.changed
		era := s.era
		muted := time.Now().Before(s.faults.watchesMutedUntil)
		next := s.nextExpiry()
		s.mu.Unlock()
		if era != begunIn {
			return nil, revision, errNoReply
		}
		if after < compactedRevision || after > revision {
			return nil, revision, errCompacted
		}
		if len(events) > 0 && !muted {
			return events, revision, nil
		}
		select {
		case <-changed:
		case <-next:
		case <-timer.C:
			if muted {
				return nil, after, nil
			}
			return nil, revision, nil
		case <-ctx.Done():
			return nil, revision, errNoReply
		}
	}
}

// changesSince returns the changes of keys with a prefix after a revision. The
// caller holds mu.
func (s *Store) changesSince(prefix string, after uint64) []item {
	var events []item
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events
}

// commit writes and deletes all the given keys if every condition holds, and
// otherwise changes nothing and returns the current items of the conditions' keys.
func (s *Store) commit(conditions []condition, writes []write, deletes []string) (revision uint64, current []item, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	conditionsHold := true
	for _, c := range conditions {
		i := s.items[c.Key]
		conditionsHold = conditionsHold && i.Revision == c.Revision
		if i.Key != "" {
			current = append(current, i)
		}
	}
	if !conditionsHold {
		return s.revision, current, errConflict
	}
	for _, w := range writes {
		if w.Key == "" || len(w.Key) > maxKeyBytes || len(w.Value) > maxValueBytes {
			return s.revision, nil, errInvalid
		}
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return s.revision, nil, errNotFound
		}
	}
	for _, w := range writes {
		s.put(item{Key: w.Key, Value: w.Value, Lease: w.Lease})
	}
	for _, key := range deletes {
		s.deleteKey(key)
	}
	return s.revision, nil, nil
}

// put writes a key under a new revision. The caller holds mu.
func (s *Store) put(i item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.appendHistory(i)
}

// deleteKey deletes a key, if it exists, under a new revision. The caller holds mu.
func (s *Store) deleteKey(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.appendHistory(item{Key: key, Revision: s.revision, Deleted: true})
}

// appendHistory adds a change to the history, removes changes older than
// historyRetention and wakes the watches. The caller holds mu.
func (s *Store) appendHistory(i item) {
	i.changedAt = time.Now()
	s.history = append(s.history, i)
	for len(s.history) > 0 && i.changedAt.Sub(s.history[0].changedAt) > historyRetention {
		s.compactedRevision = s.history[0].Revision
		s.history = s.history[1:]
	}
	s.wakeWatches()
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// grantLease creates a lease and returns its id.
func (s *Store) grantLease(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.rand.Uint64()>>1 | 1
	s.leases[id] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	s.wakeWatches()
	return id
}

// renewLease renews a lease and returns its TTL.
func (s *Store) renewLease(id uint64) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	l := s.leases[id]
	if l == nil {
		return 0, errNotFound
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return l.ttl, nil
}

// endLease ends a lease and deletes its keys.
func (s *Store) endLease(id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	if s.leases[id] == nil {
		return errNotFound
	}
	s.deleteLease(id)
	return nil
}

// deleteLease deletes a lease and its keys. The caller holds mu.
func (s *Store) deleteLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.deleteKey(key)
	}
}

// expireLeases deletes the leases that have expired. During an outage it deletes
// none, unless faults.expireLeases is set. The caller holds mu.
func (s *Store) expireLeases(now time.Time) {
	if now.Before(s.faults.downUntil) && !s.faults.expireLeases {
		return
	}
	for id, l := range s.leases {
		if !now.Before(l.expiresAt) {
			s.deleteLease(id)
		}
	}
}

// nextExpiry returns a channel that receives when the next lease expires, or nil if
// there is no lease. The caller holds mu.
func (s *Store) nextExpiry() <-chan time.Time {
	var next time.Time
	for _, l := range s.leases {
		if next.IsZero() || l.expiresAt.Before(next) {
			next = l.expiresAt
		}
	}
	if next.IsZero() {
		return nil
	}
	return time.After(max(time.Millisecond, time.Until(next)))
}

// tokenBucket limits calls to a rate per second, with a burst of one second's calls.
type tokenBucket struct {
	rate       float64
	tokens     float64
	refilledAt time.Time
}

func (b *tokenBucket) take(now time.Time) bool {
	if !b.refilledAt.IsZero() {
		b.tokens = min(b.rate, b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate)
	}
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
