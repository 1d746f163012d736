// Package fleet manages this instance's connections to the backend servers, polls
// the servers' status, and sets their limits and the routes to them.
package fleet

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"lentilward.org/lentilward/blackboard"
	"lentilward.org/schema/domain"
)

const (
	// tunePeriod is the time between two adjustments of limits and hedge delays.
	tunePeriod = 100 * time.Millisecond
	// closeDelay is how long the connection to a removed server stays open, so
	// that requests in flight can end.
	closeDelay = 30 * time.Second
)

// Fleet tracks all configured backend servers. It is the only writer of the Routes
// cell.
type Fleet struct {
	board         *blackboard.Board
	log           *slog.Logger
	reports       chan report
	servers       map[netip.AddrPort]*trackedServer
	serviceStates map[string]*blackboard.ServiceState
	ticks         int
	// limitRaised holds the servers whose limit was raised to their slots since
	// they became warm.
	limitRaised    map[*blackboard.Server]bool
	queryingWarmth atomic.Bool
	warmthPacer    pacer
	// Wake notifies the request queues that a server may have a free slot.
	Wake func(*blackboard.Server)
	// QueryWarmth asks peers which of the server processes are warm.
	QueryWarmth func(ctx context.Context, processes []ServerProcess) []ServerProcess
}

// trackedServer is one server with its last status; nil before the first. Stop
// closes its connection.
type trackedServer struct {
	server *blackboard.Server
	stop   context.CancelFunc
	status *domain.ServerStatus
}

// report is the result of a status poll, or the loss of the connection.
type report struct {
	server *blackboard.Server
	// status is nil if the connection was lost.
	status *domain.ServerStatus
}

// New returns a fleet without servers; Run adds them.
func New(board *blackboard.Board, log *slog.Logger) *Fleet {
	return &Fleet{
		board:         board,
		log:           log,
		reports:       make(chan report, 64),
		servers:       make(map[netip.AddrPort]*trackedServer),
		serviceStates: make(map[string]*blackboard.ServiceState),
		limitRaised:   make(map[*blackboard.Server]bool),
		Wake:          func(*blackboard.Server) {},

		QueryWarmth: func(context.Context, []ServerProcess) []ServerProcess { return nil },
	}
}

// Run applies changes of the configuration and reports of the servers, and adjusts
// limits and hedge delays, until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	ticker := time.NewTicker(tunePeriod)
	defer ticker.Stop()
	for {
		changed := f.board.Config.Changed()
		if f.board.Routes.Load().Revision != f.board.Config.Load().Revision {
			f.reconcile(ctx)
			f.rebuild()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case r := <-f.reports:
			f.handleReport(r)
		case <-ticker.C:
			f.tune(time.Now())
			f.queryWarmth(ctx, time.Now())
		}
	}
}

// reconcile adds, updates and removes servers so that they match the
// configuration.
func (f *Fleet) reconcile(ctx context.Context) {
	config := f.board.Config.Load()
	configured := make(map[netip.AddrPort]bool)
	for _, service := range config.Services {
		for _, b := range service.BackendServers {
			configured[b.Address] = true
			t := f.servers[b.Address]
			if t != nil && t.server.Service != service.Name {
				f.removeServer(b.Address, t)
				t = nil
			}
			if t == nil {
				t = f.addServer(ctx, service.Name, b)
			}
			t.server.Slots.Store(int32(b.Slots))
			t.server.ColdLimit.Store(int32(b.ColdLimit))
			t.server.WarmRuns.Store(int32(b.WarmRuns))
			f.setInService(t, f.inService(config, b, t.status))
		}
	}
	for address, t := range f.servers {
		if !configured[address] {
			f.removeServer(address, t)
		}
	}
}

func (f *Fleet) addServer(ctx context.Context, service string, b blackboard.BackendServer) *trackedServer {
	ctx, stop := context.WithCancel(ctx)
	s := &blackboard.Server{Address: b.Address, Service: service, DataCentre: b.DataCentre}
	t := &trackedServer{server: s, stop: stop}
	f.servers[b.Address] = t
	w, err := newWatcher(s, f.reports)
	if err != nil {
		f.log.Error("backend server connection could not be created", "address", b.Address, "error", err)
		return t
	}
	go w.run(ctx)
	return t
}

func (f *Fleet) removeServer(address netip.AddrPort, t *trackedServer) {
	t.server.OutOfService.Store(true)
	delete(f.servers, address)
	delete(f.limitRaised, t.server)
	time.AfterFunc(closeDelay, t.stop)
}

// inService reports whether a server may get new work: neither the configuration
// nor its own status withdraws or drains it.
func (f *Fleet) inService(c *blackboard.Config, b blackboard.BackendServer, status *domain.ServerStatus) bool {
	if _, withdrawn := c.Withdrawn[b.DataCentre]; withdrawn || b.Draining {
		return false
	}
	return status == nil || !status.Draining
}

// setInService puts a server into or out of service. A server that returns to
// service is cold.
func (f *Fleet) setInService(t *trackedServer, inService bool) {
	if inService && t.server.OutOfService.Load() {
		t.server.WarmBootID.Store(0)
		t.server.WarmUpReplies.Store(0)
		t.server.Limit.Store(0)
	}
	t.server.OutOfService.Store(!inService)
}

// handleReport records a server's status and rebuilds the routes if its versions
// or its draining state changed.
func (f *Fleet) handleReport(r report) {
	t := f.servers[r.server.Address]
	if t == nil || t.server != r.server {
		return
	}
	if r.status == nil {
		f.log.Info("connection to backend server lost", "service", r.server.Service, "address", r.server.Address)
		return
	}
	old := t.status
	t.status = r.status
	f.Wake(r.server)
	if old != nil && old.Draining == r.status.Draining && sameVersions(old.Versions, r.status.Versions) {
		return
	}
	f.updateInService(t)
	f.rebuild()
}

func (f *Fleet) updateInService(t *trackedServer) {
	config := f.board.Config.Load()
	service := config.Services[t.server.Service]
	if service == nil {
		return
	}
	b, found := lo.Find(service.BackendServers, func(b blackboard.BackendServer) bool {
		return b.Address == t.server.Address
	})
	if found {
		f.setInService(t, f.inService(config, b, t.status))
	}
}

func sameVersions(a, b []domain.ServerVersion) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		same := a[i].Version == b[i].Version && a[i].ShardCount == b[i].ShardCount && len(a[i].Shards) == len(b[i].Shards)
		if !same {
			return false
		}
	}
	return true
}
