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
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"

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

// disturb brings about one trouble, or ends some.
func (m *model) disturb() {
	n := m.all()[m.draw.IntN(len(m.all()))]
	length := time.Duration(1+m.draw.IntN(8)) * time.Second
	last := func(x *atomic.Bool) {
		x.Store(true)
		time.AfterFunc(length, func() { x.Store(false) })
	}
	kind := m.draw.IntN(13)
	m.notes = append(m.notes, fmt.Sprintf("%v: trouble %d at %s for %v", time.Now().Format("05.000"), kind, n.name, length))
	switch kind {
	case 0:
		last(&n.frozen)
	case 1:
		last(&n.cut)
	case 2:
		last(&n.shut)
	case 3:
		m.stand.Shut(n.host, length)
	case 4:
		n.zone.Store(1)
	case 5:
		n.restart(length / 4)
	case 6:
		n.gateway.Load().table.Leave()
		time.Sleep(100 * time.Millisecond)
		n.restart(0)
	case 7:
		for _, x := range m.all() {
			x.restart(length / 4)
		}
	case 8:
		m.stand.Outage(length, m.draw.IntN(2) == 0, m.draw.IntN(2) == 0)
	case 9:
		m.stand.LoseAnswers(0.3, length, m.draw.IntN(2) == 0)
	case 10:
		m.stand.Compact(time.Second)
	case 11:
		length += 12 * time.Second
		last(&n.cut)
		if m.draw.IntN(2) == 0 {
			last(&n.shut)
		}
		n.restart(100 * time.Millisecond)
	default:
		if len(m.all()) < 6 {
			m.add()
		}
	}
}

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

// serve brings requests to the instances until the context ends, and has them
// send as many repeats as they may.
func (m *model) serve(ctx context.Context, pause time.Duration) {
	for ctx.Err() == nil {
		time.Sleep(pause)
		for _, n := range m.all() {
			if !n.dark() {
				n.spend(m)
			}
		}
	}
}

func (n *node) spend(m *model) {
	snapshot := n.gateway.Load().directory.Current.Load()
	if snapshot == nil {
		return
	}
	budget, now := snapshot.Services[modelService].Budget, time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	budget.First(now)
	m.points = append(m.points, point{at: now})
	for budget.Spend(now, n.gateway.Load().fleet.share(), false) {
		m.points = append(m.points, point{at: now, repeat: true})
	}
}

// checkBudget looks for a window in which all instances together sent more
// repeats than are allowed.
func (m *model) checkBudget() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var times [2][]time.Time
	for _, p := range m.points {
		kind := lo.Ternary(p.repeat, 1, 0)
		times[kind] = append(times[kind], p.at)
	}
	count := func(from, to time.Time, kind int) int {
		first, _ := slices.BinarySearchFunc(times[kind], from, time.Time.Compare)
		end, _ := slices.BinarySearchFunc(times[kind], to, time.Time.Compare)
		return end - first
	}
	for i, p := range m.points {
		if i > 0 && m.points[i-1].at.Equal(p.at) {
			continue
		}
		repeats := count(p.at, p.at.Add(modelWindow), 1)
		requests := max(count(p.at, p.at.Add(modelWindow), 0), count(p.at.Add(-modelWindow), p.at, 0),
			count(p.at.Add(-modelWindow/2), p.at.Add(modelWindow/2), 0))
		if float64(repeats) > modelRatio*float64(requests)+modelSlack {
			return fmt.Errorf("%d repeats from %v on, %d requests", repeats, p.at, requests)
		}
	}
	return nil
}

// harm is a request that takes a backend server with it each time that it runs.
// Its caller sends it again and again, to any machine.
type harm struct {
	request *domain.Request
	crashes int
	// third is when it took the third server, late how often it ran once those
	// in touch with each other had time to learn of that.
	third time.Time
	late  int
}

// learnTime is how long instances that reach each other take at most to tell of
// a harmful request.
const learnTime = 4 * time.Second

// sendHarm sends harmful requests until the context ends.
func (m *model) sendHarm(ctx context.Context, h *harm) {
	for ctx.Err() == nil {
		time.Sleep(250 * time.Millisecond)
		n := m.all()[m.harmDraw.IntN(len(m.all()))]
		g := n.gateway.Load()
		if n.dark() || g.directory.Current.Load() == nil || g.callers.Harmful(h.request) {
			continue
		}
		g.callers.Lost(h.request, 2)
		h.crashes += 2
		if h.crashes >= 3 && h.third.IsZero() {
			h.third = time.Now()
		}
		if !h.third.IsZero() && time.Since(h.third) > learnTime && n.inTouch() {
			h.late++
		}
	}
}

// mostLate is how often a harmful request may run after all could know of it.
const mostLate = 3

func (h *harm) check() error {
	if h.late > mostLate {
		return fmt.Errorf("a harmful request ran %d times after all could know of it", h.late)
	}
	return nil
}

// inTouch tells whether nothing kept the machine from hearing of others lately.
func (n *node) inTouch() bool {
	return n.zone.Load() == 0 && !n.cut.Load() && time.Since(n.gateway.Load().fleet.began) > learnTime
}

// checkAgreement looks at what all must have once nothing was wrong for a while.
func (m *model) checkAgreement() error {
	connections := 0
	for _, n := range m.all() {
		if size := n.gateway.Load().fleet.size(); size < len(m.all()) {
			return fmt.Errorf("%s counts %d instances of %d", n.name, size, len(m.all()))
		}
		snapshot := n.gateway.Load().directory.Current.Load()
		if snapshot == nil {
			return fmt.Errorf("%s has no configuration", n.name)
		}
		if version := snapshot.Configuration.Version; version < uint64(m.version) {
			return fmt.Errorf("%s has version %d, want %d", n.name, version, m.version)
		}
		if n.gateway.Load().directory.Current.Load().Services[modelService].Servers()[0] != n.server.Load() {
			return fmt.Errorf("%s does not have the backend server", n.name)
		}
		connections += int(n.server.Load().Pool.Limit.Load())
	}
	if connections > modelConnections {
		return fmt.Errorf("%d connections to a server that takes %d", connections, modelConnections)
	}
	return nil
}

// withdrawTime is how soon a withdrawal must be in force.
const withdrawTime = 3 * time.Second

// checkWithdrawal takes the data centre of the backend server out of service,
// while the store does not answer one of the instances.
func (m *model) checkWithdrawal() error {
	m.all()[m.draw.IntN(len(m.all()))].shut.Store(true)
	time.Sleep(2 * time.Second)
	if !m.put(platform.WithdrawnPrefix+"z1", []byte("{}")) {
		return errors.New("the store took no withdrawal")
	}
	time.Sleep(withdrawTime)
	for _, n := range m.all() {
		if !n.server.Load().Out() {
			return fmt.Errorf("%s still uses a data centre that was withdrawn", n.name)
		}
	}
	return nil
}

// Whatever befalls the machines, their links and the store, all instances
// together keep to the allowance of repeats in every window; and soon after all
// is well they agree on the configuration, on each other and on the shares of
// connections.
func TestFleetKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		instances := rapid.IntRange(2, 5).Draw(rt, "instances")
		if err := playFleet(t, seed, instances); err != nil {
			rt.Fatalf("seed %d, %d instances: %v", seed, instances, err)
		}
	})
}

// playFleet plays a minute of troubles.
func playFleet(t *testing.T, seed uint64, instances int) (failure error) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m := newModel(ctx, seed, instances)
		go m.serve(ctx, time.Duration(25<<m.draw.IntN(5))*time.Millisecond)
		time.Sleep(12 * time.Second)
		h := &harm{request: &domain.Request{Method: "GET", Host: "h", Target: "/a/harm"}}
		go m.sendHarm(ctx, h)
		for range 10 {
			m.disturb()
			time.Sleep(time.Duration(m.draw.IntN(6000)) * time.Millisecond)
			if m.draw.IntN(3) == 0 {
				m.configure()
			}
			if m.draw.IntN(4) == 0 {
				m.notes = append(m.notes, time.Now().Format("05.000")+": heal")
				m.heal()
			}
		}
		time.Sleep(10 * time.Second)
		m.heal()
		time.Sleep(10 * time.Second)
		if m.configure() {
			time.Sleep(3 * time.Second)
		}
		if failure = errors.Join(m.checkBudget(), m.checkAgreement(), m.checkWithdrawal(), h.check()); failure != nil {
			failure = fmt.Errorf("%w\n%s", failure, strings.Join(m.notes, "\n"))
		}
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
	return failure
}

// An instance that restarts while it reaches the store but no peer does not take
// the allowance of all for its own.
func TestLoneInstanceLeavesTheAllowanceToOthers(t *testing.T) {
	withFleet(t, 4, func(m *model) {
		go m.serve(m.ctx, 400*time.Millisecond)
		time.Sleep(10 * time.Second)
		m.all()[0].cut.Store(true)
		m.all()[0].restart(100 * time.Millisecond)
		time.Sleep(25 * time.Second)
		if err := m.checkBudget(); err != nil {
			t.Error(err)
		}
	})
}

// An instance that starts learns once it meets a peer what servers were lost with
// before, also if it has read the store already.
func TestNewInstanceLearnsOfSuspects(t *testing.T) {
	withFleet(t, 2, func(m *model) {
		n, request := m.all()[0], &domain.Request{Method: "GET", Host: "h", Target: "/a/harm"}
		n.gateway.Load().callers.Lost(request, 2)
		time.Sleep(time.Second)
		n.cut.Store(true)
		n.restart(100 * time.Millisecond)
		time.Sleep(2 * time.Second)
		if n.gateway.Load().directory.Current.Load() == nil {
			t.Error("want an instance that has read the store")
		}
		n.cut.Store(false)
		time.Sleep(time.Second)
		n.gateway.Load().callers.Lost(request, 2)
		if !n.gateway.Load().callers.Harmful(request) {
			t.Error("a request that came twice is not known to be harmful")
		}
	})
}

// A fleet that restarts as a whole still refuses harmful requests.
func TestHarmfulRequestsOutlastTheFleet(t *testing.T) {
	withFleet(t, 3, func(m *model) {
		request := &domain.Request{Method: "GET", Host: "h", Target: "/a/harm"}
		for _, n := range m.all()[:2] {
			n.gateway.Load().callers.Lost(request, 2)
			time.Sleep(time.Second)
		}
		for _, n := range m.all() {
			n.restart(time.Second)
		}
		time.Sleep(4 * time.Second)
		for _, n := range m.all() {
			if !n.gateway.Load().callers.Harmful(request) {
				t.Errorf("%s does not know the harmful request", n.name)
			}
		}
	})
}

// withFleet runs a test with a fleet that has met.
func withFleet(t *testing.T, instances int, test func(m *model)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m := newModel(ctx, 1, instances)
		time.Sleep(2 * time.Second)
		test(m)
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}
