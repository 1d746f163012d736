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
	// maxChangeTries bounds the races that one change may lose.
	maxChangeTries = 20
	// retryDelay is the mean pause between two tries of a change.
	retryDelay = 20 * time.Millisecond
	// maxLoadTries bounds the reads of one try, and loadDelay is the mean pause
	// between them.
	maxLoadTries = 5
	loadDelay    = 200 * time.Millisecond
	// callTimeout bounds one call to the key-value service.
	callTimeout = 2 * time.Second
)

// Errors of a change.
var (
	// ErrUnknownOutcome means that the change may or may not be accepted. The
	// same change id settles it.
	ErrUnknownOutcome = merry.Sentinel("outcome of the change is unknown")
	// ErrRolledBack means that the platform holds an older configuration than
	// the one in force.
	ErrRolledBack = merry.Sentinel("platform holds an older configuration than the one in force")
)

// head is the value that decides which changes are accepted. The services
// themselves are under keys of their own, which are never written twice.
type head struct {
	Revision  uint64              `cbor:"revision"`
	Services  map[string]ref      `cbor:"services"`
	Withdrawn map[string]uint64   `cbor:"withdrawn"`
	History   []blackboard.Change `cbor:"history"`
}

// ref names the stored value of a service.
type ref struct {
	Revision uint64 `cbor:"revision"`
	ChangeID string `cbor:"change-id"`
}

// Store keeps the configuration in the key-value service.
type Store struct {
	kv    *KeyValue
	board *blackboard.Board
}

// NewStore returns a store. It reads services that the board already has from
// there.
func NewStore(kv *KeyValue, board *blackboard.Board) *Store {
	return &Store{kv: kv, board: board}
}

// Load reads the newest configuration and the revision of its key.
func (s *Store) Load(ctx context.Context) (*blackboard.Config, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := s.kv.Get(ctx, headKey)
	if err != nil {
		return nil, 0, err
	}
	c, err := s.decode(ctx, e)
	return c, e.Revision, err
}

// decode reads the services that a head refers to.
func (s *Store) decode(ctx context.Context, e Entry) (*blackboard.Config, error) {
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
	known := s.board.Config.Load()
	for name, r := range h.Services {
		if k := known.Services[name]; k != nil && k.ChangeID == r.ChangeID {
			c.Services[name] = k
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

func (s *Store) loadService(ctx context.Context, name string, r ref) (*blackboard.Service, error) {
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

// Edit makes the next configuration from the newest one. It may be called
// several times and refuses with an error.
type Edit func(c *blackboard.Config) (*blackboard.Config, error)

// Change applies an edit by compare-and-swap. It returns the configuration in
// which the change with this id was accepted, and whether that was before.
func (s *Store) Change(ctx context.Context, id string, edit Edit) (_ *blackboard.Config, repeated bool, _ error) {
	written := false
	for range maxChangeTries {
		c, revision, err := s.loadPatiently(ctx)
		if err != nil {
			return nil, false, uncertain(written, err)
		}
		if c.Revision < s.board.Config.Load().Revision {
			return nil, false, ErrRolledBack
		}
		if _, found := c.FindChange(id); found {
			return c, !written, nil
		}
		next, err := edit(c)
		if err != nil {
			return nil, false, err
		}
		err = s.write(ctx, c, next, id, revision)
		if err == nil {
			return next, false, nil
		}
		written = written || IsUnavailable(err)
		if !errors.Is(err, ErrConflict) && !IsUnavailable(err) && !errors.Is(err, ErrLimited) {
			return nil, false, err
		}
		select {
		case <-time.After(rand.N(2 * retryDelay)):
		case <-ctx.Done():
			return nil, false, uncertain(written, ctx.Err())
		}
	}
	return nil, false, uncertain(written, ErrConflict)
}

// loadPatiently reads the newest configuration, again if the platform is away
// for a moment only.
func (s *Store) loadPatiently(ctx context.Context) (*blackboard.Config, uint64, error) {
	for try := 1; ; try++ {
		c, revision, err := s.Load(ctx)
		if err == nil || !IsUnavailable(err) || try == maxLoadTries {
			return c, revision, err
		}
		sleep(ctx, rand.N(2*loadDelay))
	}
}

// uncertain marks an error after a write that got no answer.
func uncertain(written bool, err error) error {
	if written {
		return merry.Prepend(ErrUnknownOutcome, err.Error())
	}
	return err
}

// write stores the changed service and then swaps the head.
func (s *Store) write(ctx context.Context, old, next *blackboard.Config, id string, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h := head{
		Revision: next.Revision, Services: make(map[string]ref, len(next.Services)),
		Withdrawn: next.Withdrawn, History: next.History,
	}
	for name, service := range next.Services {
		h.Services[name] = ref{Revision: service.Revision, ChangeID: service.ChangeID}
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
	if _, err := s.kv.Put(ctx, headKey, value, revision, 0); err != nil {
		return err
	}
	s.dropOld(ctx, old, next)
	return nil
}

// writeService stores a service under the key of its change. If that key
// exists, an earlier try has written it.
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
	if _, err := s.kv.Put(ctx, key, value, e.Revision, 0); err != nil {
		return err
	}
	return nil
}

// dropOld removes the values that the swap replaced. A reader that still
// needs one reads the head again.
func (s *Store) dropOld(ctx context.Context, old, next *blackboard.Config) {
	for name, service := range old.Services {
		if next.Services[name] != service {
			s.kv.Delete(ctx, serviceKey(name, service.ChangeID))
		}
	}
}

func serviceKey(name, changeID string) string {
	return fmt.Sprintf("lentilward/config/service/%s/%s", name, changeID)
}
