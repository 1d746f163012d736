package directory

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/mirror"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

// testDirectory is a directory with the keys and decoders of the platform, whose
// records and view of the store the tests set.
type testDirectory struct {
	t        *testing.T
	d        *Directory
	revision uint64
	// sinceStoreReturn is what the directory's SinceStoreReturn returns, in nanoseconds.
	sinceStoreReturn atomic.Int64
	// confirmedAt is when the store or a peer has last confirmed the records.
	confirmedAt atomic.Pointer[time.Time]
}

// confirm records that the store or a peer has confirmed the records.
func (td *testDirectory) confirm() {
	now := time.Now()
	td.confirmedAt.Store(&now)
}

// newTestDirectory starts a directory on a configuration with the services a and b,
// of which only a is on a route.
func newTestDirectory(t *testing.T) *testDirectory {
	td := &testDirectory{t: t}
	td.sinceStoreReturn.Store(int64(time.Hour))
	td.confirm()
	td.d = New(RecordFormat{
		ConfigurationKey: platform.ConfigurationKey, ServerPrefix: platform.ServerPrefix,
		InstancePrefix: platform.InstancePrefix, Configuration: platform.DecodeConfiguration,
		Server: platform.DecodeServer, Instance: platform.DecodeInstance, Withdrawn: platform.DecodeWithdrawn,
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	td.d.InstanceCount = func() int { return 3 }
	td.d.RecordAge = func() time.Duration { return time.Since(*td.confirmedAt.Load()) }
	td.d.Confirm = func() {}
	td.d.SinceStoreReturn = func() time.Duration { return time.Duration(td.sinceStoreReturn.Load()) }
	td.d.NewServer = func(s domain.BackendServer) *balance.Server {
		return balance.NewServer(s, conn.NewPool(s.Address), false)
	}
	go td.d.Run(t.Context())
	td.configure(3, "a")
	return td
}

// applyRecords passes records to the directory and waits until it has applied them.
func (td *testDirectory) applyRecords(records ...mirror.Record) {
	for i := range records {
		td.revision++
		records[i].Revision = td.revision
	}
	td.d.Enqueue(records)
	synctest.Wait()
}

func (td *testDirectory) configure(version int, service string) {
	td.applyRecords(mirror.Record{Key: "op/config", Value: fmt.Appendf(nil, `{"version":%d,
		"routes":[{"name":"r","host":"h","prefix":"/","kind":"safe","service":%q,"maxAttempts":2}],
		"services":[{"name":"a","maxConnections":30},{"name":"b","maxConnections":30}]}`, version, service)})
}

// serverRecord returns the record of a backend server; changes replace its fields.
func serverRecord(id string, changes map[string]any) mirror.Record {
	fields := map[string]any{
		"service": "a", "address": "10.0.0.1:80", "zone": "z1", "version": "v1", "slots": 3, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": 1000,
	}
	for name, value := range changes {
		fields[name] = value
	}
	data, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return mirror.Record{Key: "servers/" + id, Value: data}
}

func (td *testDirectory) usableServers() []string {
	var ids []string
	for _, s := range td.d.Current.Load().Services["a"].Servers() {
		if !s.IsOutOfService() {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

func (td *testDirectory) wantUsable(n int, situation string) {
	td.t.Helper()
	if got := td.usableServers(); len(got) != n {
		td.t.Fatalf("%s: usable servers %v, want %d", situation, got, n)
	}
}

func TestDrainingAndRemovedServersGetNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		td.applyRecords(serverRecord("i-1", nil), serverRecord("i-2", nil))
		td.wantUsable(2, "two ready")
		td.applyRecords(serverRecord("i-1", map[string]any{"state": "draining"}))
		td.wantUsable(1, "one draining")
		td.applyRecords(mirror.Record{Key: "servers/i-1", Deleted: true})
		td.wantUsable(1, "its record was deleted")
	})
}

// Guards against a snapshot that is taken for current while records are queued, or while
// they are being applied.
func TestHasPendingUntilRecordsAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		if td.d.HasPending() {
			t.Fatal("pending although all records are applied")
		}
		proceed := make(chan struct{})
		newServer := td.d.NewServer
		td.d.NewServer = func(b domain.BackendServer) *balance.Server {
			<-proceed
			return newServer(b)
		}
		td.d.Enqueue([]mirror.Record{serverRecord("i-1", nil)})
		synctest.Wait()
		if !td.d.HasPending() {
			t.Error("not pending while the record is being applied")
		}
		close(proceed)
		synctest.Wait()
		if td.d.HasPending() {
			t.Error("pending although the record is applied")
		}
		idle := New(RecordFormat{}, td.d.log)
		idle.RecordAge = func() time.Duration { return 0 }
		idle.Enqueue([]mirror.Record{serverRecord("i-2", nil)})
		if !idle.HasPending() {
			t.Error("not pending although a record is queued")
		}
	})
}

// Guards against a server that stays out of service for good after its drain was
// cancelled, and against one that comes back because its record changed otherwise.
func TestLeavingServerReturnsOnlyIfItsDrainIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		td.applyRecords(serverRecord("i-1", nil))
		service := td.d.Current.Load().Services["a"]
		service.RecordLeaving(service.Servers()[0])
		td.applyRecords(serverRecord("i-1", map[string]any{"coldRemainingMs": 5}))
		td.wantUsable(0, "its record changed after it had said that it is leaving")
		td.applyRecords(serverRecord("i-1", map[string]any{"state": "draining"}))
		td.wantUsable(0, "draining")
		td.applyRecords(serverRecord("i-1", nil))
		td.wantUsable(1, "ready again")
	})
}

// Guards against the removal of a server whose record is deleted and written again
// within one listing. An instance that listed the store after a mass expiry once
// lost 50 servers in this way.
func TestRecordDeletedAndRecreatedInOneListingKeepsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		td.applyRecords(serverRecord("i-1", nil), serverRecord("i-2", nil))
		td.sinceStoreReturn.Store(0)
		td.applyRecords(mirror.Record{Key: "servers/i-1", Deleted: true}, mirror.Record{Key: "servers/i-2", Deleted: true},
			serverRecord("i-1", map[string]any{"sequence": 2}))
		time.Sleep(massExpiryDelay + 50*time.Millisecond)
		td.confirm()
		time.Sleep(time.Second)
		td.wantUsable(1, "one was written again in the same batch")
	})
}

// Guards against removing a server at once, or too late, when its record is deleted
// while it is not draining: it may register again with its next heartbeat.
func TestServerWithoutRecordIsRemovedAfterDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		td.d.SetDrainPeriod(2 * time.Second)
		td.applyRecords(serverRecord("i-1", nil), serverRecord("i-2", nil))
		td.applyRecords(mirror.Record{Key: "servers/i-1", Deleted: true})
		td.applyRecords(mirror.Record{Key: "servers/i-2", Deleted: true})
		time.Sleep(time.Second)
		td.wantUsable(2, "records just deleted")
		td.applyRecords(serverRecord("i-2", nil))
		time.Sleep(500 * time.Millisecond)
		td.wantUsable(1, "one registered again")
	})
}

// Guards against a confirmation that lets a server be removed although it came with the
// server's record, which is still queued.
func TestRecordsAreAppliedBeforeTheyConfirmRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		td.applyRecords(serverRecord("i-1", nil), serverRecord("i-2", nil))
		td.sinceStoreReturn.Store(0)
		td.applyRecords(mirror.Record{Key: "servers/i-1", Deleted: true}, mirror.Record{Key: "servers/i-2", Deleted: true})
		time.Sleep(massExpiryDelay + 50*time.Millisecond)
		returned := serverRecord("i-1", nil)
		returned.Revision = 100
		td.d.mu.Lock()
		td.d.pending = append(td.d.pending, returned)
		td.d.mu.Unlock()
		td.confirm()
		time.Sleep(time.Second)
		td.wantUsable(1, "one record came with the confirmation")
	})
}

func TestWithdrawnDataCentreGetsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		td.applyRecords(serverRecord("i-1", nil), serverRecord("i-2", map[string]any{"zone": "z2"}))
		td.applyRecords(mirror.Record{Key: "op/evacuate/z1", Value: []byte("{}")})
		td.wantUsable(1, "z1 is withdrawn")
		td.applyRecords(serverRecord("i-3", nil))
		td.wantUsable(1, "a new server of z1")
		td.applyRecords(mirror.Record{Key: "op/evacuate/z1", Deleted: true})
		td.wantUsable(3, "z1 is no longer withdrawn")
	})
}

// Guards against removing servers at once whose leases expired because the store
// could not renew them: a live server registers again within two seconds.
func TestMassExpiryDoesNotRemoveServersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		td.applyRecords(serverRecord("i-1", nil), serverRecord("i-2", nil))
		td.sinceStoreReturn.Store(0)
		td.applyRecords(mirror.Record{Key: "servers/i-1", Deleted: true}, mirror.Record{Key: "servers/i-2", Deleted: true})
		td.wantUsable(2, "records just deleted after a failure of the store")
		time.Sleep(time.Second)
		td.applyRecords(serverRecord("i-1", nil))
		time.Sleep(5 * time.Second)
		td.wantUsable(2, "one registered again, not confirmed since")
		td.confirm()
		time.Sleep(time.Second)
		td.wantUsable(1, "the other is still missing")
	})
}

// Guards against removing a server unconfirmed after a possible mass expiry, and against
// waiting for a confirmation without a request for one.
func TestMassExpiryIsConfirmedOnRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		var requests atomic.Int32
		td.d.Confirm = func() { requests.Add(1) }
		td.applyRecords(serverRecord("i-1", nil))
		td.sinceStoreReturn.Store(0)
		td.applyRecords(mirror.Record{Key: "servers/i-1", Deleted: true})
		time.Sleep(massExpiryDelay - time.Millisecond)
		td.confirm()
		if n := requests.Load(); n != 0 {
			t.Fatalf("%d requests for a confirmation before the removal is due", n)
		}
		time.Sleep(8 * time.Second)
		td.wantUsable(1, "no confirmation since the removal is due")
		if requests.Load() == 0 {
			t.Fatal("no request for a confirmation")
		}
		td.confirm()
		time.Sleep(2 * confirmInterval)
		td.wantUsable(0, "confirmed by the store or a peer")
	})
}

// Guards against taking the deletion of one server for a mass expiry although the store
// has been back for longer than live servers need to register again.
func TestDeletionLongAfterAnOutageIsNoMassExpiry(t *testing.T) {
	for sinceReturn, removedAfter := range map[time.Duration]time.Duration{
		massExpiryDelay: 1650 * time.Millisecond, time.Second: 1650 * time.Millisecond,
		500 * time.Millisecond: massExpiryDelay - 500*time.Millisecond, 0: massExpiryDelay,
	} {
		t.Run(sinceReturn.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				td := newTestDirectory(t)
				td.d.Confirm = td.confirm
				td.applyRecords(serverRecord("i-1", nil))
				td.sinceStoreReturn.Store(int64(sinceReturn))
				td.applyRecords(mirror.Record{Key: "servers/i-1", Deleted: true})
				time.Sleep(removedAfter - time.Millisecond)
				td.wantUsable(1, "removal is not due")
				time.Sleep(2 * confirmInterval)
				td.wantUsable(0, "removal is due")
			})
		})
	}
}

// Guards against keeping a server that has left for the whole delay when its deletion
// became known late.
func TestDeletionLearnedLateIsAppliedWithinDrainPeriod(t *testing.T) {
	for _, late := range []time.Duration{0, time.Second, 2 * time.Second, 5 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				td := newTestDirectory(t)
				td.applyRecords(serverRecord("i-1", nil), serverRecord("i-2", nil))
				time.Sleep(time.Second)
				td.confirm()
				deletedAt := time.Now()
				time.Sleep(late)
				td.applyRecords(mirror.Record{Key: "servers/i-1", Deleted: true})
				td.confirm()
				time.Sleep(max(time.Millisecond, time.Until(deletedAt.Add(defaultDrainPeriod-propagationReservePeriod+time.Millisecond))))
				td.wantUsable(1, "deleted before the drain period")
			})
		})
	}
}

// Guards against keeping a stopped server in use after its drain period because its
// record may have been deleted by a mass expiry. The deletion takes
// propagationDelay to arrive.
func TestMassExpiryDelayStaysWithinDrainPeriod(t *testing.T) {
	const propagationDelay = 400 * time.Millisecond
	for _, drain := range []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond, 3 * time.Second, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			td := newTestDirectory(t)
			td.d.SetDrainPeriod(drain)
			td.d.Confirm = td.confirm
			td.applyRecords(serverRecord("i-1", nil))
			td.sinceStoreReturn.Store(0)
			td.applyRecords(mirror.Record{Key: "servers/i-1", Deleted: true})
			td.wantUsable(1, "record just deleted")
			time.Sleep(drain - propagationDelay)
			td.wantUsable(0, fmt.Sprintf("drain period of %v", drain))
		})
	}
}

// Guards against a mass expiry that goes unnoticed because none of this instance's
// own calls to the store failed.
func TestManyDeletionsAtOnceCountAsMassExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		var records, deletions []mirror.Record
		for i := range 8 {
			records = append(records, serverRecord(fmt.Sprint("i-", i), nil))
			deletions = append(deletions, mirror.Record{Key: fmt.Sprint("servers/i-", i), Deleted: true})
		}
		td.applyRecords(records...)
		td.applyRecords(deletions[:4]...)
		td.wantUsable(8, "half of all records deleted at once")
		time.Sleep(massExpiryDelay + 10*time.Millisecond)
		td.confirm()
		time.Sleep(time.Second)
		td.wantUsable(4, "removals confirmed")
		td.applyRecords(deletions[4])
		time.Sleep(2 * time.Second)
		td.wantUsable(3, "a single record deleted")
	})
}

func TestRestartedServerWithSameIDIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		td.applyRecords(serverRecord("i-1", nil))
		old := td.d.Current.Load().Services["a"].Servers()[0]
		td.applyRecords(serverRecord("i-1", map[string]any{"sequence": 9}))
		if td.d.Current.Load().Services["a"].Servers()[0] != old {
			t.Fatal("a heartbeat replaced the server")
		}
		td.applyRecords(serverRecord("i-1", map[string]any{"born": 2000}))
		if restarted := td.d.Current.Load().Services["a"].Servers()[0]; restarted == old || !old.IsOutOfService() {
			t.Fatal("the restarted server was not replaced, or the old one is still in use")
		}
	})
}

// Guards against a malformed record that adds a server or hides another.
func TestMalformedRecordsHideNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		td.applyRecords(serverRecord("i-1", nil))
		for i, malformed := range []mirror.Record{
			{Value: []byte("\xff{")},
			serverRecord("", map[string]any{"state": "unknown"}),
			serverRecord("", map[string]any{"slots": "many"}), serverRecord("", map[string]any{"service": nil}),
			serverRecord("", map[string]any{"address": "nowhere"}), serverRecord("", map[string]any{"sequence": nil}),
			serverRecord("", map[string]any{"born": "yesterday"}), serverRecord("", map[string]any{"zone": 7}),
		} {
			malformed.Key = fmt.Sprint("servers/x-", i)
			td.applyRecords(malformed)
			td.wantUsable(1, string(malformed.Value))
		}
	})
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		td.configure(7, "b")
		td.configure(5, "a")
		td.applyRecords(mirror.Record{Key: "op/config", Value: []byte("{")})
		td.applyRecords(mirror.Record{Key: "op/config", Deleted: true})
		s := td.d.Current.Load()
		if s.Configuration.Version != 7 || s.Configuration.Match("h", "/x").TrafficSplit[0].Service != "b" {
			t.Fatalf("version %d in force, want 7", s.Configuration.Version)
		}
	})
}

// Guards against instances that together open more connections to a server than it
// allows.
func TestConnectionLimitIsSharedAmongInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		td.applyRecords(serverRecord("i-1", nil))
		if limit := td.d.Current.Load().Services["a"].Servers()[0].Pool.Limit.Load(); limit != 9 {
			t.Fatalf("limit %d of 30 for 3 instances, want 9", limit)
		}
	})
}

func TestInstanceRecordsBecomePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		value, err := platform.EncodeInstance(netip.MustParseAddrPort("10.0.0.7:90"))
		if err != nil {
			t.Fatal(err)
		}
		td.applyRecords(mirror.Record{Key: "lentilward/instances/x", Value: value}, mirror.Record{Key: "lentilward/instances/y", Value: []byte("?")})
		if peers := td.d.PeerAddresses(); len(peers) != 1 || peers[0].Port() != 90 {
			t.Fatalf("peers %v", peers)
		}
		td.applyRecords(mirror.Record{Key: "lentilward/instances/x", Deleted: true})
		if peers := td.d.PeerAddresses(); len(peers) != 0 {
			t.Fatalf("peers %v", peers)
		}
	})
}
