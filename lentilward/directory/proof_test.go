package directory

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/mirror"
	"lentilward.org/lentilward/proof"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

// Guards against a proof that counts while the records that it is about, which may withdraw
// a key, are queued or being applied.
func TestProofCountsOnceItsRecordsAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		var mu sync.Mutex
		var proven []proof.Time
		td.d.OnProof = func(at proof.Time) {
			mu.Lock()
			defer mu.Unlock()
			proven = append(proven, at)
		}
		want := func(situation string, times ...proof.Time) {
			t.Helper()
			mu.Lock()
			defer mu.Unlock()
			if len(proven) != len(times) || len(times) > 0 && proven[len(proven)-1] != times[len(times)-1] {
				t.Fatalf("%s: proven %v, want %v", situation, proven, times)
			}
		}
		td.d.Prove(1)
		want("nothing is queued", 1)

		entered, proceed := make(chan struct{}), make(chan struct{})
		decode := td.d.recordFormat.Configuration
		td.d.recordFormat.Configuration = func(value []byte) (*domain.Configuration, error) {
			entered <- struct{}{}
			<-proceed
			return decode(value)
		}
		record := func(version string) mirror.Record {
			return mirror.Record{Key: platform.ConfigurationKey, Value: []byte(`{"version":` + version + `}`), Revision: 9}
		}
		td.d.Enqueue([]mirror.Record{record("4")})
		td.d.Prove(2)
		want("a record is queued or being applied", 1)
		<-entered
		td.d.Prove(3)
		want("a record is being applied", 1)
		td.d.Enqueue([]mirror.Record{record("5")})
		td.d.Prove(4)
		proceed <- struct{}{}
		<-entered
		// The second proof may have come before or after the record was taken.
		mu.Lock()
		for _, at := range proven[1:] {
			if at > 2 {
				t.Errorf("a proof counts before the second record is applied: %v", proven)
			}
		}
		proven = proven[:1]
		mu.Unlock()
		proceed <- struct{}{}
		synctest.Wait()
		want("all records are applied", 1, 4)
		if got := td.d.Current.Load().Configuration.Version; got != 5 {
			t.Errorf("version %d", got)
		}
	})
}

// Guards against a directory that stands still, and whose proofs count nevertheless.
func TestProofDoesNotCountWhileTheDirectoryStandsStill(t *testing.T) {
	d := New(RecordFormat{}, nil)
	d.RecordAge = func() time.Duration { return 0 }
	d.OnProof = func(at proof.Time) { t.Errorf("proof of %v counts", at) }
	d.Enqueue([]mirror.Record{{Key: "k", Revision: 1}})
	for at := range proof.Time(5) {
		d.Prove(at)
	}
}
