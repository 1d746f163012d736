package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"lentilward.org/lentilward/blackboard"
)

const (
	headKey = "lentilward/config/head"
	// maxChangeTries bounds the tries of one change. A try fails if there is a
	// concurrent change, or while the platform is unavailable.
	maxChangeTries = 20
	// changeRetryDelay is the mean delay between two tries of a change.
	changeRetryDelay = 20 * time.Millisecond
	// maxLoadTries bounds how often one try of a change reads the configuration,
	// and loadRetryDelay is the mean delay between two of these reads.
	maxLoadTries   = 5
	loadRetryDelay = 200 * time.Millisecond
	// callTimeout bounds one load or write of the configuration, with all its
	// calls to the key-value service. A watch may take this much longer than
	// watchTimeout.
	callTimeout = 2 * time.Second
)

// Errors returned by Change.
var (
	// ErrUnknownOutcome means that the change may or may not have been accepted.
	// A resend with the same change id resolves this.
	ErrUnknownOutcome = merry.Sentinel("outcome of the change is unknown")
	// ErrRolledBack means that the platform holds an older configuration than
	// the one in force.
	ErrRolledBack = merry.Sentinel("platform holds an older configuration than the one in force")
)

// head is the value under headKey; a change is accepted by replacing it. It refers
// to the services, which are stored under separate keys, one for each change of a
// service, so that no other change overwrites them.
type head struct {
	Revision  uint64                `cbor:"revision"`
	Services  map[string]serviceRef `cbor:"services"`
	Withdrawn map[string]uint64     `cbor:"withdrawn"`
	History   []blackboard.Change   `cbor:"history"`
}

// serviceRef identifies the stored value of a service.
type serviceRef struct {
	Revision uint64 `cbor:"revision"`
	ChangeID string `cbor:"change-id"`
}

// Store reads and changes the configuration in the key-value service.
type Store struct {
	kv    *KeyValue
	board *blackboard.Board
}

// NewStore returns a store. It takes services that board already holds from board
// instead of reading them again.
func NewStore(kv *KeyValue, board *blackboard.Board) *Store {
	return &Store{kv: kv, board: board}
}

// Load returns the newest configuration and the revision of its head key.
func (s *Store) Load(ctx context.Context) (*blackboard.Config, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := s.kv.Get(ctx, headKey)
	if err != nil {
		return nil, 0, err
	}
	c, err := s.resolveHead(ctx, e)
	return c, e.Revision, err
}

// resolveHead decodes a head and loads the services that it refers to.
func (s *Store) resolveHead(ctx context.Context, e Entry) (*blackboard.Config, error) {
	if e.Revision == 0 {
		return &blackboard.Config{}, nil
	}
	var h head
	if err := cbor.Unmarshal(e.Value, &h); err != nil {
		return nil, merry.Prepend(err, headKey)
	}
	c := &blackboard.Config{
		Revision: h.Revision, Services: make(map[string]*blackboard.Service, len(h.Services)),
		Withdrawn: h.Withdrawn, History: h.History,
	}
	installed := s.board.Config.Load()
	for name, r := range h.Services {
		if known := installed.Services[name]; known != nil && known.ChangeID == r.ChangeID {
			c.Services[name] = known
			continue
		}
		service, err := s.loadService(ctx, name, r)
		if err != nil {
			return nil, err
		}
		c.Services[name] = service
	}
	return c, nil
}

func (s *Store) loadService(ctx context.Context, name string, r serviceRef) (*blackboard.Service, error) {
	e, err := s.kv.Get(ctx, serviceKey(name, r.ChangeID))
	if err != nil {
		return nil, err
	}
	var service blackboard.Service
	if err := cbor.Unmarshal(e.Value, &service); err != nil {
		return nil, merry.Prepend(err, serviceKey(name, r.ChangeID))
	}
	service.Revision = r.Revision
	return &service, nil
}

// Edit returns the next configuration given the newest one, or an error to reject
// the change. It may be called several times.
type Edit func(c *blackboard.Config) (*blackboard.Config, error)

// Change applies an edit by compare-and-swap. It returns a configuration that
// contains the change with this id; repeated reports whether the change had already
// been accepted before this call.
func (s *Store) Change(ctx context.Context, id string, edit Edit) (_ *blackboard.Config, repeated bool, _ error) {
	maybeWritten := false
	for range maxChangeTries {
		c, revision, err := s.loadWithRetries(ctx)
		if err != nil {
			return nil, false, markUnknownOutcome(maybeWritten, err)
		}
		if c.Revision < s.board.Config.Load().Revision {
			return nil, false, ErrRolledBack
		}
		if _, found := c.FindChange(id); found {
			return c, !maybeWritten, nil
		}
		next, err := edit(c)
		if err != nil {
			return nil, false, err
		}
		err = s.writeConfig(ctx, c, next, id, revision)
		if err == nil {
			return next, false, nil
		}
		maybeWritten = maybeWritten || isUnavailable(err)
		if !errors.Is(err, ErrConflict) && !isUnavailable(err) && !errors.Is(err, ErrLimited) {
			return nil, false, err
		}
		select {
		case <-time.After(rand.N(2 * changeRetryDelay)):
		case <-ctx.Done():
			return nil, false, markUnknownOutcome(maybeWritten, ctx.Err())
		}
	}
	return nil, false, markUnknownOutcome(maybeWritten, ErrConflict)
}

// loadWithRetries returns the newest configuration. It retries up to maxLoadTries
// times, to bridge a short unavailability of the platform.
func (s *Store) loadWithRetries(ctx context.Context) (*blackboard.Config, uint64, error) {
	for try := 1; ; try++ {
		c, revision, err := s.Load(ctx)
		if err == nil || !isUnavailable(err) || try == maxLoadTries {
			return c, revision, err
		}
		sleep(ctx, rand.N(2*loadRetryDelay))
	}
}

// markUnknownOutcome turns err into ErrUnknownOutcome if an earlier write got no
// reply and may have taken effect.
func markUnknownOutcome(maybeWritten bool, err error) error {
	if maybeWritten {
		return merry.Prepend(ErrUnknownOutcome, err.Error())
	}
	return err
}

// writeConfig stores the changed services and then replaces the head if it still
// has the given revision.
func (s *Store) writeConfig(ctx context.Context, old, next *blackboard.Config, id string, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h := head{
		Revision: next.Revision, Services: make(map[string]serviceRef, len(next.Services)),
		Withdrawn: next.Withdrawn, History: next.History,
	}
	for name, service := range next.Services {
		h.Services[name] = serviceRef{Revision: service.Revision, ChangeID: service.ChangeID}
		if old.Services[name] == service {
			continue
		}
		if err := s.writeService(ctx, service, id); err != nil {
			return err
		}
	}
	value, err := cbor.Marshal(h)
	if err != nil {
		return merry.Wrap(err)
	}
	if _, err := s.kv.Put(ctx, headKey, value, revision); err != nil {
		return err
	}
	s.deleteReplaced(ctx, old, next)
	return nil
}

// writeService stores a service under the key of its change. It overwrites a value
// that an earlier try of the same change has written there.
func (s *Store) writeService(ctx context.Context, service *blackboard.Service, id string) error {
	value, err := cbor.Marshal(service)
	if err != nil {
		return merry.Wrap(err)
	}
	key := serviceKey(service.Name, id)
	e, err := s.kv.Get(ctx, key)
	if err != nil {
		return err
	}
	if _, err := s.kv.Put(ctx, key, value, e.Revision); err != nil {
		return err
	}
	return nil
}

// deleteReplaced deletes the service values that the new head no longer refers to.
// A reader of the old head that misses one must read the head again.
func (s *Store) deleteReplaced(ctx context.Context, old, next *blackboard.Config) {
	for name, service := range old.Services {
		if next.Services[name] != service {
			s.kv.Delete(ctx, serviceKey(name, service.ChangeID))
		}
	}
}

func serviceKey(name, changeID string) string {
	return fmt.Sprintf("lentilward/config/service/%s/%s", name, changeID)
}
