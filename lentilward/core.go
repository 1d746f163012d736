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
	"lentilward.org/lentilward/fleet"
	"lentilward.org/lentilward/member"
	"lentilward.org/lentilward/monitor"
	"lentilward.org/lentilward/operator"
	"lentilward.org/lentilward/peer"
	"lentilward.org/lentilward/registration"
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
               blackboard: Config Routes Members Suspects LocalInstance
                   ^         ^         ^          ^
                   |         |         |          |
operators -> operator.Server | member.Table  suspect.List
platform  -> store.Watcher   |         ^          ^
                        fleet.Fleet    |          |
peers     ----------------------- peer.Server, peer.Links

The components of an instance on the platform are drawn in gateway.go.
*/

// Core runs the components of one instance that serves callers over gRPC.
type Core struct {
	options       *Options
	log           *slog.Logger
	board         *blackboard.Board
	fleet         *fleet.Fleet
	runner        *backend.Runner
	watcher       *store.Watcher
	claims        *store.Claims
	listInstances store.InstanceLister
	registrar     *registration.Registrar
	table         *member.Table
	prober        *member.Prober
	links         *peer.Links
	permits       *peer.Permits
	peers         *peer.Server
	suspects      *suspect.List
	callers       *caller.Server
	operator      *operator.Server
	metrics       *monitor.Metrics
	traffic       *peer.Traffic
	// lastSeeds holds the seed addresses as of the last successful read of the
	// list of instances.
	lastSeeds atomic.Pointer[[]netip.AddrPort]
}

// newCore collects the components from the injector and connects them.
func newCore(i do.Injector) (*Core, error) {
	client, err := do.Invoke[*platform.Store](i)
	if err != nil {
		return nil, err
	}
	c := &Core{
		options:       do.MustInvoke[*Options](i),
		log:           do.MustInvoke[*slog.Logger](i),
		board:         do.MustInvoke[*blackboard.Board](i),
		fleet:         do.MustInvoke[*fleet.Fleet](i),
		runner:        do.MustInvoke[*backend.Runner](i),
		watcher:       do.MustInvoke[*store.Watcher](i),
		claims:        do.MustInvoke[*store.Claims](i),
		listInstances: store.NewInstanceLister(client),
		registrar:     do.MustInvoke[*registration.Registrar](i),
		table:         do.MustInvoke[*member.Table](i),
		prober:        do.MustInvoke[*member.Prober](i),
		links:         do.MustInvoke[*peer.Links](i),
		permits:       do.MustInvoke[*peer.Permits](i),
		peers:         do.MustInvoke[*peer.Server](i),
		suspects:      do.MustInvoke[*suspect.List](i),
		callers:       do.MustInvoke[*caller.Server](i),
		operator:      do.MustInvoke[*operator.Server](i),
		metrics:       do.MustInvoke[*monitor.Metrics](i),
		traffic:       do.MustInvoke[*peer.Traffic](i),
	}
	c.connectComponents()
	c.registerGauges(&client.Calls)
	return c, nil
}

// connectComponents sets the function fields through which the components call
// each other.
func (c *Core) connectComponents() {
	c.fleet.Memory = c.options.newMemory(replyMemoryShare)
	c.links.Memory = c.options.newMemory(peerMemoryShare)
	c.peers.Memory = c.links.Memory
	c.runner.RequestPermit = c.requestPermit
	c.permits.GrantPermit = c.runner.GrantPermit
	c.fleet.QueryWarmth = c.fetchWarmth
	c.prober.Ping = c.links.Ping
	c.prober.PingVia = c.links.PingVia
	c.prober.Seeds = c.seedAddresses
	c.prober.OnNewerVersion = c.fetchConfiguration
	started := time.Now()
	c.prober.NeedsMember = func() bool {
		return len(c.board.Members.Load().AlivePeers()) == 0 && time.Since(started) < discoveryPeriod
	}
	c.peers.Ping = func(ctx context.Context, g member.Gossip) member.Gossip {
		c.prober.HandleGossip(context.WithoutCancel(ctx), g)
		return c.table.Reply(g.From.Name)
	}
	c.peers.Probe = func(ctx context.Context, target netip.AddrPort) error {
		_, err := c.links.Ping(ctx, target, c.table.NextGossip())
		return err
	}
	c.peers.MergeSuspects = c.suspects.Merge
	c.peers.Records = func(blackboard.Version) peer.RecordsReply { return peer.RecordsReply{Suspects: c.suspects.All()} }
	c.suspects.Broadcast = func(ctx context.Context, reports []suspect.Report) {
		c.suspects.AcceptRuns(ctx, c.links.ReportSuspects(ctx, c.board.Members.Load().AlivePeers(), reports))
	}
	c.callers.StartTrial = newTrials(c.board, c.suspects, c.links, c.peers, c.log).start
	c.claims.Rank = func() int { return c.board.Members.Load().Rank("claims") }
	c.watcher.Rank = func() int { return c.board.Members.Load().Rank("config") }
	c.watcher.OnInstall = c.prober.GossipNow
	c.table.Age, c.prober.OnSameVersion = c.watcher.Age, c.watcher.MarkCurrent
	c.operator.OnInstall = c.prober.GossipNow
}

// registerGauges registers gauges for values that other components maintain.
func (c *Core) registerGauges(platformCalls *atomic.Int64) {
	c.metrics.RegisterGauge("lentilward_config_revision", "Revision of the configuration in force.",
		func() float64 { return float64(c.board.Config.Load().Revision) })
	c.metrics.RegisterGauge("lentilward_members", "Instances that take work.",
		func() float64 { return float64(c.board.Members.Load().ActiveCount()) })
	c.metrics.RegisterGauge("lentilward_peer_sent_bytes", "Bytes sent to peers.",
		func() float64 { return float64(c.traffic.SentBytes.Load()) })
	c.metrics.RegisterGauge("lentilward_peer_received_bytes", "Bytes received from peers.",
		func() float64 { return float64(c.traffic.ReceivedBytes.Load()) })
	c.metrics.RegisterGauge("lentilward_peer_malformed_frames", "Frames from peers that could not be read.",
		func() float64 { return float64(c.traffic.MalformedFrames.Load()) })
	c.metrics.RegisterGauge("lentilward_platform_calls", "Calls to the platform.",
		func() float64 { return float64(platformCalls.Load()) })
}

// requestPermit requests a slot on a cold server from the instance that owns it.
// It returns backend.ErrNoServer if there is no other owner.
func (c *Core) requestPermit(ctx context.Context, s *blackboard.Server, bootID uint64, class blackboard.Class) (backend.Permit, error) {
	members := c.board.Members.Load()
	owner, found := members.Owner(s.Address.String())
	if !found || owner.Name == members.Self {
		return backend.Permit{}, backend.ErrNoServer
	}
	return c.links.AcquirePermit(ctx, owner, s, bootID, class)
}

// fetchWarmth asks a few random peers which of the given servers are warm. Peers
// that do not answer are skipped.
func (c *Core) fetchWarmth(ctx context.Context, servers []fleet.ServerProcess) []fleet.ServerProcess {
	var warm []fleet.ServerProcess
	peers := c.board.Members.Load().AlivePeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, m := range peers[:min(len(peers), maxWarmthPeers)] {
		peerWarm, err := c.links.FetchWarmServers(ctx, m.Address, servers)
		if err != nil {
			continue
		}
		warm = append(warm, peerWarm...)
	}
	return warm
}

// fetchRecords fetches a peer's records, including its suspect requests.
func (c *Core) fetchRecords(ctx context.Context, address netip.AddrPort) (peer.RecordsReply, error) {
	return c.links.FetchRecords(ctx, address, blackboard.Version{})
}

// seedAddresses returns the peer addresses from the settings and from the
// store's list of instances. While the list cannot be read, it returns the last
// result.
func (c *Core) seedAddresses(ctx context.Context) []netip.AddrPort {
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	list, err := c.listInstances(ctx)
	if err != nil {
		c.log.Debug("reading the list of instances failed", "error", err)
		if last := c.lastSeeds.Load(); last != nil {
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
		c.lastSeeds.Store(&seeds)
	}
	return seeds
}

// fetchConfiguration fetches the changes since the current configuration from a
// peer and installs the result. It tries a second time if the result cannot be
// installed.
func (c *Core) fetchConfiguration(ctx context.Context, address netip.AddrPort, _ blackboard.Version) {
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	for range 2 {
		current := c.board.Config.Load()
		delta, err := c.links.FetchConfig(ctx, address, current.Revision)
		if err != nil {
			c.log.Debug("fetching the configuration from a peer failed", "peer", address, "error", err)
			return
		}
		next := current.Apply(delta)
		if next != nil && c.board.Install(next) {
			c.log.Info("configuration in force", "revision", next.Revision, "source", "peer")
			c.prober.GossipNow()
			return
		}
	}
}

// Run serves until stopCtx ends, then shuts down gracefully. The components run
// until processCtx ends. It returns an error if an address cannot be listened on
// or a server fails.
func (c *Core) Run(processCtx, stopCtx context.Context) error {
	callers, operators := c.grpcServers()
	peers := &http.Server{Handler: c.peers.Handler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	monitors := &http.Server{Handler: monitor.Handler(c.board, c.metrics), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
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
	go c.fleet.Run(processCtx)
	go c.prober.Run(processCtx)
	go c.watcher.Run(processCtx)
	go c.claims.Run(processCtx)
	go stateTransfer{board: c.board, suspects: c.suspects, log: c.log, fetch: c.fetchRecords}.run(processCtx)
	registered, deregister := context.WithCancel(processCtx)
	defer deregister()
	go c.registrar.Run(registered)
	go c.awaitReady(processCtx)
	select {
	case err := <-failed:
		return merry.Wrap(err)
	case <-stopCtx.Done():
	}
	deregister()
	c.shutDown(callers, operators)
	c.links.Close()
	peers.Close()
	monitors.Close()
	return nil
}

func (c *Core) grpcServers() (callers, operators *grpc.Server) {
	server := callerrpc.New(c.callers.Search, c.callers.Execute)
	server.Memory, server.Replies = c.options.newMemory(requestMemoryShare), c.fleet.Memory
	callers = grpc.NewServer(server.ServerOptions()...)
	callerpb.RegisterCallerServer(callers, server)
	operators = grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxHeaderListSize(maxHeaderBytes))
	operatorpb.RegisterOperatorServer(operators, c.operator)
	return callers, operators
}

// awaitReady starts serving callers once a configuration is in force and its
// services are reachable, or readyTimeout after it came into force.
func (c *Core) awaitReady(ctx context.Context) {
	tick := time.NewTicker(readyCheckInterval)
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
		if c.areServicesReachable() || time.Since(inForce) > readyTimeout {
			c.setPhase(blackboard.Serving)
			return
		}
	}
}

// areServicesReachable reports whether a version of every service is known and
// every usable server is warm, owned by this instance or accessible through
// another instance.
func (c *Core) areServicesReachable() bool {
	routes := c.board.Routes.Load()
	if routes.Revision < c.board.Config.Load().Revision {
		return false
	}
	for _, r := range routes.Services {
		if r.PinnedVersion == nil {
			return false
		}
	}
	for _, s := range routes.Servers {
		if s.Usable() && !s.Warm() && !s.OwnedLocally() && len(c.board.Members.Load().AlivePeers()) == 0 {
			return false
		}
	}
	return true
}

func (c *Core) setPhase(p blackboard.Phase) {
	local := *c.board.LocalInstance.Load()
	if local.Phase >= p {
		return
	}
	local.Phase = p
	c.board.LocalInstance.Store(&local)
	c.log.Info("phase changed", "phase", p)
}
