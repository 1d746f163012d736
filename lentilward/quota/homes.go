package quota

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// attemptTimeout bounds one question to a home. A home with a small share of a core may
	// be late by 100 ms.
	attemptTimeout = 200 * time.Millisecond
	// silentPeriod is how long a home that did not reply is passed over. It doubles up to
	// maxSilentPeriod while the home does not reply when it is asked again, since all its
	// tenants use the fallback meanwhile.
	silentPeriod    = 2 * time.Second
	maxSilentPeriod = 8 * time.Second
	// maxAttempts bounds the instances that are asked for one Ask.
	maxAttempts = 4
)

// ErrNoHome means that no instance could be asked.
var ErrNoHome = errors.New("no home can be reached")

// Candidate is an instance that may be the home of tenants.
type Candidate[P comparable] struct {
	Peer P
	Name string
}

// Homes finds the homes of tenants: the first instance in rendezvous hashing order that
// is alive and has replied lately. P identifies an instance.
type Homes[P comparable] struct {
	// Candidates returns the instances that are alive.
	Candidates func() []Candidate[P]
	// Seeds returns the instances that are asked first while this one has just started and
	// may know few members; they name the home.
	Seeds func() []Candidate[P]
	// Send asks an instance. A final question is answered by the one that gets it; others
	// may be answered with the home that it knows.
	Send func(ctx context.Context, to P, a Ask, final bool) (Reply[P], error)
	// Key returns the key of a subject by which its home is found. Subjects with the same key
	// have the same home.
	Key func(subject string) string
	// OnMoved is called when an instance has named another home than this one knows.
	OnMoved func()

	self   P
	mu     sync.Mutex
	silent map[P]silence
}

// silence is for how long an instance that did not reply is passed over.
type silence struct {
	until  time.Time
	period time.Duration
}

// Reply is the reply to a question: a Grant, or Moved and the home to ask.
type Reply[P comparable] struct {
	Grant
	Moved bool `cbor:"moved,omitempty"`
	Home  P    `cbor:"home"`
}

// NewHomes returns the homes as the instance self sees them.
func NewHomes[P comparable](self P) *Homes[P] {
	return &Homes[P]{
		Seeds: func() []Candidate[P] { return nil }, Key: ownKey, OnMoved: func() {}, self: self, silent: make(map[P]silence),
	}
}

// ownKey is the key of subjects each of which has a home of its own.
func ownKey(subject string) string { return subject }

// Of returns the home of a subject, and false if no candidate has replied lately.
func (f *Homes[P]) Of(subject string) (home P, ok bool) { return f.OfKey(f.Key(subject)) }

// OfKey returns the home of the subjects with a key, and false if no candidate has replied
// lately.
func (f *Homes[P]) OfKey(key string) (home P, ok bool) { return f.first(key, f.Candidates()) }

// choose returns the instance to ask about a subject.
func (f *Homes[P]) choose(subject string) (to P, ok bool) {
	if seeds := f.Seeds(); len(seeds) > 0 {
		if to, ok := f.first(f.Key(subject), seeds); ok {
			return to, true
		}
	}
	return f.Of(subject)
}

// first returns the first of the candidates in rendezvous hashing order of a key that has
// replied lately.
func (f *Homes[P]) first(key string, candidates []Candidate[P]) (home P, ok bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	bestHash := uint64(0)
	for _, c := range candidates {
		if now.Before(f.silent[c.Peer].until) && c.Peer != f.self {
			continue
		}
		if hash := xxhash.Sum64String(c.Name + "\x00quota\x00" + key); !ok || hash > bestHash {
			home, bestHash, ok = c.Peer, hash, true
		}
	}
	return home, ok
}

// IsHome reports whether an instance is the home of a subject.
func (f *Homes[P]) IsHome(p P, subject string) bool {
	home, ok := f.Of(subject)
	return ok && home == p
}

// Ask asks the home of a tenant. It follows the answers of instances that know another
// home, and passes over those that do not reply.
func (f *Homes[P]) Ask(ctx context.Context, a Ask) (Grant, error) {
	to, ok := f.choose(a.Subject)
	final, err := false, ErrNoHome
	for attempt := 0; ok && attempt < maxAttempts; attempt++ {
		final = final || attempt == maxAttempts-1
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		reply, failure := f.Send(attemptCtx, to, a, final)
		cancel()
		if failure == nil {
			f.recordReply(to)
		}
		switch {
		case failure != nil && to == f.self:
			return Grant{}, failure
		case failure != nil:
			err = failure
			f.recordSilence(to)
			// What is reported may have arrived.
			a.Returned, a.Demand = 0, 0
			to, ok = f.choose(a.Subject)
			final = false
		case reply.Moved && f.isSilent(reply.Home):
			// The two disagree about whether the home is alive; the one that replies lends.
			final = true
		case reply.Moved:
			f.OnMoved()
			to, final = reply.Home, true
		default:
			return reply.Grant, nil
		}
		if ctx.Err() != nil {
			return Grant{}, ctx.Err()
		}
	}
	return Grant{}, err
}

func (f *Homes[P]) isSilent(p P) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.silent[p].until)
}

// recordSilence records that an instance did not reply.
func (f *Homes[P]) recordSilence(p P) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	s := f.silent[p]
	switch {
	case now.Before(s.until):
		return
	case now.Sub(s.until) > maxSilentPeriod:
		s.period = silentPeriod
	default:
		s.period = min(2*s.period, maxSilentPeriod)
	}
	s.until = now.Add(s.period)
	f.silent[p] = s
}

func (f *Homes[P]) recordReply(p P) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.silent, p)
}
