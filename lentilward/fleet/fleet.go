// Package fleet keeps what an instance knows of the backend servers: their
// connections, versions, limits and warmth.
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
	// tunePeriod is the time between two adjustments of limits and delays.
	tunePeriod = 100 * time.Millisecond
	// closeDelay leaves requests in flight time to end before a removed
	// server's connection is closed.
	closeDelay = 30 * time.Second
)

// Fleet is the controller that writes the Routes cell.
type Fleet struct {
	board   *blackboard.Board
	log     *slog.Logger
	reports chan report
	servers map[netip.AddrPort]*tracked
	states  map[string]*blackboard.ServiceState
	ticks   int
	// warm has the servers whose limit was raised since they became warm.
	warm   map[*blackboard.Server]bool
	asking atomic.Bool
	warmth pacer
	// Wake tells the queues that a server may have room.
	Wake func(*blackboard.Server)
	// AskWarmth asks peers which of the servers they know to be warm.
	AskWarmth func(ctx context.Context, question []Warmth) []Warmth
}

// tracked is one server with its connection and its last report.
type tracked struct {
	server *blackboard.Server
	stop   context.CancelFunc
	status *domain.ServerStatus
}

// report is news from one server's watcher.
type report struct {
	server *blackboard.Server
	// status is nil when the connection was lost.
	status *domain.ServerStatus
}

// New returns a fleet; Run starts it.
func New(board *blackboard.Board, log *slog.Logger) *Fleet {
	return &Fleet{
		board:   board,
		log:     log,
		reports: make(chan report, 64),
		servers: make(map[netip.AddrPort]*tracked),
		states:  make(map[string]*blackboard.ServiceState),
		warm:    make(map[*blackboard.Server]bool),
		Wake:    func(*blackboard.Server) {},

		AskWarmth: func(context.Context, []Warmth) []Warmth { return nil },
	}
}

// Run follows the configuration until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	tick := time.NewTicker(tunePeriod)
	defer tick.Stop()
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
			f.receive(r)
		case <-tick.C:
			f.tune(time.Now())
			f.learnWarmth(ctx, time.Now())
		}
	}
}

// reconcile makes the set of servers that of the configuration.
func (f *Fleet) reconcile(ctx context.Context) {
	config := f.board.Config.Load()
	wanted := make(map[netip.AddrPort]bool)
	for _, service := range config.Services {
		for _, b := range service.BackendServers {
			wanted[b.Address] = true
			t := f.servers[b.Address]
			if t != nil && t.server.Service != service.Name {
				f.remove(b.Address, t)
				t = nil
			}
			if t == nil {
				t = f.add(ctx, service.Name, b)
			}
			t.server.Slots.Store(int32(b.Slots))
			t.server.ColdLimit.Store(int32(b.ColdLimit))
			t.server.WarmRuns.Store(int32(b.WarmRuns))
			f.setService(t, f.inService(config, b, t.status))
		}
	}
	for address, t := range f.servers {
		if !wanted[address] {
			f.remove(address, t)
		}
	}
}

func (f *Fleet) add(ctx context.Context, service string, b blackboard.BackendServer) *tracked {
	ctx, stop := context.WithCancel(ctx)
	s := &blackboard.Server{Address: b.Address, Service: service, DataCentre: b.DataCentre}
	t := &tracked{server: s, stop: stop}
	f.servers[b.Address] = t
	w, err := newWatcher(s, f.reports)
	if err != nil {
		f.log.Error("cannot dial backend server", "address", b.Address, "error", err)
		return t
	}
	go w.run(ctx)
	return t
}

func (f *Fleet) remove(address netip.AddrPort, t *tracked) {
	t.server.OutOfService.Store(true)
	delete(f.servers, address)
	delete(f.warm, t.server)
	time.AfterFunc(closeDelay, t.stop)
}

// inService tells whether the configuration and the server itself allow new
// work.
func (f *Fleet) inService(c *blackboard.Config, b blackboard.BackendServer, status *domain.ServerStatus) bool {
	if _, withdrawn := c.Withdrawn[b.DataCentre]; withdrawn || b.Draining {
		return false
	}
	return status == nil || !status.Draining
}

// setService takes a server in or out of service. One that comes back is cold.
func (f *Fleet) setService(t *tracked, in bool) {
	if in && t.server.OutOfService.Load() {
		t.server.WarmBootID.Store(0)
		t.server.Proven.Store(0)
		t.server.Limit.Store(0)
	}
	t.server.OutOfService.Store(!in)
}

// receive takes in news of a server and rebuilds the routes if they change.
func (f *Fleet) receive(r report) {
	t := f.servers[r.server.Address]
	if t == nil || t.server != r.server {
		return
	}
	if r.status == nil {
		f.log.Info("backend server lost", "service", r.server.Service, "address", r.server.Address)
		return
	}
	old := t.status
	t.status = r.status
	f.Wake(r.server)
	if old != nil && old.Draining == r.status.Draining && sameVersions(old.Versions, r.status.Versions) {
		return
	}
	f.reconcileOne(t)
	f.rebuild()
}

func (f *Fleet) reconcileOne(t *tracked) {
	config := f.board.Config.Load()
	service := config.Services[t.server.Service]
	if service == nil {
		return
	}
	b, found := lo.Find(service.BackendServers, func(b blackboard.BackendServer) bool {
		return b.Address == t.server.Address
	})
	if found {
		f.setService(t, f.inService(config, b, t.status))
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
