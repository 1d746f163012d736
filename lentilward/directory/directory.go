// Package directory builds the state that requests use from the records of the
// store: the configuration in force and the backend servers of each service.
package directory

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/admission"
	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/mirror"
	"lentilward.org/lentilward/proof"
	"lentilward.org/schema/domain"
)

const (
	// maintenanceInterval is the interval at which connection limits are updated
	// and idle connections are closed.
	maintenanceInterval = time.Second
	// defaultDrainPeriod is the drain period if the settings do not have one.
	defaultDrainPeriod = 3 * time.Second
	// maxLoggedMalformed bounds the malformed parts of one configuration that are
	// logged.
	maxLoggedMalformed = 5
	// connectionShare is the share of a server's maximum number of connections that
	// is divided among the instances.
	connectionShare = 0.9
)

// Snapshot is the state that one request uses from start to end. It is immutable,
// except that the services and routes that it points to collect measurements.
type Snapshot struct {
	Configuration *domain.Configuration
	Services      map[string]*balance.Service
	Routes        map[string]*balance.Route
	// Admissions has for each search route the limit that it shares with the other
	// routes over the same services.
	Admissions map[string]*admission.Limit
	// OutOfService has for each service the known servers that must get no calls.
	OutOfService map[string][]OutOfService
}

// RecordFormat has the keys of the store's records and the functions that decode
// them.
type RecordFormat struct {
	ConfigurationKey, ServerPrefix, InstancePrefix string

	Configuration func(value []byte) (*domain.Configuration, error)
	Server        func(key string, value []byte) (domain.BackendServer, error)
	Instance      func(value []byte) (netip.AddrPort, error)
	Withdrawn     func(key string) (dataCentre string, ok bool)
}

// Directory builds snapshots from the records of the store and publishes them in
// Current.
type Directory struct {
	// Current is the latest snapshot; nil until there is a configuration.
	Current blackboard.Cell[Snapshot]
	// InstanceCount returns the number of instances that share the connections to
	// each server.
	InstanceCount func() int
	// OnState is called with each new snapshot, and once a second, before the limits of
	// connections are set.
	OnState func(s *Snapshot)
	// ConnectionLimit returns the limit of connections to a server, and whether they are
	// opened ahead. ok is false if all instances have the same share.
	ConnectionLimit func(service, dataCentre string, maxConnections int) (limit int, ahead, ok bool)
	// SinceStoreReturn returns how long ago the store was first known to serve again
	// after calls to it had failed; 0 while it is away.
	SinceStoreReturn func() time.Duration
	// RecordAge returns how long ago the store or a peer last confirmed that the
	// records were up to date. Confirm requests another confirmation.
	RecordAge func() time.Duration
	Confirm   func()
	// Rollouts has what rollouts need; nil if versions of servers do not matter.
	Rollouts *Rollouts
	// NewServer creates the state of a server.
	NewServer func(domain.BackendServer) *balance.Server
	// OnProof is called with a time at which the store had no newer records than those that
	// Current shows.
	OnProof func(at proof.Time)

	recordFormat RecordFormat
	drainPeriod  atomic.Int64
	retryBudget  atomic.Pointer[balance.RetryBudget]
	log          *slog.Logger
	wake         chan struct{}
	mu           sync.Mutex
	// pending has the queued records, and pendingKnownAt when the records were last
	// confirmed before the first of them came; applying is set while records that were
	// taken from it are being applied.
	pending        []mirror.Record
	pendingKnownAt time.Time
	applying       bool
	// pendingProof is the latest proof about records that are not all applied.
	pendingProof proof.Time

	configuration *domain.Configuration
	// withdrawn has the withdrawn data centres.
	withdrawn map[string]withdrawal
	servers   map[string]*trackedServer
	// removed has the servers that were removed lately.
	removed map[string]knownServer
	// held has the records of servers that are applied at the end of the hold after a return
	// of the store, by key.
	held map[string]mirror.Record
	// newEraAt is when the store was last seen to have come back from an older copy.
	newEraAt atomic.Pointer[time.Time]
	// storeIsBehind is set while the store's configuration is older than the one in force.
	storeIsBehind atomic.Bool
	// toldConfiguration is the latest version that a peer had in force when it told of a return.
	toldConfiguration atomic.Uint64
	services          map[string]*balance.Service
	routes            map[string]*balance.Route
	admissions        map[string]*admission.Limit
	// confirmedAt is when the records that are applied were last confirmed.
	confirmedAt time.Time
	// recheckAt is when to check again whether due removals after a possible mass
	// expiry are confirmed; zero if all are.
	recheckAt time.Time
	// instances has the peer addresses of the registered instances, by key.
	instances sync.Map
	// toOpen has the servers to which connections are opened ahead once their limits are
	// set.
	toOpen []*balance.Server
}

// trackedServer is a backend server with the contents of its record.
type trackedServer struct {
	domain.BackendServer
	server *balance.Server
	// ahead is set while connections to the server are opened ahead because this instance
	// is a holder.
	ahead bool
	// era is the era of the store in which the record was learned.
	era uint64
	// deleted is set while the server's record is deleted.
	deleted bool
	// removeAt is when the server is due for removal; zero if it is not.
	removeAt time.Time
	// maybeMassExpiry is set if the record may have been deleted by a mass expiry.
	maybeMassExpiry bool
}

// New returns a directory. Its function fields must be set before Run is called.
func New(format RecordFormat, log *slog.Logger) *Directory {
	d := &Directory{
		recordFormat: format, log: log, wake: make(chan struct{}, 1),
		withdrawn: make(map[string]withdrawal), removed: make(map[string]knownServer), held: make(map[string]mirror.Record), servers: make(map[string]*trackedServer),
		services: make(map[string]*balance.Service), routes: make(map[string]*balance.Route),
		admissions: make(map[string]*admission.Limit), pendingProof: proof.None, OnProof: func(proof.Time) {},
	}
	d.OnState = func(*Snapshot) {}
	d.ConnectionLimit = func(string, string, int) (int, bool, bool) { return 0, false, false }
	d.retryBudget.Store(&balance.RetryBudget{})
	d.SetDrainPeriod(0)
	return d
}

// SetDrainPeriod sets the drain period: the time within which a draining or stopped
// server must stop getting new work. 0 or less sets the default.
func (d *Directory) SetDrainPeriod(period time.Duration) {
	if period <= 0 {
		period = defaultDrainPeriod
	}
	d.drainPeriod.Store(int64(period))
}

// SetRetryBudget sets the retry budget that applies to each service.
func (d *Directory) SetRetryBudget(budget balance.RetryBudget) { d.retryBudget.Store(&budget) }

// Enqueue queues changed records for Run to apply. It does not block. RecordAge must not
// count them as confirmed yet.
func (d *Directory) Enqueue(records []mirror.Record) {
	knownAt := time.Now().Add(-d.RecordAge())
	d.mu.Lock()
	if len(d.pending) == 0 {
		d.pendingKnownAt = knownAt
	}
	d.pending = append(d.pending, records...)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// PeerAddresses returns the peer addresses of the registered instances.
func (d *Directory) PeerAddresses() []netip.AddrPort {
	var peers []netip.AddrPort
	d.instances.Range(func(_, address any) bool {
		peers = append(peers, address.(netip.AddrPort))
		return true
	})
	return peers
}

// Run applies changed records and removes servers until the context ends.
func (d *Directory) Run(ctx context.Context) {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	removalTimer := time.NewTimer(0)
	defer removalTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
			d.applyPending(ctx)
		case <-removalTimer.C:
			d.applyPending(ctx)
		case <-tick.C:
			d.maintain(time.Now())
			d.openAhead(ctx)
		}
		if checkAt := d.nextRemovalCheck(); !checkAt.IsZero() {
			removalTimer.Reset(time.Until(checkAt))
		}
	}
}

// applyPending applies the queued records. It sets confirmedAt before it takes them
// from the queue, so that a confirmation counts only once its own records are applied.
func (d *Directory) applyPending(ctx context.Context) {
	now := time.Now()
	d.confirmedAt = now.Add(-d.RecordAge())
	d.mu.Lock()
	records, knownAt, proven := d.pending, d.pendingKnownAt, d.pendingProof
	d.pending, d.applying, d.pendingProof = nil, true, proof.None
	d.mu.Unlock()
	d.applyRecords(ctx, records, knownAt, now)
	d.finishApplying(proven)
}

// HasPending reports whether records are queued that Current does not show yet.
func (d *Directory) HasPending() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.pending) > 0 || d.applying
}

// applyRecords applies records that became known after knownAt, and publishes a new
// snapshot.
func (d *Directory) applyRecords(ctx context.Context, records []mirror.Record, knownAt, now time.Time) {
	var deleted []*trackedServer
	for _, r := range records {
		switch {
		case r.Key == d.recordFormat.ConfigurationKey:
			d.applyConfiguration(r)
		case strings.HasPrefix(r.Key, d.recordFormat.ServerPrefix):
			if tracked := d.applyServer(r, now); tracked != nil {
				deleted = append(deleted, tracked)
			}
		case strings.HasPrefix(r.Key, d.recordFormat.InstancePrefix):
			d.applyInstance(r)
		case d.isRollout(r.Key):
			d.Rollouts.Apply(r, knownAt, now)
		default:
			if dataCentre, ok := d.recordFormat.Withdrawn(r.Key); ok {
				d.applyWithdrawal(dataCentre, r)
			}
		}
	}
	d.scheduleRemovals(deleted, knownAt, now)
	d.endHold(now)
	d.rebuild(now)
	d.openAhead(ctx)
}

func (d *Directory) applyConfiguration(r mirror.Record) {
	if r.Deleted {
		d.log.Error("configuration was deleted; keeping the last one", "era", r.Era, "revision", r.Revision)
		d.storeIsBehind.Store(d.configuration != nil)
		return
	}
	c, err := d.recordFormat.Configuration(r.Value)
	if err != nil {
		d.log.Error("configuration record is malformed; keeping the last configuration", "key", r.Key, "revision", r.Revision, "error", err)
		return
	}
	if d.configuration != nil && c.Version < d.configuration.Version {
		d.log.Warn("configuration is older than the one in force; ignoring it", "version", c.Version, "in-force", d.configuration.Version,
			"era", r.Era, "revision", r.Revision)
		d.storeIsBehind.Store(true)
		return
	}
	d.configuration = c
	d.storeIsBehind.Store(false)
	d.log.Info("configuration in force", "version", c.Version, "era", r.Era, "revision", r.Revision, "malformed", len(c.Malformed))
	for _, err := range c.Malformed[:min(len(c.Malformed), maxLoggedMalformed)] {
		d.log.Error("part of the configuration is malformed; the rest is in force", "version", c.Version, "error", err)
	}
}

func (d *Directory) applyInstance(r mirror.Record) {
	if r.Deleted {
		d.instances.Delete(r.Key)
		return
	}
	address, err := d.recordFormat.Instance(r.Value)
	if err != nil {
		d.log.Error("record of an instance is malformed", "key", r.Key, "error", err)
		return
	}
	d.instances.Store(r.Key, address)
}

// openAhead opens connections to the servers in toOpen in the background.
func (d *Directory) openAhead(ctx context.Context) {
	for _, s := range d.toOpen {
		go openAhead(ctx, s)
	}
	d.toOpen = d.toOpen[:0]
}

// maxOpenDelay bounds the random delay with which a connection is opened ahead, so that
// not all instances connect to a new server at once.
const maxOpenDelay = time.Second

// openAhead opens a connection to a new server ahead of the first call. Where
// connections are scarce, servers in other data centres are connected to when needed:
// most of their parts are gathered there.
func openAhead(ctx context.Context, s *balance.Server) {
	if s.Remote && s.Pool.Limit.Load() <= 1 {
		return
	}
	select {
	case <-time.After(rand.N(maxOpenDelay)):
		s.Pool.OpenIdle(ctx, 1)
	case <-ctx.Done():
	}
}
