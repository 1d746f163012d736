package main

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/directory"
	"lentilward.org/lentilward/member"
	"lentilward.org/lentilward/mirror"
	"lentilward.org/lentilward/monitor"
	"lentilward.org/lentilward/pace"
	"lentilward.org/lentilward/peer"
	"lentilward.org/lentilward/proof"
	"lentilward.org/lentilward/registration"
	"lentilward.org/lentilward/scatter"
	"lentilward.org/lentilward/suspect"
	"lentilward.org/lentilward/web"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

/*
callers -> web.Server -> scatter.Engine -> balance.Service -> conn.Pool -> backend servers
               |             |      |
               v             |      v
        directory.Directory -+ admission.Limit
               ^
               |
store   -> mirror.Follower -> mirror.Mirror <- peer.Server, peer.Links <- peers
        <- registration.Registrar                   ^
                                             member.Table, member.Prober
*/

// Gateway runs the components of one instance that serves callers over HTTP and
// follows the platform's store.
type Gateway struct {
	options      atomic.Pointer[Options]
	level        *slog.LevelVar
	log          *slog.Logger
	board        *blackboard.Board
	mirror       *mirror.Mirror
	follower     *mirror.Follower
	directory    *directory.Directory
	registrar    *registration.Registrar
	table        *member.Table
	prober       *member.Prober
	links        *peer.Links
	peers        *peer.Server
	suspects     *suspect.List
	poisonWriter *suspect.Persister
	// storeReturned has a value after the store has come back from an older copy.
	storeReturned chan struct{}
	// crashes finds the servers that crash while they run a request.
	crashes *suspect.Watch
	trials  *trials
	callers *web.Server
	engine  *scatter.Engine
	metrics *monitor.Metrics
	fleet   *fleetSize
	// rollouts is nil unless the settings have rollouts.
	rollouts *rolloutRunner
	// fence refuses requests with keys while nothing proves that these are still valid.
	fence      *proof.Fence
	allowances *allowances
	// serverLimits keeps the calls to backend servers within the limits that these name.
	serverLimits *lending
	holders      *holders
	paces        *pace.Set
	// Paced reports whether servers are paced where the settings leave that open: where
	// the instances outnumber the connections of servers.
	Paced func() bool
	// connecting has the addresses of the peers that connectPeer is connecting to.
	connecting sync.Map
	// asksPeers is set while peers are asked whether the records are up to date.
	asksPeers atomic.Bool
	// peersCheckedAt is when checkPeers has last pinged the peers.
	peersCheckedAt atomic.Pointer[time.Time]
	// checkStore makes this instance ask the store at once, on a new connection, if it reads
	// the store for its peers.
	checkStore func()
	// listen opens a listener at one of the instance's addresses.
	listen func(address netip.AddrPort) (net.Listener, error)
	// fetchRecords fetches the records that are newer than a version from a
	// peer.
	fetchRecords func(ctx context.Context, peer netip.AddrPort, since blackboard.Version) (peer.RecordsReply, error)
}

// newGateway creates the components and connects them.
func newGateway(o *Options, store *platform.Store, log *slog.Logger, level *slog.LevelVar) *Gateway {
	g := &Gateway{
		log: log, level: level, storeReturned: make(chan struct{}, 1), mirror: mirror.New(), metrics: monitor.NewMetrics(), listen: listenTCP, paces: pace.NewSet(),
		board: blackboard.New(blackboard.LocalInstance{Name: o.Name, DataCentre: o.DataCentre}),
	}
	g.options.Store(o)
	g.follower = mirror.NewFollower(g.mirror, log)
	g.connectStore(store)
	g.connectPeers()
	g.connectPaces()
	g.connectServerLimits()
	g.connectDirectory()
	g.connectCallers()
	g.connectRollouts(store)
	g.connectProof()
	g.connectAllowances()
	g.connectHolders(store)
	g.applySettings()
	return g
}

// applySettings applies the settings that can change while the instance runs.
func (g *Gateway) applySettings() {
	o := g.options.Load()
	g.level.Set(logLevels[o.Log.Level])
	if o.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(o.Memory) * heapMemoryShare * (1 << 20)))
	}
	g.directory.SetDrainPeriod(time.Duration(o.Drain))
	g.fence.SetWithin(time.Duration(o.Revocation.Within))
	g.directory.SetRetryBudget(balance.RetryBudget{
		Ratio: o.RetryBudget.Ratio, Slack: o.RetryBudget.Slack, Window: time.Duration(o.RetryBudget.Window),
	})
	g.allowances.setSettings(o.quotaSettings())
	g.engine.SetPolicy(scatter.Policy{
		Hedge: o.Search.Hedge, EarlyAnswer: o.Search.EarlyAnswer, AnswerMargin: time.Duration(o.Search.AnswerMargin),
		CPUShare: o.CPUShare,
	})
}

// connectPeers connects the components that exchange messages with peers.
func (g *Gateway) connectPeers() {
	traffic := &peer.Traffic{}
	self := blackboard.Member{
		Name: g.options.Load().Name, Address: g.options.Load().Listen.Peers, DataCentre: g.options.Load().DataCentre,
		Incarnation: uint64(time.Now().UnixMilli()), CPUShare: member.RoundCPUShare(g.options.Load().CPUShare),
	}
	g.links = peer.NewLinks(traffic)
	g.links.Dial = dialPeer
	g.links.Memory = g.options.Load().newMemory(peerMemoryShare)
	g.links.OnSilent = func(address netip.AddrPort, silentFor time.Duration) {
		logSilentPeer(g.log)(address, silentFor)
		g.checkPeers()
	}
	g.links.OnUnansweredGather = g.connectPeer
	g.fetchRecords = g.links.FetchRecords
	g.peers = peer.NewServer(g.board, peer.NewPermits(g.board), traffic, g.log)
	g.peers.Memory = g.links.Memory
	g.table = member.NewTable(g.board, self, time.Now)
	g.table.Version = g.mirror.Version
	g.table.Age = g.follower.Age
	g.table.NamesLimit = func() bool { return g.directory.ServersNamingLimit() > 0 }
	g.prober = member.NewProber(g.board, g.table)
	g.prober.Ping = g.links.Ping
	g.prober.PingVia = g.links.PingVia
	g.prober.Seeds = func(context.Context) []netip.AddrPort { return g.seedAddresses() }
	g.prober.OnNewerVersion = newRecordFetcher(g.mirror.Version, g.fetchFromPeer).handleAnnouncement
	g.prober.NeedsMember = func() bool { return g.mirror.Version().IsZero() }
	g.prober.OnSameVersion = g.follower.MarkCurrent
	g.peers.Ping = func(ctx context.Context, gossip member.Gossip) member.Gossip {
		g.prober.HandleGossip(context.WithoutCancel(ctx), gossip)
		return g.table.ReplyTo(gossip)
	}
	g.peers.Probe = func(ctx context.Context, target netip.AddrPort) error {
		_, err := g.links.Ping(ctx, target, g.table.NextGossip())
		return err
	}
	g.connectSuspects()
	g.peers.Records = func(since blackboard.Version) peer.RecordsReply {
		// The age is read first, so that the delta is at least as new as what it is about.
		age := g.follower.Age()
		delta := g.mirror.Since(since)
		delta.Age = age
		return peer.RecordsReply{Delta: delta, Suspects: g.suspects.All()}
	}
	g.peers.ConfirmRecords = func(ctx context.Context) { g.follower.AwaitConfirmation(ctx, confirmByPeerWait) }
	g.fleet = newFleetSize(g.board, len(g.options.Load().Peers)+1, func() time.Duration { return time.Duration(g.options.Load().RetryBudget.Window) })
	g.metrics.RegisterGauge("lentilward_peer_sent_bytes", "Bytes sent to peers.",
		func() float64 { return float64(traffic.SentBytes.Load()) })
	g.metrics.RegisterGauge("lentilward_instances", "Instances that share limits.",
		func() float64 { return float64(g.fleet.size()) })
}

// logSilentPeer returns a function that logs a connection to a peer that was given
// up because the peer sent nothing on it.
func logSilentPeer(log *slog.Logger) func(netip.AddrPort, time.Duration) {
	return func(address netip.AddrPort, silentFor time.Duration) {
		log.Info("connection to a peer went silent; dialing anew", "peer", address, "silent-for", silentFor)
	}
}

// seedAddresses returns the addresses of other instances from the store and the
// settings.
func (g *Gateway) seedAddresses() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, address := range append(g.directory.PeerAddresses(), g.options.Load().Peers...) {
		if address != g.options.Load().Listen.Peers {
			seeds = append(seeds, address)
		}
	}
	return seeds
}

// fetchFromPeer fetches newer records from a peer and merges them.
func (g *Gateway) fetchFromPeer(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	since, begunAt := g.mirror.Version(), time.Now()
	delta, err := g.fetchRecords(ctx, address, since)
	if err != nil {
		g.log.Info("fetching records from a peer failed", "peer", address, "since", since, "took", time.Since(begunAt), "error", err)
		return
	}
	g.log.Debug("received records from a peer", "peer", address, "since", since, "version", delta.Version(), "records", len(delta.Records),
		"age", delta.Age, "took", time.Since(begunAt))
	g.mergeFromPeer(delta)
}

func (g *Gateway) mergeFromPeer(reply peer.RecordsReply) {
	g.mirror.Merge(reply.Delta)
	if g.mirror.Version().Era == reply.Era {
		g.follower.MarkCurrent(reply.Age)
	}
	g.suspects.Merge(reply.Suspects)
}

// transferState fetches from a peer what gossip does not repeat: the suspect
// requests known before this process started.
func (g *Gateway) transferState(ctx context.Context) {
	fetch := func(ctx context.Context, address netip.AddrPort) (peer.RecordsReply, error) {
		return g.fetchRecords(ctx, address, g.mirror.Version())
	}
	stateTransfer{board: g.board, suspects: g.suspects, log: g.log, fetch: fetch}.run(ctx)
}

// connectDirectory connects the directory with the mirror.
func (g *Gateway) connectDirectory() {
	g.directory = directory.New(directory.RecordFormat{
		ConfigurationKey: platform.ConfigurationKey, ServerPrefix: platform.ServerPrefix,
		InstancePrefix: platform.InstancePrefix, Configuration: platform.DecodeConfiguration,
		Server: platform.DecodeServer, Instance: platform.DecodeInstance, Withdrawn: platform.DecodeWithdrawn,
	}, g.log)
	g.directory.InstanceCount = g.fleet.size
	g.directory.SinceStoreReturn, g.directory.RecordAge, g.directory.Confirm = g.follower.SinceReturn, g.follower.Age, g.confirmRecords
	g.metrics.RegisterGauge("lentilward_configuration_version", "Version of the configuration in force; 0 without one.", func() float64 {
		if snapshot := g.directory.Current.Load(); snapshot != nil {
			return float64(snapshot.Configuration.Version)
		}
		return 0
	})
	g.metrics.RegisterGauge("lentilward_records_revision", "Revision of the store up to which the records are known.",
		func() float64 { return float64(g.mirror.Version().Revision) })
	g.metrics.RegisterGauge("lentilward_store_era", "Era of the records, which rises when the store comes back from an older copy.",
		func() float64 { return float64(g.mirror.Version().Era) })
	g.metrics.RegisterGauge("lentilward_records_age_seconds", "Time since the records were last confirmed to be up to date.",
		func() float64 { return g.follower.Age().Seconds() })
	g.directory.NewServer = func(b domain.BackendServer) *balance.Server {
		pool, remote := conn.NewPool(b.Address), b.DataCentre != g.options.Load().DataCentre
		if !remote {
			pool.Dial = conn.DialNear
		}
		server := balance.NewServer(b, pool, remote)
		server.SetPaces(g.paces)
		server.SetTokens(g.serverLimits.local)
		return server
	}
	g.mirror.OnChange = func(records []mirror.Record) {
		g.fleet.mergeRecords(records, g.log)
		g.directory.Enqueue(records)
		g.mergePoisonRequests(records)
		g.prober.GossipNow()
	}
	g.table.StoreReturn, g.prober.OnStoreReturn = g.directory.LastReturn, g.directory.NoteReturn
	g.mirror.OnNewEra = func(before, after blackboard.Version) {
		g.follower.NoteReturn()
		g.directory.NoteNewEra()
		g.fence.NoteNewEra()
		select {
		case g.storeReturned <- struct{}{}:
		default:
		}
		g.log.Warn("the store came back from an older copy", "before", before, "records", after)
	}
}

// connectCallers connects the HTTP server for callers with the search engine.
func (g *Gateway) connectCallers() {
	replies := g.options.Load().newMemory(replyMemoryShare)
	g.engine = scatter.New(conn.Codec{AppendCall: platform.AppendCall, ReadReply: platform.ReadReply, Memory: replies})
	g.engine.OnLeaving = func(s *balance.Server) {
		g.log.Info("backend server says that it is leaving", "id", s.ID, "service", s.Service)
	}
	g.engine.OnReset = func(s *balance.Server, backoff time.Duration) {
		g.log.Info("backend server reset a new connection", "id", s.ID, "service", s.Service, "open", s.Pool.Open(), "limit", s.Pool.Limit.Load(), "backoff", backoff)
	}
	g.engine.BudgetShare = g.fleet.share
	g.engine.StartGather = g.links.Gather
	g.engine.ChooseGatherer = g.pickGatherer
	g.peers.Gather = g.gather
	g.callers = web.New(web.Format{
		DecodeRequest: platform.DecodeRequest, EncodeAnswer: platform.EncodeAnswer,
		EncodeRefusal: platform.EncodeRefusal, SetTenant: platform.SetTenant,
	}, g.directory, g.engine, g.log)
	g.callers.Memory = g.options.Load().newMemory(requestMemoryShare)
	g.refuseSuspects()
	g.callers.OnRequestEnd = func(r web.RequestResult) {
		if r.Refusal != nil {
			g.metrics.RecordRefusal(r.Refusal.Reason, r.Refusal.Outcome)
		}
		g.allowances.recordResult(r)
	}
	g.metrics.RegisterGauge("lentilward_limited_searches", "Sets of shards whose searches are limited because the servers are overloaded.",
		func() float64 { return float64(g.directory.LimitedSearches(time.Now())) })
	g.metrics.RegisterGauge("lentilward_ejected_servers", "Backend servers that get only probes because they fail while others do not.",
		func() float64 { return float64(g.directory.EjectedServers()) })
	g.metrics.RegisterGauge("lentilward_servers_naming_limit", "Backend servers that name a limit of requests a second in their replies.",
		func() float64 { return float64(g.directory.ServersNamingLimit()) })
	g.metrics.RegisterGauge("lentilward_held_reply_bytes", "Bytes of replies of backend servers that are held.",
		func() float64 { return float64(replies.Used()) })
	g.metrics.RegisterGauge("lentilward_held_request_bytes", "Bytes of requests of callers that are held.",
		func() float64 { return float64(g.callers.Memory.Used()) })
	g.metrics.RegisterGauge("lentilward_held_frame_bytes", "Bytes of frames of peers that are held.",
		func() float64 { return float64(g.links.Memory.Used()) })
	g.callers.ConfigurationAge = g.follower.Age
	g.callers.RecordVersion = func() string { return g.mirror.Version().String() }
	g.callers.IsConfigurationCurrent = func() bool {
		return g.follower.Age() < time.Duration(g.options.Load().Apply) && !g.directory.HasPending()
	}
}
