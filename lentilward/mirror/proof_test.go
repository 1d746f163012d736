package mirror

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/proof"
)

// newProvingFollower returns a follower whose boot clock is the bubble's, and what its last
// answer proved.
func newProvingFollower(s *fakeStore) (f *Follower, proven *proof.Time) {
	f, proven = newTestFollower(s), new(proof.Time)
	begun := time.Now()
	f.Clock = func() (proof.Time, error) { return proof.Time(time.Since(begun)), nil }
	f.OnProof = func(at proof.Time) { *proven = at }
	f.MaxProofWait = func() time.Duration { return 800 * time.Millisecond }
	return f, proven
}

// Guards against an answer that proves more than the moment of its question: a listing, a
// watch with changes, one without that ends in time, early, or is read late because the
// process was frozen. The watches may have heard nothing for a second.
func TestAnswersProveTheMomentOfTheirQuestions(t *testing.T) {
	const wait = 800 * time.Millisecond
	for name, c := range map[string]struct {
		changed bool
		takes   time.Duration
		want    time.Duration
	}{
		"changes":                  {changed: true, takes: 500 * time.Millisecond},
		"changes, read late":       {changed: true, takes: time.Minute},
		"none":                     {takes: wait, want: wait - time.Second},
		"none, read late":          {takes: time.Minute, want: wait - time.Second},
		"none, returned too early": {takes: wait / 2, want: -time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{records: make(map[string]Record)}
				s.write("a", false)
				f, proven := newProvingFollower(s)
				list := f.List
				f.List = func(ctx context.Context, after string) (*Page, error) {
					time.Sleep(time.Second)
					return list(ctx, after)
				}
				time.Sleep(time.Hour)
				asked, _ := f.Clock()
				if err := f.sync(t.Context()); err != nil || *proven != asked {
					t.Fatalf("a listing proved %v, want %v; %v", *proven, asked, err)
				}
				f.Watch = func(context.Context, uint64, time.Duration) (*Page, error) {
					time.Sleep(c.takes)
					if c.changed {
						return &Page{Revision: 9, Records: []Record{{Key: "b", Revision: 9}}}, nil
					}
					return &Page{Revision: 1}, nil
				}
				asked, _ = f.Clock()
				if err := f.watch(t.Context(), wait); err != nil || proven.Sub(asked) != c.want {
					t.Fatalf("proved %v after the question, want %v; %v", proven.Sub(asked), c.want, err)
				}
			})
		})
	}
}

// Guards against a failed call, a compacted history or a clock that can't be read that
// prove something.
func TestFailuresProveNothing(t *testing.T) {
	s := &fakeStore{records: make(map[string]Record)}
	s.write("a", false)
	f, _ := newProvingFollower(s)
	f.OnProof = func(at proof.Time) { t.Errorf("proved %v", at) }
	for _, failure := range []error{errors.New("refused"), ErrCompacted} {
		f.Watch = func(context.Context, uint64, time.Duration) (*Page, error) { return nil, failure }
		if err := f.watch(t.Context(), time.Second); !errors.Is(err, failure) {
			t.Error(err)
		}
	}
	f.Clock = func() (proof.Time, error) { return 0, errors.New("no clock") }
	f.Watch = func(context.Context, uint64, time.Duration) (*Page, error) { return &Page{Revision: 1}, nil }
	if err := f.watch(t.Context(), time.Second); err != nil {
		t.Error(err)
	}
	if err := f.listAll(t.Context()); err != nil {
		t.Error(err)
	}
}

// Guards against longer watches than proofs allow, and against more calls to the store where
// none are needed.
func TestWatchesAreShorterOnlyWhereProofsAreNeeded(t *testing.T) {
	f, _ := newProvingFollower(&fakeStore{})
	f.MaxWatchWait = 2500 * time.Millisecond
	for range 1000 {
		if wait := f.watchWait(); wait > 800*time.Millisecond || wait < 700*time.Millisecond {
			t.Fatalf("waits %v where proofs are needed", wait)
		}
	}
	f.MaxProofWait = func() time.Duration { return 0 }
	total := time.Duration(0)
	for range 1000 {
		total += f.watchWait()
	}
	if mean := total / 1000; mean < 2*time.Second {
		t.Errorf("waits %v on average where none are needed", mean)
	}
}
