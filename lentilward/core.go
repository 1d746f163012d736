package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/samber/do/v2"
	"google.golang.org/grpc"

	"lentilward.org/lentilward/backend"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/caller"
	"lentilward.org/lentilward/callerrpc"
	"lentilward.org/lentilward/enlist"
	"lentilward.org/lentilward/fleet"
	"lentilward.org/lentilward/member"
	"lentilward.org/lentilward/monitor"
	"lentilward.org/lentilward/operator"
	"lentilward.org/lentilward/peer"
	"lentilward.org/lentilward/store"
	"lentilward.org/lentilward/suspect"
	"lentilward.org/platform"
	"lentilward.org/schema/callerpb"
	"lentilward.org/schema/operatorpb"
)

/*
callers    -> caller.Server -> backend.Runner -> backend servers
                   |                 |
                   v                 v
               blackboard: Config Routes Members Suspects Own
                   ^         ^         ^          ^
                   |         |         |          |
operators -> operator.Server | member.Table  suspect.List
platform  -> store.Watcher|         ^          ^
                        fleet.Fleet    |          |
peers     ----------------------- peer.Server, peer.Links
*/

// Core runs the components of one instance.
type Core struct {
	options  *Options
	log      *slog.Logger
	board    *blackboard.Board
	fleet    *fleet.Fleet
	runner   *backend.Runner
	watcher  *store.Watcher
	list     store.List
	enlister *enlist.Enlister
	table    *member.Table
	prober   *member.Prober
	links    *peer.Links
	permits  *peer.Permits
	peers    *peer.Server
	suspects *suspect.List
	callers  *caller.Server
	operator *operator.Server
	metrics  *monitor.Metrics
	traffic  *peer.Traffic
	// listed are the seeds when the platform's list was last read.
	listed atomic.Pointer[[]netip.AddrPort]
}

// newCore collects the components and joins their function fields.
func newCore(i do.Injector) (*Core, error) {
	client, err := do.Invoke[*platform.Store](i)
	if err != nil {
		return nil, err
	}
	c := &Core{
		options:  do.MustInvoke[*Options](i),
		log:      do.MustInvoke[*slog.Logger](i),
		board:    do.MustInvoke[*blackboard.Board](i),
		fleet:    do.MustInvoke[*fleet.Fleet](i),
		runner:   do.MustInvoke[*backend.Runner](i),
		watcher:  do.MustInvoke[*store.Watcher](i),
		list:     store.NewList(client),
		enlister: do.MustInvoke[*enlist.Enlister](i),
		table:    do.MustInvoke[*member.Table](i),
		prober:   do.MustInvoke[*member.Prober](i),
		links:    do.MustInvoke[*peer.Links](i),
		permits:  do.MustInvoke[*peer.Permits](i),
		peers:    do.MustInvoke[*peer.Server](i),
		suspects: do.MustInvoke[*suspect.List](i),
		callers:  do.MustInvoke[*caller.Server](i),
		operator: do.MustInvoke[*operator.Server](i),
		metrics:  do.MustInvoke[*monitor.Metrics](i),
		traffic:  do.MustInvoke[*peer.Traffic](i),
	}
	c.join()
	c.registerGauges(&client.Calls)
	return c, nil
}

// join connects the components that call each other.
func (c *Core) join() {
	c.runner.Permit = c.permit
	c.permits.Admit = c.runner.Admit
	c.fleet.AskWarmth = c.askWarmth
	c.prober.Ping = c.links.Ping
	c.prober.PingVia = c.links.PingVia
	c.prober.Seeds = c.seeds
	c.prober.Newer = c.fetch
	began := time.Now()
	c.prober.Eager = func() bool { return len(c.board.Members.Load().Others()) == 0 && time.Since(began) < meetTime }
	c.peers.Ping = func(ctx context.Context, g member.Gossip) member.Gossip {
		c.prober.Heard(context.WithoutCancel(ctx), g)
		return c.table.Answer(g.From.Name)
	}
	c.peers.Probe = func(ctx context.Context, target netip.AddrPort) error {
		_, err := c.links.Ping(ctx, target, c.table.Gossip())
		return err
	}
	c.peers.Suspects = c.suspects.Merge
	c.peers.Records = func(uint64) peer.Knowledge { return peer.Knowledge{Suspects: c.suspects.All()} }
	c.suspects.Tell = func(ctx context.Context, s []blackboard.Suspect) {
		c.links.TellSuspects(ctx, c.board.Members.Load().Others(), s)
	}
	c.watcher.Rank = func() int { return c.board.Members.Load().Rank("config") }
	c.watcher.Installed = c.prober.Nudge
	c.operator.Installed = c.prober.Nudge
}

// registerGauges shows what other components count.
func (c *Core) registerGauges(platformCalls *atomic.Int64) {
	c.metrics.Gauge("lentilward_config_revision", "Revision of the configuration in force.",
		func() float64 { return float64(c.board.Config.Load().Revision) })
	c.metrics.Gauge("lentilward_members", "Instances that take work.",
		func() float64 { return float64(c.board.Members.Load().Live()) })
	c.metrics.Gauge("lentilward_peer_sent_bytes", "Bytes sent to peers.",
		func() float64 { return float64(c.traffic.Sent.Load()) })
	c.metrics.Gauge("lentilward_peer_received_bytes", "Bytes received from peers.",
		func() float64 { return float64(c.traffic.Received.Load()) })
	c.metrics.Gauge("lentilward_peer_malformed_frames", "Frames from peers that could not be read.",
		func() float64 { return float64(c.traffic.Malformed.Load()) })
	c.metrics.Gauge("lentilward_platform_calls", "Calls to the platform.",
		func() float64 { return float64(platformCalls.Load()) })
}

// permit asks the owner of a cold server for a place.
func (c *Core) permit(ctx context.Context, s *blackboard.Server, boot uint64, class blackboard.Class) (backend.Permit, error) {
	members := c.board.Members.Load()
	owner, found := members.Owner(s.Address.String())
	if !found || owner.Name == members.Self {
		return backend.Permit{}, backend.ErrNoServer
	}
	return c.links.Request(ctx, owner, s, boot, class)
}

// askWarmth asks a few peers which servers they know to be warm.
func (c *Core) askWarmth(ctx context.Context, question []fleet.Warmth) []fleet.Warmth {
	var warm []fleet.Warmth
	peers := c.board.Members.Load().Others()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, m := range peers[:min(len(peers), warmthPeers)] {
		known, err := c.links.Warmth(ctx, m.Address, question)
		if err != nil {
			continue
		}
		warm = append(warm, known...)
	}
	return warm
}

// ask asks a peer what it knows beside the configuration.
func (c *Core) ask(ctx context.Context, address netip.AddrPort) (peer.Knowledge, error) {
	return c.links.Records(ctx, address, 0)
}

// seeds lists the addresses of the settings and of the platform's list. While
// the platform is away its last list stands.
func (c *Core) seeds(ctx context.Context) []netip.AddrPort {
	ctx, cancel := context.WithTimeout(ctx, firstContact)
	defer cancel()
	list, err := c.list(ctx)
	if err != nil {
		c.log.Debug("cannot read the list of instances", "error", err)
		if last := c.listed.Load(); last != nil {
			return *last
		}
	}
	seeds := append([]netip.AddrPort(nil), c.options.Peers...)
	for _, address := range list {
		if address != c.options.Listen.Peers {
			seeds = append(seeds, address)
		}
	}
	if err == nil {
		c.listed.Store(&seeds)
	}
	return seeds
}

// fetch asks a peer for a newer configuration.
func (c *Core) fetch(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, firstContact)
	defer cancel()
	for range 2 {
		have := c.board.Config.Load()
		delta, err := c.links.Delta(ctx, address, have.Revision)
		if err != nil {
			c.log.Debug("cannot read the configuration of a peer", "peer", address, "error", err)
			return
		}
		next := have.Apply(delta)
		if next != nil && c.board.Install(next) {
			c.log.Info("configuration in force", "revision", next.Revision, "source", "peer")
			c.prober.Nudge()
			return
		}
	}
}

// Run serves until stop ends, then stops gracefully.
func (c *Core) Run(life, stop context.Context) error {
	callers, operators := c.grpcServers()
	peers := &http.Server{Handler: c.peers.Handler(), ReadHeaderTimeout: headerTimeout}
	monitors := &http.Server{Handler: monitor.Handler(c.board, c.metrics), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 4)
	for _, l := range []struct {
		address netip.AddrPort
		serve   func(net.Listener) error
	}{
		{c.options.Listen.Callers, callers.Serve},
		{c.options.Listen.Operators, operators.Serve},
		{c.options.Listen.Peers, peers.Serve},
		{c.options.Listen.Monitor, monitors.Serve},
	} {
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return merry.Wrap(err)
		}
		go func() { failed <- l.serve(listener) }()
	}
	go c.fleet.Run(life)
	go c.prober.Run(life)
	go c.watcher.Run(life)
	go introduction{board: c.board, suspects: c.suspects, log: c.log, ask: c.ask}.run(life)
	listed, leave := context.WithCancel(life)
	defer leave()
	go c.enlister.Run(listed)
	go c.awaitReady(life)
	select {
	case err := <-failed:
		return merry.Wrap(err)
	case <-stop.Done():
	}
	leave()
	c.stop(callers, operators)
	c.links.Close()
	peers.Close()
	monitors.Close()
	return nil
}

func (c *Core) grpcServers() (callers, operators *grpc.Server) {
	callers = grpc.NewServer(grpc.MaxRecvMsgSize(maxMessage))
	callerpb.RegisterCallerServer(callers, callerrpc.New(c.callers.Search, c.callers.Execute))
	operators = grpc.NewServer(grpc.MaxRecvMsgSize(maxMessage))
	operatorpb.RegisterOperatorServer(operators, c.operator)
	return callers, operators
}

// awaitReady takes callers once a configuration is in force and its services
// can be reached. After a while it does not wait for the services any more.
func (c *Core) awaitReady(ctx context.Context) {
	tick := time.NewTicker(readyPeriod)
	defer tick.Stop()
	var inForce time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if c.board.Config.Load().Revision == 0 {
			continue
		}
		if inForce.IsZero() {
			inForce = time.Now()
		}
		if c.reachable() || time.Since(inForce) > readyPatience {
			c.setPhase(blackboard.Serving)
			return
		}
	}
}

// reachable tells whether a version of every service is known and its servers
// may be used.
func (c *Core) reachable() bool {
	routes := c.board.Routes.Load()
	if routes.Revision < c.board.Config.Load().Revision {
		return false
	}
	for _, r := range routes.Services {
		if r.Pin == nil {
			return false
		}
	}
	for _, s := range routes.Servers {
		if s.Usable() && !s.Warm() && !s.Owned() && len(c.board.Members.Load().Others()) == 0 {
			return false
		}
	}
	return true
}

func (c *Core) setPhase(p blackboard.Phase) {
	own := *c.board.Own.Load()
	if own.Phase >= p {
		return
	}
	own.Phase = p
	c.board.Own.Store(&own)
	c.log.Info("phase", "phase", p)
}

// stop refuses new requests, lets those in flight end and leaves the peers.
func (c *Core) stop(callers, operators *grpc.Server) {
	c.setPhase(blackboard.Stopping)
	c.table.Leave()
	c.prober.Nudge()
	time.Sleep(balancerDelay)
	done := make(chan struct{})
	go func() {
		callers.GracefulStop()
		operators.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
		c.log.Info("stopped")
	case <-time.After(time.Duration(c.options.Stop.Grace)):
		c.log.Warn("requests were still in flight at the end of the grace period")
		callers.Stop()
		operators.Stop()
	}
}
