package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/mirror"
	"lentilward.org/lentilward/proof"
)

// inEra sets the era in which records were learned.
func inEra(era uint64, records ...mirror.Record) []mirror.Record {
	for i := range records {
		records[i].Era = era
	}
	return records
}

// Guards against a server that is used again because the store came back from a copy made
// before the server drained or left (DRAIN).
func TestServersThatDrainOrHaveLeftAreNotTakenFromACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		ready := func() []mirror.Record {
			return []mirror.Record{serverRecord("drains", nil), serverRecord("left", nil), serverRecord("stays", nil)}
		}
		td.applyRecords(inEra(1, ready()...)...)
		td.applyRecords(inEra(1, serverRecord("drains", map[string]any{"state": "draining", "sequence": 4}),
			serverRecord("left", map[string]any{"state": "draining", "sequence": 4}))...)
		td.applyRecords(inEra(1, mirror.Record{Key: "servers/left", Deleted: true})...)
		td.wantUsable(1, "one drains and one has left")

		td.d.NoteNewEra()
		td.applyRecords(inEra(2, ready()...)...)
		time.Sleep(time.Second)
		td.wantUsable(1, "the copy has both as ready")

		td.applyRecords(inEra(2, serverRecord("drains", map[string]any{"state": "draining", "sequence": 6}))...)
		td.wantUsable(1, "the draining server has written its record again")
		td.applyRecords(inEra(2, serverRecord("left", map[string]any{"born": 2000}))...)
		td.wantUsable(2, "another process under the ID of the one that left")
		td.applyRecords(inEra(2, serverRecord("drains", map[string]any{"sequence": 7}))...)
		td.wantUsable(3, "the server does not drain any more")
	})
}

// Guards against a data centre that gets work again because the store came back from a copy
// made before the withdrawal (EVAC), and against one that stays withdrawn for good.
func TestWithdrawalIsKeptWhileTheStoreHasLostIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		withdrawn, lifted := mirror.Record{Key: "op/evacuate/z1", Value: []byte("{}")}, mirror.Record{Key: "op/evacuate/z1", Deleted: true}
		td.applyRecords(inEra(1, serverRecord("i-1", nil), withdrawn)...)
		td.d.NoteNewEra()
		td.applyRecords(inEra(2, lifted)...)
		time.Sleep(withdrawalHold - time.Second)
		td.wantUsable(0, "the copy does not have the withdrawal")
		td.applyRecords(inEra(2, withdrawn)...)
		time.Sleep(2 * withdrawalHold)
		td.wantUsable(0, "the operator has written the withdrawal again")
		td.applyRecords(inEra(2, lifted)...)
		td.wantUsable(1, "the operator has lifted the withdrawal")

		td.applyRecords(inEra(2, withdrawn)...)
		td.d.NoteNewEra()
		td.applyRecords(inEra(3, lifted)...)
		time.Sleep(withdrawalHold + time.Second)
		td.wantUsable(1, "the operator has not written the withdrawal again")
	})
}

// Guards against keys that count as confirmed by a copy of the store from before their
// withdrawal.
func TestCopyProvesNothingOfWhatWasWithdrawnSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		var proven []proof.Time
		td.d.OnProof = func(at proof.Time) { proven = append(proven, at) }
		want := func(n int, situation string) {
			t.Helper()
			td.d.Prove(proof.Time(len(proven) + 1))
			if len(proven) != n {
				t.Fatalf("%s: %d proofs, want %d", situation, len(proven), n)
			}
		}
		td.configure(7, "a")
		want(1, "the configuration in force is that of the store")
		td.d.NoteNewEra()
		td.configure(5, "a")
		time.Sleep(proofHold)
		want(1, "the store has an older configuration")
		td.configure(7, "a")
		want(2, "the operator has written it again")
		td.d.NoteNewEra()
		want(2, "the store has just come back")
		time.Sleep(proofHold)
		want(3, "the operator had time to write it again")
	})
}
