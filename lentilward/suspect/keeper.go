package suspect

import (
	"context"
	"log/slog"
	"time"

	"lentilward.org/lentilward/blackboard"
)

const (
	// keepTimeout bounds an attempt to write a suspect, keepPause is the time
	// until the next one.
	keepTimeout = 2 * time.Second
	keepPause   = time.Second
	// keepQueue is the number of suspects that may wait to be written.
	keepQueue = 16
)

// Keeper writes harmful requests where they outlast all instances.
type Keeper struct {
	log  *slog.Logger
	news chan blackboard.Suspect
	// Write keeps a suspect for a while.
	Write func(ctx context.Context, x blackboard.Suspect, life time.Duration) error
}

// NewKeeper returns a keeper; Run starts it once its fields are set.
func NewKeeper(log *slog.Logger) *Keeper {
	return &Keeper{log: log, news: make(chan blackboard.Suspect, keepQueue)}
}

// Keep writes a suspect soon. It does not block.
func (k *Keeper) Keep(x blackboard.Suspect) {
	select {
	case k.news <- x:
	default:
		k.log.Warn("harmful request is not kept, too many wait", "fingerprint", x.Fingerprint)
	}
}

// Run writes suspects until the context ends, each until it was written or is
// too old.
func (k *Keeper) Run(ctx context.Context) {
	for {
		select {
		case x := <-k.news:
			for time.Since(x.Seen) < suspectLife && !k.write(ctx, x) {
				select {
				case <-time.After(keepPause):
				case <-ctx.Done():
					return
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keeper) write(ctx context.Context, x blackboard.Suspect) bool {
	call, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if err := k.Write(call, x, suspectLife); err != nil {
		k.log.Info("cannot keep a harmful request", "fingerprint", x.Fingerprint, "error", err)
		return false
	}
	k.log.Info("harmful request is kept", "fingerprint", x.Fingerprint, "crashes", x.Crashes, "requests", x.Requests)
	return true
}
