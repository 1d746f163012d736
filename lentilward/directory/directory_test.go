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

// bed is a directory with records of a platform.
type bed struct {
	t        *testing.T
	d        *Directory
	revision uint64
	troubled atomic.Int64
	// age is how old the records are.
	age atomic.Int64
	// listed is when the store was last read as a whole, by an instance that
	// reads it.
	listed  atomic.Pointer[time.Time]
	readers atomic.Bool
}

// list notes that the store was read as a whole.
func (b *bed) list() {
	now := time.Now()
	b.listed.Store(&now)
}

// newBed starts a directory on a configuration with services a and b, of which
// only a is on a route.
func newBed(t *testing.T) *bed {
	b := &bed{t: t}
	b.troubled.Store(int64(time.Hour))
	b.age.Store(int64(time.Hour))
	b.listed.Store(&time.Time{})
	b.d = New(Records{
		ConfigurationKey: platform.ConfigurationKey, ServerPrefix: platform.ServerPrefix,
		InstancePrefix: platform.InstancePrefix, Configuration: platform.DecodeConfiguration,
		Server: platform.DecodeServer, Instance: platform.DecodeInstance, Withdrawn: platform.Withdrawn,
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	b.d.Instances = func() int { return 3 }
	b.readers.Store(true)
	b.d.Listed = func() time.Duration { return time.Since(*b.listed.Load()) }

	b.d.Age = func() time.Duration { return time.Duration(b.age.Load()) }
	b.d.Relist = func() {}
	b.d.Reading = func() bool { return b.readers.Load() }
	b.d.Troubled = func() time.Duration { return time.Duration(b.troubled.Load()) }
	b.d.NewServer = func(s domain.BackendServer) *balance.Server {
		return balance.NewServer(s, conn.NewPool(s.Address), false)
	}
	go b.d.Run(t.Context())
	b.configure(3, "a")
	return b
}

// put writes a record and lets the directory take it in.
func (b *bed) put(records ...mirror.Record) {
	for i := range records {
		b.revision++
		records[i].Revision = b.revision
	}
	b.d.Changed(records)
	synctest.Wait()
}

func (b *bed) configure(version int, service string) {
	b.put(mirror.Record{Key: "op/config", Value: fmt.Appendf(nil, `{"version":%d,
		"routes":[{"name":"r","host":"h","prefix":"/","kind":"safe","service":%q,"maxAttempts":2}],
		"services":[{"name":"a","maxConnections":30},{"name":"b","maxConnections":30}]}`, version, service)})
}

// server is a record of a backend server; changes replace its fields.
func server(id string, changes map[string]any) mirror.Record {
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

func (b *bed) usable() []string {
	var ids []string
	for _, s := range b.d.Current.Load().Services["a"].Servers() {
		if !s.Out() {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

func (b *bed) want(n int, why string) {
	b.t.Helper()
	if got := b.usable(); len(got) != n {
		b.t.Fatalf("%s: usable servers %v, want %d", why, got, n)
	}
}

func TestServersComeAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.put(server("i-1", nil), server("i-2", nil))
		b.want(2, "two ready")
		b.put(server("i-1", map[string]any{"state": "draining"}))
		b.want(1, "one drains")
		b.put(mirror.Record{Key: "servers/i-1", Deleted: true})
		b.want(1, "it is gone")
	})
}

// A record that ends and comes back in one reading has not ended. (Aarwang,
// trouble-3: an instance that read the store after a lapse lost 50 servers.)
func TestRecordThatEndsAndComesBackAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.put(server("i-1", nil), server("i-2", nil))
		b.troubled.Store(int64(time.Second))
		b.put(mirror.Record{Key: "servers/i-1", Deleted: true}, mirror.Record{Key: "servers/i-2", Deleted: true},
			server("i-1", map[string]any{"sequence": 2}))
		time.Sleep(lapseWait + 50*time.Millisecond)
		b.list()
		time.Sleep(time.Second)
		b.want(1, "one came back in the same reading")
	})
}

// A record that ends without a word is believed in time, but not at once: the
// server may be back with its next sign of life.
func TestVanishedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.d.SetDrain(2 * time.Second)
		b.put(server("i-1", nil), server("i-2", nil))
		b.put(mirror.Record{Key: "servers/i-1", Deleted: true})
		b.put(mirror.Record{Key: "servers/i-2", Deleted: true})
		time.Sleep(time.Second)
		b.want(2, "just vanished")
		b.put(server("i-2", nil))
		time.Sleep(500 * time.Millisecond)
		b.want(1, "one came back")
	})
}

// Records that a reading has brought are applied before it confirms anything.
func TestReadingIsAppliedBeforeItConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.put(server("i-1", nil), server("i-2", nil))
		b.troubled.Store(int64(time.Second))
		b.put(mirror.Record{Key: "servers/i-1", Deleted: true}, mirror.Record{Key: "servers/i-2", Deleted: true})
		time.Sleep(lapseWait + 50*time.Millisecond)
		back := server("i-1", nil)
		back.Revision = 100
		b.d.mu.Lock()
		b.d.pending = append(b.d.pending, back)
		b.d.mu.Unlock()
		b.list()
		time.Sleep(time.Second)
		b.want(1, "one was in the reading")
	})
}

func TestWithdrawnDataCentreGetsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.put(server("i-1", nil), server("i-2", map[string]any{"zone": "z2"}))
		b.put(mirror.Record{Key: "op/evacuate/z1", Value: []byte("{}")})
		b.want(1, "z1 is withdrawn")
		b.put(server("i-3", nil))
		b.want(1, "a new server of z1")
		b.put(mirror.Record{Key: "op/evacuate/z1", Deleted: true})
		b.want(3, "z1 is back")
	})
}

// Records that end with a lapse of the store are believed two seconds later.
func TestLapseIsNotBelievedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.put(server("i-1", nil), server("i-2", nil))
		b.troubled.Store(int64(time.Second))
		b.put(mirror.Record{Key: "servers/i-1", Deleted: true}, mirror.Record{Key: "servers/i-2", Deleted: true})
		b.want(2, "just lapsed")
		time.Sleep(time.Second)
		b.put(server("i-1", nil))
		time.Sleep(5 * time.Second)
		b.want(2, "one came back, the other was not read since")
		b.list()
		time.Sleep(time.Second)
		b.want(1, "the other is missing still")
	})
}

// An instance that learns from peers waits a while longer.
func TestLapseWithoutReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.put(server("i-1", nil))
		b.readers.Store(false)
		b.troubled.Store(int64(time.Second))
		b.put(mirror.Record{Key: "servers/i-1", Deleted: true})
		time.Sleep(lapseWait + confirmWait - time.Second)
		b.want(1, "peers may still tell of it")
		time.Sleep(2 * time.Second)
		b.want(0, "they did not")
	})
}

// An instance that should read the store but is not answered goes by what peers
// know to be current.
func TestLapseWhileCutOffFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.put(server("i-1", nil))
		b.troubled.Store(int64(time.Second))
		b.put(mirror.Record{Key: "servers/i-1", Deleted: true})
		time.Sleep(lapseWait + confirmWait + time.Second)
		b.want(1, "nobody vouches for the records")
		b.age.Store(int64(500 * time.Millisecond))
		time.Sleep(time.Second)
		b.want(0, "peers know them to be current")
	})
}

// A server that is gone for good gets no work later than the bound for servers
// that leave, also if its record may have lapsed; the news of it takes a while.
func TestLapseKeepsToTheBound(t *testing.T) {
	const news = 400 * time.Millisecond
	for _, drain := range []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond, 3 * time.Second, 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			b := newBed(t)
			b.d.SetDrain(drain)
			b.d.Relist = b.list
			b.put(server("i-1", nil))
			b.troubled.Store(int64(time.Second))
			b.put(mirror.Record{Key: "servers/i-1", Deleted: true})
			b.want(1, "just ended")
			time.Sleep(drain - news)
			b.want(0, fmt.Sprintf("bound of %v", drain))
		})
	}
}

// Many records that end at once are a lapse, though this instance saw no
// trouble.
func TestMassLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		var records, ends []mirror.Record
		for i := range 8 {
			records = append(records, server(fmt.Sprint("i-", i), nil))
			ends = append(ends, mirror.Record{Key: fmt.Sprint("servers/i-", i), Deleted: true})
		}
		b.put(records...)
		b.put(ends[:4]...)
		b.want(8, "half of all at once")
		time.Sleep(lapseWait + 10*time.Millisecond)
		b.list()
		time.Sleep(time.Second)
		b.want(4, "a while later")
		b.put(ends[4])
		time.Sleep(2 * time.Second)
		b.want(3, "one alone")
	})
}

func TestSameIDWithAnotherBirthIsAnotherServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.put(server("i-1", nil))
		old := b.d.Current.Load().Services["a"].Servers()[0]
		b.put(server("i-1", map[string]any{"sequence": 9}))
		if b.d.Current.Load().Services["a"].Servers()[0] != old {
			t.Fatal("a beat made another server")
		}
		b.put(server("i-1", map[string]any{"born": 2000}))
		if fresh := b.d.Current.Load().Services["a"].Servers()[0]; fresh == old || !old.Out() {
			t.Fatal("the process before still counts")
		}
	})
}

// A record that cannot be read names no server and hides no other.
func TestBrokenRecordsHideNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.put(server("i-1", nil))
		for i, broken := range []mirror.Record{
			{Value: []byte("\xff{")},
			server("", map[string]any{"state": "dancing"}),
			server("", map[string]any{"slots": "many"}), server("", map[string]any{"service": nil}),
			server("", map[string]any{"address": "nowhere"}), server("", map[string]any{"sequence": nil}),
			server("", map[string]any{"born": "yesterday"}), server("", map[string]any{"zone": 7}),
		} {
			broken.Key = fmt.Sprint("servers/x-", i)
			b.put(broken)
			b.want(1, string(broken.Value))
		}
	})
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.configure(7, "b")
		b.configure(5, "a")
		b.put(mirror.Record{Key: "op/config", Value: []byte("{")})
		b.put(mirror.Record{Key: "op/config", Deleted: true})
		s := b.d.Current.Load()
		if s.Configuration.Version != 7 || s.Configuration.Match("h", "/x").Split[0].Service != "b" {
			t.Fatalf("version %d in force, want 7", s.Configuration.Version)
		}
	})
}

// Connections are shared out over the instances.
func TestConnectionsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.put(server("i-1", nil))
		if limit := b.d.Current.Load().Services["a"].Servers()[0].Pool.Limit.Load(); limit != 9 {
			t.Fatalf("limit %d of 30 for 3 instances, want 9", limit)
		}
	})
}

func TestInstancesAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		value, err := platform.EncodeInstance(netip.MustParseAddrPort("10.0.0.7:90"))
		if err != nil {
			t.Fatal(err)
		}
		b.put(mirror.Record{Key: "lentilward/instances/x", Value: value}, mirror.Record{Key: "lentilward/instances/y", Value: []byte("?")})
		if peers := b.d.Peers(); len(peers) != 1 || peers[0].Port() != 90 {
			t.Fatalf("peers %v", peers)
		}
		b.put(mirror.Record{Key: "lentilward/instances/x", Deleted: true})
		if peers := b.d.Peers(); len(peers) != 0 {
			t.Fatalf("peers %v", peers)
		}
	})
}
