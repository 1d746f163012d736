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
	"lentilward.org/lentilward/memory"
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
	// Memory bounds the bytes of replies of servers that are held. nil sets no bound.
	Memory *memory.Limit
	// Wake notifies the request queues that a server may have a free slot.
	Wake func(*blackboard.Server)
	// QueryWarmth asks peers which of the server processes are warm.
	QueryWarmth func(ctx context.Context, processes []ServerProcess) []ServerProcess
}

// trackedServer is one server. status is its last one, or nil before the first;
// stop closes the connection.
type trackedServer struct {
	server *blackboard.Server
	stop   context.CancelFunc
	status *domain.ServerStatus
}

// report is the result of a status poll, or says that the connection was lost.
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
			tracked := f.servers[b.Address]
			if tracked != nil && tracked.server.Service != service.Name {
				f.removeServer(b.Address, tracked)
				tracked = nil
			}
			if tracked == nil {
				tracked = f.addServer(ctx, service.Name, b)
			}
			tracked.server.Slots.Store(int32(b.Slots))
			tracked.server.ColdLimit.Store(int32(b.ColdLimit))
			tracked.server.WarmRuns.Store(int32(b.WarmRuns))
			f.setInService(tracked, f.isInService(config, b, tracked.status))
		}
	}
	for address, tracked := range f.servers {
		if !configured[address] {
			f.removeServer(address, tracked)
		}
	}
}

func (f *Fleet) addServer(ctx context.Context, service string, b blackboard.BackendServer) *trackedServer {
	ctx, stop := context.WithCancel(ctx)
	s := &blackboard.Server{Address: b.Address, Service: service, DataCentre: b.DataCentre}
	tracked := &trackedServer{server: s, stop: stop}
	f.servers[b.Address] = tracked
	w, err := newWatcher(s, f.Memory, f.reports)
	if err != nil {
		f.log.Error("backend server connection could not be created", "address", b.Address, "error", err)
		return tracked
	}
	go w.run(ctx)
	return tracked
}

func (f *Fleet) removeServer(address netip.AddrPort, tracked *trackedServer) {
	tracked.server.OutOfService.Store(true)
	delete(f.servers, address)
	delete(f.limitRaised, tracked.server)
	time.AfterFunc(closeDelay, tracked.stop)
}

// isInService reports whether a server may get new work: neither the configuration
// nor its own status withdraws or drains it.
func (f *Fleet) isInService(c *blackboard.Config, b blackboard.BackendServer, status *domain.ServerStatus) bool {
	if _, withdrawn := c.Withdrawn[b.DataCentre]; withdrawn || b.Draining {
		return false
	}
	return status == nil || !status.Draining
}

// setInService puts a server into service or takes it out. A server that returns to
// service is cold.
func (f *Fleet) setInService(tracked *trackedServer, inService bool) {
	if inService && tracked.server.OutOfService.Load() {
		tracked.server.WarmBootID.Store(0)
		tracked.server.WarmUpReplies.Store(0)
		tracked.server.Limit.Store(0)
	}
	tracked.server.OutOfService.Store(!inService)
}

// handleReport records a server's status and rebuilds the routes if its versions
// or its draining state changed.
func (f *Fleet) handleReport(r report) {
	tracked := f.servers[r.server.Address]
	if tracked == nil || tracked.server != r.server {
		return
	}
	if r.status == nil {
		f.log.Info("connection to backend server lost", "service", r.server.Service, "address", r.server.Address)
		return
	}
	old := tracked.status
	tracked.status = r.status
	f.Wake(r.server)
	if old != nil && old.Draining == r.status.Draining && sameVersions(old.Versions, r.status.Versions) {
		return
	}
	f.updateInService(tracked)
	f.rebuild()
}

func (f *Fleet) updateInService(tracked *trackedServer) {
	config := f.board.Config.Load()
	service := config.Services[tracked.server.Service]
	if service == nil {
		return
	}
	b, found := lo.Find(service.BackendServers, func(b blackboard.BackendServer) bool {
		return b.Address == tracked.server.Address
	})
	if found {
		f.setInService(tracked, f.isInService(config, b, tracked.status))
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
