// Package platform is the stand-in for the platform's store.
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
	// maxValue is the size of the largest value, in bytes.
	maxValue = 1 << 20
	// maxKey is the length of the longest key, in bytes.
	maxKey = 200
	// pageItems is the number of items of one page.
	pageItems = 50
	// writesPerSecond and readsPerSecond are the store's rates.
	writesPerSecond = 400
	readsPerSecond  = 2000
	// callTime is how long a call takes when all is well.
	callTime = 2 * time.Millisecond
	// maxWait bounds a watch.
	maxWait = 30 * time.Second
	// historyTime is how long changes are known.
	historyTime = 20 * time.Second
	// lateWrite is how long a late write may take.
	lateWrite = 3 * time.Second
)

// Outcomes of a call beside its result.
var (
	errRefused  = errors.New("nothing was done")
	errLimited  = errors.New("rate exceeded")
	errConflict = errors.New("condition does not hold")
	errMissing  = errors.New("no such key or lease")
	errForgot   = errors.New("history is gone")
	errInvalid  = errors.New("malformed call")
	// errSilent means that the caller gets no answer.
	errSilent = errors.New("no answer")
)

// item is one key as it was written or deleted.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

// condition is a revision that a key must have.
type condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// write is a key to write.
type write struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease uint64 `json:"lease"`
}

// lease is a time after which keys are deleted.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// Store is the platform's store.
type Store struct {
	mu       sync.Mutex
	rand     *rand.Rand
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	revision uint64
	// oldest is the revision after which all changes are known.
	oldest  uint64
	changed chan struct{}
	reads   bucket
	writes  bucket
	counts  Counts
	faults  faults
}

// Counts are the calls that arrived.
type Counts struct {
	Reads, Writes, Waits, Refused uint64
}

// New returns an empty store.
func New(seed uint64) *Store {
	return &Store{
		rand: rand.New(rand.NewPCG(seed, 0)), items: make(map[string]item), leases: make(map[uint64]*lease),
		revision: 1, changed: make(chan struct{}),
		reads:  bucket{rate: readsPerSecond, tokens: readsPerSecond},
		writes: bucket{rate: writesPerSecond, tokens: writesPerSecond},
	}
}

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// get returns one key.
func (s *Store) get(key string) (item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	i, ok := s.items[key]
	if !ok {
		return item{}, s.revision, errMissing
	}
	return i, s.revision, nil
}

// list returns one page of a prefix.
func (s *Store) list(prefix, after string) (page []item, more bool, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, i)
		}
	}
	slices.SortFunc(page, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(page) > pageItems {
		return page[:pageItems], true, s.revision
	}
	return page, false, s.revision
}

// watch returns the changes of a prefix after a revision, once there are any.
func (s *Store) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]item, uint64, error) {
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.expire(time.Now())
		events, revision, oldest, changed := s.since(prefix, after), s.revision, s.oldest, s.changed
		deaf := time.Now().Before(s.faults.deafUntil)
		next := s.nextEnd()
		s.mu.Unlock()
		if after < oldest {
			return nil, revision, errForgot
		}
		if len(events) > 0 && !deaf {
			return events, revision, nil
		}
		select {
		case <-changed:
		case <-next:
		case <-timer.C:
			if deaf {
				return nil, after, nil
			}
			return nil, revision, nil
		case <-ctx.Done():
			return nil, revision, errSilent
		}
	}
}

// since returns the changes of a prefix after a revision. The caller holds mu.
func (s *Store) since(prefix string, after uint64) []item {
	var events []item
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events
}

// commit writes all keys if every condition holds, or nothing.
func (s *Store) commit(conditions []condition, writes []write, deletes []string) (revision uint64, state []item, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	holds := true
	for _, c := range conditions {
		i := s.items[c.Key]
		holds = holds && i.Revision == c.Revision
		if i.Key != "" {
			state = append(state, i)
		}
	}
	if !holds {
		return s.revision, state, errConflict
	}
	for _, w := range writes {
		if w.Key == "" || len(w.Key) > maxKey || len(w.Value) > maxValue {
			return s.revision, nil, errInvalid
		}
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return s.revision, nil, errMissing
		}
	}
	for _, w := range writes {
		s.put(item{Key: w.Key, Value: w.Value, Lease: w.Lease})
	}
	for _, key := range deletes {
		s.remove(key)
	}
	return s.revision, nil, nil
}

// put writes a key. The caller holds mu.
func (s *Store) put(i item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.record(i)
}

// remove deletes a key. The caller holds mu.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

// record adds a change to the history and wakes the watches. The caller holds
// mu.
func (s *Store) record(i item) {
	i.at = time.Now()
	s.history = append(s.history, i)
	for len(s.history) > 0 && i.at.Sub(s.history[0].at) > historyTime {
		s.oldest = s.history[0].Revision
		s.history = s.history[1:]
	}
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// grant makes a lease.
func (s *Store) grant(ttl time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.rand.Uint64()>>1 | 1
	s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	s.wake()
	return id
}

// keep renews a lease.
func (s *Store) keep(id uint64) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	l := s.leases[id]
	if l == nil {
		return 0, errMissing
	}
	l.ends = time.Now().Add(l.ttl)
	return l.ttl, nil
}

// end ends a lease.
func (s *Store) end(id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	if s.leases[id] == nil {
		return errMissing
	}
	s.drop(id)
	return nil
}

// drop ends a lease and deletes its keys. The caller holds mu.
func (s *Store) drop(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.remove(key)
	}
}

// expire drops the leases whose time has passed. While the store is down they
// pause, unless the fault says that they run on. The caller holds mu.
func (s *Store) expire(now time.Time) {
	if now.Before(s.faults.downUntil) && !s.faults.lapse {
		return
	}
	for id, l := range s.leases {
		if !now.Before(l.ends) {
			s.drop(id)
		}
	}
}

// nextEnd returns a channel that tells when the next lease ends. The caller
// holds mu.
func (s *Store) nextEnd() <-chan time.Time {
	var next time.Time
	for _, l := range s.leases {
		if next.IsZero() || l.ends.Before(next) {
			next = l.ends
		}
	}
	if next.IsZero() {
		return nil
	}
	return time.After(max(time.Millisecond, time.Until(next)))
}

// bucket holds calls to a rate per second with a burst of one second.
type bucket struct {
	rate   float64
	tokens float64
	last   time.Time
}

func (b *bucket) take(now time.Time) bool {
	if !b.last.IsZero() {
		b.tokens = min(b.rate, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
