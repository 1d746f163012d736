package suspect

import (
	"context"
	"log/slog"
	"time"

	"lentilward.org/lentilward/blackboard"
)

const (
	// persistTimeout bounds one write of a suspect, and persistRetryDelay is the
	// pause after a failed one.
	persistTimeout    = 2 * time.Second
	persistRetryDelay = time.Second
	// maxPendingWrites is the number of suspects that can be queued for
	// writing.
	maxPendingWrites = 16
)

// Persister writes poison requests to storage that outlives all instances.
type Persister struct {
	log     *slog.Logger
	pending chan blackboard.SuspectRequest
	// Write stores a suspect so that its record expires after the TTL.
	Write func(ctx context.Context, suspect blackboard.SuspectRequest, ttl time.Duration) error
}

// NewPersister returns a persister. Its Write field must be set before Run is
// called.
func NewPersister(log *slog.Logger) *Persister {
	return &Persister{log: log, pending: make(chan blackboard.SuspectRequest, maxPendingWrites)}
}

// Enqueue queues a suspect for writing. It does not block; if the queue is full,
// the suspect is dropped.
func (p *Persister) Enqueue(suspect blackboard.SuspectRequest) {
	select {
	case p.pending <- suspect:
	default:
		p.log.Warn("poison request not persisted, write queue is full", "fingerprint", suspect.Fingerprint)
	}
}

// Run writes the queued suspects until the context ends. It retries each one
// until it has been written or is older than suspectTTL.
func (p *Persister) Run(ctx context.Context) {
	for {
		select {
		case suspect := <-p.pending:
			for time.Since(suspect.LastSeen) < suspectTTL && !p.write(ctx, suspect) {
				select {
				case <-time.After(persistRetryDelay):
				case <-ctx.Done():
					return
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

func (p *Persister) write(ctx context.Context, suspect blackboard.SuspectRequest) bool {
	writeCtx, cancel := context.WithTimeout(ctx, persistTimeout)
	defer cancel()
	if err := p.Write(writeCtx, suspect, suspectTTL); err != nil {
		p.log.Info("failed to persist a poison request", "fingerprint", suspect.Fingerprint, "error", err)
		return false
	}
	p.log.Info("poison request persisted", "fingerprint", suspect.Fingerprint, "crashes", suspect.Crashes, "requests", suspect.Requests)
	return true
}
