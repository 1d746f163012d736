package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	standin "lentilward.org/lentilstand/platform"
)

// revokeWithin is the setting revocation.within.
const revokeWithin = 5 * time.Second

// keySettings returns the settings that a run with keys has beside the others.
func (s *soak) keySettings() string {
	if !s.withKeys {
		return ""
	}
	return fmt.Sprintf("[revocation]\nwithin = %q\n", revokeWithin)
}

// setKey gives a request the newest key, or one in four an older one. It records those whose
// key must not work any more.
func (s *soak) setKey(r *http.Request, id string, i *instance) {
	n := s.keyNumber.Load()
	if rand.IntN(4) == 0 {
		n = max(1, n-rand.Int64N(20))
	}
	r.Header.Set(standin.KeyHeader, fmt.Sprint("key-", n))
	at, withdrawn := s.withdrawnAt.Load(n)
	if !withdrawn || time.Since(at.(time.Time)) <= revokeWithin || !s.lateWrites.heldSince(time.Now()) {
		return
	}
	i.mu.Lock()
	startedAt := i.startedAt
	i.mu.Unlock()
	// A process that was started around the return of the store may know only the copy.
	if !s.operator.mayHaveLoadedOlder(startedAt) {
		s.ledger.lateKeys.Store(id, time.Since(at.(time.Time)))
	}
}
