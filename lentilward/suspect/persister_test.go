package suspect

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/blackboard"
)

// A poison request is written until that succeeds, and then not written again.
func TestPoisonRequestIsPersistedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := NewPersister(slog.New(slog.DiscardHandler))
		attempts, written := 0, 0
		p.Write = func(_ context.Context, suspect blackboard.SuspectRequest, ttl time.Duration) error {
			attempts++
			if attempts < 3 {
				return errors.New("refused")
			}
			if suspect.Fingerprint != 7 || !suspect.IsRefused() || ttl != recordTTL {
				t.Errorf("wrote %+v with a TTL of %v", suspect, ttl)
			}
			written++
			return nil
		}
		go p.Run(ctx)
		a, _ := newConnectedLists()
		a.Persist = p.Enqueue
		for process := range uint64(6) {
			a.RecordLoss(ctx, 7, process, fmt.Sprint(process), time.Now())
		}
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		if attempts != 3 || written != 1 {
			t.Errorf("%d attempts, written %d times, want 3 and 1", attempts, written)
		}
	})
}
