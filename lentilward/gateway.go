package main

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"runtime/debug"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/directory"
	"lentilward.org/lentilward/enlist"
	"lentilward.org/lentilward/member"
	"lentilward.org/lentilward/mirror"
	"lentilward.org/lentilward/monitor"
	"lentilward.org/lentilward/peer"
	"lentilward.org/lentilward/scatter"
	"lentilward.org/lentilward/suspect"
	"lentilward.org/lentilward/web"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

/*
callers -> web.Server -> scatter.Engine -> balance.Service -> conn.Pool -> backend servers
               |
               v
        directory.Current
               ^
               |
store   -> mirror.Follower -> mirror.Mirror <- peer.Server, peer.Links <- peers
        <- enlist.Enlister                          ^
                                             member.Table, member.Prober
*/

// Gateway runs the components of an instance on the platform.
type Gateway struct {
	options   atomic.Pointer[Options]
	level     *slog.LevelVar
	log       *slog.Logger
	board     *blackboard.Board
	mirror    *mirror.Mirror
	follower  *mirror.Follower
	directory *directory.Directory
	enlister  *enlist.Enlister
	table     *member.Table
	prober    *member.Prober
	links     *peer.Links
	peers     *peer.Server
	suspects  *suspect.List
	keeper    *suspect.Keeper
	callers   *web.Server
	engine    *scatter.Engine
	metrics   *monitor.Metrics
	fleet     *fleetSize
	// records asks a peer for what is newer than a revision.
	records func(ctx context.Context, peer netip.AddrPort, since uint64) (peer.Knowledge, error)
	// fetching is set while a peer is asked for its records.
	fetching atomic.Bool
}

// newGateway makes the components and joins their function fields.
func newGateway(o *Options, store *platform.Store, log *slog.Logger, level *slog.LevelVar) *Gateway {
	g := &Gateway{
		log: log, level: level, mirror: mirror.New(), metrics: monitor.NewMetrics(),
		board: blackboard.New(blackboard.Own{Name: o.Name, DataCentre: o.DataCentre}),
	}
	g.options.Store(o)
	g.follower = mirror.NewFollower(g.mirror, log)
	g.joinStore(store)
	g.joinPeers()
	g.joinDirectory()
	g.joinCallers()
	g.applySettings()
	return g
}

// applySettings takes over the settings that can change while it runs.
func (g *Gateway) applySettings() {
	o := g.options.Load()
	g.level.Set(logLevels[o.Log.Level])
	if o.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(o.Memory) * memoryPart * (1 << 20)))
	}
	g.directory.SetDrain(time.Duration(o.Drain))
	g.directory.SetAllowance(balance.Allowance{
		Ratio: o.Repeats.Ratio, Slack: o.Repeats.Slack, Window: time.Duration(o.Repeats.Window),
	})
	g.engine.SetPolicy(scatter.Policy{
		Hedge: o.Search.Hedge, EarlyAnswer: o.Search.EarlyAnswer, AnswerMargin: time.Duration(o.Search.AnswerMargin),
	})
}

// joinStore connects the follower and the enlister with the store.
func (g *Gateway) joinStore(store *platform.Store) {
	g.follower.List = func(ctx context.Context, after string) (*mirror.Page, error) {
		return asPage(store.Range(ctx, "", after))
	}
	g.follower.Watch = func(ctx context.Context, after uint64, wait time.Duration) (*mirror.Page, error) {
		return asPage(store.Watch(ctx, "", after, wait))
	}
	g.follower.Wait = watchWait
	g.follower.Reading = g.reads
	o := g.options.Load()
	g.enlister = newEnlister(store, o.Name, o.Listen.Peers, g.log)
	g.enlister.Listed = func() bool { return len(g.mirror.List(platform.InstancePrefix+o.Name)) > 0 }
	g.keeper = suspect.NewKeeper(g.log)
	g.keeper.Write = func(ctx context.Context, x blackboard.Suspect, life time.Duration) error {
		return keepHarmful(ctx, store, x, life)
	}
	g.metrics.Gauge("lentilward_platform_calls", "Calls to the platform.",
		func() float64 { return float64(store.Calls.Load()) })
}

// asPage turns a page of the store into one of the mirror.
func asPage(p *platform.Page, err error) (*mirror.Page, error) {
	if errors.Is(err, platform.ErrHistoryGone) {
		return nil, mirror.ErrHistoryGone
	}
	if err != nil {
		return nil, err
	}
	page := &mirror.Page{Revision: p.Revision, More: p.More, Records: make([]mirror.Record, 0, len(p.Items))}
	for _, i := range p.Items {
		page.Records = append(page.Records, mirror.Record{
			Key: i.Key, Value: i.Value, Revision: i.Revision, Deleted: i.Deleted,
		})
	}
	return page, nil
}

// reads tells whether this instance reads the store. A few do, so that the
// calls do not grow with the fleet; the others learn from them, and read it
// themselves if they hear of nothing current.
func (g *Gateway) reads() bool {
	up := time.Since(g.fleet.began)
	if g.mirror.Revision() == 0 {
		return up > peersFirst || slices.Contains(g.options.Load().Peers, g.options.Load().Listen.Peers)
	}
	if g.follower.Age() > staleAge {
		return true
	}
	return g.board.Members.Load().Rank("store") < readers
}

// joinPeers connects this instance with the others.
func (g *Gateway) joinPeers() {
	traffic := &peer.Traffic{}
	self := blackboard.Member{
		Name: g.options.Load().Name, Address: g.options.Load().Listen.Peers, DataCentre: g.options.Load().DataCentre,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	g.links = peer.NewLinks(traffic)
	g.records = g.links.Records
	g.peers = peer.NewServer(g.board, peer.NewPermits(g.board), traffic, g.log)
	g.table = member.NewTable(g.board, self, time.Now)
	g.table.Revision = g.mirror.Revision
	g.table.Age = g.follower.Age
	g.prober = member.NewProber(g.board, g.table)
	g.prober.Ping = g.links.Ping
	g.prober.PingVia = g.links.PingVia
	g.prober.Seeds = func(context.Context) []netip.AddrPort { return g.seeds() }
	g.prober.Newer = g.fetch
	g.prober.Eager = func() bool { return g.mirror.Revision() == 0 }
	g.prober.Current = g.follower.Told
	g.peers.Ping = func(ctx context.Context, gossip member.Gossip) member.Gossip {
		g.prober.Heard(context.WithoutCancel(ctx), gossip)
		return g.table.Answer(gossip.From.Name)
	}
	g.peers.Probe = func(ctx context.Context, target netip.AddrPort) error {
		_, err := g.links.Ping(ctx, target, g.table.Gossip())
		return err
	}
	g.suspects = suspect.New(g.board)
	g.suspects.Tell = func(ctx context.Context, s []blackboard.Suspect) {
		go g.links.TellSuspects(context.WithoutCancel(ctx), g.board.Members.Load().Others(), s)
	}
	g.suspects.Keep = g.keeper.Keep
	g.peers.Suspects = g.suspects.Merge
	g.peers.Records = func(since uint64) peer.Knowledge {
		delta := g.mirror.Since(since)
		delta.Age = g.follower.Age()
		return peer.Knowledge{Delta: delta, Suspects: g.suspects.All()}
	}
	g.fleet = newFleetSize(g.board, len(g.options.Load().Peers)+1, func() time.Duration { return time.Duration(g.options.Load().Repeats.Window) })
	g.metrics.Gauge("lentilward_peer_sent_bytes", "Bytes sent to peers.",
		func() float64 { return float64(traffic.Sent.Load()) })
	g.metrics.Gauge("lentilward_instances", "Instances that share limits.",
		func() float64 { return float64(g.fleet.size()) })
}

// seeds are the addresses where other instances may be.
func (g *Gateway) seeds() []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, address := range append(g.directory.Peers(), g.options.Load().Peers...) {
		if address != g.options.Load().Listen.Peers {
			seeds = append(seeds, address)
		}
	}
	return seeds
}

// fetch asks a peer for newer records.
func (g *Gateway) fetch(ctx context.Context, address netip.AddrPort) {
	if !g.fetching.CompareAndSwap(false, true) {
		return
	}
	defer g.fetching.Store(false)
	ctx, cancel := context.WithTimeout(ctx, firstContact)
	defer cancel()
	since := g.mirror.Revision()
	delta, err := g.records(ctx, address, since)
	if err != nil {
		g.log.Info("cannot read the records of a peer", "peer", address, "error", err)
		return
	}
	g.log.Debug("records from a peer", "peer", address, "since", since, "revision", delta.Revision, "records", len(delta.Records))
	g.mirror.Apply(delta.Records, delta.Revision)
	g.follower.Told(delta.Age)
	g.suspects.Merge(delta.Suspects)
}

// introduce learns what peers tell only once.
func (g *Gateway) introduce(ctx context.Context) {
	ask := func(ctx context.Context, address netip.AddrPort) (peer.Knowledge, error) {
		return g.records(ctx, address, g.mirror.Revision())
	}
	introduction{board: g.board, suspects: g.suspects, log: g.log, ask: ask}.run(ctx)
}

// joinDirectory connects the directory with the mirror.
func (g *Gateway) joinDirectory() {
	g.directory = directory.New(directory.Records{
		ConfigurationKey: platform.ConfigurationKey, ServerPrefix: platform.ServerPrefix,
		InstancePrefix: platform.InstancePrefix, Configuration: platform.DecodeConfiguration,
		Server: platform.DecodeServer, Instance: platform.DecodeInstance, Withdrawn: platform.Withdrawn,
	}, g.log)
	g.directory.Instances = g.fleet.size
	g.directory.Troubled, g.directory.Age = g.follower.Troubled, g.follower.Age
	g.directory.Listed, g.directory.Relist, g.directory.Reading = g.follower.Listed, g.follower.Relist, g.reads
	g.directory.NewServer = func(b domain.BackendServer) *balance.Server {
		return balance.NewServer(b, conn.NewPool(b.Address), b.DataCentre != g.options.Load().DataCentre)
	}
	g.mirror.Changed = func(records []mirror.Record) {
		g.directory.Changed(records)
		g.learnHarmful(records)
		g.prober.Nudge()
	}
}

// learnHarmful takes in the harmful requests among new records.
func (g *Gateway) learnHarmful(records []mirror.Record) {
	for _, r := range records {
		if r.Deleted || !strings.HasPrefix(r.Key, platform.HarmfulPrefix) {
			continue
		}
		fingerprint, crashes, requests, err := platform.DecodeHarmful(r.Key, r.Value)
		if err != nil {
			g.log.Error("cannot read the record of a harmful request", "key", r.Key, "error", err)
			continue
		}
		g.log.Info("harmful request", "fingerprint", fingerprint, "crashes", crashes, "requests", requests, "revision", r.Revision)
		g.suspects.Merge([]blackboard.Suspect{{Fingerprint: fingerprint, Crashes: crashes, Requests: requests}})
	}
}

// joinCallers connects the callers' side with the engine.
func (g *Gateway) joinCallers() {
	g.engine = scatter.New(conn.Codec{AppendCall: platform.AppendCall, ReadReply: platform.ReadReply})
	g.engine.Share = g.fleet.share
	g.engine.Ask = g.links.Gather
	g.engine.Helper = g.helper
	g.peers.Gather = g.gather
	g.callers = web.New(web.Format{
		DecodeRequest: platform.DecodeRequest, EncodeAnswer: platform.EncodeAnswer,
		EncodeRefusal: platform.EncodeRefusal,
	}, g.directory, g.engine, g.log)
	g.callers.Harmful = func(r *domain.Request) bool { return g.suspects.Harmful(suspect.RequestFingerprint(r)) }
	g.callers.Lost = func(r *domain.Request, servers int) {
		g.log.Warn("backend servers were lost with a request", "request-id", r.ID, "servers", servers)
		g.suspects.Crashed(context.Background(), suspect.RequestFingerprint(r), uint32(servers))
	}
	g.callers.Current = func() bool { return g.follower.Age() < currentAge }
}

// helper picks a member in one of the data centres that have most parts.
func (g *Gateway) helper(parts map[string]int) (netip.AddrPort, string, bool) {
	most := lo.Max(lo.Values(parts))
	candidates := lo.Filter(g.board.Members.Load().Others(), func(m blackboard.Member, _ int) bool {
		return float64(parts[m.DataCentre]) >= helperPart*float64(most)
	})
	if len(candidates) == 0 {
		return netip.AddrPort{}, "", false
	}
	m := candidates[rand.IntN(len(candidates))]
	return m.Address, m.DataCentre, true
}

// gather runs part of a search for a peer, if this instance knows all that it
// takes.
func (g *Gateway) gather(ctx context.Context, x scatter.Gather, emit func(scatter.Partial)) {
	snapshot := g.directory.Current.Load()
	if snapshot == nil {
		return
	}
	state := snapshot.Routes[x.Route]
	services := make([]*balance.Service, 0, len(x.Services))
	for _, name := range x.Services {
		if s := snapshot.Services[name]; s != nil {
			services = append(services, s)
		}
	}
	if state == nil || len(services) != len(x.Services) {
		g.log.Info("cannot gather for a peer", "request-id", x.Request.ID, "route", x.Route)
		return
	}
	g.engine.Gather(ctx, x, state, services, emit)
}
