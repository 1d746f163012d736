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

// copied marks records of the first listing of an era.
func copied(records []mirror.Record) []mirror.Record {
	for i := range records {
		records[i].Copied = true
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

		td.returnAs(2, ready()...)
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
		time.Sleep(returnHold - time.Second)
		td.wantUsable(0, "the copy does not have the withdrawal")
		td.applyRecords(inEra(2, withdrawn)...)
		time.Sleep(2 * returnHold)
		td.wantUsable(0, "the operator has written the withdrawal again")
		td.applyRecords(inEra(2, lifted)...)
		td.wantUsable(1, "the operator has lifted the withdrawal")

		td.applyRecords(inEra(2, withdrawn)...)
		td.returnAs(3, lifted)
		td.passTime(returnHold + time.Second)
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

// passTime lets time pass, in which the store confirms its records.
func (td *testDirectory) passTime(d time.Duration) {
	for range d / (500 * time.Millisecond) {
		time.Sleep(500 * time.Millisecond)
		td.confirm()
		td.sinceStoreReturn.Add(int64(500 * time.Millisecond))
	}
}

// returnAs lets the store come back with records as the era.
func (td *testDirectory) returnAs(era uint64, records ...mirror.Record) {
	td.d.NoteNewEra()
	td.sinceStoreReturn.Store(0)
	td.applyRecords(copied(inEra(era, records...))...)
}

// Guards against live servers that are not used any more after a return of the store, because
// their records, which did not change, count as older than what is known of them.
func TestLiveServersAreUsedAfterReturn(t *testing.T) {
	one := func() mirror.Record { return serverRecord("1", nil) }
	two := func() mirror.Record { return serverRecord("2", map[string]any{"sequence": 5}) }
	deleted := func(id string) mirror.Record { return mirror.Record{Key: "servers/" + id, Deleted: true} }
	for name, play := range map[string]func(td *testDirectory){
		"missing from the copy and soon written again": func(td *testDirectory) {
			td.returnAs(2, one(), deleted("2"))
			td.passTime(time.Second)
			td.applyRecords(inEra(2, two())...)
		},
		"missing from the copy and written again after its removal": func(td *testDirectory) {
			td.returnAs(2, one(), deleted("2"))
			td.passTime(4 * time.Second)
			td.wantUsable(1, "missing for 4 s")
			td.applyRecords(inEra(2, two())...)
		},
		"kept after a mass expiry": func(td *testDirectory) {
			td.applyRecords(inEra(1, serverRecord("3", nil))...)
			td.applyRecords(inEra(1, deleted("1"), deleted("2"), deleted("3"))...)
			td.returnAs(2, one(), two())
			td.wantUsable(3, "the third may be written again")
		},
		"removed for silence": func(td *testDirectory) {
			td.applyRecords(inEra(1, deleted("2"))...)
			td.passTime(3 * time.Second)
			td.returnAs(2, one(), two())
			td.wantUsable(1, "the record may be from before its deletion")
			td.passTime(returnHold)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				td := newTestDirectory(t)
				td.applyRecords(inEra(1, one(), two())...)
				play(td)
				td.passTime(5 * time.Second)
				td.wantUsable(2, "the store has both")
				time.Sleep(10 * time.Minute)
				td.wantUsable(2, "10 minutes later")
			})
		})
	}
}

// Guards against a server that drains and is used after a return of the store, because its
// report is not newer than what is known of it (DRAIN).
func TestDrainingRecordIsNewsAfterReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		td.applyRecords(inEra(1, serverRecord("1", map[string]any{"sequence": 7}))...)
		td.returnAs(2, serverRecord("1", map[string]any{"sequence": 5}))
		td.wantUsable(1, "the copy has it")
		td.applyRecords(inEra(2, serverRecord("1", map[string]any{"sequence": 7, "state": "draining"}))...)
		td.wantUsable(0, "it drains")
	})
}

// Guards against the address of a process that has ended, which the store's copy names, in
// use in place of that of its successor; and against a successor with an earlier start, after a
// change of the clock, that is ignored for good.
func TestCopyDoesNotBringBackAnEarlierProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		address := func() string {
			td.wantUsable(1, "one server")
			synctest.Wait()
			return td.d.servers["servers/1"].Address.String()
		}
		earlier := func() mirror.Record { return serverRecord("1", map[string]any{"born": 900, "address": "10.0.0.9:80"}) }
		td.applyRecords(inEra(1, serverRecord("1", nil))...)
		td.returnAs(2, earlier())
		td.passTime(returnHold / 2)
		if got := address(); got != "10.0.0.1:80" {
			t.Errorf("address %s of the process before is in use", got)
		}
		td.passTime(returnHold)
		if got := address(); got != "10.0.0.9:80" {
			t.Errorf("address %s, although the store has had another for %v", got, returnHold)
		}
	})
}

// Guards against a data centre that gets work because the hold of its withdrawal began at the
// first of several returns (EVAC).
func TestWithdrawalIsKeptOverSeveralReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		td.applyRecords(inEra(1, serverRecord("1", nil), mirror.Record{Key: "op/evacuate/z1", Value: []byte("{}")})...)
		td.returnAs(2, serverRecord("1", nil), mirror.Record{Key: "op/evacuate/z1", Deleted: true})
		for era := uint64(3); era < 5; era++ {
			td.passTime(returnHold / 2)
			td.returnAs(era, serverRecord("1", nil))
		}
		td.passTime(returnHold / 2)
		td.wantUsable(0, "half of the hold after the third return")
	})
}
