package suspect

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/blackboard"
)

// A harmful request is kept once, also if that fails at first.
func TestHarmfulRequestIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		k := NewKeeper(slog.New(slog.DiscardHandler))
		tries, kept := 0, 0
		k.Write = func(_ context.Context, x blackboard.Suspect, life time.Duration) error {
			tries++
			if tries < 3 {
				return errors.New("refused")
			}
			if x.Fingerprint != 7 || x.Requests != 2 || life != suspectLife {
				t.Errorf("kept %+v for %v", x, life)
			}
			kept++
			return nil
		}
		go k.Run(ctx)
		a, _ := pair()
		a.Keep = k.Keep
		for range 4 {
			a.Crashed(ctx, 7, 2)
		}
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		if tries != 3 || kept != 1 {
			t.Errorf("%d tries, kept %d times, want 3 and 1", tries, kept)
		}
	})
}
