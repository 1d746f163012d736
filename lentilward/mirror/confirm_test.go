package mirror

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against asking peers although a confirmation has come, and against never asking
// them because each request for one seems to be the first.
func TestRequestIsUnconfirmedUntilAConfirmationThatIsNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFollower(New(), slog.New(slog.DiscardHandler))
		want := func(situation string, want time.Duration) {
			t.Helper()
			if got := f.UnconfirmedFor(); got != want {
				t.Errorf("%s: unconfirmed for %v, want %v", situation, got, want)
			}
		}
		want("no request", 0)
		for range 3 {
			f.Confirm()
			time.Sleep(100 * time.Millisecond)
		}
		want("three requests", 300*time.Millisecond)
		f.MarkCurrent(400 * time.Millisecond)
		want("a confirmation that is older than the first request", 300*time.Millisecond)
		f.MarkCurrent(10 * time.Millisecond)
		want("a newer confirmation", 0)
		f.Confirm()
		time.Sleep(20 * time.Millisecond)
		want("another request", 20*time.Millisecond)
	})
}

// Guards against a request for a confirmation that is lost because the watch whose changes were
// just applied takes it.
func TestConfirmBetweenWatchesAsksTheStoreAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{records: make(map[string]Record)}
		s.write("a", false)
		f := newTestFollower(s)
		runFollower(t, f)
		time.Sleep(time.Second)
		s.write("b", false)
		time.Sleep(batchDelay / 2)
		f.Confirm()
		time.Sleep(20 * time.Millisecond)
		if f.UnconfirmedFor() > 0 || f.Age() > 20*time.Millisecond {
			t.Errorf("unconfirmed for %v, confirmed %v ago", f.UnconfirmedFor(), f.Age())
		}
	})
}
