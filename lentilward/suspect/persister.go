package suspect

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"lentilward.org/lentilward/blackboard"
)

const (
	// recordTTL is how long the record of a refused request is kept in the storage.
	recordTTL = 10 * time.Minute
	// persistTimeout bounds one write of a suspect, and persistRetryDelay is the
	// pause after a failed one.
	persistTimeout    = 2 * time.Second
	persistRetryDelay = time.Second
	// maxPendingWrites is the number of suspects that can wait to be written.
	maxPendingWrites = 64
)

// Persister writes refused requests to storage that outlives all instances, and removes
// the records of those that are not refused any more.
type Persister struct {
	log *slog.Logger
	// wake has a value while requests wait.
	wake chan struct{}
	mu   sync.Mutex
	// pending has the latest state of each request that waits to be written.
	pending map[uint64]blackboard.SuspectRequest
	// Write stores a suspect so that its record expires after the TTL, or removes its record
	// if it is not refused.
	Write func(ctx context.Context, suspect blackboard.SuspectRequest, ttl time.Duration) error
}

// NewPersister returns a persister. Its Write field must be set before Run is
// called.
func NewPersister(log *slog.Logger) *Persister {
	return &Persister{log: log, wake: make(chan struct{}, 1), pending: make(map[uint64]blackboard.SuspectRequest)}
}

// IsPersisted reports whether a refused request should have a record, unless that has expired.
func IsPersisted(r blackboard.SuspectRequest) bool {
	return r.IsRefused() && time.Since(later(r.RefusedAt, r.TrialAt)) < recordTTL
}

// Enqueue queues a suspect for writing, in place of an earlier state of it. It does not
// block; if too many wait, the suspect is dropped.
func (p *Persister) Enqueue(suspect blackboard.SuspectRequest) {
	p.mu.Lock()
	_, waits := p.pending[suspect.Fingerprint]
	if !waits && len(p.pending) >= maxPendingWrites {
		p.mu.Unlock()
		p.log.Warn("suspect request not persisted, write queue is full", "fingerprint", suspect.Fingerprint)
		return
	}
	p.pending[suspect.Fingerprint] = suspect
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run writes the queued suspects until the context ends. It retries each one until it has
// been written or replaced, for recordTTL at most.
func (p *Persister) Run(ctx context.Context) {
	for {
		select {
		case <-p.wake:
		case <-ctx.Done():
			return
		}
		for suspect, ok := p.next(); ok; suspect, ok = p.next() {
			for begin := time.Now(); time.Since(begin) < recordTTL && !p.isReplaced(suspect) && !p.write(ctx, suspect); {
				select {
				case <-time.After(persistRetryDelay):
				case <-ctx.Done():
					return
				}
			}
		}
	}
}

// next takes a suspect that waits to be written, and returns false if none does.
func (p *Persister) next() (blackboard.SuspectRequest, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for fingerprint, suspect := range p.pending {
		delete(p.pending, fingerprint)
		return suspect, true
	}
	return blackboard.SuspectRequest{}, false
}

// isReplaced reports whether a newer state of a suspect waits to be written.
func (p *Persister) isReplaced(suspect blackboard.SuspectRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, waits := p.pending[suspect.Fingerprint]
	return waits
}

func (p *Persister) write(ctx context.Context, suspect blackboard.SuspectRequest) bool {
	writeCtx, cancel := context.WithTimeout(ctx, persistTimeout)
	defer cancel()
	if err := p.Write(writeCtx, suspect, recordTTL); err != nil {
		p.log.Info("failed to persist a suspect request", "fingerprint", suspect.Fingerprint, "error", err)
		return false
	}
	p.log.Info("suspect request persisted", "fingerprint", suspect.Fingerprint, "refused", suspect.IsRefused(), "trials", suspect.Trials)
	return true
}
