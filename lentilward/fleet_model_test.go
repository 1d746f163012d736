package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	standin "lentilward.org/lentilstand/platform"
	"lentilward.org/lentilward/balance"
	"lentilward.org/lentilward/blackboard"
	"lentilward.org/lentilward/conn"
	"lentilward.org/lentilward/member"
	"lentilward.org/lentilward/peer"
	"lentilward.org/platform"
	"lentilward.org/schema/domain"
)

// Sizes of the model.
const (
	modelConnections = 30
	modelSlack       = 52
	modelRatio       = 0.2
	modelWindow      = 10 * time.Second
	modelService     = "s1"
	modelServer      = "i-1"
)

var storeAddress = netip.MustParseAddrPort("10.200.0.1:80")

var errCut = errors.New("cut off")

// model is a fleet of whole instances without sockets: the store's stand-in is
// called in the process, and peers talk to each other directly.
type model struct {
	ctx  context.Context
	draw *rand.Rand
	// harmDraw picks machines for harmful requests.
	harmDraw *rand.Rand
	stand    *standin.Store
	handler  http.Handler
	nodes    atomic.Pointer[[]*node]
	// tried is the newest version that was written, version the newest that the
	// store has acknowledged.
	tried, version int
	// notes tell what befell the fleet.
	notes  []string
	mu     sync.Mutex
	points []point
}

// point is a first call of a request, or a repeat.
type point struct {
	at     time.Time
	repeat bool
}

// node is one machine with the instance that runs on it.
type node struct {
	model *model
	name  string
	host  string
	// gateway is the instance that runs, or the last one that did.
	gateway atomic.Pointer[Gateway]
	cancel  context.CancelFunc
	// down machines run no instance; frozen ones stand still; those that are cut
	// reach no peer, those that are shut out not the store.
	down, frozen, cut, shut atomic.Bool
	// zone is the side of a partition between peers.
	zone atomic.Int32
	// server is the state of the one backend server.
	server atomic.Pointer[balance.Server]
}

func newModel(ctx context.Context, seed uint64, instances int) *model {
	m := &model{ctx: ctx, draw: rand.New(rand.NewPCG(seed, 2)), harmDraw: rand.New(rand.NewPCG(seed, 3)), stand: standin.New(seed)}
	m.handler = m.stand.Handler()
	m.nodes.Store(&[]*node{})
	m.configure()
	m.put(standin.ServerKey(modelServer), standin.Server{Service: modelService, Address: "10.9.0.1:80", Zone: "z1"}.Record())
	for range instances {
		m.add()
	}
	return m
}

// add starts one more machine.
func (m *model) add() *node {
	known := m.all()
	n := &node{model: m, name: fmt.Sprintf("n%d", len(known)), host: fmt.Sprintf("10.0.0.%d", len(known)+1)}
	n.down.Store(true)
	next := append(slices.Clone(known), n)
	m.nodes.Store(&next)
	n.start()
	return n
}

func (n *node) address() netip.AddrPort { return netip.MustParseAddrPort(n.host + ":8106") }

// all returns the machines.
func (m *model) all() []*node { return *m.nodes.Load() }

// start runs a new instance on the machine.
func (n *node) start() {
	m := n.model
	o := &Options{Name: n.name, DataCentre: "z1"}
	o.Listen.Peers = n.address()
	for _, x := range m.all()[:min(3, len(m.all()))] {
		o.Peers = append(o.Peers, x.address())
	}
	o.Repeats.Ratio, o.Repeats.Slack, o.Repeats.Window = modelRatio, modelSlack, duration(modelWindow)
	o.Search.Hedge = true
	store := platform.NewStore(storeAddress, &http.Client{Transport: n})
	g := newGateway(o, store, slog.New(slog.DiscardHandler), &slog.LevelVar{})
	g.prober.Ping = func(ctx context.Context, to netip.AddrPort, x member.Gossip) (member.Gossip, error) {
		other, err := m.reach(ctx, n, to)
		if err != nil {
			return member.Gossip{}, err
		}
		return other.gateway.Load().peers.Ping(ctx, x), nil
	}
	g.prober.PingVia = func(ctx context.Context, helper, target netip.AddrPort) error {
		other, err := m.reach(ctx, n, helper)
		if err != nil {
			return err
		}
		return other.gateway.Load().peers.Probe(ctx, target)
	}
	g.peers.Probe = func(ctx context.Context, target netip.AddrPort) error {
		_, err := g.prober.Ping(ctx, target, g.table.Gossip())
		return err
	}
	g.records = func(ctx context.Context, to netip.AddrPort, since uint64) (peer.Knowledge, error) {
		other, err := m.reach(ctx, n, to)
		if err != nil {
			return peer.Knowledge{}, err
		}
		return other.gateway.Load().peers.Records(since), nil
	}
	g.suspects.Tell = func(_ context.Context, s []blackboard.Suspect) {
		for _, x := range g.board.Members.Load().Others() {
			go func() {
				ctx, cancel := context.WithTimeout(m.ctx, time.Second)
				defer cancel()
				if other, err := m.reach(ctx, n, x.Address); err == nil {
					other.gateway.Load().peers.Suspects(s)
				}
			}()
		}
	}
	g.directory.NewServer = func(b domain.BackendServer) *balance.Server {
		pool := conn.NewPool(b.Address)
		pool.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, errCut }
		s := balance.NewServer(b, pool, false)
		n.server.Store(s)
		return s
	}
	ctx, cancel := context.WithCancel(m.ctx)
	n.cancel = cancel
	n.gateway.Store(g)
	n.down.Store(false)
	go g.directory.Run(ctx)
	go g.prober.Run(ctx)
	go g.follower.Run(ctx)
	go g.enlist(ctx)
	go g.keeper.Run(ctx)
	go g.introduce(ctx)
}

// kill ends the instance without a word.
func (n *node) kill() {
	n.down.Store(true)
	n.cancel()
}

// reach returns the node at an address once a message got there.
func (m *model) reach(ctx context.Context, from *node, to netip.AddrPort) (*node, error) {
	time.Sleep(time.Millisecond)
	for _, x := range m.all() {
		if x.address() != to {
			continue
		}
		if x.down.Load() {
			return nil, errCut
		}
		if from.dark() || x.dark() || from.cut.Load() || x.cut.Load() || from.zone.Load() != x.zone.Load() {
			<-ctx.Done()
			return nil, errCut
		}
		return x, nil
	}
	return nil, errCut
}

func (n *node) dark() bool { return n.down.Load() || n.frozen.Load() }

// RoundTrip calls the store, if the machine reaches it.
func (n *node) RoundTrip(r *http.Request) (*http.Response, error) {
	if n.dark() || n.shut.Load() {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return inProcess{n.model.handler, n.host}.RoundTrip(r)
}

// inProcess calls a handler in place of a server.
type inProcess struct {
	handler http.Handler
	host    string
}

func (p inProcess) RoundTrip(r *http.Request) (response *http.Response, err error) {
	defer func() {
		if recover() != nil {
			err = errCut
		}
	}()
	call := r.Clone(r.Context())
	call.RemoteAddr = p.host + ":1"
	if call.Body == nil {
		call.Body = http.NoBody
	}
	w := httptest.NewRecorder()
	p.handler.ServeHTTP(w, call)
	return w.Result(), nil
}

// put writes as operators and backend servers do. It returns false if the store
// took nothing.
func (m *model) put(key string, value []byte) bool {
	c := platform.NewStore(storeAddress, &http.Client{Transport: inProcess{m.handler, "10.250.0.1"}})
	ctx, cancel := context.WithTimeout(m.ctx, time.Second)
	defer cancel()
	_, err := c.Commit(ctx, nil, []platform.Write{{Key: key, Value: value}}, nil)
	return err == nil
}

// configure writes a new version, if the store takes it.
func (m *model) configure() bool {
	next := standin.Configuration{
		Version: m.tried + 1 + m.draw.IntN(4), Host: "h", SearchPrefix: "/a/", SinglePrefix: "/b/",
		Shards: []string{modelService}, Single: modelService, Services: []string{modelService}, Results: 5, LeastShare: 1,
		Timeout: time.Second, Objective: 100 * time.Millisecond,
	}
	m.tried = next.Version
	if !m.put(standin.ConfigurationKey, next.Record()) {
		return false
	}
	m.version = next.Version
	return true
}

// disturb brings about one trouble at one machine, or for all.
func (m *model) disturb() {
	n := m.all()[m.draw.IntN(len(m.all()))]
	length := time.Duration(1+m.draw.IntN(8)) * time.Second
	last := func(state *atomic.Bool, length time.Duration) {
		state.Store(true)
		time.AfterFunc(length, func() { state.Store(false) })
	}
	troubles := []struct {
		name string
		do   func()
	}{
		{"freeze", func() { last(&n.frozen, length) }},
		{"cut from peers", func() { last(&n.cut, length) }},
		{"cut from the store", func() { last(&n.shut, length) }},
		{"refused by the store", func() { m.stand.Shut(n.host, length) }},
		{"partition", func() { n.zone.Store(1) }},
		{"kill", func() { n.restart(length / 4) }},
		{"stop", func() {
			n.gateway.Load().table.Leave()
			time.Sleep(100 * time.Millisecond)
			n.restart(0)
		}},
		{"kill all", func() {
			for _, x := range m.all() {
				x.restart(length / 4)
			}
		}},
		{"outage of the store", func() { m.stand.Outage(length, m.draw.IntN(2) == 0, m.draw.IntN(2) == 0) }},
		{"lost answers of the store", func() { m.stand.LoseAnswers(0.3, length, m.draw.IntN(2) == 0) }},
		{"compaction of the store", func() { m.stand.Compact(time.Second) }},
		{"kill while cut off", func() {
			// Longer than the window of the repeats.
			last(&n.cut, length+modelWindow+2*time.Second)
			if m.draw.IntN(2) == 0 {
				last(&n.shut, length+modelWindow+2*time.Second)
			}
			n.restart(100 * time.Millisecond)
		}},
		{"another machine", func() {
			if len(m.all()) < 6 {
				m.add()
			}
		}},
	}
	t := troubles[m.draw.IntN(len(troubles))]
	m.notes = append(m.notes, fmt.Sprintf("%v: %s at %s for %v", time.Now().Format("05.000"), t.name, n.name, length))
	t.do()
}

// restart ends the instance without a word and runs another one after a while.
func (n *node) restart(after time.Duration) {
	if n.down.Load() {
		return
	}
	n.kill()
	time.AfterFunc(after, func() {
		if n.model.ctx.Err() == nil {
			n.start()
		}
	})
}

// heal ends all troubles.
func (m *model) heal() {
	for _, n := range m.all() {
		n.zone.Store(0)
		n.cut.Store(false)
		n.shut.Store(false)
		n.frozen.Store(false)
	}
}
