package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/mirror"
	"lentilward.org/lentilward/pace"
	"lentilward.org/schema/domain"
)

// Guards against a pace of all servers of a service that is new, as all are at the start of
// an instance, and against a server that is new or restarted beside others and gets all of
// its calls at once.
func TestOnlyServersBesideOthersArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		td := newTestDirectory(t)
		set := pace.NewSet()
		set.Paced = func() bool { return true }
		causes := make(map[string]pace.Cause)
		set.OnStart = func(id, _ string, cause pace.Cause) { causes[id] = cause }
		td.d.NewServer = func(s domain.BackendServer) *balance.Server {
			server := balance.NewServer(s, conn.NewPool(s.Address), false)
			server.SetPaces(set)
			return server
		}
		td.applyRecords(serverRecord("s1", nil))
		time.Sleep(time.Minute)
		td.applyRecords(mirror.Record{Key: "servers/s1", Deleted: true})
		time.Sleep(time.Minute)
		td.applyRecords(serverRecord("s2", nil), serverRecord("s3", nil))
		if len(causes) > 0 {
			t.Fatalf("paced %v, want none: no other server of the service is in service", causes)
		}
		td.applyRecords(serverRecord("s4", nil), serverRecord("s2", map[string]any{"born": 2000}))
		td.applyRecords(serverRecord("s5", map[string]any{"state": "draining"}))
		if len(causes) != 2 || causes["s4"] != pace.Started || causes["s2"] != pace.Restarted {
			t.Fatalf("paced %v, want s4 started and s2 restarted", causes)
		}
		td.applyRecords(serverRecord("s3", map[string]any{"coldRemainingMs": 3000, "sequence": 2}))
		if causes["s3"] != pace.Cold {
			t.Fatalf("paced %v, want s3 cold", causes)
		}
	})
}
