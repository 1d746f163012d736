package proof

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/blackboard"
)

// newTestFence returns a fence whose clock is the bubble's, with an offset that tests
// raise as a suspension of the machine does.
func newTestFence(within time.Duration) (f *Fence, suspended *time.Duration) {
	f, suspended = New(), new(time.Duration)
	begun := time.Now()
	f.Clock = func() (Time, error) { return Time(time.Since(begun) + *suspended), nil }
	f.SetWithin(within)
	return f, suspended
}

func (f *Fence) advanceBy(t *testing.T, age time.Duration) {
	now, err := f.Clock()
	if err != nil {
		t.Fatal(err)
	}
	f.Advance(now.Add(-age))
}

// Guards against a clock that is not there on the machine, or stands still.
func TestBootClockGoesOn(t *testing.T) {
	first, err := BootTime()
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Millisecond)
	if second, err := BootTime(); err != nil || second.Sub(first) < 2*time.Millisecond {
		t.Fatalf("%v after %v, %v", second, first, err)
	}
}

// Guards against admitting a request later than the bound after the last proof: while
// cut off, after a suspension that the runtime's clock does not count, without any proof
// after a restart, and without a clock.
func TestFenceRefusesWithoutRecentProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, suspended := newTestFence(5 * time.Second)
		if f.Admits() {
			t.Error("admits before the first proof")
		}
		f.advanceBy(t, 0)
		time.Sleep(5*time.Second - arrivalMargin)
		if !f.Admits() {
			t.Error("refuses within the bound")
		}
		time.Sleep(time.Millisecond)
		if f.Admits() {
			t.Error("admits after the bound")
		}
		f.advanceBy(t, time.Second)
		if !f.Admits() {
			t.Error("refuses after a new proof")
		}
		*suspended += 4 * time.Second
		if f.Admits() {
			t.Error("admits after a suspension")
		}
		f.advanceBy(t, 0)
		f.Clock = func() (Time, error) { return None, errors.New("no clock") }
		if f.Admits() {
			t.Error("admits without a clock")
		}
	})
}

// Guards against a fence where the setting is absent.
func TestFenceWithoutSettingAdmits(t *testing.T) {
	if f := New(); !f.Admits() {
		t.Error("refuses")
	}
}

// Guards against one log line for each request.
func TestChangesOfTheFenceAreReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newTestFence(5 * time.Second)
		var changes []bool
		f.OnChange = func(admits bool, _ time.Duration) { changes = append(changes, admits) }
		for range 3 {
			f.advanceBy(t, 0)
			f.Admits()
			f.Admits()
			time.Sleep(5 * time.Second)
			f.Admits()
			f.Admits()
		}
		if len(changes) != 5 || changes[0] || !changes[1] {
			t.Errorf("changes %v", changes)
		}
	})
}

// Guards against a proof that goes back, or that claims the future because the other
// instance is wrong.
func TestProofNeitherGoesBackNorAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newTestFence(5 * time.Second)
		f.advanceBy(t, -time.Hour)
		time.Sleep(time.Second)
		f.advanceBy(t, 3*time.Second)
		if age := f.Age(); age != time.Second {
			t.Errorf("age %v, want 1s", age)
		}
	})
}

// Guards against an instance that refuses requests sooner than 0.6 of the bound after it has
// lost the store: the proof is then as old as the interval and the calls of two instances
// make it.
func TestInstanceServesForItsShareAfterTheLossOfTheStore(t *testing.T) {
	for _, within := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second} {
		f := New()
		f.SetWithin(within)
		const calls = 300 * time.Millisecond
		served := within - arrivalMargin - f.ReadInterval() - calls
		if served < time.Duration(minServingShare*float64(within)) {
			t.Errorf("within %v: served for %v only", within, served)
		}
	}
}

// Guards against an answer that is taken for newer than it is: it was frozen with the
// process that asked, or the one that answers was suspended.
func TestAnswerProvesNoLaterMomentThanItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, readerSuspended := newTestFence(5 * time.Second)
		asker, askerSuspended := newTestFence(5 * time.Second)
		version := func() blackboard.Version { return blackboard.Version{Revision: 7} }
		reader.advanceBy(t, 0)
		provenAt := time.Now()
		for _, step := range []time.Duration{0, time.Second, 30 * time.Second} {
			time.Sleep(step)
			*askerSuspended += step
			asked, _ := asker.Clock()
			time.Sleep(step)
			answer := reader.Answer(t.Context(), Question{Age: time.Hour}, version)
			*readerSuspended += step
			time.Sleep(step)
			asker.Advance(answer.ProvenAt(asked))
			if age := asker.Age(); answer.Revision != 7 || age < time.Since(provenAt) {
				t.Errorf("age %v, but the proof was made %v ago", age, time.Since(provenAt))
			}
		}
	})
}

// Guards against an instance that has just started and trusts the keys of an older copy of the
// store, because a peer's proof from before the store came back counts for it.
func TestProofOfAnEarlierEraIsNotGivenToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newTestFence(5 * time.Second)
		version := func() blackboard.Version { return blackboard.Version{Era: 2, Revision: 7} }
		f.advanceBy(t, 0)
		f.NoteNewEra()
		if got := f.Answer(t.Context(), Question{Age: time.Hour}, version); got.Revision != 0 {
			t.Errorf("%+v before a proof of this era", got)
		}
		if !f.Admits() {
			t.Error("the proof does not hold for the instance itself any more")
		}
		time.Sleep(time.Second)
		f.advanceBy(t, 0)
		if got := f.Answer(t.Context(), Question{Age: time.Hour}, version); got.Version() != version() || got.Age != 0 {
			t.Errorf("%+v, want the proof of this era", got)
		}
	})
}

// Guards against an answer that does not wait for the proof that was asked for, or not
// only for as long as it may.
func TestAnswerWaitsForYoungerProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newTestFence(5 * time.Second)
		version := func() blackboard.Version { return blackboard.Version{Revision: 7} }
		if got := f.Answer(t.Context(), Question{Age: time.Hour}, version); got.Revision != 0 {
			t.Errorf("%+v without a proof", got)
		}
		f.advanceBy(t, 0)
		time.Sleep(2 * time.Second)
		begun := time.Now()
		time.AfterFunc(300*time.Millisecond, func() { f.advanceBy(t, 1900*time.Millisecond) })
		time.AfterFunc(600*time.Millisecond, func() { f.advanceBy(t, 100*time.Millisecond) })
		got := f.Answer(t.Context(), Question{Age: time.Second, Wait: time.Second}, version)
		if got.Age != -500*time.Millisecond || time.Since(begun) != 600*time.Millisecond {
			t.Errorf("age %v after %v", got.Age, time.Since(begun))
		}
		begun = time.Now()
		if got := f.Answer(t.Context(), Question{Wait: time.Hour}, version); got.Age != 100*time.Millisecond || time.Since(begun) != maxHold {
			t.Errorf("age %v after %v", got.Age, time.Since(begun))
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		f.Answer(ctx, Question{Wait: time.Hour}, version)
	})
}
