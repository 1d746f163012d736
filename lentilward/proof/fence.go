package proof

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/blackboard"
)

const (
	// WatchGap is how long the watches of the store may hear nothing, older changes
	// included, before its history is compacted: a second, and a little more.
	WatchGap = 1100 * time.Millisecond
	// arrivalMargin is the part of the time within which a withdrawal must hold that is not
	// used, since clocks run differently.
	arrivalMargin = 100 * time.Millisecond
	// minServingShare is the share of that time for which an instance must go on serving
	// after it has lost its paths to the store.
	minServingShare = 0.6
	// readReserve is the part of the remaining time that is left for calls to the store and
	// to peers. A machine with a tenth of a core stands still for 90 ms at a time, and a
	// slow store takes 120 ms for a call.
	readReserve = 400 * time.Millisecond
	// minReadInterval bounds the calls to the store where within is short.
	minReadInterval = 200 * time.Millisecond
	// maxHold bounds how long the answer to a question waits for a newer proof.
	maxHold = 2 * time.Second
	// neverAge is the age of a proof that does not exist.
	neverAge = 24 * time.Hour
)

// Fence refuses requests that arrive too long after the last proof. Its proof is the
// latest moment at which the store is known to have had no newer records than those in
// use.
type Fence struct {
	// Clock reads the boot clock.
	Clock func() (Time, error)
	// OnChange is called when the fence begins to refuse requests or to admit them again,
	// with the age of the proof.
	OnChange func(admits bool, age time.Duration)

	within  atomic.Int64
	refuses atomic.Bool
	mu      sync.Mutex
	proven  blackboard.Cell[Time]
	// outdated is the last proof about records of an earlier era of the store; None if there
	// is none. It holds for this instance, but not for others with the records of this era.
	outdated Time
}

// New returns a fence without a proof, which admits all requests until SetWithin is called.
func New() *Fence {
	return &Fence{Clock: BootTime, OnChange: func(bool, time.Duration) {}, outdated: None}
}

// SetWithin sets the time within which a withdrawal must hold; with 0 the fence admits all
// requests.
func (f *Fence) SetWithin(within time.Duration) { f.within.Store(int64(max(0, within))) }

// Within returns the time within which a withdrawal must hold; 0 if there is no bound.
func (f *Fence) Within() time.Duration { return time.Duration(f.within.Load()) }

// ReadInterval returns the age of a proof at which those that read the store need another
// one, so that an instance serves for minServingShare after the loss of the store.
func (f *Fence) ReadInterval() time.Duration {
	return max(minReadInterval, f.Within()-f.UrgentAge()-arrivalMargin-readReserve)
}

// UrgentAge returns the age of a proof from which on another one is urgent.
func (f *Fence) UrgentAge() time.Duration {
	return time.Duration(minServingShare * float64(f.Within()))
}

// Advance records a proof. It has no effect if there is a later one.
func (f *Fence) Advance(at Time) {
	now, err := f.Clock()
	if err != nil {
		return
	}
	at = min(at, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if last := f.proven.Load(); last == nil || at > *last {
		f.proven.Store(&at)
	}
}

// NoteNewEra records that the store has come back from an older copy: what was proven before
// is not about its records.
func (f *Fence) NoteNewEra() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if proven := f.proven.Load(); proven != nil {
		f.outdated = *proven
	}
}

// lastProof returns the last proof about the records of the present era; nil if there is none.
func (f *Fence) lastProof() *Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if proven := f.proven.Load(); proven != nil && *proven > f.outdated {
		return proven
	}
	return nil
}

// Age returns how long ago the proof was; a day or more if there is none or the clock
// can't be read.
func (f *Fence) Age() time.Duration {
	now, err := f.Clock()
	if err != nil {
		return neverAge
	}
	return f.ageAt(now)
}

func (f *Fence) ageAt(now Time) time.Duration {
	if proven := f.proven.Load(); proven != nil {
		return now.Sub(*proven)
	}
	return neverAge
}

// Admits reports whether a request that has just arrived may be admitted by the snapshot
// that is in force after the call.
func (f *Fence) Admits() bool {
	within := f.Within()
	if within == 0 {
		return true
	}
	// The clock is read before the proof: a request that is held up in between was sent
	// before it.
	age := f.Age()
	admits := age <= within-arrivalMargin
	if f.refuses.CompareAndSwap(admits, !admits) {
		f.OnChange(admits, age)
	}
	return admits
}

// Question asks another instance for its proof.
type Question struct {
	// Age asks for a proof that is younger, as of the arrival of the question, and Wait is
	// how long the answer may wait for one.
	Age  time.Duration `cbor:"age"`
	Wait time.Duration `cbor:"wait"`
}

// Answer is an instance's proof.
type Answer struct {
	// Revision and Era are the version of the records that the proof is about, or a later
	// one; 0 if there is no proof.
	Revision uint64 `cbor:"revision"`
	Era      uint64 `cbor:"era,omitempty"`
	// Age is how long before the arrival of the question the proof was. It is negative if
	// the proof was made while the answer waited.
	Age time.Duration `cbor:"age"`
}

// Version returns the version of the records that the proof is about, or a later one; zero if
// there is no proof.
func (a Answer) Version() blackboard.Version {
	return blackboard.Version{Era: a.Era, Revision: a.Revision}
}

// ProvenAt returns the time of the proof on the clock of the instance that has asked at
// that time. It is never later than the proof itself, since the question arrived after it
// was asked.
func (a Answer) ProvenAt(asked Time) Time { return asked.Add(-a.Age) }

// Answer answers a question once the proof is young enough, the wait is over or the
// context ends. version returns the version of the records.
func (f *Fence) Answer(ctx context.Context, q Question, version func() blackboard.Version) Answer {
	arrived, err := f.Clock()
	if err != nil {
		return Answer{}
	}
	timer := time.NewTimer(min(q.Wait, maxHold))
	defer timer.Stop()
	for {
		changed := f.proven.Changed()
		proven := f.lastProof()
		if proven != nil && arrived.Sub(*proven) < q.Age {
			break
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		break
	}
	proven := f.lastProof()
	if proven == nil {
		return Answer{}
	}
	// The proof is read first, so that the version is at least the one that it is about.
	v := version()
	return Answer{Revision: v.Revision, Era: v.Era, Age: arrived.Sub(*proven)}
}

// Changed returns a channel that is closed when there is a newer proof.
func (f *Fence) Changed() <-chan struct{} { return f.proven.Changed() }
