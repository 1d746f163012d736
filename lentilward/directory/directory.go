// Package directory turns the records of the store into what a request needs:
// the configuration in force and the backend servers of each service.
package directory

import (
	"context"
	"log/slog"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/mirror"
	"lentilward.org/schema/domain"
)

const (
	// maintenancePeriod is the time between two looks at limits and idle
	// connections.
	maintenancePeriod = time.Second
	// defaultDrain is that time if the settings do not have it.
	defaultDrain = 3 * time.Second
	// connectionPart is the part of a server's connections that is shared out.
	connectionPart = 0.9
)

// Snapshot is what one request sees from start to end. It is immutable, but
// the services and routes it points to keep measurements.
type Snapshot struct {
	Configuration *domain.Configuration
	Services      map[string]*balance.Service
	Routes        map[string]*balance.Route
}

// Records says how the records of the store are read.
type Records struct {
	ConfigurationKey, ServerPrefix, InstancePrefix string

	Configuration func(value []byte) (*domain.Configuration, error)
	Server        func(key string, value []byte) (domain.BackendServer, error)
	Instance      func(value []byte) (netip.AddrPort, error)
	Withdrawn     func(key string) (dataCentre string, ok bool)
}

// Directory is the controller that writes Current.
type Directory struct {
	// Current is the latest snapshot; nil until a configuration is known.
	Current blackboard.Cell[Snapshot]
	// Instances returns the number of instances that share the connections.
	Instances func() int
	// Troubled returns how long ago a call to the store last failed.
	Troubled func() time.Duration
	// Age returns how long ago the records were last known to be current, by the
	// store or by peers.
	Age func() time.Duration
	// Listed returns how long ago the last whole reading of the store began, and
	// Relist asks for one. Reading tells whether this instance reads the store.
	Listed  func() time.Duration
	Relist  func()
	Reading func() bool
	// NewServer makes the state of a server.
	NewServer func(domain.BackendServer) *balance.Server

	records   Records
	drain     atomic.Int64
	allowance atomic.Pointer[balance.Allowance]
	log       *slog.Logger
	news      chan struct{}
	mu        sync.Mutex
	pending   []mirror.Record

	configuration *domain.Configuration
	withdrawn     map[string]bool
	servers       map[string]*tracked
	services      map[string]*balance.Service
	routes        map[string]*balance.Route
	// readAt is when the last whole reading of the store began whose records were
	// applied.
	readAt time.Time
	// recheckAt is when to look again at servers that may have lapsed; zero if
	// there are none.
	recheckAt time.Time
	// instances are where others can be met, by key.
	instances sync.Map
}

// tracked is a server with what its record says.
type tracked struct {
	domain.BackendServer
	server *balance.Server
	// ended is set while the record is deleted.
	ended bool
	// goneAt is when the server counts as gone; zero while its record stands.
	goneAt time.Time
	// lapsed is set if the record may have ended with a lapse of the store.
	lapsed bool
}

// New returns a directory; Run starts it once its fields are set.
func New(records Records, log *slog.Logger) *Directory {
	d := &Directory{
		records: records, log: log, news: make(chan struct{}, 1),
		withdrawn: make(map[string]bool), servers: make(map[string]*tracked),
		services: make(map[string]*balance.Service), routes: make(map[string]*balance.Route),
	}
	d.allowance.Store(&balance.Allowance{})
	d.SetDrain(0)
	return d
}

// SetDrain replaces the time after which a leaving server must get no new work.
func (d *Directory) SetDrain(t time.Duration) {
	if t <= 0 {
		t = defaultDrain
	}
	d.drain.Store(int64(t))
}

// SetAllowance replaces the allowance of repeats of all services.
func (d *Directory) SetAllowance(a balance.Allowance) { d.allowance.Store(&a) }

// Changed takes in new records. It does not block.
func (d *Directory) Changed(records []mirror.Record) {
	d.mu.Lock()
	d.pending = append(d.pending, records...)
	d.mu.Unlock()
	select {
	case d.news <- struct{}{}:
	default:
	}
}

// Peers returns where other instances can be met.
func (d *Directory) Peers() []netip.AddrPort {
	var peers []netip.AddrPort
	d.instances.Range(func(_, address any) bool {
		peers = append(peers, address.(netip.AddrPort))
		return true
	})
	return peers
}

// Run follows the records until the context ends.
func (d *Directory) Run(ctx context.Context) {
	tick := time.NewTicker(maintenancePeriod)
	defer tick.Stop()
	lapse := time.NewTimer(0)
	defer lapse.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.news:
			d.takeInPending(ctx)
		case <-lapse.C:
			d.takeInPending(ctx)
		case <-tick.C:
			d.maintain(time.Now())
		}
		if next := d.nextGone(); !next.IsZero() {
			lapse.Reset(time.Until(next))
		}
	}
}

// takeInPending applies the records that came meanwhile. What a reading of the
// store has shown counts only for records that were applied after it.
func (d *Directory) takeInPending(ctx context.Context) {
	now := time.Now()
	d.readAt = now.Add(-d.Listed())
	d.mu.Lock()
	records := d.pending
	d.pending = nil
	d.mu.Unlock()
	d.takeIn(ctx, records, now)
}

// takeIn applies records and writes a new snapshot.
func (d *Directory) takeIn(ctx context.Context, records []mirror.Record, now time.Time) {
	var ended []*tracked
	for _, r := range records {
		switch {
		case r.Key == d.records.ConfigurationKey:
			d.configure(r)
		case strings.HasPrefix(r.Key, d.records.ServerPrefix):
			if t := d.takeInServer(ctx, r, now); t != nil {
				ended = append(ended, t)
			}
		case strings.HasPrefix(r.Key, d.records.InstancePrefix):
			d.takeInInstance(r)
		default:
			if dataCentre, ok := d.records.Withdrawn(r.Key); ok {
				d.withdrawn[dataCentre] = !r.Deleted
				d.log.Info("data centre", "name", dataCentre, "withdrawn", !r.Deleted, "revision", r.Revision)
			}
		}
	}
	d.end(ended, now)
	d.rebuild(now)
}

func (d *Directory) configure(r mirror.Record) {
	if r.Deleted {
		d.log.Error("configuration was deleted, the last one stays", "revision", r.Revision)
		return
	}
	c, err := d.records.Configuration(r.Value)
	if err != nil {
		d.log.Error("cannot read the configuration, the last one stays", "key", r.Key, "revision", r.Revision, "error", err)
		return
	}
	if d.configuration != nil && c.Version < d.configuration.Version {
		d.log.Error("configuration is older than the one in force", "version", c.Version, "in-force", d.configuration.Version)
		return
	}
	d.configuration = c
	d.log.Info("configuration in force", "version", c.Version, "revision", r.Revision)
}

func (d *Directory) takeInInstance(r mirror.Record) {
	if r.Deleted {
		d.instances.Delete(r.Key)
		return
	}
	address, err := d.records.Instance(r.Value)
	if err != nil {
		d.log.Error("cannot read the record of an instance", "key", r.Key, "error", err)
		return
	}
	d.instances.Store(r.Key, address)
}

// takeInServer applies the record of a server. It returns the server if its
// record has ended.
func (d *Directory) takeInServer(ctx context.Context, r mirror.Record, now time.Time) *tracked {
	old := d.servers[r.Key]
	if r.Deleted {
		if old != nil {
			old.ended = true
		}
		return old
	}
	b, err := d.records.Server(r.Key, r.Value)
	if err != nil {
		d.log.Warn("cannot read the record of a backend server", "key", r.Key, "revision", r.Revision, "error", err)
		if old != nil {
			old.goneAt = now
		}
		return nil
	}
	if old != nil && (old.Born != b.Born || old.Address != b.Address || old.Service != b.Service) {
		d.remove(r.Key, old, "restarted")
		old = nil
	}
	if old == nil {
		old = &tracked{server: d.NewServer(b)}
		d.servers[r.Key] = old
		d.log.Debug("backend server", "id", b.ID, "service", b.Service, "address", b.Address, "leaving", b.Leaving)
		if !b.Leaving {
			d.limit(old, b)
			go old.server.Pool.Warm(ctx, 1)
		}
	}
	if b.Leaving && !old.Leaving {
		d.log.Info("backend server leaves", "id", b.ID, "service", b.Service, "revision", r.Revision)
	}
	if b.ColdFor > 0 {
		old.server.SetCold(now.Add(b.ColdFor))
	}
	old.BackendServer, old.ended, old.goneAt = b, false, time.Time{}
	return nil
}
